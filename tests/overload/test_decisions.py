"""What the decisions make of retries and promised places: new queries first on a cold fleet, promises kept within its
budget, and nobody shut out for good."""

from helpers import CACHES, RouterHarness

from brookhinge.decisions.messages import EndpointsListed, RequestArrived
from brookhinge.overload.retry_schedule import RetrySchedule


def bench(**other):
    b = RouterHarness(routers=2, **other)
    b.router.retry_schedule = RetrySchedule(2.0)
    return b


def ask(b, key="a", part=0, since=0.0, who=None, at=None):
    b.last_request_id += 1
    return b.call(RequestArrived(b.last_request_id, 0, key, part, 0, 100.0, False, 3.0, since, who), at=at)


def test_a_retry_counts_under_its_first_try():
    b = bench()
    ask(b)
    saved = b.router.retry_budget.tokens
    for _ in range(5):
        ask(b, since=0.4)
    doc = b.router.objects.states["a", 0]
    assert (
        doc.count == doc.requests == b.router.requests_counted == 1 and b.router.retry_budget.tokens <= saved
    )


def test_who_comes_early_is_told_the_same_place_and_nothing_is_sent():
    b = bench()
    b.now = 10.0
    wait = b.router.retry_schedule.reserve(10.0, "w", (0, "a", 0), 0.1, 1.0, lambda at: 1.0)
    assert ask(b, since=0.2, who="w", at=10.01) == ["q1 nack"] and not b.router.requests
    assert ask(b, since=0.2, who="v", at=10.02)[0].startswith("q2 push")  # somebody else is free to ask
    assert ask(b, since=0.2, who="w", at=10.0 + wait)[0].startswith("q3 push")
    assert b.router.requests[3].is_scheduled


def sent(kinds, seconds=2.0, rate=100):
    """How many of each kind, (since, whether told to come), were sent to a fleet that started cold, turn about."""
    b, counts = bench(), [0] * len(kinds)
    b.call(EndpointsListed(False, [b.row(c, born=0.0) for c in CACHES]), at=0.0)
    for n in range(int(seconds * rate)):
        now, kind = 0.1 + n / rate, n % len(kinds)
        since, told = kinds[kind]
        if told:
            b.router.retry_schedule.reservations[n, (0, f"o{n}", 0)] = now
        lines = ask(b, f"o{n}", since=since, who=n if told else None, at=now)
        counts[kind] += any(" push " in line for line in lines)
        if b.last_request_id in b.router.requests:
            b.end(b.last_request_id, "satisfied", at=now + 0.004)
    return counts


def test_new_queries_go_before_late_retries_on_a_cold_fleet():
    fresh, late = sent([(0.0, False), (5.0, False)])
    soon, again = sent([(0.0, False), (0.05, False)])
    print(fresh, late, soon, again)
    assert late < 0.35 * fresh and again > 0.7 * soon


def test_late_retries_have_what_nobody_else_needs():
    (late,) = sent([(5.0, False)], seconds=6.0, rate=20)
    assert late > 10


def test_who_was_told_to_come_is_served_and_borrows_no_more_than_its_bound():
    fresh, told = sent([(0.0, False), (5.0, True)])
    (only_told,) = sent([(5.0, True)], rate=400)
    (only_fresh,) = sent([(0.0, False)], rate=400)
    print(fresh, told, only_told, only_fresh)
    # in 2 s a window of 1 s more, one query of each of three caches, and chance
    assert told > fresh > 0.2 * only_fresh and only_told < 1.7 * only_fresh
