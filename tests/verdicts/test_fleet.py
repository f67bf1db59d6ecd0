"""A fleet that shares what it sees, in simulated time, among modelled boxes: who rests, when, and for whom."""

import pytest

from brookhinge.emulator.simulated_fleet import Fleet


def fleet(seed=1, routers=8, boxes=5, rate=50.0, until=8.0, **named):
    made = Fleet(seed, routers, boxes, rate, skew=0.5, **named)
    made.tell("ready", 1)
    made.at(0.0, made.arrive)
    made.play(until)
    return made


def ejected(made):
    """{box: how many routers let it rest}."""
    out = {}
    for cores in made.cores:
        for server, ejection in cores[1].ejections.items():
            out[server[0]] = out.get(server[0], 0) + (not ejection.is_ramping)
    return out


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_a_failing_server_is_ejected_by_all_and_comes_back_without_a_herd(loss):
    made = fleet(loss=loss)
    made.boxes["s-1"].fails = 0.4
    made.play(16.0)
    assert ejected(made)["s-1"] == 8 and set(ejected(made)) == {"s-1"}
    made.boxes["s-1"].fails = 0.0
    came, start = [], made.boxes["s-1"].take
    made.boxes["s-1"].take = lambda now, key, work: came.append(now) or start(now, key, work)
    made.play(40.0)
    assert ejected(made) == {}
    slots = [sum(at <= t < at + 1.0 for t in came) for at in range(16, 40)]
    first = next(k for k, count in enumerate(slots) if count)
    assert slots[first] <= 5 and max(slots[: first + 3]) <= 2 * max(slots[-6:])  # trials, then more by and by


def test_in_a_partition_each_half_decides_for_itself():
    made = fleet()
    made.cut = lambda a, b: (a < 4) != (b < 4)
    made.broken = {4: 0.8, 5: 0.8, 6: 0.8, 7: 0.8}  # the place of one half is cut off from all boxes
    made.play(20.0)
    assert all(not core[1].ejections for core in made.cores[:4])


def test_half_of_all_servers_are_never_ejected_at_once():
    made = fleet()
    for name in ("s-0", "s-1", "s-2"):
        made.boxes[name].fails = 0.5
    made.play(24.0)
    assert all(
        sum(not ejection.is_ramping for ejection in core[1].ejections.values()) <= 2 for core in made.cores
    )
