"""The overload detector tells storms, busy periods and single clients apart; connection admission limits accepts and
enforces network shares."""

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


def simulate_load(*phases, seed=1):
    """Simulates phases of (seconds, connections per second, requests per second, retry share, networks). Returns the states
    after the first 10 s in order, and all states with the second at which each began."""
    detector, rng, now, seen = OverloadDetector(), random.Random(seed), 0.0, []
    for seconds, connection_rate, request_rate, retry_share, networks in phases:
        end, next_connection, next_request = now + seconds, now, now
        while now < end:
            now = min(next_connection, next_request)
            if next_connection <= next_request:
                detector.record_connection(now, f"n{rng.randrange(networks)}")
                next_connection += rng.expovariate(connection_rate)
            else:
                detector.record_requests(now, 1, rng.random() < retry_share)
                next_request += rng.expovariate(request_rate)
            state = detector.update(now)
            if not seen or seen[-1][0] != state:
                seen.append((state, round(now)))
    return [state for state, at in seen if at > 10], seen


def test_storm_is_detected_within_two_seconds_and_ends():
    states, seen = simulate_load((60, 4, 100, 0.02, 200), (8, 80, 300, 0.7, 200), (30, 4, 100, 0.02, 200))
    assert states in (["storm", "calm"], ["storm", "busy", "calm"], ["busy", "storm", "calm"]), seen
    began = next(at for state, at in seen if state == "storm")
    assert 60 <= began <= 62 and seen[-1][0] == "calm" and seen[-1][1] <= 90


def test_busy_period_is_not_a_storm():
    states, seen = simulate_load((60, 4, 100, 0.02, 200), (30, 9, 220, 0.03, 200), (20, 4, 100, 0.02, 200))
    assert "storm" not in states and "client" not in states and "busy" in states, seen


def test_surge_from_one_network_is_a_client_not_a_storm():
    states, seen = simulate_load((60, 4, 100, 0.02, 200), (20, 100, 200, 0.6, 1), (20, 4, 100, 0.02, 200))
    assert "client" in states and "storm" not in states, seen


def test_storm_state_does_not_flap_during_a_storm():
    _, seen = simulate_load((60, 4, 100, 0.02, 200), (30, 60, 250, 0.5, 200))
    assert sum(state == "storm" for state, _ in seen) == 1, seen


def test_learned_networks_are_bounded_for_any_addresses():
    networks = Networks({"school": ["198.51.100.0/22", "2001:db8::/32"]}, max_networks=50)
    assert networks.network_of("198.51.103.9") == networks.network_of("2001:db8::7") == "school"
    from_one_v4_block = {networks.network_of(f"10.1.{n >> 8}.{n & 255}") for n in range(10_000)}
    from_many_v4_blocks = {
        networks.network_of(f"{n & 63 | 64}.{n >> 6 & 255}.1.{n & 255}") for n in range(10_000)
    }
    from_v6 = {networks.network_of(f"2001:dead:{n:x}::1") for n in range(10_000)}
    assert (
        len(from_one_v4_block) <= 60
        and len(from_one_v4_block | from_many_v4_blocks | from_v6) <= 110
        and networks.learned <= 100
    )
    assert networks.network_of("unix") == networks.network_of("") == ""
    with pytest.raises(ValueError, match="expected a prefix"):
        Networks({"x": ["300.1.1.1/8"]})


def test_counted_networks_are_bounded():
    detector = OverloadDetector(max_networks=100)
    for n in range(20_000):
        detector.record_connection(n * 0.001, f"n{n}")
    assert len(detector.networks) <= 100 and detector.effective_networks(20.0) > 10


def test_fewer_connections_are_accepted_per_pass_as_the_loop_lags():
    admission = ConnectionAdmission(100)
    assert [admission.max_accepts(lag) for lag in (-1.0, 0.0, 0.02, 0.2, 9.0)] == [
        MAX_ACCEPTS_PER_PASS,
        MAX_ACCEPTS_PER_PASS,
        MAX_ACCEPTS_PER_PASS // 2,
        5,
        MIN_ACCEPTS_PER_PASS,
    ]


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 4)), max_size=300))
def test_admission_counts_open_connections_and_enforces_shares_when_scarce(steps):
    admission, open_networks = ConnectionAdmission(40), []
    for connects, network in steps:
        if connects and len(open_networks) < 40:
            is_scarce = 40 - len(open_networks) < 10
            open_from_network = open_networks.count(network)
            if admission.admit(network):
                open_networks.append(network)
                assert not is_scarce or open_from_network < max(
                    GUARANTEED_CONNECTIONS, 40 / (len(set(open_networks) - {network}) + 1)
                )
            else:
                assert is_scarce and open_from_network >= GUARANTEED_CONNECTIONS
        elif open_networks:
            admission.release(open_networks.pop(network % len(open_networks)))
        assert admission.open == len(open_networks) and sum(admission.open_by_network.values()) == len(
            open_networks
        )
        assert all(
            admission.open_by_network[n] == open_networks.count(n) for n in set(open_networks)
        ) and len(admission.open_by_network) == len(set(open_networks))
