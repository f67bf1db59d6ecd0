"""The view at the size designed for, 530 routers, in virtual time: sixteen start at once, a site restarts. Counts of who
shares the limits never fall short on the way, and the bytes stay within what a router may spend on the view."""

import statistics

import pytest

from benchmarks import view_traffic
from benchmarks.view_traffic import SITE_ROUTERS, one_view, settled_fleet, watch
from brookhinge.membership import peer
from brookhinge.membership.claims import PRESENT_STATES, MemberState

MEMBERS, LOSS = 530, 0.01
WATCHED_S = 30.0
BUDGET = 1900  # bytes a second, sent and received with headers, over any 10 s: the median router's


def join(seed):
    net = settled_fleet(seed, MEMBERS - SITE_ROUTERS, LOSS)
    net.run(2.0)
    began = net.now
    view_traffic.join(net, MEMBERS)
    return net, began, watch(net, WATCHED_S, MEMBERS)


def restart(seed):
    net = settled_fleet(seed, MEMBERS, LOSS)
    net.run(2.0)
    began = net.now
    view_traffic.restart(net, MEMBERS)
    return net, began, watch(net, WATCHED_S, MEMBERS)


def median_rate(net, began):
    return statistics.median(host.traffic.worst_rate(began, net.now) for host in net.living())


@pytest.mark.parametrize("seed", (11, 12))
def test_sixteen_that_start_at_once_are_counted_and_cost_no_more_than_they_may(seed):
    net, began, (_, short) = join(seed)
    assert short <= 0 and median_rate(net, began) <= BUDGET
    assert [change for host in net.living() for _, change, _, _ in host.log if change == "lost"] == []
    assert one_view(net)


@pytest.mark.parametrize("seed", (21, 22))
def test_a_site_that_restarts_is_counted_all_the_way(seed):
    net, began, (_, short) = restart(seed)
    assert short <= 0 and median_rate(net, began) <= 1.1 * BUDGET


def freed_at_once(view, now, lease_s, configured, zone=None):
    """The planted fault: who left is counted no more from that moment on."""
    using = sum(
        state in PRESENT_STATES or state == MemberState.LOST and now - since < lease_s
        for state, since in zip(view.states, view.since, strict=True)
    )
    return max(using, configured - view.states.count(MemberState.LEFT), 1)


def test_a_share_freed_at_once_is_found_out(monkeypatch):
    monkeypatch.setattr(peer, "estimate_fleet_size", freed_at_once)
    _, _, (_, short) = restart(21)
    assert short > 0
