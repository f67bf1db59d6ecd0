"""Timeout of an attempt."""

from brookhinge.decisions.request_state import RequestState

DEADLINE_MARGIN_S = 0.001
FIRST_ATTEMPT_SHARE = 0.6  # of the time left, if enough remains for another attempt
FIRST_UNSHORTENED_ATTEMPT = 3  # from this attempt on, all the time left may be used
RETRY_TIME_FACTOR = 6.0  # minimum timeout as a multiple of the object's shortest response time
RETRY_TIME_MARGIN_S = 0.3


def attempt_timeout_s(request: RequestState, now: float, max_attempts: int) -> float:
    """Return the seconds after which an attempt is given up.

    That is nearly all the time left, or less if a retry can follow. `request.attempts` already counts the
    attempt that is about to be sent.
    """
    time_left_s = request.deadline - now
    needed_s = RETRY_TIME_FACTOR * max(request.object.best_s, request.transfer_s)  # 0 if unknown
    first_s = time_left_s * FIRST_ATTEMPT_SHARE
    can_retry = request.attempts < min(max_attempts, FIRST_UNSHORTENED_ATTEMPT)
    if can_retry and needed_s and needed_s + RETRY_TIME_MARGIN_S < first_s:
        return first_s
    return time_left_s - DEADLINE_MARGIN_S
