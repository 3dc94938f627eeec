"""Log of several instances in one process, with the manual clock and the instance of each line."""

from __future__ import annotations

from contextlib import contextmanager
from contextvars import ContextVar, copy_context
from typing import TYPE_CHECKING, Any
from unittest import mock

from eliot import add_destinations, remove_destination

from chivefall.runtime import Clock, Future

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from chivefall.model import InstanceId

__all__ = ["instance_log", "running"]

_current: ContextVar[str] = ContextVar("instance", default="")


@contextmanager
def running(name: InstanceId) -> Iterator[None]:
    """Attribute the lines that are logged meanwhile to an instance."""
    token = _current.set(name)
    try:
        yield
    finally:
        _current.reset(token)


@contextmanager
def instance_log(write: Callable[[dict[str, Any]], None], clock: Clock) -> Iterator[None]:
    """Call ``write`` with each message that is logged meanwhile.

    Its ``timestamp`` is the time of ``clock``. Its ``instance`` is the name of the instance that
    logged it, or empty if that is not known. Callbacks of timers and futures run for the instance
    that registered them, whoever completes the future.
    """
    call_later, add_done_callback = Clock.call_later, Future.add_done_callback

    def call_later_in_context(self, delay, callback):
        return call_later(self, delay, _in_current_context(callback))

    def add_done_callback_in_context(self, callback):
        add_done_callback(self, _in_current_context(callback))

    is_open = False

    def destination(message: dict[str, Any]) -> None:
        if is_open:  # eliot passes earlier messages to the first destination
            write({**message, "timestamp": clock.now(), "instance": _current.get()})

    add_destinations(destination)
    is_open = True
    try:
        with (
            mock.patch.object(Clock, "call_later", call_later_in_context),
            mock.patch.object(Future, "add_done_callback", add_done_callback_in_context),
        ):
            yield
    finally:
        remove_destination(destination)


def _in_current_context(callback: Callable[..., Any]) -> Callable[..., Any]:
    context = copy_context()
    return lambda *args: context.run(callback, *args)
