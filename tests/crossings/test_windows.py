"""A track's window of repeats counts from the first push that may have run, over further pushes and connections."""
import random

import pytest

from tests.helpers import Bench, track

MAY_RUN, NEVER_RAN = ("timeout", "broken", "errored"), ("full", "unreachable", "miss", "moot", "unsent")


def history(seed, effect, group="all", window_s=0.9):
    """The times of one query's pushes and which of them may have run, with random outcomes after random times."""
    chance, b, pushes, ran = random.Random(seed), Bench(tracks=[track(effect=effect, group=group, window_s=window_s)]), [], []
    b.router.retries = 20.0
    lines = b.ask("k", left=4.0)
    while any(" push " in line for line in lines):
        pushes.append(b.now)
        b.router.retries = 20.0
        result = chance.choice(MAY_RUN + NEVER_RAN)
        at = b.now + chance.choice((0.01, 0.1, 0.3, 0.5))
        if result in MAY_RUN and not ran:
            ran.append(pushes[-1])
        lines = b.end(b.next, result, at=at)
        if at > 4.0:
            break
    return pushes, ran, lines


@pytest.mark.parametrize("seed", range(0, 400, 100))
def test_a_further_push_stays_in_its_window(seed):
    further = 0
    for n in range(seed, seed + 100):
        pushes, ran, lines = history(n, "referenced")
        later = [at for at in pushes if ran and at > ran[0]]
        further += len(later)
        assert all(at - ran[0] <= 0.9 - 0.1 for at in later), (n, pushes, ran)
    assert further > 20         # the window is used


@pytest.mark.parametrize("seed", range(0, 200, 100))
def test_a_single_use_query_has_no_push_after_one_that_may_have_run(seed):
    for n in range(seed, seed + 100):
        pushes, ran, lines = history(n, "single-use")
        assert not ran or pushes[-1] == ran[0], (n, pushes, ran)
        assert not ran or lines == ["q1 error"], (n, lines)
