"""Retry budget: each retry takes a token that first requests have earned.

This keeps retries from multiplying the load during a failure.
"""

import math
from random import Random

DECAY_S = 10.0
EARNED_PER_REQUEST = 0.05
MAX_TOKENS = 20.0
INITIAL_TOKENS = 1.0


class RetryBudget:
    """Holds the tokens for retries. Times are seconds."""

    def __init__(self, rng: Random) -> None:
        self.tokens = INITIAL_TOKENS
        self._rng = rng
        self._earned_at = 0.0

    def earn(self, now: float, is_first: bool) -> None:
        """Record a request; a first request earns tokens, a client's retry earns none."""
        decay = math.exp((self._earned_at - now) / DECAY_S)
        self.tokens = min(MAX_TOKENS, EARNED_PER_REQUEST * is_first + self.tokens * decay)
        self._earned_at = now

    def take_token(self) -> bool:
        """Take a token for a retry; return whether the retry is allowed.

        A fraction of a token allows the retry with that probability.
        """
        saved = self.tokens
        self.tokens = max(0.0, saved - 1.0)
        return self._rng.random() < saved
