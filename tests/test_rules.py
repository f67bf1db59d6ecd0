"""The rules for final responses, retries, drains, slow start and purges, as seen in the router's decisions."""

from helpers import RouterHarness, request_class

from brookhinge.decisions.messages import AttemptEnded, EndpointsListed, ObjectsPurged, RequestWithdrawn
from brookhinge.decisions.settings import DeduplicationScope, Idempotency


def test_nothing_is_sent_for_a_request_that_is_withdrawn_or_already_ended():
    bench = RouterHarness()
    bench.ask("a")
    bench.call(RequestWithdrawn(1))
    assert bench.end(1, "errored", is_final=True) == []
    assert bench.call(AttemptEnded(1, 21, "errored", 0.1, True, 0, 0.0)) == []
    assert bench.ask("b", remaining_s=0.0) == ["q2 nack"]


def test_request_past_its_deadline_is_rejected():
    bench = RouterHarness()
    bench.ask("a")
    assert bench.end(1, "timeout", at=3.02) == ["q1 nack"]


def test_once_request_that_may_have_run_is_neither_retried_nor_rejected():
    bench = RouterHarness(request_classes=[request_class(idempotency=Idempotency.ONCE)])
    assert bench.ask("a") + bench.end(1, "unreachable") + bench.end(1, "errored") == [
        "q1 push 21 from 12 rank 1",
        "q1 push 23 from 12 rank 1",
        "q1 error",
    ]


def test_keyed_request_that_may_have_run_is_retried_only_within_its_scope_and_window():
    bench = RouterHarness(
        request_classes=[
            request_class(
                idempotency=Idempotency.KEYED,
                deduplication_scope=DeduplicationScope.ZONE,
                deduplication_window_s=1.0,
            )
        ]
    )
    assert bench.ask("a") + bench.end(1, "broken") == [
        "q1 push 21 from 12 rank 1",
        "q1 push 23 from 12 rank 1",
    ]
    assert bench.end(1, "broken", at=1.2) == ["q1 error"]
    bench = RouterHarness(
        request_classes=[
            request_class(
                idempotency=Idempotency.KEYED,
                deduplication_scope=DeduplicationScope.ALL,
                deduplication_window_s=1.0,
            )
        ]
    )
    bench.ask("a")
    assert bench.end(1, "broken", at=1.2) == ["q1 nack"]


def test_draining_servers_are_neither_routed_to_nor_filled_from():
    bench = RouterHarness()
    bench.serve("a")
    bench.call(
        EndpointsListed(False, [bench.row(21, "draining"), bench.row(12, "draining", kind="parent", zone=0)])
    )
    assert bench.ask("a") == ["q2 push 22 from 11 rank 2"]


def test_servers_missing_from_a_complete_list_are_gone():
    bench = RouterHarness()
    bench.call(EndpointsListed(True, [bench.row(1, kind="origin", zone=0), bench.row(23)]))
    assert bench.ask("a") == ["q1 push 23 from 1 rank 1"]


def test_restarted_cache_is_no_longer_a_holder():
    bench = RouterHarness()
    bench.serve("a")
    assert bench.router.objects.states["a", 0].holders
    bench.call(EndpointsListed(False, [bench.row(21, born=0.01, weight=400.0)]))
    assert bench.router.eligibility.current_holders(bench.router.objects.states["a", 0], bench.now) == []


def count_sent(routers, target, requests_per_router, start=0.0):
    """Count the decisions that name `target`, for requests spread over one second at each of several routers.

    Cache 21 and parent 12 start at time 0; the second begins 0.1 s after `start`.
    """
    lines = []
    for seed in range(routers):
        bench = RouterHarness(routers=routers, seed=seed)
        bench.call(
            EndpointsListed(False, [bench.row(21, born=0.0), bench.row(12, kind="parent", zone=0, born=0.0)])
        )
        lines += [
            line
            for i in range(requests_per_router)
            for line in bench.serve("a", part=i, at=start + 0.1 + i / requests_per_router)
        ]
    return sum(f"{target} " in line for line in lines)


def test_cold_cache_gets_no_more_than_its_slow_start_share():
    """Its peers substitute for it; 1.6 s of transfers in a second, which is 16 requests, would overload it."""
    assert [count_sent(n, "push 21", 400 // n) for n in (2, 40)] == [8, 5]
    # once warm, each request is a lookup and then a fill
    assert count_sent(2, "push 21", 200, start=12.0) == 232


def test_cold_parent_gets_no_more_than_its_slow_start_share_of_fills():
    """Hundreds of routers, each with a budget below one request, all let their first request through (ie8b970)."""
    assert [count_sent(n, "from 12", 400 // n) for n in (2, 40)] == [3, 1]


def test_unknown_power_is_estimated_low():
    """With most parents just started, the last warm one was sent more than it could do (hfe3941)."""
    bench = RouterHarness(
        weight=0.0,
        note_detail="none",
        routers=40,
        parents=(11, 12, 13, 14),
        request_classes=[request_class(fresh_s=60.0)],
    )
    for i in range(40):
        bench.serve("a", part=i, at=i / 4)
    warm_capacity = [
        round(bench.router.throughput.warm_capacity(bench.router.endpoints.index[server], bench.now), 1)
        for server in (11, 21)
    ]
    bench.call(
        EndpointsListed(
            False, [bench.row(parent, kind="parent", zone=0, born=9.0) for parent in (11, 12, 13)]
        )
    )
    warm_capacity.append(
        round(bench.router.throughput.warm_capacity(bench.router.endpoints.index[11], bench.now), 1)
    )
    assert warm_capacity == [1.0, 3.7, 1.0]


def test_purge_of_an_object_or_group_limits_the_age_of_copies():
    bench = RouterHarness()
    bench.serve("a", group=5)
    bench.serve("b", group=6)
    bench.call(ObjectsPurged(5, 0.0, ""), at=1.0)
    bench.call(ObjectsPurged(6, 0.5, "b"), at=1.0)
    assert bench.ask("a", group=5, at=1.1) + bench.ask("b", group=6, at=1.1) + bench.ask(
        "a", group=5, at=9.0
    ) == [
        "q3 push 21 from 12 rank 2 age<0.099",
        "q4 push 22 from 11 rank 2 age<0.599",
        "q5 push 21 from 12 rank 2",
    ]
    assert bench.ask("c", group=5, at=1.0 + 1e-9) == ["q6 push 23 from 12 rank 1 age<0.000"]


def test_keyed_request_that_may_have_run_is_not_sent_directly_to_a_parent():
    """No other cache is left, and a parent does not share the zone's record of idempotency keys."""
    bench = RouterHarness(
        request_classes=[
            request_class(idempotency=Idempotency.KEYED, deduplication_scope=DeduplicationScope.ZONE)
        ],
        caches=(21,),
        direct=True,
    )
    assert bench.ask("a") + bench.end(1, "broken") == ["q1 push 21 from 12 rank 1", "q1 error"]
