"""A track's window of repeats counts from the first push that may have run, over further pushes and connections."""

import random

import pytest

from brookhinge.decisions.messages import ObjectsPurged
from brookhinge.decisions.settings import DeduplicationScope, Idempotency
from brookhinge.startup import Bounds
from tests.helpers import RouterHarness, request_class

MAY_RUN, NEVER_RAN = ("timeout", "broken", "errored"), ("full", "unreachable", "miss", "moot", "unsent")


def history(seed, idempotency):
    """The times of one query's pushes and which of them may have run, with random outcomes after random times."""
    chance, b, pushes, ran = (
        random.Random(seed),
        RouterHarness(
            request_classes=[
                request_class(
                    idempotency=idempotency,
                    deduplication_scope=DeduplicationScope.ALL,
                    deduplication_window_s=0.9,
                )
            ]
        ),
        [],
        [],
    )
    b.router.retry_budget.tokens = 20.0
    lines = b.ask("k", remaining_s=4.0)
    while any(" push " in line for line in lines):
        pushes.append(b.now)
        b.router.retry_budget.tokens = 20.0
        result = chance.choice(MAY_RUN + NEVER_RAN)
        at = b.now + chance.choice((0.01, 0.1, 0.3, 0.5))
        if result in MAY_RUN and not ran:
            ran.append(pushes[-1])
        lines = b.end(b.last_request_id, result, at=at)
        if at > 4.0:
            break
    return pushes, ran, lines


@pytest.mark.parametrize("seed", range(0, 400, 100))
def test_a_further_push_stays_in_its_window(seed):
    further = 0
    for n in range(seed, seed + 100):
        pushes, ran, lines = history(n, Idempotency.KEYED)
        later = [at for at in pushes if ran and at > ran[0]]
        further += len(later)
        assert all(at - ran[0] <= 0.9 - 0.1 for at in later), (n, pushes, ran)
    assert further > 20  # the window is used


@pytest.mark.parametrize("seed", range(0, 200, 100))
def test_a_single_use_query_has_no_push_after_one_that_may_have_run(seed):
    for n in range(seed, seed + 100):
        pushes, ran, lines = history(n, Idempotency.ONCE)
        assert not ran or pushes[-1] == ran[0], (n, pushes, ran)
        assert not ran or lines == ["q1 error"], (n, lines)


def test_an_answer_that_began_before_a_purge_and_ends_long_after_it_is_not_kept():
    """river-booking, calm+mass: patience of 8.1 s, a purge is heeded for 7 s; the copy kept was served 52 s too old."""
    b = RouterHarness(request_classes=[request_class(timeout_s=8.1)], machine=Bounds(192, 256, 1e6, 1e7))
    b.ask("k", remaining_s=8.1, at=1.0)
    b.end(1, "miss", at=1.01)
    b.call(ObjectsPurged(0, 0.0, ""), at=1.1)
    b.end(1, "satisfied", took_s=7.9, at=8.9, copy=(-50.0, 10_000))
    b.call(ObjectsPurged(5, 0.0, ""), at=9.0)  # another group's: what is known of the first stays
    assert b.trace.kept == set()
    b.ask("k", remaining_s=8.1, at=9.1)
    b.end(2, "miss", at=9.11)
    b.end(2, "satisfied", took_s=0.3, at=9.5, copy=(9.2, 10_000))
    assert len(b.trace.kept) == 1


def test_a_purge_told_while_its_object_is_forgotten_outlasts_the_answer():
    """The object is forgotten in between for want of memory: the open query's own is told all the same."""
    b = RouterHarness(request_classes=[request_class(timeout_s=8.1)], machine=Bounds(192, 256, 1e6, 1e7))
    b.ask("k", remaining_s=8.1, at=1.0)
    b.end(1, "miss", at=1.01)
    b.router.objects.states.clear()
    b.call(ObjectsPurged(0, 0.0, ""), at=1.1)
    b.call(ObjectsPurged(5, 0.0, ""), at=8.8)
    b.end(1, "satisfied", took_s=7.9, at=8.9, copy=(-50.0, 10_000))
    assert b.trace.kept == set()
