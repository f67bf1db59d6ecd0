"""When a client tries again. No I/O, no clock; chance is handed in.

A time that was told is kept: the router has spread those times already, so no more than a breath is added, never taken
off. Without one the pause doubles, with full jitter (Brooker, "Exponential Backoff and Jitter", 2015), because nobody
else spreads those who come back. What can't be answered in the time that is left is not asked for again."""

BREATH_S = 0.02  # after a told time: the clocks of both ends are not one
FIRST_S = 0.05
LONGEST_S = 1.0
LEAST_S = 0.05  # of the time left, under which another try is of no use


def pause(left_s, tries, most_tries, told_s, chance):
    """Seconds until the next try, or None for none. left_s: of the first try's time; tries: made so far; told_s: the time
    that the router told, 0 without one."""
    if tries >= most_tries:
        return None
    if told_s > 0:
        wait = told_s + BREATH_S * chance.random()
    else:
        wait = chance.random() * min(LONGEST_S, FIRST_S * 2.0 ** (tries - 1))
    return wait if wait + LEAST_S <= left_s else None


def may_repeat(kind, replayable):
    """Whether an outcome allows another try: a refusal always does no harm, a failure only where the effect may happen
    twice, and so for a connection that ended."""
    return kind == "refused" or kind in ("failed", "gone") and replayable
