"""The deduplication window counts from the first attempt that may have run, across retries and connections."""

import random

import pytest

from brookhinge.decisions.messages import ObjectsPurged
from brookhinge.decisions.settings import DeduplicationScope, Idempotency
from brookhinge.startup import Bounds
from tests.helpers import RouterHarness, request_class

MAY_HAVE_RUN, NEVER_RAN = ("timeout", "broken", "errored"), ("full", "unreachable", "miss", "moot", "unsent")


def run_request(seed, idempotency):
    """Run one request whose attempts end at random times with random results.

    Returns the times of its attempts, a list with the time of the first that may have run or an empty one, and the
    last decisions.
    """
    rng, bench, attempt_times, first_run = (
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
    bench.router.retry_budget.tokens = 20.0
    lines = bench.ask("k", remaining_s=4.0)
    while any(" push " in line for line in lines):
        attempt_times.append(bench.now)
        bench.router.retry_budget.tokens = 20.0
        result = rng.choice(MAY_HAVE_RUN + NEVER_RAN)
        at = bench.now + rng.choice((0.01, 0.1, 0.3, 0.5))
        if result in MAY_HAVE_RUN and not first_run:
            first_run.append(attempt_times[-1])
        lines = bench.end(bench.last_request_id, result, at=at)
        if at > 4.0:
            break
    return attempt_times, first_run, lines


@pytest.mark.parametrize("seed", range(0, 400, 100))
def test_retry_stays_within_the_deduplication_window(seed):
    retries = 0
    for n in range(seed, seed + 100):
        attempt_times, first_run, lines = run_request(n, Idempotency.KEYED)
        later = [at for at in attempt_times if first_run and at > first_run[0]]
        retries += len(later)
        assert all(at - first_run[0] <= 0.9 - 0.1 for at in later), (n, attempt_times, first_run)
    assert retries > 20  # retries do happen within the window


@pytest.mark.parametrize("seed", range(0, 200, 100))
def test_non_idempotent_request_is_not_retried_after_an_attempt_that_may_have_run(seed):
    for n in range(seed, seed + 100):
        attempt_times, first_run, lines = run_request(n, Idempotency.ONCE)
        assert not first_run or attempt_times[-1] == first_run[0], (n, attempt_times, first_run)
        assert not first_run or lines == ["q1 error"], (n, lines)


def test_response_requested_before_a_purge_and_received_long_after_it_is_not_kept():
    """Case river-booking, calm+mass: a timeout of 8.1 s, while a purge is enforced for 7 s.

    The copy that was kept was served 52 s too old.
    """
    bench = RouterHarness(request_classes=[request_class(timeout_s=8.1)], machine=Bounds(192, 256, 1e6, 1e7))
    bench.ask("k", remaining_s=8.1, at=1.0)
    bench.end(1, "miss", at=1.01)
    bench.call(ObjectsPurged(0, 0.0, ""), at=1.1)
    bench.end(1, "satisfied", took_s=7.9, at=8.9, copy=(-50.0, 10_000))
    bench.call(ObjectsPurged(5, 0.0, ""), at=9.0)  # purge of another group; the first purge is still known
    assert bench.trace.kept == set()
    bench.ask("k", remaining_s=8.1, at=9.1)
    bench.end(2, "miss", at=9.11)
    bench.end(2, "satisfied", took_s=0.3, at=9.5, copy=(9.2, 10_000))
    assert len(bench.trace.kept) == 1


def test_purge_after_the_object_state_was_evicted_applies_to_an_open_request():
    """The table evicts the object for lack of memory, but the open request still refers to its state."""
    bench = RouterHarness(request_classes=[request_class(timeout_s=8.1)], machine=Bounds(192, 256, 1e6, 1e7))
    bench.ask("k", remaining_s=8.1, at=1.0)
    bench.end(1, "miss", at=1.01)
    bench.router.objects.states.clear()
    bench.call(ObjectsPurged(0, 0.0, ""), at=1.1)
    bench.call(ObjectsPurged(5, 0.0, ""), at=8.8)
    bench.end(1, "satisfied", took_s=7.9, at=8.9, copy=(-50.0, 10_000))
    assert bench.trace.kept == set()
