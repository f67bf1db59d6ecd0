"""Emulated links are reproducible by seed and apply loss, duplication, delay and cuts as configured."""

from brookhinge.emulator.capacity.links import Links, cuts_link
from brookhinge.operator.capacity import Cut
from tests.capacity.small import small_layout

DATAGRAMS = 20_000


def copies_of_datagrams(links, host):
    """Return the delays of the copies of each of many datagrams to a host."""
    return [links.copies(host) for _ in range(DATAGRAMS)]


def test_same_seed_gives_same_copies_and_another_seed_does_not():
    layout = small_layout(loss=0.1, double=0.1)
    host = layout.sites[3].host_of(0)
    first, second = (
        copies_of_datagrams(Links(layout, 0, 7), host),
        copies_of_datagrams(Links(layout, 0, 7), host),
    )
    assert first == second
    assert first != copies_of_datagrams(Links(layout, 0, 8), host)


def test_loss_and_duplication_rates_match_the_layout():
    layout = small_layout(loss=0.05, double=0.1)
    counts = [len(copies) for copies in copies_of_datagrams(Links(layout, 0, 7), layout.sites[3].host_of(0))]
    assert abs(counts.count(0) / DATAGRAMS - 0.05) < 0.01
    assert abs(counts.count(2) / DATAGRAMS - 0.095) < 0.01


def test_delays_vary_around_the_mean_of_the_layout():
    layout = small_layout(loss=0.0, double=0.0)
    delays = [copies[0] for copies in copies_of_datagrams(Links(layout, 0, 7), layout.sites[3].host_of(0))]
    assert abs(sum(delays) / DATAGRAMS - 0.02) < 0.001
    assert 0.015 <= min(delays) < max(delays) <= 0.025


def test_cut_drops_datagrams_both_ways_or_one_way():
    both = Cut("x", "south", "", 0, 1, True)
    assert cuts_link(both, "south/a/1", "north/a/1") and cuts_link(both, "north/a/1", "south/a/1")
    assert not cuts_link(both, "north/a/1", "north/b/1") and not cuts_link(both, "south/a/1", "south/a/1")
    one_way = Cut("x", "north/a", "south", 0, 1, False)
    assert cuts_link(one_way, "north/a/2", "south/a/1")
    assert not cuts_link(one_way, "south/a/1", "north/a/2")
    assert not cuts_link(one_way, "north/b/1", "south/a/1")


def test_removed_cut_no_longer_drops_datagrams():
    layout = small_layout(loss=0.0, double=0.0)
    links, host = Links(layout, 0, 7), layout.sites[3].host_of(0)
    links.cut([Cut("x", "south", "", 0, 1, True)])
    assert links.copies(host) == () and links.copies(layout.sites[1].host_of(0))
    links.cut([])
    assert len(links.copies(host)) == 1
