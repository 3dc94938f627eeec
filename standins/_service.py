"""Base class of the HTTP stand-ins."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from circuits import handler
from circuits.core.pollers import EPoll

from chivefall.net import HttpReply, HttpRequest, HttpServer
from chivefall.runtime import AbstractComponent, Clock, Future, LoopClock, spawn

if TYPE_CHECKING:
    from chivefall.config import Address

__all__ = ["Service"]


class Service(AbstractComponent):
    """An HTTP service on its own event loop; a signal ends it immediately.

    Parameters
    ----------
    clock : Clock, optional
        Replaces the clock of the event loop.
    """

    channel = "service"

    def __init__(self, address: Address, clock: Clock | None = None) -> None:
        super().__init__()
        EPoll().register(self)
        if clock is None:
            clock = LoopClock()
            clock.timer_component.register(self)
        self.clock = clock
        self.server = HttpServer(address, self._serve, self.clock).register(self)

    def _serve(self, req: HttpRequest) -> Future[HttpReply]:
        return spawn(self.handle(req), on_error=lambda exc: print(repr(exc), flush=True))

    @abstractmethod
    async def handle(self, req: HttpRequest) -> HttpReply:
        """Return the reply to a request."""

    @handler("signal", channel="*")
    def _on_signal(self, *_: object) -> None:
        self.stop()
