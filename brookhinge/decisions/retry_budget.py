"""Retry budget: retries are paid for by what first requests earn.

So they cannot multiply a load that fails.
"""

import math
from random import Random

DECAY_S = 10.0
EARNED_PER_REQUEST = 0.05
MAX_TOKENS = 20.0
INITIAL_TOKENS = 1.0


class RetryBudget:
    """Tokens saved for retries."""

    def __init__(self, rng: Random) -> None:
        self.tokens = INITIAL_TOKENS
        self._rng = rng
        self._earned_at = 0.0

    def earn(self, now: float, is_first: bool) -> None:
        """Take note of a request; one that is itself a client's retry earns nothing."""
        decay = math.exp((self._earned_at - now) / DECAY_S)
        self.tokens = min(MAX_TOKENS, EARNED_PER_REQUEST * is_first + self.tokens * decay)
        self._earned_at = now

    def take_token(self) -> bool:
        """Whether a retry may be made; take its token. A part of one is enough by that chance."""
        saved = self.tokens
        self.tokens = max(0.0, saved - 1.0)
        return self._rng.random() < saved
