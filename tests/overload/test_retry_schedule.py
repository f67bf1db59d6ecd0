"""Places in the plan of returns: spread by what can be taken, more utility first, newcomers before all, nobody forgotten."""

from hypothesis import given
from hypothesis import strategies as st

from brookhinge.overload.retry_schedule import EARLY_S, LATE_S, MAX_UTILIZATION, SLOT_S, RetrySchedule


def steady(able):
    """What is free for returns where no newcomer comes."""
    return lambda at: able / MAX_UTILIZATION


def test_returns_are_spread_over_what_can_be_taken():
    plan = RetrySchedule(2.0)
    waits = [plan.reserve(10.0, n, "a", 0.1, 1.0, steady(2.0)) for n in range(30)]  # two a slot
    print([round(w, 2) for w in waits[:8]])
    by_slot = {}
    for wait in waits:
        by_slot.setdefault(int((10.0 + wait) / SLOT_S + 1e-9), []).append(wait)
    assert max(len(row) for row in by_slot.values()) == 2 and len(by_slot) == 15 and len(set(waits)) == 30


def test_who_comes_early_is_told_the_same_place_and_who_comes_when_told_is_let_by():
    plan = RetrySchedule(2.0)
    wait = plan.reserve(10.0, "w", "a", 0.1, 1.0, steady(1.0))
    again, kept = plan.check_in(10.02, "w", "a")
    assert abs(again + 10.02 - wait - 10.0) < 1e-9 and not kept
    assert (
        abs(plan.reserve(10.03, "w", "a", 0.1, 1.0, steady(1.0)) + 10.03 - wait - 10.0) < 1e-9
    )  # no second place
    assert plan.check_in(10.0 + wait - EARLY_S / 2, "w", "a") == (0.0, True)
    assert plan.check_in(10.0 + wait, "w", "a") == (0.0, False)  # a place holds once
    assert sum(plan.reserved_work.values()) == 0.1
    wait = plan.reserve(20.0, "w", "a", 0.1, 1.0, steady(1.0))
    assert plan.check_in(20.0 + wait + LATE_S + 0.1, "w", "a") == (0.0, False)
    assert plan.counts == dict(given=2, kept=1, early=1, late=1, full=0, served=0)


def test_newcomers_keep_their_share_and_returns_keep_the_least():
    plan, now = RetrySchedule(2.0), 10.0
    for n in range(200):  # newcomers bring 0.9 of what can be taken
        now += 0.01
        plan.record_new_request(now, 0.009 * 2.0)
    assert 1.5 < plan.new_work_rate() < 2.0
    waits = [plan.reserve(now, n, "a", 0.1, 1.0, steady(2.0)) for n in range(10)]
    assert max(waits) > 1.0  # a fifth of the room: one every other slot, or so
    plan.new_work = 1e9
    assert plan.reserve(now, "x", "a", 0.1, 1.0, steady(2.0)) <= 2.0


def test_a_track_of_less_utility_leaves_room_for_one_of_more():
    plan = RetrySchedule(2.0)
    low = [plan.reserve(10.0, n, "low", 0.1, 0.5, steady(4.0)) for n in range(20)]
    high = [plan.reserve(10.0, n, "high", 0.1, 1.0, steady(4.0)) for n in range(10)]
    assert max(high) < max(low) and min(high) < 0.35


def test_slots_that_have_less_than_one_return_needs_lend_to_the_next_and_none_is_promised_without_servers():
    plan = RetrySchedule(2.0)
    waits = [plan.reserve(10.0, n, "a", 0.1, 1.0, steady(0.3)) for n in range(5)]
    assert len(plan.reservations) == 5 and min(b - a for a, b in zip(waits, waits[1:])) > 0.25
    plan = RetrySchedule(2.0)
    assert (
        all(0.9 < plan.reserve(10.0, n, "a", 0.1, 1.0, steady(0.0)) <= 2.0 for n in range(50))
        and not plan.reservations
    )


def test_nothing_is_promised_where_no_hints_are_taken_and_a_full_plan_still_tells_a_time():
    assert RetrySchedule(0.0).reserve(1.0, "w", "a", 0.1, 1.0, steady(1.0)) == 0.0
    assert RetrySchedule(0.0).check_in(1.0, "w", "a") == (0.0, False)
    plan = RetrySchedule(1.0)
    waits = [plan.reserve(5.0, n, "a", 0.1, 1.0, steady(1.0)) for n in range(200)]
    assert all(0.0 < wait <= 1.0 for wait in waits) and plan.counts["full"] > 150
    late = sorted(waits[20:])  # who finds no room is spread as well, and promised nothing
    assert (
        late[0] >= 0.5 and max(b - a for a, b in zip(late, late[1:])) < 0.02 and len(plan.reservations) < 20
    )


def test_cold_boxes_that_warm_up_draw_returns_to_later():
    plan = RetrySchedule(2.0)
    waits = [
        plan.reserve(10.0, n, "a", 0.1, 1.0, lambda at: (0.5 + 4.0 * (at - 10.0)) / MAX_UTILIZATION)
        for n in range(40)
    ]
    assert sum(wait < 0.5 for wait in waits) < 10 < 16 < sum(wait >= 1.0 for wait in waits)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["place", "arrive", "new", "step"]), st.integers(0, 5), st.floats(0.0, 0.7)
        ),
        max_size=80,
    )
)
def test_a_place_is_always_ahead_within_what_may_be_told_and_memory_ends_by_itself(steps):
    plan, now = RetrySchedule(1.5, max_reservations=4), 100.0
    for kind, who, by in steps:
        now += by if kind != "step" else -10.0 * by
        if kind == "place":
            assert 0.0 < plan.reserve(now, who, "a", 0.05, 1.0, steady(1.0)) <= 1.5 + 1e-6
        elif kind == "arrive":
            assert 0.0 <= plan.check_in(now, who, "a")[0] <= 1.5
        else:
            plan.record_new_request(now, 0.01)
        assert len(plan.reservations) <= 4
    plan.expire(now + 1000.0)
    assert not plan.reservations and not plan.due and not plan.reserved_work
