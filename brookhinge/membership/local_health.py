"""Local health: an estimate of how slow this router or its link is (Lifeguard, section 4.1)."""

MAX_SCORE = 8
WAKE_PENALTY = 2


class LocalHealth:
    """A score from 0 (probes are answered) to MAX_SCORE that scales the failure detector's intervals."""

    def __init__(self) -> None:
        self.score = 0

    def worsen(self, by: int) -> None:
        """Raise the score by `by`, within its bounds; a negative value lowers it."""
        self.score = min(MAX_SCORE, max(0, self.score + by))

    def improve(self) -> None:
        """Lower the score by one."""
        self.score = max(0, self.score - 1)

    def multiplier(self) -> float:
        """Return the factor by which intervals are scaled."""
        return 1.0 + self.score
