"""Tests of the ordinary request path: home, holders, sibling fills, parents, sub-ranges."""

from helpers import RouterHarness, request_class

from brookhinge.decisions.beacon_rings import BeaconRings


def test_home_fills_from_parent_and_is_then_the_holder():
    """The home fills from the parent hashed from the object. Later requests go to it as the holder."""
    bench = RouterHarness()
    assert bench.serve("a") + bench.serve("b") + bench.serve("a", note=1) == [
        "q1 push 21 from 12 rank 1",
        "q2 push 22 from 11 rank 1",
        "q3 push 21 from 12 rank 2",
    ]


def put_in_demand(bench):
    """Request seven other objects once and 'a' twice, so that its next request finds a replication utility of 1.5."""
    for key in "bcdefgh":
        bench.serve(key)
    return bench.serve("a") + bench.serve("a")


def test_object_in_demand_gets_a_replica_and_requests_are_spread():
    bench = RouterHarness()
    assert put_in_demand(bench) + [line for _ in range(4) for line in bench.serve("a")] == [
        "q8 push 21 from 12 rank 1",
        "q9 push 21 from 12 rank 2",
        "q10 push 22 from 21 rank 2 held",  # utility above 1: the next cache in order fills from the holder
        "q11 push 22 from 12 rank 2",  # two holders are half of the four caches: no further replicas
        "q12 push 22 from 12 rank 2",
        "q13 push 21 from 12 rank 2",
    ]


def test_failed_sibling_fill_is_retried_at_the_home():
    bench = RouterHarness()
    put_in_demand(bench)
    assert bench.ask("a") + bench.end(bench.last_request_id, "miss", note=8) == [
        "q10 push 22 from 21 rank 2 held",
        "q10 push 21 from 12 rank 2",
    ]


def test_without_sibling_fills_and_parents_the_origin_is_the_source():
    bench = RouterHarness(siblings="none", parents=())
    put_in_demand(bench)
    assert bench.ask("a") == ["q10 push 21 from 1 rank 2"]


def test_failed_fills_go_to_the_next_parent_then_to_the_origin():
    bench = RouterHarness()
    assert bench.ask("a") + bench.end(1, "full") + bench.end(1, "full") + bench.end(1, "full") == [
        "q1 push 21 from 12 rank 1",
        "q1 push 21 from 11 rank 1",
        "q1 push 21 from 1 rank 1",
        "q1 push 21 from 21 rank 1",  # lookup only: another router may have had it filled meanwhile
    ]


def test_sub_ranges_follow_the_load():
    """Section 2.3, figure 2-B of the paper: surplus load moves from the end of a sub-range to the next beacon point.

    An end never moves past the neighboring sub-range.
    """
    rings = BeaconRings()
    rings.assign([0, 1])
    _, ends, loads = rings.rings[0]
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
    rings.rebalance(lambda server: 1.0)
    assert ends == [301, 1000]
    rings.rings[0][2][999] = 100.0
    rings.rebalance(lambda server: 1.0)
    assert ends == [999, 1000]


def test_rebalancing_waits_for_enough_requests():
    """Case depot-fare-cache-later big-1: rebalancing on a few requests each made the sub-ranges of the routers differ.

    Objects then had many homes.
    """
    bench = RouterHarness()
    for i in range(999):
        bench.serve(f"k{i % 50}", at=i / 90)
    assert bench.now > 10.0 and [ends for _, ends, _ in bench.router.rings.rings] == [
        [500, 1000],
        [500, 1000],
    ]
    bench.serve("k49", at=11.1)
    assert [ends for _, ends, _ in bench.router.rings.rings] == [[530, 1000], [300, 1000]]


def test_route_with_one_cache_and_with_none():
    assert RouterHarness(caches=(21,)).ask("a") == ["q1 push 21 from 12 rank 1"]
    assert RouterHarness(caches=()).ask("a") == ["q1 nack"]
    assert RouterHarness(caches=(), direct=True).ask("a") == ["q1 push 12 from 12 rank 0"]


def test_aging_copies_are_renewed():
    bench = RouterHarness(request_classes=[request_class(fresh_s=5.0, stale_s=10.0)])
    assert bench.ask("a") == ["q1 push 21 from 12 rank 1 age<5.000 renew"]
