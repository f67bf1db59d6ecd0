"""Links: the same seed gives the same fate of each datagram; loss, doubling, delay and cuts are as the layout says."""

from brookhinge.emulator.capacity.links import Links, cuts_link
from brookhinge.operator.capacity import Cut
from tests.capacity.small import small_layout

DATAGRAMS = 20_000


def fates(links, host):
    """Delays of the copies of many datagrams to a host."""
    return [links.copies(host) for _ in range(DATAGRAMS)]


def test_a_seed_replays_and_another_does_not():
    layout = small_layout(loss=0.1, double=0.1)
    host = layout.sites[3].host_of(0)
    first, again = fates(Links(layout, 0, 7), host), fates(Links(layout, 0, 7), host)
    assert first == again
    assert first != fates(Links(layout, 0, 8), host)


def test_loss_and_doubling_come_as_often_as_told():
    layout = small_layout(loss=0.05, double=0.1)
    counts = [len(copies) for copies in fates(Links(layout, 0, 7), layout.sites[3].host_of(0))]
    assert abs(counts.count(0) / DATAGRAMS - 0.05) < 0.01
    assert abs(counts.count(2) / DATAGRAMS - 0.095) < 0.01


def test_delays_spread_about_the_distance():
    layout = small_layout(loss=0.0, double=0.0)
    delays = [copies[0] for copies in fates(Links(layout, 0, 7), layout.sites[3].host_of(0))]
    assert abs(sum(delays) / DATAGRAMS - 0.02) < 0.001
    assert 0.015 <= min(delays) < max(delays) <= 0.025


def test_a_cut_drops_all_both_ways_or_one_way():
    both = Cut("x", "south", "", 0, 1, True)
    assert cuts_link(both, "south/a/1", "north/a/1") and cuts_link(both, "north/a/1", "south/a/1")
    assert not cuts_link(both, "north/a/1", "north/b/1") and not cuts_link(both, "south/a/1", "south/a/1")
    one_way = Cut("x", "north/a", "south", 0, 1, False)
    assert cuts_link(one_way, "north/a/2", "south/a/1")
    assert not cuts_link(one_way, "south/a/1", "north/a/2")
    assert not cuts_link(one_way, "north/b/1", "south/a/1")


def test_cuts_end():
    layout = small_layout(loss=0.0, double=0.0)
    links, host = Links(layout, 0, 7), layout.sites[3].host_of(0)
    links.cut([Cut("x", "south", "", 0, 1, True)])
    assert links.copies(host) == () and links.copies(layout.sites[1].host_of(0))
    links.cut([])
    assert len(links.copies(host)) == 1
