"""Circuit breaker on the way to the origin.

While fills that end at the origin go badly, few are let through: an origin kept busy by fills that nobody
waits for any more would never catch up. It could harm where only late fills warm caches.
"""

import math

DECAY_S = 5.0
TOLERANCE = 2.0  # about one fill in six may go badly before fewer go


class OriginCircuitBreaker:
    """How fills that ended at the origin went lately. Times are seconds."""

    def __init__(self) -> None:
        self._good = 0.0
        self._bad = 0.0
        self._counted_at = 0.0
        self._due_at: dict[int, float] = {}  # of each request whose fill is out: when it should have ended

    def fill_started(self, request_id: int, due_at: float) -> None:
        """Note a fill that may end at the origin."""
        self._due_at[request_id] = due_at

    def fill_ended(self, request_id: int) -> float | None:
        """Forget a fill; return when it should have ended, None for an attempt that was none."""
        return self._due_at.pop(request_id, None)

    def record(self, now: float, is_good: bool) -> None:
        """Count a fill that ended at the origin."""
        decay = math.exp((self._counted_at - now) / DECAY_S)
        self._counted_at = now
        self._good = self._good * decay + is_good
        self._bad = self._bad * decay + (not is_good)

    def admit_probability(self, now: float) -> float:
        """Return the part of what would go to the origin that may.

        Fills that are out and overdue count as bad already.
        """
        decay = math.exp((self._counted_at - now) / DECAY_S)
        bad = self._bad * decay + sum(due < now for due in self._due_at.values())
        good = 1.0 + self._good * decay
        return min(1.0, TOLERANCE * (good / (good + bad)) ** 4)
