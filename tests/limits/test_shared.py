"""Quotas of limits in the decisions, of a lessee and of a lessor: short traces."""

from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.decisions.settings import SlowStart
from brookhinge.limits.lease_terms import (
    GRANT_TERM_S,
    LEASE_TERM_S,
    MIN_KEPT_FRACTION,
    REPORT_INTERVAL_S,
    SILENT_S,
    START_S,
)
from brookhinge.limits.lessee import Lessee
from brookhinge.limits.lessor import Lessor, max_min_fair
from brookhinge.limits.records import Demand
from brookhinge.limits.shared import SharedConcurrencyLimiter, SharedSlowStartBudget

LIMIT = ("cache", "s-1", 5)
START_OF = SlowStart(0.3, 20.0, 3.0, 1.0)


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.integers(1, 9), st.floats(0.0, 1.0), max_size=9), st.floats(0.0, 1.0))
def test_max_min_fair_amounts_are_fair_and_never_over_the_pool(needs, pool):
    out = max_min_fair(needs, pool)
    assert sum(out.values()) <= pool + 1e-9
    assert all(out[lessee] <= need + 1e-12 for lessee, need in needs.items())
    short = [lessee for lessee, need in needs.items() if out[lessee] < need - 1e-9]
    assert all(out[one] >= out[other] - 1e-9 for one in short for other in needs)


def test_a_process_that_starts_uses_nothing_then_the_least_then_its_own_quota():
    lessee = Lessee(100.0)
    assert [round(lessee.quota(LIMIT, 0.25, 100.0 + age), 3) for age in (0.0, SILENT_S, START_S)] == [
        0.0,
        MIN_KEPT_FRACTION * 0.25,
        0.25,
    ]
    assert Lessee(100.0, alone=True).quota(LIMIT, 1.0, 100.0) == 1.0


def test_a_grant_binds_from_the_request_on_and_ends_by_itself():
    lessee = Lessee(-START_S)
    _, rows = lessee.make_request(0.0, 7, {LIMIT: Demand(0.25, 0.0)}, {LIMIT})
    assert rows == [(LIMIT, 0.0, 0.25 * (1 - MIN_KEPT_FRACTION))]
    assert [lessee.quota(LIMIT, 0.25, at) for at in (0.0, GRANT_TERM_S - 0.01, GRANT_TERM_S)] == [
        0.25 * MIN_KEPT_FRACTION,
        0.25 * MIN_KEPT_FRACTION,
        0.25,
    ]


def test_a_lease_counts_from_the_request():
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
    lessee.receive_offer(12.0, 7, 2, number, [(LIMIT, 0.3)])  # late by more than its term
    assert lessee.quota(LIMIT, 0.25, 12.0) == 0.25
    lessee.receive_offer(12.0, 8, 1, number, [(LIMIT, 0.3)])  # by one that was never asked
    assert lessee.quota(LIMIT, 0.25, 12.0) == 0.25


def test_a_lessor_that_has_just_come_leases_nothing_that_was_not_granted_to_it():
    lessor = Lessor()
    lessor.receive_request(0.0, 1, 1, 0, [(LIMIT, 0.5, 0.0)])
    assert lessor.issue_leases(0.0) == {}
    lessor.receive_request(
        0.1, 2, 1, 0, [(LIMIT, 0.0, 0.2)]
    )  # a grant that answers no offer of this lessor has no age
    assert lessor.issue_leases(0.2) == {}
    number, _ = lessor.next_offer(0.2, 2)
    lessor.receive_request(0.3, 2, 2, number, [(LIMIT, 0.0, 0.2)])
    assert {lessee: round(amount, 3) for lessee, amount in lessor.issue_leases(0.4)[LIMIT].items()} == {
        1: 0.2
    }


def test_what_nobody_lacks_goes_back_to_all():
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


def test_saved_at_the_part_that_held_while_it_was_saved():
    """A lease that comes after seconds without a query must not count for those seconds too."""
    budget = SharedSlowStartBudget(START_OF, 8)
    budget.own_share = 1.0
    budget.credited_at[0], budget.credit[0] = 0.0, 0.0
    rate = budget.fleet_rate(2.0, 0.0, 4.0, 0.1)
    budget.settle(0, now=2.0, started_at=0.0, warm_capacity=4.0, largest_s=0.1)
    budget.quotas[0] = 0.0, 0.75
    assert round(budget.credit[0] / rate, 6) == 2.0 / 8
    budget.settle(0, now=3.0, started_at=0.0, warm_capacity=4.0, largest_s=0.1)
    assert round(budget.credit[0] - rate / 4, 3) == round(0.75 * budget.fleet_rate(3.0, 0.0, 4.0, 0.1), 3)


def test_a_part_belongs_to_one_start_of_a_server():
    budget = SharedSlowStartBudget(START_OF, 8)
    budget.own_share, budget.quotas[0] = 1.0, (5.0, 0.9)
    assert [budget.share(0, 5.0), budget.share(0, 6.0), budget.share(1, 5.0)] == [0.9, 1 / 8, 1 / 8]


def test_room_in_flight_follows_the_part():
    crowding = SharedConcurrencyLimiter(8)
    crowding.own_share, crowding.quotas[0] = 1.0, (None, 0.8)
    crowding.limit = {0: 200.0, 1: 200.0}
    assert [sum(crowding.has_capacity(c, n, 1.0, 10.0) for n in range(40)) for c in (0, 1)] == [22, 9]
