"""Retry reservations follow the capacity of the servers, give priority to new requests and to classes of higher utility,
and expire."""

from hypothesis import given
from hypothesis import strategies as st

from brookhinge.overload.retry_schedule import (
    EARLY_TOLERANCE_S,
    LATE_TOLERANCE_S,
    MAX_UTILIZATION,
    SLOT_S,
    RetrySchedule,
)


def constant_capacity(retry_capacity):
    """Returns a constant capacity that leaves `retry_capacity` for retries when there are no new requests."""
    return lambda at: retry_capacity / MAX_UTILIZATION


def test_retries_are_spread_over_slots_by_capacity():
    schedule = RetrySchedule(2.0)
    waits = [
        schedule.reserve(10.0, n, "a", 0.1, 1.0, constant_capacity(2.0)) for n in range(30)
    ]  # two per slot
    print([round(w, 2) for w in waits[:8]])
    waits_by_slot = {}
    for wait in waits:
        waits_by_slot.setdefault(int((10.0 + wait) / SLOT_S + 1e-9), []).append(wait)
    assert (
        max(len(row) for row in waits_by_slot.values()) == 2
        and len(waits_by_slot) == 15
        and len(set(waits)) == 30
    )


def test_early_retry_gets_the_same_time_and_retry_on_time_proceeds():
    schedule = RetrySchedule(2.0)
    wait = schedule.reserve(10.0, "w", "a", 0.1, 1.0, constant_capacity(1.0))
    remaining_s, is_on_time = schedule.check_in(10.02, "w", "a")
    assert abs(remaining_s + 10.02 - wait - 10.0) < 1e-9 and not is_on_time
    assert (
        abs(schedule.reserve(10.03, "w", "a", 0.1, 1.0, constant_capacity(1.0)) + 10.03 - wait - 10.0) < 1e-9
    )  # no second reservation
    assert schedule.check_in(10.0 + wait - EARLY_TOLERANCE_S / 2, "w", "a") == (0.0, True)
    assert schedule.check_in(10.0 + wait, "w", "a") == (0.0, False)  # a reservation is used up once
    assert sum(schedule.reserved_work.values()) == 0.1
    wait = schedule.reserve(20.0, "w", "a", 0.1, 1.0, constant_capacity(1.0))
    assert schedule.check_in(20.0 + wait + LATE_TOLERANCE_S + 0.1, "w", "a") == (0.0, False)
    assert schedule.counts == dict(given=2, kept=1, early=1, late=1, full=0, served=0)


def test_new_requests_take_their_share_and_retries_keep_a_minimum():
    schedule, now = RetrySchedule(2.0), 10.0
    for n in range(200):  # new requests need 0.9 of the capacity for retries
        now += 0.01
        schedule.record_new_request(now, 0.009 * 2.0)
    assert 1.5 < schedule.new_work_rate() < 2.0
    waits = [schedule.reserve(now, n, "a", 0.1, 1.0, constant_capacity(2.0)) for n in range(10)]
    assert max(waits) > 1.0  # a fifth of the capacity: about one every other slot
    schedule.new_work = 1e9
    assert schedule.reserve(now, "x", "a", 0.1, 1.0, constant_capacity(2.0)) <= 2.0


def test_low_utility_class_leaves_capacity_for_high_utility_class():
    schedule = RetrySchedule(2.0)
    low = [schedule.reserve(10.0, n, "low", 0.1, 0.5, constant_capacity(4.0)) for n in range(20)]
    high = [schedule.reserve(10.0, n, "high", 0.1, 1.0, constant_capacity(4.0)) for n in range(10)]
    assert max(high) < max(low) and min(high) < 0.35


def test_small_slots_carry_capacity_over_and_nothing_is_reserved_without_servers():
    schedule = RetrySchedule(2.0)
    waits = [schedule.reserve(10.0, n, "a", 0.1, 1.0, constant_capacity(0.3)) for n in range(5)]
    assert len(schedule.reservations) == 5 and min(b - a for a, b in zip(waits, waits[1:])) > 0.25
    schedule = RetrySchedule(2.0)
    assert (
        all(0.9 < schedule.reserve(10.0, n, "a", 0.1, 1.0, constant_capacity(0.0)) <= 2.0 for n in range(50))
        and not schedule.reservations
    )


def test_no_delay_without_retry_times_and_unreserved_delay_when_full():
    assert RetrySchedule(0.0).reserve(1.0, "w", "a", 0.1, 1.0, constant_capacity(1.0)) == 0.0
    assert RetrySchedule(0.0).check_in(1.0, "w", "a") == (0.0, False)
    schedule = RetrySchedule(1.0)
    waits = [schedule.reserve(5.0, n, "a", 0.1, 1.0, constant_capacity(1.0)) for n in range(200)]
    assert all(0.0 < wait <= 1.0 for wait in waits) and schedule.counts["full"] > 150
    late = sorted(waits[20:])  # delays given without a reservation are spread as well
    assert (
        late[0] >= 0.5
        and max(b - a for a, b in zip(late, late[1:])) < 0.02
        and len(schedule.reservations) < 20
    )


def test_retries_move_to_later_slots_while_cold_servers_warm_up():
    schedule = RetrySchedule(2.0)
    waits = [
        schedule.reserve(10.0, n, "a", 0.1, 1.0, lambda at: (0.5 + 4.0 * (at - 10.0)) / MAX_UTILIZATION)
        for n in range(40)
    ]
    assert sum(wait < 0.5 for wait in waits) < 10 < 16 < sum(wait >= 1.0 for wait in waits)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["reserve", "check_in", "new", "step"]), st.integers(0, 5), st.floats(0.0, 0.7)
        ),
        max_size=80,
    )
)
def test_delays_stay_within_the_maximum_and_all_state_expires(steps):
    schedule, now = RetrySchedule(1.5, max_reservations=4), 100.0
    for kind, client, elapsed_s in steps:
        now += elapsed_s if kind != "step" else -10.0 * elapsed_s
        if kind == "reserve":
            assert 0.0 < schedule.reserve(now, client, "a", 0.05, 1.0, constant_capacity(1.0)) <= 1.5 + 1e-6
        elif kind == "check_in":
            assert 0.0 <= schedule.check_in(now, client, "a")[0] <= 1.5
        else:
            schedule.record_new_request(now, 0.01)
        assert len(schedule.reservations) <= 4
    schedule.expire(now + 1000.0)
    assert not schedule.reservations and not schedule.expiry_queue and not schedule.reserved_work
