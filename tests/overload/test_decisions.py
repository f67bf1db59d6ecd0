"""How the router treats clients' retries and reserved retry times.

On a cold fleet new requests are served first, reservations are kept within the slow-start budget, and no client is
rejected forever.
"""

from helpers import CACHES, RouterHarness

from brookhinge.decisions.messages import EndpointsListed, RequestArrived
from brookhinge.overload.retry_schedule import RetrySchedule


def create_bench(**other):
    bench = RouterHarness(routers=2, **other)
    bench.router.retry_schedule = RetrySchedule(2.0)
    return bench


def ask(bench, key="a", part=0, retry_age_s=0.0, retry_client=None, at=None):
    bench.last_request_id += 1
    return bench.call(
        RequestArrived(bench.last_request_id, 0, key, part, 0, 100.0, False, 3.0, retry_age_s, retry_client),
        at=at,
    )


def test_clients_retries_are_counted_with_their_first_try():
    bench = create_bench()
    ask(bench)
    tokens_before = bench.router.retry_budget.tokens
    for _ in range(5):
        ask(bench, retry_age_s=0.4)
    state = bench.router.objects.states["a", 0]
    assert (
        state.count == state.requests == bench.router.requests_counted == 1
        and bench.router.retry_budget.tokens <= tokens_before
    )


def test_early_retry_is_rejected_until_its_reserved_time():
    bench = create_bench()
    bench.now = 10.0
    wait_s = bench.router.retry_schedule.reserve(10.0, "w", (0, "a", 0), 0.1, 1.0, lambda at: 1.0)
    assert (
        ask(bench, retry_age_s=0.2, retry_client="w", at=10.01) == ["q1 nack"] and not bench.router.requests
    )
    # another client, without a reservation, may retry at any time
    assert ask(bench, retry_age_s=0.2, retry_client="v", at=10.02)[0].startswith("q2 push")
    assert ask(bench, retry_age_s=0.2, retry_client="w", at=10.0 + wait_s)[0].startswith("q3 push")
    assert bench.router.requests[3].is_scheduled


def count_sent(kinds, duration_s=2.0, requests_per_s=100):
    """Count how many requests of each kind are sent to caches that start cold; the kinds take turns.

    A kind is (age of the retry in seconds or 0 for a new request, whether it has a reserved retry time).
    """
    bench, counts = create_bench(), [0] * len(kinds)
    bench.call(EndpointsListed(False, [bench.row(cache, born=0.0) for cache in CACHES]), at=0.0)
    for n in range(int(duration_s * requests_per_s)):
        now, kind = 0.1 + n / requests_per_s, n % len(kinds)
        retry_age_s, is_reserved = kinds[kind]
        if is_reserved:
            bench.router.retry_schedule.reservations[n, (0, f"o{n}", 0)] = now
        lines = ask(bench, f"o{n}", retry_age_s=retry_age_s, retry_client=n if is_reserved else None, at=now)
        counts[kind] += any(" push " in line for line in lines)
        if bench.last_request_id in bench.router.requests:
            bench.end(bench.last_request_id, "satisfied", at=now + 0.004)
    return counts


def test_new_requests_go_before_late_retries_on_a_cold_fleet():
    new_with_late, late = count_sent([(0.0, False), (5.0, False)])
    new_with_prompt, prompt = count_sent([(0.0, False), (0.05, False)])
    print(new_with_late, late, new_with_prompt, prompt)
    assert late < 0.35 * new_with_late and prompt > 0.7 * new_with_prompt


def test_late_retries_are_served_when_nothing_else_needs_the_budget():
    (late,) = count_sent([(5.0, False)], duration_s=6.0, requests_per_s=20)
    assert late > 10


def test_reserved_retries_are_served_and_borrow_no_more_than_their_bound():
    new, reserved = count_sent([(0.0, False), (5.0, True)])
    (only_reserved,) = count_sent([(5.0, True)], requests_per_s=400)
    (only_new,) = count_sent([(0.0, False)], requests_per_s=400)
    print(new, reserved, only_reserved, only_new)
    # In 2 s the loan allows one more window of 1 s, plus one request at each of three caches, plus random variation.
    assert reserved > new > 0.2 * only_new and only_reserved < 1.7 * only_new
