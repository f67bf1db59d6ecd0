"""Membership at the design size of 530 routers, in virtual time.

Sixteen routers start at once, or a site restarts. Meanwhile no router counts fewer sharers of a limit than there are, and
the traffic of the view stays within its budget."""

import statistics

import pytest

from benchmarks import view_traffic
from benchmarks.view_traffic import SITE_ROUTERS, one_view, settled_fleet, watch
from brookhinge.membership import peer
from brookhinge.membership.claims import PRESENT_STATES, MemberState

MEMBERS, LOSS = 530, 0.01
WATCHED_S = 30.0
BUDGET_BYTES_PER_S = 1900  # sent and received with headers, over any 10 s, of the median router


def join(seed):
    net = settled_fleet(seed, MEMBERS - SITE_ROUTERS, LOSS)
    net.run(2.0)
    started_at = net.now
    view_traffic.join(net, MEMBERS)
    return net, started_at, watch(net, WATCHED_S, MEMBERS)


def restart(seed):
    net = settled_fleet(seed, MEMBERS, LOSS)
    net.run(2.0)
    started_at = net.now
    view_traffic.restart(net, MEMBERS)
    return net, started_at, watch(net, WATCHED_S, MEMBERS)


def median_rate(net, started_at):
    return statistics.median(host.traffic.worst_rate(started_at, net.now) for host in net.living())


@pytest.mark.parametrize("seed", (11, 12))
def test_sixteen_simultaneous_joins_are_counted_within_the_traffic_budget(seed):
    net, started_at, (_, shortfall) = join(seed)
    assert shortfall <= 0 and median_rate(net, started_at) <= BUDGET_BYTES_PER_S
    assert [change for host in net.living() for _, change, _, _ in host.log if change == "lost"] == []
    assert one_view(net)


@pytest.mark.parametrize("seed", (21, 22))
def test_routers_of_a_restarting_site_stay_counted(seed):
    net, started_at, (_, shortfall) = restart(seed)
    assert shortfall <= 0 and median_rate(net, started_at) <= 1.1 * BUDGET_BYTES_PER_S


def estimate_without_lease(view, now, lease_s, configured, zone=None):
    """Injected fault: a router that left is no longer counted from that moment on."""
    using = sum(
        state in PRESENT_STATES or state == MemberState.LOST and now - since < lease_s
        for state, since in zip(view.states, view.since, strict=True)
    )
    return max(using, configured - view.states.count(MemberState.LEFT), 1)


def test_freeing_a_share_without_a_lease_is_detected(monkeypatch):
    monkeypatch.setattr(peer, "estimate_fleet_size", estimate_without_lease)
    _, _, (_, shortfall) = restart(21)
    assert shortfall > 0
