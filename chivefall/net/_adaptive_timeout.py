"""Call timeout that adapts to the response times."""

from __future__ import annotations

__all__ = ["AdaptiveTimeout"]

RESPONSE_TIME_MULTIPLE = 20.0  # a busy server responds up to 10 times slower than on average
NEW_RESPONSE_WEIGHT = 0.1  # weight of the newest response time in the moving average


class AdaptiveTimeout:
    """A timeout between two bounds.

    A lost response is detected after a multiple of the average response time
    instead of the upper bound. Each timeout doubles the next one, so that calls to
    a server that became slow do not all time out.

    Parameters
    ----------
    min_seconds, max_seconds : float
        Bounds of the timeout.
    """

    def __init__(self, min_seconds: float, max_seconds: float) -> None:
        self._min_seconds = min_seconds
        self.max_seconds = max_seconds
        self._average_seconds = 0.0
        self._timeouts_in_a_row = 0

    def next_timeout(self) -> float:
        """Return the timeout of the next call in seconds."""
        seconds = max(self._min_seconds, RESPONSE_TIME_MULTIPLE * self._average_seconds)
        return min(self.max_seconds, seconds * 2**self._timeouts_in_a_row)

    def record_response(self, seconds: float) -> None:
        """Record a response that took ``seconds``."""
        self._average_seconds += NEW_RESPONSE_WEIGHT * (seconds - self._average_seconds)
        self._timeouts_in_a_row = 0

    def record_timeout(self) -> None:
        """Record that a call timed out."""
        self._timeouts_in_a_row = min(self._timeouts_in_a_row + 1, 8)
