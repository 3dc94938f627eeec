"""Entry point of ``python -m chivefall`` and of the executable."""

from __future__ import annotations

from chivefall.early_signals import EARLY_SIGNALS

EARLY_SIGNALS.begin()  # before the other imports, during which a signal would end the process

from chivefall.cli import main  # noqa: E402

__all__ = ["main"]

if __name__ == "__main__":
    main()
