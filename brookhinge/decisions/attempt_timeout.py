"""How long an attempt is waited for."""

from brookhinge.decisions.request_state import RequestState

DEADLINE_MARGIN_S = 0.001
FIRST_ATTEMPT_SHARE = 0.6  # of the time left, where another attempt fits behind it
ATTEMPTS_CUT_SHORT = 3
RETRY_TIME_FACTOR = 6.0  # of an object's own time that an attempt must have
RETRY_TIME_MARGIN_S = 0.3


def attempt_timeout_s(request: RequestState, now: float, max_attempts: int) -> float:
    """Return the seconds until an attempt is given up.

    Nearly all that are left, or less where a retry fits behind.

    The attempt that is about to be sent is counted in `request.attempts`.
    """
    time_left_s = request.deadline - now
    needed_s = RETRY_TIME_FACTOR * max(request.object.best_s, request.transfer_s)  # 0: not known
    first_s = time_left_s * FIRST_ATTEMPT_SHARE
    can_retry = request.attempts < min(max_attempts, ATTEMPTS_CUT_SHORT)
    if can_retry and needed_s and needed_s + RETRY_TIME_MARGIN_S < first_s:
        return first_s
    return time_left_s - DEADLINE_MARGIN_S
