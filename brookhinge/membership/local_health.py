"""Local health: how slow this router, or its own link, is (Lifeguard, section 4.1)."""

MAX_SCORE = 8
WAKING_PENALTY = 2


class LocalHealth:
    """A score from 0, probes come back, to 8; it stretches the intervals of the failure detector."""

    def __init__(self) -> None:
        self.score = 0

    def worsen(self, by: int) -> None:
        """Raise the score, as far as it goes; a negative number lowers it."""
        self.score = min(MAX_SCORE, max(0, self.score + by))

    def improve(self) -> None:
        """Lower the score by one."""
        self.score = max(0, self.score - 1)

    def multiplier(self) -> float:
        """By how much intervals are stretched."""
        return 1.0 + self.score
