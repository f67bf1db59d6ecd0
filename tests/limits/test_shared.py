"""Parts of limits in the decisions, and a keeper's ways: short traces."""

from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.decisions.settings import SlowStart
from brookhinge.limits.holder import Holder
from brookhinge.limits.keeper import Keeper, filled
from brookhinge.limits.shared import SharedConcurrencyLimiter, SharedSlowStartBudget
from brookhinge.limits.terms import BEAT, LEAST, LEND, SILENT, START, TERM

LIMIT = ("cache", "s-1", 5)
START_OF = SlowStart(0.3, 20.0, 3.0, 1.0)


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(st.integers(1, 9), st.floats(0.0, 1.0), max_size=9), st.floats(0.0, 1.0))
def test_filling_is_fair_and_never_over_the_pool(needs, pool):
    out = filled(needs, pool)
    assert sum(out.values()) <= pool + 1e-9
    assert all(out[holder] <= need + 1e-12 for holder, need in needs.items())
    short = [holder for holder, need in needs.items() if out[holder] < need - 1e-9]
    assert all(out[one] >= out[other] - 1e-9 for one in short for other in needs)


def test_a_process_that_starts_uses_nothing_then_the_least_then_its_own():
    holder = Holder(100.0)
    assert [round(holder.part(LIMIT, 0.25, 100.0 + age), 3) for age in (0.0, SILENT, START)] == [
        0.0,
        LEAST * 0.25,
        0.25,
    ]
    assert Holder(100.0, alone=True).part(LIMIT, 1.0, 100.0) == 1.0


def test_a_gift_binds_from_the_word_on_and_ends_by_itself():
    holder = Holder(-START)
    _, rows = holder.word(0.0, 7, {LIMIT: (0.25, 0.0)}, {LIMIT})
    assert rows == [(LIMIT, 0.0, 0.25 * (1 - LEAST))]
    assert [holder.part(LIMIT, 0.25, at) for at in (0.0, TERM - 0.01, TERM)] == [
        0.25 * LEAST,
        0.25 * LEAST,
        0.25,
    ]


def test_a_loan_counts_from_the_asking():
    holder = Holder(-START)
    number, _ = holder.word(10.0, 7, {LIMIT: (0.25, 0.5)}, {})
    holder.granted(11.0, 7, 1, number, [(LIMIT, 0.3)])
    assert [round(holder.part(LIMIT, 0.25, at), 3) for at in (11.0, 10.0 + LEND - 0.01, 10.0 + LEND)] == [
        0.55,
        0.55,
        0.25,
    ]
    holder.granted(12.0, 7, 2, number, [(LIMIT, 0.3)])  # late by more than its life
    assert holder.part(LIMIT, 0.25, 12.0) == 0.25
    holder.granted(12.0, 8, 1, number, [(LIMIT, 0.3)])  # by one that was never asked
    assert holder.part(LIMIT, 0.25, 12.0) == 0.25


def test_a_keeper_that_has_just_come_lends_nothing_that_was_not_given_to_it():
    keeper = Keeper()
    keeper.hear(0.0, 1, 1, 0, [(LIMIT, 0.5, 0.0)])
    assert keeper.lend(0.0) == {}
    keeper.hear(0.1, 2, 1, 0, [(LIMIT, 0.0, 0.2)])  # a gift that answers no word of this keeper has no age
    assert keeper.lend(0.2) == {}
    number, _ = keeper.number(0.2, 2)
    keeper.hear(0.3, 2, 2, number, [(LIMIT, 0.0, 0.2)])
    assert {holder: round(part, 3) for holder, part in keeper.lend(0.4)[LIMIT].items()} == {1: 0.2}


def test_what_nobody_lacks_goes_back_to_all():
    keeper = Keeper()
    for holder, need, gift in ((1, 0.05, 0.0), (2, 0.0, 0.2)):
        number, _ = keeper.number(0.0, holder)
        keeper.hear(0.0, holder, 1, number, [(LIMIT, need, gift)])
    assert {holder: round(part, 3) for holder, part in keeper.lend(BEAT)[LIMIT].items()} == {
        1: 0.125,
        2: 0.075,
    }


def test_saved_at_the_part_that_held_while_it_was_saved():
    """A loan that comes after seconds without a query must not count for those seconds too."""
    budget = SharedSlowStartBudget(START_OF, 8)
    budget.own_share = 1.0
    budget.credited_at[0], budget.credit[0] = 0.0, 0.0
    rate = budget.fleet_rate(2.0, 0.0, 4.0, 0.1)
    budget.settle(0, now=2.0, started_at=0.0, power=4.0, largest_s=0.1)
    budget.quotas[0] = 0.0, 0.75
    assert round(budget.credit[0] / rate, 6) == 2.0 / 8
    budget.settle(0, now=3.0, started_at=0.0, power=4.0, largest_s=0.1)
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
