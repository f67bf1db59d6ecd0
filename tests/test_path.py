"""The ordinary path: home, holders, sibling fills, parents, sub-ranges."""

from helpers import RouterHarness, request_class

from brookhinge.decisions.beacon_rings import BeaconRings


def test_home_then_holder():
    """The home fills from the parent hashed from the object, and is asked again as its holder."""
    b = RouterHarness()
    assert b.serve("a") + b.serve("b") + b.serve("a", note=1) == [
        "q1 push 21 from 12 rank 1",
        "q2 push 22 from 11 rank 1",
        "q3 push 21 from 12 rank 2",
    ]


def in_demand(b):
    """Others asked for once, then 'a' twice: its next query finds it at utility 1.5."""
    for key in "bcdefgh":
        b.serve(key)
    return b.serve("a") + b.serve("a")


def test_object_in_demand_gets_a_sibling_copy_and_queries_spread():
    b = RouterHarness()
    assert in_demand(b) + [line for _ in range(4) for line in b.serve("a")] == [
        "q8 push 21 from 12 rank 1",
        "q9 push 21 from 12 rank 2",
        "q10 push 22 from 21 rank 2 held",  # utility above 1: the next sorted cache, from the holder
        "q11 push 22 from 12 rank 2",  # two holders are half of four caches: spread, no more copies
        "q12 push 22 from 12 rank 2",
        "q13 push 21 from 12 rank 2",
    ]


def test_failed_sibling_fill_retries_home():
    b = RouterHarness()
    in_demand(b)
    assert b.ask("a") + b.end(b.last_request_id, "miss", note=8) == [
        "q10 push 22 from 21 rank 2 held",
        "q10 push 21 from 12 rank 2",
    ]


def test_no_siblings_allowed_no_parents_listed():
    b = RouterHarness(siblings="none", parents=())
    in_demand(b)
    assert b.ask("a") == ["q10 push 21 from 1 rank 2"]


def test_next_parent_then_origin_on_failure():
    b = RouterHarness()
    assert b.ask("a") + b.end(1, "full") + b.end(1, "full") + b.end(1, "full") == [
        "q1 push 21 from 12 rank 1",
        "q1 push 21 from 11 rank 1",
        "q1 push 21 from 1 rank 1",
        "q1 push 21 from 21 rank 1",  # another router may have had it filled meanwhile
    ]


def test_sub_ranges_follow_load():
    """PAPER 2.3, figure 2-B: a surplus moves from the end of a range to the next point, never past it."""
    rings = BeaconRings()
    rings.assign([0, 1])
    points, ends, loads = rings.rings[0]
    for irh, load in (
        (0, 135),
        (100, 175),
        (300, 100),
        (400, 60),
        (450, 30),
        (500, 25),
        (600, 100),
        (900, 175),
    ):
        loads[irh] = load
    rings.rebalance(lambda c: 1.0)
    assert ends == [301, 1000]
    rings.rings[0][2][999] = 100.0
    rings.rebalance(lambda c: 1.0)
    assert ends == [999, 1000]


def test_a_cycle_lasts_until_the_counts_tell():
    """depot-fare-cache-later big-1: a few counts each sent the routers' ranges apart, and objects got many homes."""
    b = RouterHarness()
    for i in range(999):
        b.serve(f"k{i % 50}", at=i / 90)
    assert b.now > 10.0 and [ends for _, ends, _ in b.router.rings.rings] == [[500, 1000], [500, 1000]]
    b.serve("k49", at=11.1)
    assert [ends for _, ends, _ in b.router.rings.rings] == [[530, 1000], [300, 1000]]


def test_one_cache_and_none():
    assert RouterHarness(caches=(21,)).ask("a") == ["q1 push 21 from 12 rank 1"]
    assert RouterHarness(caches=()).ask("a") == ["q1 nack"]
    assert RouterHarness(caches=(), direct=True).ask("a") == ["q1 push 12 from 12 rank 0"]


def test_ageing_copies_are_renewed():
    b = RouterHarness(request_classes=[request_class(fresh_s=5.0, stale_s=10.0)])
    assert b.ask("a") == ["q1 push 21 from 12 rank 1 age<5.000 renew"]
