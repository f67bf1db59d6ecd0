"""Places in the plan of returns: spread by what can be taken, more utility first, newcomers before all, nobody forgotten."""

from hypothesis import given
from hypothesis import strategies as st

from brookhinge.storm.plan import EARLY_S, LATE_S, SLOT_S, USED, Returns


def steady(able):
    """What is free for returns where no newcomer comes."""
    return lambda at: able / USED


def test_returns_are_spread_over_what_can_be_taken():
    plan = Returns(2.0)
    waits = [plan.place(10.0, n, "a", 0.1, 1.0, steady(2.0)) for n in range(30)]  # two a slot
    print([round(w, 2) for w in waits[:8]])
    by_slot = {}
    for wait in waits:
        by_slot.setdefault(int((10.0 + wait) / SLOT_S + 1e-9), []).append(wait)
    assert max(len(row) for row in by_slot.values()) == 2 and len(by_slot) == 15 and len(set(waits)) == 30


def test_who_comes_early_is_told_the_same_place_and_who_comes_when_told_is_let_by():
    plan = Returns(2.0)
    wait = plan.place(10.0, "w", "a", 0.1, 1.0, steady(1.0))
    again, kept = plan.arrives(10.02, "w", "a")
    assert abs(again + 10.02 - wait - 10.0) < 1e-9 and not kept
    assert (
        abs(plan.place(10.03, "w", "a", 0.1, 1.0, steady(1.0)) + 10.03 - wait - 10.0) < 1e-9
    )  # no second place
    assert plan.arrives(10.0 + wait - EARLY_S / 2, "w", "a") == (0.0, True)
    assert plan.arrives(10.0 + wait, "w", "a") == (0.0, False)  # a place holds once
    assert sum(plan.slots.values()) == 0.1
    wait = plan.place(20.0, "w", "a", 0.1, 1.0, steady(1.0))
    assert plan.arrives(20.0 + wait + LATE_S + 0.1, "w", "a") == (0.0, False)
    assert plan.counts == dict(given=2, kept=1, early=1, late=1, full=0, served=0)


def test_newcomers_keep_their_share_and_returns_keep_the_least():
    plan, now = Returns(2.0), 10.0
    for n in range(200):  # newcomers bring 0.9 of what can be taken
        now += 0.01
        plan.newcomer(now, 0.009 * 2.0)
    assert 1.5 < plan.pace() < 2.0
    waits = [plan.place(now, n, "a", 0.1, 1.0, steady(2.0)) for n in range(10)]
    assert max(waits) > 1.0  # a fifth of the room: one every other slot, or so
    plan.newcomers = 1e9
    assert plan.place(now, "x", "a", 0.1, 1.0, steady(2.0)) <= 2.0


def test_a_track_of_less_utility_leaves_room_for_one_of_more():
    plan = Returns(2.0)
    low = [plan.place(10.0, n, "low", 0.1, 0.5, steady(4.0)) for n in range(20)]
    high = [plan.place(10.0, n, "high", 0.1, 1.0, steady(4.0)) for n in range(10)]
    assert max(high) < max(low) and min(high) < 0.35


def test_slots_that_have_less_than_one_return_needs_lend_to_the_next_and_none_is_promised_without_servers():
    plan = Returns(2.0)
    waits = [plan.place(10.0, n, "a", 0.1, 1.0, steady(0.3)) for n in range(5)]
    assert len(plan.places) == 5 and min(b - a for a, b in zip(waits, waits[1:])) > 0.25
    plan = Returns(2.0)
    assert (
        all(0.9 < plan.place(10.0, n, "a", 0.1, 1.0, steady(0.0)) <= 2.0 for n in range(50))
        and not plan.places
    )


def test_nothing_is_promised_where_no_hints_are_taken_and_a_full_plan_still_tells_a_time():
    assert Returns(0.0).place(1.0, "w", "a", 0.1, 1.0, steady(1.0)) == 0.0
    assert Returns(0.0).arrives(1.0, "w", "a") == (0.0, False)
    plan = Returns(1.0)
    waits = [plan.place(5.0, n, "a", 0.1, 1.0, steady(1.0)) for n in range(200)]
    assert all(0.0 < wait <= 1.0 for wait in waits) and plan.counts["full"] > 150
    late = sorted(waits[20:])  # who finds no room is spread as well, and promised nothing
    assert late[0] >= 0.5 and max(b - a for a, b in zip(late, late[1:])) < 0.02 and len(plan.places) < 20


def test_cold_boxes_that_warm_up_draw_returns_to_later():
    plan = Returns(2.0)
    waits = [
        plan.place(10.0, n, "a", 0.1, 1.0, lambda at: (0.5 + 4.0 * (at - 10.0)) / USED) for n in range(40)
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
    plan, now = Returns(1.5, most=4), 100.0
    for kind, who, by in steps:
        now += by if kind != "step" else -10.0 * by
        if kind == "place":
            assert 0.0 < plan.place(now, who, "a", 0.05, 1.0, steady(1.0)) <= 1.5 + 1e-6
        elif kind == "arrive":
            assert 0.0 <= plan.arrives(now, who, "a")[0] <= 1.5
        else:
            plan.newcomer(now, 0.01)
        assert len(plan.places) <= 4
    plan.settle(now + 1000.0)
    assert not plan.places and not plan.due and not plan.slots
