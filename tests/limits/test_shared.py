"""Quotas of a lessee, of a lessor, and in the budgets of the decisions."""

from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.decisions.settings import SlowStart
from brookhinge.limits.lease_terms import (
    GRANT_TERM_S,
    LEASE_TERM_S,
    MIN_KEPT_FRACTION,
    NO_QUOTA_S,
    REPORT_INTERVAL_S,
    START_S,
)
from brookhinge.limits.lessee import Lessee
from brookhinge.limits.lessor import Lessor, max_min_fair
from brookhinge.limits.records import Demand
from brookhinge.limits.shared import SharedConcurrencyLimiter, SharedSlowStartBudget

LIMIT = ("cache", "s-1", 5)
SLOW_START = SlowStart(0.3, 20.0, 3.0, 1.0)


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.integers(1, 9), st.floats(0.0, 1.0), max_size=9), st.floats(0.0, 1.0))
def test_max_min_fair_amounts_are_fair_and_within_the_pool(needs, pool):
    amounts = max_min_fair(needs, pool)
    assert sum(amounts.values()) <= pool + 1e-9
    assert all(amounts[lessee] <= need + 1e-12 for lessee, need in needs.items())
    short = [lessee for lessee, need in needs.items() if amounts[lessee] < need - 1e-9]
    assert all(amounts[lessee] >= amounts[other] - 1e-9 for lessee in short for other in needs)


def test_new_process_uses_no_quota_then_the_kept_fraction_then_its_own_quota():
    lessee = Lessee(100.0)
    assert [round(lessee.quota(LIMIT, 0.25, 100.0 + age), 3) for age in (0.0, NO_QUOTA_S, START_S)] == [
        0.0,
        MIN_KEPT_FRACTION * 0.25,
        0.25,
    ]
    assert Lessee(100.0, is_sole_router=True).quota(LIMIT, 1.0, 100.0) == 1.0


def test_grant_takes_effect_with_the_request_and_expires():
    lessee = Lessee(-START_S)
    _, rows = lessee.make_request(0.0, 7, {LIMIT: Demand(0.25, 0.0)}, {LIMIT})
    assert rows == [(LIMIT, 0.0, 0.25 * (1 - MIN_KEPT_FRACTION))]
    assert [lessee.quota(LIMIT, 0.25, at) for at in (0.0, GRANT_TERM_S - 0.01, GRANT_TERM_S)] == [
        0.25 * MIN_KEPT_FRACTION,
        0.25 * MIN_KEPT_FRACTION,
        0.25,
    ]


def test_lease_term_starts_at_the_request():
    lessee = Lessee(-START_S)
    number, _ = lessee.make_request(10.0, 7, {LIMIT: Demand(0.25, 0.5)}, {})
    lessee.receive_offer(11.0, 7, 1, number, [(LIMIT, 0.3)])
    assert [
        round(lessee.quota(LIMIT, 0.25, at), 3)
        for at in (11.0, 10.0 + LEASE_TERM_S - 0.01, 10.0 + LEASE_TERM_S)
    ] == [
        0.55,
        0.55,
        0.25,
    ]
    lessee.receive_offer(12.0, 7, 2, number, [(LIMIT, 0.3)])  # arrives after the end of its term
    assert lessee.quota(LIMIT, 0.25, 12.0) == 0.25
    lessee.receive_offer(12.0, 8, 1, number, [(LIMIT, 0.3)])  # from a lessor that got no request
    assert lessee.quota(LIMIT, 0.25, 12.0) == 0.25


def test_new_lessor_leases_only_what_was_granted_to_it():
    lessor = Lessor()
    lessor.receive_request(0.0, 1, 1, 0, [(LIMIT, 0.5, 0.0)])
    assert lessor.issue_leases(0.0) == {}
    # The age of a grant that acknowledges no offer of this lessor is unknown.
    lessor.receive_request(0.1, 2, 1, 0, [(LIMIT, 0.0, 0.2)])
    assert lessor.issue_leases(0.2) == {}
    number, _ = lessor.next_offer(0.2, 2)
    lessor.receive_request(0.3, 2, 2, number, [(LIMIT, 0.0, 0.2)])
    assert {lessee: round(amount, 3) for lessee, amount in lessor.issue_leases(0.4)[LIMIT].items()} == {
        1: 0.2
    }


def test_grants_that_no_lessee_needs_are_divided_evenly():
    lessor = Lessor()
    for lessee, need, grant in ((1, 0.05, 0.0), (2, 0.0, 0.2)):
        number, _ = lessor.next_offer(0.0, lessee)
        lessor.receive_request(0.0, lessee, 1, number, [(LIMIT, need, grant)])
    assert {
        lessee: round(amount, 3) for lessee, amount in lessor.issue_leases(REPORT_INTERVAL_S)[LIMIT].items()
    } == {
        1: 0.125,
        2: 0.075,
    }


def test_credit_is_earned_at_the_quota_in_force_at_the_time():
    """A lease that is received after seconds without a request must not apply to those seconds."""
    budget = SharedSlowStartBudget(SLOW_START, 8)
    budget.own_share = 1.0
    budget.credited_at[0], budget.credit[0] = 0.0, 0.0
    rate = budget.fleet_rate(2.0, 0.0, 4.0, 0.1)
    budget.settle(0, now=2.0, started_at=0.0, warm_capacity=4.0, largest_s=0.1)
    budget.quotas[0] = 0.0, 0.75
    assert round(budget.credit[0] / rate, 6) == 2.0 / 8
    budget.settle(0, now=3.0, started_at=0.0, warm_capacity=4.0, largest_s=0.1)
    assert round(budget.credit[0] - rate / 4, 3) == round(0.75 * budget.fleet_rate(3.0, 0.0, 4.0, 0.1), 3)


def test_quota_applies_to_one_start_of_a_server():
    budget = SharedSlowStartBudget(SLOW_START, 8)
    budget.own_share, budget.quotas[0] = 1.0, (5.0, 0.9)
    assert [budget.share(0, 5.0), budget.share(0, 6.0), budget.share(1, 5.0)] == [0.9, 1 / 8, 1 / 8]


def test_concurrency_limit_follows_the_quota():
    limiter = SharedConcurrencyLimiter(8)
    limiter.own_share, limiter.quotas[0] = 1.0, (None, 0.8)
    limiter.limit = {0: 200.0, 1: 200.0}
    assert [sum(limiter.has_capacity(server, n, 1.0, 10.0) for n in range(40)) for server in (0, 1)] == [
        22,
        9,
    ]
