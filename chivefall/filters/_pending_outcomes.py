"""Outcomes that can be given before the true one is known."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.runtime import Future

if TYPE_CHECKING:
    from chivefall.model import Outcome

__all__ = ["PendingOutcomes"]


class PendingOutcomes:
    """Requests in progress and the outcome of each if the instance ends first."""

    def __init__(self) -> None:
        self._open: dict[Future[Outcome], Outcome] = {}

    def track(self, fut: Future[Outcome], fallback: Outcome) -> Future[Outcome]:
        """Return a future of ``fut``'s outcome, or of ``early`` if all are ended before."""
        wrapped: Future[Outcome] = Future()
        self._open[wrapped] = fallback

        def on_done(done: Future[Outcome]) -> None:
            self._open.pop(wrapped, None)
            try:
                wrapped.set_result(done.result())
            except Exception as exc:  # noqa: BLE001 - belongs to whoever awaits the future
                wrapped.set_exception(exc)

        fut.add_done_callback(on_done)
        return wrapped

    def resolve_all(self) -> None:
        """Give every request in progress its early outcome."""
        ended, self._open = self._open, {}
        for wrapped, fallback in ended.items():
            wrapped.set_result(fallback)
