"""The purge log at the size designed for, in virtual time and by seed: 530 routers in six regions, five control machines.
What it costs and how long it takes is measured by `python -m benchmarks.capacity`; here it has to be right."""

import math

import pytest

from brookhinge.emulator.simulated_purge_log import PROOF_S, LogNet
from brookhinge.purgelog.messages import Entry, Kind
from brookhinge.purgelog.progress import Outcome, Why
from brookhinge.purgelog.subscriber import CopyRule

ROUTERS, REGIONS = 530, 6
SETTLED_S = 6.0
PURGES_A_SECOND = 5.1
HOURS_PURGES = 18_360


def region(name):
    """Region of a host: routers go round all six, the machines stand in the first five."""
    return str((int(name[1:]) - 1) % REGIONS)


def delay(a, b):
    """Seconds one way: 2 ms within a region, 20 to 120 ms between two."""
    distance = abs(int(region(a)) - int(region(b)))
    return 0.002 if not distance else 0.02 * (1 + distance)


def fleet(seed, routers=ROUTERS, **named):
    net = LogNet(seed, routers, delay=delay, region=region, serves={4: ("5",)}, **named)
    net.run(SETTLED_S)
    assert all(host.last_rule() is CopyRule.PROVEN for host in net.routers)
    return net


def told(net, seconds, machines=range(5)):
    """Purges for so long, at machines drawn by seed; those that were appended."""
    purges, end = [], net.now + seconds
    while net.now < end:
        purge = net.purge(net.chance.choice(list(machines)))
        if purge is not None:
            purges.append(purge)
        net.run(net.chance.expovariate(PURGES_A_SECOND))
    return purges


def in_force(net, purges, hosts=None):
    """Whether every one of those routers has applied every purge, and the sources know."""
    names = [host.name for host in hosts or net.living()]
    return all(purge.all_s(names) < math.inf for purge in purges) and all(
        purge.outcome == Outcome.IN_FORCE for purge in purges
    )


@pytest.mark.parametrize("seed, loss", [(1, 0.0), (2, 0.01), (3, 0.05)])
def test_every_router_applies_every_purge_and_its_source_knows(seed, loss):
    net = fleet(seed, loss=loss, double=0.01)
    purges = told(net, 4.0)
    net.run(4.0)
    assert len(purges) > 8 and in_force(net, purges)
    assert net.machines and not any(sum(host.core.refused.values()) > 50 for host in net.routers)


def test_a_burst_reaches_all():
    net = fleet(4, routers=106, loss=0.01)
    purges = [net.purge(k % 5) for k in range(50)]
    net.run(4.0)
    assert in_force(net, purges)


def test_a_distributor_killed_in_a_burst_loses_nothing():
    net = fleet(5, routers=106, loss=0.01)
    purges = [net.purge(0) for _ in range(25)]
    net.run(0.03)
    killed = net.controls[2]
    net.kill(killed)
    purges += [net.purge(1) for _ in range(25)]
    net.run(2.0)
    names = [host.name for host in net.routers]
    assert all(purge.all_s(names) < math.inf for purge in purges)
    assert {purge.outcome for purge in purges} <= {Outcome.PENDING, Outcome.IN_FORCE}
    late = [purge for purge in purges if purge.outcome == Outcome.PENDING]
    assert all(("c3", Why.SILENT) in purge.missing for purge in late)
    net.run(3.0)
    assert all(purge.outcome in (Outcome.IN_FORCE, Outcome.IN_FORCE_EXCEPT) for purge in purges)
    assert all(host.last_rule() is CopyRule.PROVEN for host in net.routers)


def test_a_distributor_frozen_and_thawed_contradicts_nobody():
    net = fleet(6, routers=106, loss=0.01)
    frozen = net.controls[2]
    net.freeze(frozen)
    purges = told(net, 3.0, machines=(0, 1))
    net.thaw(frozen)
    net.run(6.0)
    names = [host.name for host in net.routers]
    assert all(purge.all_s(names) < math.inf for purge in purges)
    assert all(purge.outcome != Outcome.PENDING for purge in purges)
    assert frozen.core.replication.epoch and net.purge(2) is not None


def test_a_distributor_cut_one_way_is_replaced():
    """Routers hear it and it hears nobody: they read elsewhere, and the purge is in force at all."""
    net = fleet(7, routers=106)
    net.cut = lambda a, b: b == "c3"
    net.run(2.0)
    purges = told(net, 1.0, machines=(0, 1))
    net.run(3.0)
    assert all(host.core.machines[host.core.machine()].name != "c3" for host in net.routers)
    names = [host.name for host in net.routers]
    assert all(purge.all_s(names) < 2.0 for purge in purges)


def test_all_distributors_killed_within_a_second():
    """Nobody uses old copies longer than a proof lasts; the machines begin anew, and what was held before is dropped."""
    net = fleet(8, routers=106)
    for host in net.controls:
        net.kill(host)
        net.run(0.2)
    net.run(PROOF_S + 0.1)
    assert all(host.last_rule() is CopyRule.STALE for host in net.routers)
    for host in net.controls:
        net.start(host)
    net.run(6.0)
    for host in net.routers:
        rules = [rule for _, rule, _ in host.rules]
        assert rules[-2:] == [CopyRule.RESET, CopyRule.PROVEN]
    purges = told(net, 2.0)
    net.run(3.0)
    assert in_force(net, purges)


def test_a_region_without_an_hours_purges_is_safe_at_once_and_exact_later():
    """A region is cut off while 18,360 purges are told. It stops using copies when its proof ends; back again, it sets aside
    what it held, and takes back what was not purged."""
    net = fleet(9, routers=24)
    cut_off = [host for host in net.routers if region(host.name) == "5"]
    far = {host.name for host in cut_off}
    net.cut = lambda a, b: (a in far) != (b in far)
    net.run(PROOF_S + 0.5)
    assert all(host.last_rule() is CopyRule.STALE for host in cut_off)
    for k in range(HOURS_PURGES):
        entry = Entry(Kind.PURGE, f"o{k}", -1, k)
        assert net.controls[k % 5].core.replication.submit(entry) is not None
        if k % 50 == 0:
            net.run(0.25)
    net.run(5.0)
    assert all(host.last_rule() is CopyRule.PROVEN for host in net.routers if host not in cut_off)
    net.cut = lambda a, b: False
    back_at = net.now
    net.run(4.0)
    for host in cut_off:
        rules = [rule for at, rule, _ in host.rules if at >= back_at]
        assert rules == [CopyRule.ASIDE, CopyRule.PROVEN]
    took = net.run(150.0, until=lambda: all(host.core.backfill is None for host in cut_off))
    assert took is not None and took < 120.0
    for host in cut_off:
        _, rule, purges = host.rules[-1]
        assert rule is CopyRule.READMIT
        assert all(purges.covers(f"o{k}", -1) for k in range(0, HOURS_PURGES, 7))
        assert sum(purges.covers(f"other{k}", 7) for k in range(2000)) <= 1


def test_what_has_fallen_out_of_the_logs_lets_no_old_copy_through(monkeypatch):
    monkeypatch.setattr("brookhinge.purgelog.log.RECENT", 8)
    net = LogNet(10, 6, delay=delay, region=region)
    for host in net.controls:
        for log in host.core.replication.logs:
            log.limit, log.segments = 300, 1
    net.run(SETTLED_S)
    cut_off = net.routers[0]
    net.cut = lambda a, b: cut_off.name in (a, b)
    for k in range(3000):
        net.controls[0].core.replication.submit(Entry(Kind.PURGE, f"o{k}", -1, k))
        if k % 50 == 0:
            net.run(0.2)
    net.run(4.0)
    net.cut = lambda a, b: False
    net.run(20.0)
    rules = [rule for _, rule, _ in cut_off.rules]
    assert rules[-3:] == [CopyRule.ASIDE, CopyRule.PROVEN, CopyRule.DROP]


def test_a_zone_lost_and_back():
    net = fleet(11, routers=106)
    zone = net.routers[:20]
    for host in zone:
        net.kill(host)
    purges = told(net, 1.0)
    net.run(PROOF_S + 2.0)
    assert all(purge.outcome == Outcome.IN_FORCE_EXCEPT for purge in purges)
    lost = {name for purge in purges for name, why in purge.missing if why == Why.LEASE_ENDED}
    assert lost <= {host.name for host in zone} and lost
    for host in zone:
        net.start(host)
    net.run(3.0)
    assert all(host.last_rule() is CopyRule.PROVEN and not host.core.restarts for host in zone)
    purges = told(net, 1.0)
    net.run(3.0)
    assert in_force(net, purges)


def test_who_leaves_is_not_waited_for():
    net = fleet(12, routers=24)
    leaver = net.routers[3]
    leaver.core.leave(leaver)
    net.kill(leaver)
    net.run(0.2)
    purge = net.purge(0)
    net.run(1.0)
    assert purge.outcome == Outcome.IN_FORCE and purge.missing == []


def test_clocks_an_hour_off_change_nothing():
    net = LogNet(13, 24, delay=delay, region=region)
    for host, offset in ((net.routers[0], 3600.0), (net.routers[1], -3600.0), (net.controls[1], 3600.0)):
        net.kill(host)
        host.offset = offset
        net.start(host)
    net.run(SETTLED_S)
    purges = told(net, 2.0)
    net.run(3.0)
    assert in_force(net, purges)
    assert all(host.last_rule() is CopyRule.PROVEN for host in net.routers)


def test_a_site_that_starts_at_once_is_no_herd():
    """What sixteen routers send and get in the second in which they start together stays within a few datagrams each."""
    net = fleet(14, routers=106)
    for host in net.routers[:16]:
        net.kill(host)
    before = net.datagrams
    net.run(1.0)
    usual, before = net.datagrams - before, net.datagrams
    for host in net.routers[:16]:
        net.start(host)
    net.run(1.0)
    assert net.datagrams - before - usual < 16 * 14
    assert all(host.last_rule() is CopyRule.PROVEN for host in net.routers[:16])


def test_machines_that_are_all_late_are_not_changed_all_the_time():
    """For ten seconds what comes from any control machine is late by up to 0.6 s, as on a machine short of processors. A
    router that took each late answer for a dead machine would add load where there is too much already."""
    net = fleet(15, routers=106)
    before = [host.core.changes_of_machine for host in net.routers]
    usual = net.delay
    net.delay = lambda a, b: usual(a, b) + (0.6 * net.chance.random() if a.startswith("c") else 0.0)
    purges = told(net, 10.0)
    net.delay = usual
    net.run(8.0)
    changes = [host.core.changes_of_machine - old for host, old in zip(net.routers, before)]
    assert sum(changes) / len(changes) < 3.0 and max(changes) <= 7
    names = [host.name for host in net.routers]
    assert purges and all(purge.all_s(names) < math.inf for purge in purges)
