"""When a client retries. No I/O, no clock; chance is handed in.

A Retry-After of the router is kept: the router has spread those times already, so a little is added and
nothing taken off. Without one the pause grows exponentially with full jitter (Brooker, "Exponential Backoff
and Jitter", 2015), since nobody else spreads the retries. A request that cannot be answered in the time left
is not retried.
"""

import random

RETRY_AFTER_JITTER_S = 0.02  # the clocks of both ends are not one
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 1.0
LEAST_TIME_LEFT_S = 0.05  # under which another attempt is of no use


def retry_pause_s(
    *, time_left_s: float, attempts: int, max_attempts: int, retry_after_s: float, chance: random.Random
) -> float | None:
    """Return seconds until the next attempt, or None for no further one.

    Args:
        time_left_s: of the first attempt's timeout.
        attempts: made so far.
        max_attempts: of one request.
        retry_after_s: as the router said, 0 without one.
        chance: draws the jitter.
    """
    if attempts >= max_attempts:
        return None
    if retry_after_s > 0:
        pause_s = retry_after_s + RETRY_AFTER_JITTER_S * chance.random()
    else:
        backoff_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** (attempts - 1))
        pause_s = chance.random() * backoff_s
    return pause_s if pause_s + LEAST_TIME_LEFT_S <= time_left_s else None


def may_retry(outcome: str, is_repeatable: bool) -> bool:
    """Whether an outcome allows a retry.

    After a rejection it does no harm; a request that failed, or whose connection ended, may have run.
    """
    return outcome == "refused" or (outcome in ("failed", "gone") and is_repeatable)
