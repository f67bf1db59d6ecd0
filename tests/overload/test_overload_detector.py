"""A storm is told from a busy hour and from one bad client; the door keeps the loop's time and the descriptors' share."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brookhinge.overload.connection_admission import (
    GUARANTEED_CONNECTIONS,
    MAX_ACCEPTS_PER_PASS,
    MIN_ACCEPTS_PER_PASS,
    ConnectionAdmission,
)
from brookhinge.overload.networks import Networks
from brookhinge.overload.overload_detector import OverloadDetector


def day(*hours, seed=1):
    """Plays hours of (seconds, connections a second, queries a second, share of returns, networks); the states seen, in
    order, with the second at which each began."""
    detector, chance, now, seen = OverloadDetector(), random.Random(seed), 0.0, []
    for seconds, connects, queries, returns, networks in hours:
        end, next_connect, next_query = now + seconds, now, now
        while now < end:
            now = min(next_connect, next_query)
            if next_connect <= next_query:
                detector.record_connection(now, f"n{chance.randrange(networks)}")
                next_connect += chance.expovariate(connects)
            else:
                detector.record_requests(now, 1, chance.random() < returns)
                next_query += chance.expovariate(queries)
            state = detector.update(now)
            if not seen or seen[-1][0] != state:
                seen.append((state, round(now)))
    return [state for state, at in seen if at > 10], seen


def test_a_storm_is_seen_within_seconds_and_ends():
    states, seen = day((60, 4, 100, 0.02, 200), (8, 80, 300, 0.7, 200), (30, 4, 100, 0.02, 200))
    assert states in (["storm", "calm"], ["storm", "busy", "calm"], ["busy", "storm", "calm"]), seen
    began = next(at for state, at in seen if state == "storm")
    assert 60 <= began <= 62 and seen[-1][0] == "calm" and seen[-1][1] <= 90


def test_a_busy_hour_is_no_storm():
    states, seen = day((60, 4, 100, 0.02, 200), (30, 9, 220, 0.03, 200), (20, 4, 100, 0.02, 200))
    assert "storm" not in states and "client" not in states and "busy" in states, seen


def test_one_bad_client_is_no_storm():
    states, seen = day((60, 4, 100, 0.02, 200), (20, 100, 200, 0.6, 1), (20, 4, 100, 0.02, 200))
    assert "client" in states and "storm" not in states, seen


def test_it_does_not_flap_in_a_storm():
    _, seen = day((60, 4, 100, 0.02, 200), (30, 60, 250, 0.5, 200))
    assert sum(state == "storm" for state, _ in seen) == 1, seen


def test_networks_are_bounded_whatever_comes():
    networks = Networks({"school": ["198.51.100.0/22", "2001:db8::/32"]}, max_networks=50)
    assert networks.network_of("198.51.103.9") == networks.network_of("2001:db8::7") == "school"
    one = {networks.network_of(f"10.1.{n >> 8}.{n & 255}") for n in range(10_000)}
    many = {networks.network_of(f"{n & 63 | 64}.{n >> 6 & 255}.1.{n & 255}") for n in range(10_000)}
    six = {networks.network_of(f"2001:dead:{n:x}::1") for n in range(10_000)}
    assert len(one) <= 60 and len(one | many | six) <= 110 and networks.learned <= 100
    assert networks.network_of("unix") == networks.network_of("") == ""
    with pytest.raises(ValueError, match="expected a prefix"):
        Networks({"x": ["300.1.1.1/8"]})


def test_signs_of_many_networks_are_bounded():
    detector = OverloadDetector(max_networks=100)
    for n in range(20_000):
        detector.record_connection(n * 0.001, f"n{n}")
    assert len(detector.networks) <= 100 and detector.effective_networks(20.0) > 10


def test_the_door_takes_fewer_the_more_the_loop_lags():
    admission = ConnectionAdmission(100)
    assert [admission.max_accepts(lag) for lag in (-1.0, 0.0, 0.02, 0.2, 9.0)] == [
        MAX_ACCEPTS_PER_PASS,
        MAX_ACCEPTS_PER_PASS,
        MAX_ACCEPTS_PER_PASS // 2,
        5,
        MIN_ACCEPTS_PER_PASS,
    ]


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 4)), max_size=300))
def test_the_door_counts_what_is_open_and_keeps_shares_where_it_is_scarce(steps):
    admission, open_ = ConnectionAdmission(40), []
    for comes, network in steps:
        if comes and len(open_) < 40:
            scarce = 40 - len(open_) < 10
            held = open_.count(network)
            if admission.admit(network):
                open_.append(network)
                assert not scarce or held < max(
                    GUARANTEED_CONNECTIONS, 40 / (len(set(open_) - {network}) + 1)
                )
            else:
                assert scarce and held >= GUARANTEED_CONNECTIONS
        elif open_:
            admission.release(open_.pop(network % len(open_)))
        assert admission.open == len(open_) and sum(admission.open_by_network.values()) == len(open_)
        assert all(admission.open_by_network[n] == open_.count(n) for n in set(open_)) and len(
            admission.open_by_network
        ) == len(set(open_))
