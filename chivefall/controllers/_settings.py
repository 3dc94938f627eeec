"""Reload of the settings file on a signal or when its content changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.config import parse_settings
from chivefall.controllers._base import Controller
from chivefall.errors import ConfigError
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from chivefall.config import Settings
    from chivefall.runtime import Clock

__all__ = ["SettingsController"]

POLL_INTERVAL_SECONDS = 1.0  # the file may change without a SIGHUP


class SettingsController(Controller):
    """Holds the current settings; an invalid file leaves them unchanged.

    Parameters
    ----------
    path : Path
        The settings file.
    cfg : Settings
        Initial settings.
    adopt : callable
        Called with the new settings after each valid change.
    """

    def __init__(
        self, clock: Clock, path: Path, cfg: Settings, adopt: Callable[[Settings], None]
    ) -> None:
        super().__init__(clock)
        self._path = path
        self._adopt = adopt
        self._text: str | None = None
        self._last_rejection = ""
        self.cfg = cfg

    def start(self) -> None:
        """Start polling the file."""
        self.every(POLL_INTERVAL_SECONDS, lambda _: self.reload("the file changed"))

    def reload(self, cause: str) -> None:
        """Read the file and apply its settings if they are valid and changed."""
        try:
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            self._reject(f"{self._path} cannot be read: {exc}")
            return
        if text == self._text:
            return
        try:
            cfg = parse_settings(text, str(self._path))
        except ConfigError as exc:
            self._reject(str(exc))
            return
        self._text, self._last_rejection = text, ""
        if cfg == self.cfg:
            return
        changed = [key for key in cfg.__dataclass_fields__ if _differs(cfg, self.cfg, key)]
        self.cfg = cfg
        self._adopt(cfg)
        log_event(LogEvent.SETTINGS_RELOADED, cause=cause, changed=changed)

    def _reject(self, reason: str) -> None:
        """Log a reason once, because the file is polled every second."""
        if reason != self._last_rejection:
            self._last_rejection = reason
            log_event(LogEvent.SETTINGS_REJECTED, reason=reason)


def _differs(new: Settings, old: Settings, key: str) -> bool:
    return getattr(new, key) != getattr(old, key)
