"""Futures and coroutines without an event loop of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Generator, Iterable

    from chivefall.runtime._clock import Clock

__all__ = ["Future", "gather", "sleep", "spawn", "wait_for"]

T = TypeVar("T")


class Future(Generic[T]):
    """A result that becomes available later, for use on a single thread."""

    __slots__ = ("_callbacks", "_done", "_exception", "_result")

    def __init__(self) -> None:
        self._callbacks: list[Callable[[Future[T]], None]] = []
        self._done = False
        self._result: T | None = None
        self._exception: BaseException | None = None

    def done(self) -> bool:
        """Return whether a result or an exception is set."""
        return self._done

    def result(self) -> T:
        """Return the result or raise the exception.

        Raises
        ------
        RuntimeError
            If the future is not done.
        """
        if not self._done:
            raise RuntimeError("the future has no result yet; await it first")
        if self._exception is not None:
            raise self._exception
        return self._result  # type: ignore[return-value]

    def set_result(self, result: T) -> None:
        """Set the result; ignored if the future is already done."""
        if not self._done:
            self._result = result
            self._finish()

    def set_exception(self, exc: BaseException) -> None:
        """Set the exception; ignored if the future is already done."""
        if not self._done:
            self._exception = exc
            self._finish()

    def add_done_callback(self, callback: Callable[[Future[T]], None]) -> None:
        """Call ``callback`` with this future when it is done."""
        if self._done:
            callback(self)
        else:
            self._callbacks.append(callback)

    def _finish(self) -> None:
        self._done = True
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback(self)

    def __await__(self) -> Generator[Future[T], None, T]:
        if not self._done:
            yield self
        return self.result()


def spawn(
    coro: Coroutine[Future[Any], None, T],
    on_error: Callable[[BaseException], None] | None = None,
) -> Future[T]:
    """Start a coroutine at once and resume it from callbacks of the futures it awaits.

    Parameters
    ----------
    coro : coroutine
        Must await only :class:`Future` objects.
    on_error : callable, optional
        Called with an exception that the coroutine raises. The exception is also set
        on the returned future.

    Returns
    -------
    Future
        The coroutine's result.
    """
    fut: Future[T] = Future()

    def step(_: Future[Any] | None = None) -> None:
        try:
            pending = coro.send(None)
        except StopIteration as stop:
            fut.set_result(stop.value)
        except Exception as exc:  # noqa: BLE001 - set on the future
            if on_error is not None:
                on_error(exc)
            fut.set_exception(exc)
        else:
            pending.add_done_callback(step)

    step()
    return fut


def sleep(clock: Clock, delay: float) -> Future[None]:
    """Return a future that completes after ``delay`` seconds."""
    fut: Future[None] = Future()
    clock.call_later(delay, lambda: fut.set_result(None))
    return fut


def gather(futs: Iterable[Future[T]]) -> Future[list[T]]:
    """Return a future of all results in order; it fails with the first exception."""
    pending = list(futs)
    combined: Future[list[T]] = Future()
    remaining = len(pending)

    def on_done(fut: Future[T]) -> None:
        nonlocal remaining
        remaining -= 1
        if fut._exception is not None:
            combined.set_exception(fut._exception)
        elif remaining == 0:
            combined.set_result([item.result() for item in pending])

    if not pending:
        combined.set_result([])
    for fut in pending:
        fut.add_done_callback(on_done)
    return combined


def wait_for(clock: Clock, fut: Future[T], timeout: float, default: T) -> Future[T]:
    """Return a future of ``fut``'s result, or ``default`` after ``timeout`` seconds."""
    limited: Future[T] = Future()
    timer = clock.call_later(timeout, lambda: limited.set_result(default))

    def on_done(done: Future[T]) -> None:
        timer.cancel()
        if done._exception is not None:
            limited.set_exception(done._exception)
        else:
            limited.set_result(done.result())

    fut.add_done_callback(on_done)
    return limited
