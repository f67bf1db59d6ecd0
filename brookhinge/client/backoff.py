"""Decides when a client retries. No I/O, no clock; the random generator is passed in.

A retry delay sent by the router is respected: the router has already spread these delays, so only a small
jitter is added and nothing is subtracted. Without one, the delay grows exponentially with full jitter
(Brooker, "Exponential Backoff and Jitter", 2015), since nothing else spreads the retries. A request that
cannot be answered in the time left is not retried.
"""

import random

RETRY_AFTER_JITTER_S = 0.02  # the clocks of client and router may differ
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MIN_TIME_LEFT_S = 0.05  # with less, another attempt is useless


def retry_delay_s(
    *, time_left_s: float, attempts: int, max_attempts: int, retry_after_s: float, rng: random.Random
) -> float | None:
    """Return the delay before the next attempt in seconds, or None if there is none.

    Args:
        time_left_s: Time left of the first attempt's timeout.
        attempts: Number of attempts made so far.
        max_attempts: Maximum number of attempts of one request.
        retry_after_s: Retry delay sent by the router, 0 if it sent none.
        rng: Random generator for the jitter.
    """
    if attempts >= max_attempts:
        return None
    if retry_after_s > 0:
        delay_s = retry_after_s + RETRY_AFTER_JITTER_S * rng.random()
    else:
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** (attempts - 1))
        delay_s = rng.random() * backoff_s
    return delay_s if delay_s + MIN_TIME_LEFT_S <= time_left_s else None


def may_retry(outcome: str, is_repeatable: bool) -> bool:
    """Return whether an outcome allows a retry.

    A rejected request was not executed, so a retry is safe. A request that failed, or whose connection ended,
    may have been executed, so it is retried only if it is repeatable.
    """
    return outcome == "refused" or (outcome in ("failed", "gone") and is_repeatable)
