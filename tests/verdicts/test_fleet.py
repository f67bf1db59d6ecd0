"""A simulated fleet that shares outlier evidence: which cache servers are ejected, when, and by which routers."""

import pytest

from brookhinge.emulator.simulated_fleet import Fleet


def run_fleet(seed=1, routers=8, boxes=5, rate=50.0, until=8.0, **options):
    fleet = Fleet(seed, routers, boxes, rate, skew=0.5, **options)
    fleet.tell("ready", 1)
    fleet.at(0.0, fleet.arrive)
    fleet.play(until)
    return fleet


def ejected(fleet):
    """Return the number of routers that eject each cache server."""
    counts = {}
    for cores in fleet.cores:
        for server, ejection in cores[1].ejections.items():
            counts[server[0]] = counts.get(server[0], 0) + (not ejection.is_ramping)
    return counts


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_failing_server_is_ejected_by_all_and_readmitted_gradually(loss):
    fleet = run_fleet(loss=loss)
    fleet.boxes["s-1"].fails = 0.4
    fleet.play(16.0)
    assert ejected(fleet)["s-1"] == 8 and set(ejected(fleet)) == {"s-1"}
    fleet.boxes["s-1"].fails = 0.0
    arrivals, start = [], fleet.boxes["s-1"].take
    fleet.boxes["s-1"].take = lambda now, key, work: arrivals.append(now) or start(now, key, work)
    fleet.play(40.0)
    assert ejected(fleet) == {}
    slots = [sum(at <= t < at + 1.0 for t in arrivals) for at in range(16, 40)]
    first = next(k for k, count in enumerate(slots) if count)
    assert slots[first] <= 5 and max(slots[: first + 3]) <= 2 * max(slots[-6:])  # trials, then a ramp


def test_failures_beyond_a_partition_eject_nothing_in_the_healthy_half():
    fleet = run_fleet()
    fleet.cut = lambda a, b: (a < 4) != (b < 4)
    # One half also loses most of its connections to all cache servers.
    fleet.broken = {4: 0.8, 5: 0.8, 6: 0.8, 7: 0.8}
    fleet.play(20.0)
    assert all(not core[1].ejections for core in fleet.cores[:4])


def test_half_of_all_servers_are_never_ejected_at_once():
    fleet = run_fleet()
    for name in ("s-0", "s-1", "s-2"):
        fleet.boxes[name].fails = 0.5
    fleet.play(24.0)
    assert all(
        sum(not ejection.is_ramping for ejection in core[1].ejections.values()) <= 2 for core in fleet.cores
    )
