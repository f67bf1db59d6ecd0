"""Circuit breaker for fills from the origin.

While fills that end at the origin fail or are late, only a few are admitted. Otherwise the origin could be
kept busy by fills that no client waits for any more, and would never recover. This can do harm where caches
are warmed only by late fills.
"""

import math

DECAY_S = 5.0
TOLERANCE = 2.0  # about one bad fill in six is tolerated before fewer are admitted


class OriginCircuitBreaker:
    """Tracks the results of recent fills that ended at the origin. Times are seconds."""

    def __init__(self) -> None:
        self._good = 0.0
        self._bad = 0.0
        self._decayed_at = 0.0
        self._due_at: dict[int, float] = {}  # by request with a fill in flight: when the fill should end

    def fill_started(self, request_id: int, due_at: float) -> None:
        """Record the start of a fill that may end at the origin."""
        self._due_at[request_id] = due_at

    def fill_ended(self, request_id: int) -> float | None:
        """Remove a fill; return when it should have ended, or None if the attempt was not a recorded fill."""
        return self._due_at.pop(request_id, None)

    def record(self, now: float, is_good: bool) -> None:
        """Record the result of a fill that ended at the origin."""
        decay = math.exp((self._decayed_at - now) / DECAY_S)
        self._decayed_at = now
        self._good = self._good * decay + is_good
        self._bad = self._bad * decay + (not is_good)

    def admit_probability(self, now: float) -> float:
        """Return the probability with which a fill from the origin is admitted.

        Fills that are in flight and overdue already count as bad.
        """
        decay = math.exp((self._decayed_at - now) / DECAY_S)
        bad = self._bad * decay + sum(due < now for due in self._due_at.values())
        good = 1.0 + self._good * decay
        return min(1.0, TOLERANCE * (good / (good + bad)) ** 4)
