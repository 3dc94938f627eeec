"""Time limit of calls that follows the answers."""

from __future__ import annotations

__all__ = ["AdaptiveTimeout"]

FACTOR = 20.0  # times the usual answer; a busy server answers 10 times slower at most
WEIGHT = 0.1  # of the newest answer in the average


class AdaptiveTimeout:
    """A time limit between two bounds.

    A lost answer is noticed after a multiple of the usual time instead of the
    longest limit. Each limit that passes doubles the next one, so that a server
    that became slow is still heard.

    Parameters
    ----------
    shortest, longest : float
        Bounds in seconds.
    """

    def __init__(self, shortest: float, longest: float) -> None:
        self._shortest = shortest
        self.longest = longest
        self._usual = 0.0
        self._misses = 0

    def limit(self) -> float:
        """Return the seconds to wait for the next answer."""
        usual = max(self._shortest, FACTOR * self._usual)
        return min(self.longest, usual * 2**self._misses)

    def note_answer(self, seconds: float) -> None:
        """Record that an answer came after some seconds."""
        self._usual += WEIGHT * (seconds - self._usual)
        self._misses = 0

    def note_miss(self) -> None:
        """Record that no answer came within the limit."""
        self._misses = min(self._misses + 1, 8)
