"""Pending outcomes that can be resolved early, with a fallback."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.runtime import Future

if TYPE_CHECKING:
    from chivefall.model import Outcome

__all__ = ["PendingOutcomes"]


class PendingOutcomes:
    """Outcomes of requests in progress, each with a fallback for a shutdown."""

    def __init__(self) -> None:
        self._pending: dict[Future[Outcome], Outcome] = {}

    def track(self, fut: Future[Outcome], fallback: Outcome) -> Future[Outcome]:
        """Return a future that resolves as ``fut``, or to ``fallback`` on ``resolve_all``."""
        wrapped: Future[Outcome] = Future()
        self._pending[wrapped] = fallback

        def on_done(done: Future[Outcome]) -> None:
            self._pending.pop(wrapped, None)
            try:
                wrapped.set_result(done.result())
            except Exception as exc:  # noqa: BLE001 - passed to the awaiting code
                wrapped.set_exception(exc)

        fut.add_done_callback(on_done)
        return wrapped

    def resolve_all(self) -> None:
        """Resolve all pending outcomes to their fallbacks."""
        ended, self._pending = self._pending, {}
        for wrapped, fallback in ended.items():
            wrapped.set_result(fallback)
