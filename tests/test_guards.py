"""Guards: each failure found, as the decisions that answer it."""

from helpers import CACHES, RouterHarness, request_class

from brookhinge.decisions.messages import EndpointsListed, ObjectsPurged
from brookhinge.decisions.object_state import ObjectState
from brookhinge.decisions.origin_breaker import OriginCircuitBreaker
from brookhinge.decisions.request_state import FillKind
from brookhinge.decisions.settings import Idempotency
from brookhinge.startup import Bounds


def ask_failing(b, count, result, key="k", **end):
    """Distinct objects, each push of them ended the same way until the final answer; what was printed."""
    lines = []
    for i in range(count):
        b.ask(key, part=i)
        while b.last_request_id in b.router.requests:
            b.end(b.last_request_id, result, **end)
    return lines


def says(b):
    return [line for line in b.trace.lines if line.startswith("say")]


def fills_of_a_slow_parent(b, count, pause):
    for i in range(count):
        b.ask("abcdefgh"[i % 8], part=i)
        slow = b.router.requests[b.last_request_id].source == b.router.endpoints.index[11]
        b.end(b.last_request_id, "satisfied", note=2, took_s=1.5 if slow else 0.15)
        b.now += pause


def test_silent_parent_rests():
    """Incident i620fa4: fills by one parent hang, all else is answered; the parent rests, no cache does."""
    b = RouterHarness(note_detail="all")
    for i in range(24):
        b.ask("abcdefgh"[i % 8], part=i)
        silent = b.router.requests[b.last_request_id].source == b.router.endpoints.index[11]
        b.end(b.last_request_id, "timeout" if silent else "satisfied", note=0 if silent else 2, is_final=True)
        b.now += 0.5
    assert says(b) == ["say resting parent 11: timeout"]


def test_slow_parent_rests():
    """andino-slots-later rough-1: an ageing parent answers all, ever later; one just gone from the list may still."""
    b = RouterHarness(note_detail="all")
    fills_of_a_slow_parent(b, 40, 0.0)
    b.ask("a", part=99)
    b.call(EndpointsListed(False, [b.row(p, "gone", kind="parent", zone=0) for p in (11, 12)]))
    b.end(b.last_request_id, "satisfied", note=2, took_s=1.5)
    assert says(b) == ["say resting parent 11: satisfied"]


def test_one_slow_fill_in_a_while_rests_no_parent():
    """zone+mass: with a query a second each of 200 routers had its own slow parents; objects met at no one parent."""
    b = RouterHarness(note_detail="all")
    fills_of_a_slow_parent(b, 24, 1.0)
    assert says(b) == []


def test_held_fills_that_time_out_crowd_the_link_in():
    """zone+mass: after a purge of half the objects the links in stood full; held fills hung and none spoke of it."""
    crowds = []
    for held in (False, True):
        b = RouterHarness(note_detail="all")
        b.ask("a")
        b.router.requests[b.last_request_id].fill = FillKind.UPSTREAM_CACHED if held else FillKind.UPSTREAM
        b.end(b.last_request_id, "timeout", took_s=2.9, is_final=True)
        crowds.append(b.router.concurrency.congestion(-1, b.now) > 0.5)
    assert crowds == [False, True]


def test_a_crowded_link_in_shuts_out_twice_as_many_as_a_crowded_cache():
    """roll+mass, zone+mass: half the caches are new or emptied, each fill through the full link came late."""
    b = RouterHarness(routers=8)
    for c in (-1, 21):
        b.router.concurrency.record_time(c, 0.0, 10.0, 6.0)
    went = {
        way: sum(b.router.concurrency.admits(c, 0.0, 1.0, b.router.chance, way) for _ in range(4000)) / 4000
        for way, c in ((False, 21), (True, -1))
    }
    assert went[False] > 0.8 > 0.7 > went[True]


def test_crowded_caches_do_not_rest():
    """Time-outs beside answers are a crowd, not silence."""
    b = RouterHarness()
    for i in range(30):
        b.ask("k", part=i)
        b.end(b.last_request_id, "satisfied" if i % 3 else "timeout", is_final=True)
    assert says(b) == []


def test_erring_parent_is_told_from_erring_caches():
    """andino-slots big-2: fills by one parent end in errors at every cache; the parent rests, the caches serve."""
    b = RouterHarness()
    for i in range(40):
        b.ask("abcdefgh"[i % 8], part=i)
        for _ in range(2):
            q = b.router.requests.get(b.last_request_id)
            if q:
                b.end(
                    b.last_request_id,
                    "errored" if q.source == b.router.endpoints.index[11] else "satisfied",
                    note=0,
                )
    assert says(b) == ["say resting parent 11: errored"]


def test_all_failing_rests_none():
    b = RouterHarness()
    ask_failing(b, 30, "errored")
    assert len([line for line in says(b) if "cache" in line]) <= 1


def test_crowded_home_nacks_and_does_not_spill():
    """Spilled queries miss elsewhere and are filled anew."""
    b = RouterHarness(caches=(21, 22))
    b.serve("a")
    lines = [line for _ in range(12) for line in b.ask("a")]
    assert [line.split()[1] for line in lines] == ["push"] * 10 + ["nack"] * 2


def test_crowd_of_other_routers_is_seen_in_answer_times():
    """Incident ib19254: with 40 routers here each has less than one query in flight, and no limit was met."""
    b = RouterHarness(routers=40)
    b.serve("a", note=1)
    for i in range(2):
        if "push" in b.ask("a")[0]:
            b.end(b.last_request_id, "satisfied", note=1, took_s=1.0)
    assert (
        "".join(b.ask("a")[0].split()[1][0] for _ in range(5)) == "ppppn"
    )  # push or nack; the first: none is out
    assert "".join(b.ask("a", at=60.0 + i)[0].split()[1][0] for i in range(2)) == "pp"


def test_crowded_link_in_shuts_out_misses_only():
    """tender-portal-later big-2: most of what one router in 20 does not know of is held all the same."""
    b = RouterHarness(routers=20)
    for i in range(8):
        b.ask("b", part=i)
        b.end(b.last_request_id, "miss")
        if b.last_request_id in b.router.requests:
            b.end(b.last_request_id, "satisfied", note=2, took_s=2.0)
    assert b.ask("a") + b.end(b.last_request_id, "miss") == ["q9 push 21 from 21 rank 1", "q9 nack"]
    assert b.ask("c", size=5.0) + b.end(b.last_request_id, "miss") == [
        "q10 push 23 from 23 rank 1",
        "q10 push 23 from 12 rank 1",
    ]


def test_ageing_copies_serve_while_fills_fail():
    """tender-portal big-2: the origin ran slow while old copies stood by."""
    b = RouterHarness(request_classes=[request_class(fresh_s=5.0, stale_s=10.0, stale_share=0.7)])
    ask_failing(b, 12, "timeout")
    assert b.ask("a") == [f"q{b.last_request_id} push 21 from 12 rank 1 age<15.000 renew"]


def test_failed_fill_without_budget_looks_for_an_ageing_copy():
    """tender-portal-later rough-2: fills failed behind the parents while old copies stood by."""
    b = RouterHarness(request_classes=[request_class(fresh_s=5.0, stale_s=10.0, stale_share=0.7)])
    b.router.retry_budget.tokens = 0.0
    assert b.ask("a") + b.end(1, "full", note=10) + b.end(1, "miss") == [
        "q1 push 21 from 12 rank 1 age<5.000 renew",
        "q1 push 21 from 21 rank 1 age<15.000 renew",
        "q1 nack",
    ]


def test_slow_cache_rests():
    """A cache whose answer times lie far over its peers' is left out though it answers all."""
    b = RouterHarness()
    for i in range(160):
        slow = (b.serve(f"k{i % 16}", note=2 if i < 16 else 1) if i < 32 else b.ask(f"k{i % 16}"))[0]
        if i >= 32:
            b.end(b.last_request_id, "satisfied", took_s=1.2 if "push 21 " in slow else 0.1, note=1)
    assert says(b)[:1] == ["say resting cache 21: satisfied"] and not any(
        "cache 2%d" % n in s for n in (2, 3, 4) for s in says(b)
    )


def test_holder_whose_copy_has_aged_counts_as_a_fill():
    """andino-slots overload: aged copies are fetched anew, and those fetches met neither budget nor limit."""
    b = RouterHarness(request_classes=[request_class(fresh_s=5.0)])
    b.serve("a")
    b.ask("a", at=2.0)
    b.ask("a", at=6.0)
    assert [b.router.requests[n].fills_upstream for n in (2, 3)] == [False, True]


def slow_cache(b, pace):
    """Objects that are held are served, by one cache at another pace; the location's other caches are quick."""
    for part in range(24):
        b.serve("k", part=part)
        b.serve("k", part=part)
    for part in [i % 24 for i in range(96)]:
        b.ask("k", part=part)
        while b.last_request_id in b.router.requests:
            at = b.router.endpoints.ids[b.router.requests[b.last_request_id].server]
            b.end(b.last_request_id, "satisfied", note=1, took_s=0.1 * (pace if at == 21 else 1.0))
    return says(b)


def test_a_slow_cache_rests_before_its_crowd_sheds_what_would_tell():
    """Fleet days of the sockets: the queries of a cache that ran 4 to 9 times slower were nacked for all of it."""
    assert slow_cache(RouterHarness(note_detail="all", routers=2), 5.0)[:1] == [
        "say resting cache 21: satisfied"
    ]


def test_a_cache_that_is_less_quick_by_nature_does_not_rest():
    """Fleet seed 11: rested for 1.7 times its peers' time, it kept the truly slow one from resting."""
    assert slow_cache(RouterHarness(note_detail="all", routers=2), 1.7) == []


def test_what_a_resting_home_leaves_spreads_over_all_others():
    """Fleet seed 11: its ring's other point alone was crowded by it."""
    b = RouterHarness()
    codes = [
        code for code in range(1000) if b.router.rings.beacon_order(code)[0] == b.router.endpoints.index[21]
    ]
    seconds = [b.router.endpoints.ids[b.router.rings.beacon_order(code)[1]] for code in codes]
    assert {c: seconds.count(c) > len(codes) / 5 for c in (22, 23, 24)} == dict.fromkeys((22, 23, 24), True)


def test_a_slow_cache_that_is_quick_again_comes_back_at_once():
    """Fleet seed 20: its crowd was remembered, and each good answer of its trials counted as a failure."""

    def fault(took):
        b = RouterHarness(note_detail="all", routers=2)
        b.serve("k"), b.serve("k"), b.ask("k")
        c = b.router.requests[b.last_request_id].server
        b.router.concurrency.record_time(c, b.now, 4.0, 36.0)
        b.end(b.last_request_id, "satisfied", note=1, took_s=took)
        return b.router.cache_outliers.failure_rate.get(c, 0.0)

    assert (fault(0.11) > 0.0, fault(0.5) > 0.0) == (False, True)


def test_what_a_lone_crowded_cache_sheds_goes_to_others_and_is_nacked_where_all_are_crowded():
    """Fleet seeds 11 and 20: until a slow cache rested, all that its crowd shed was nacked beside idle caches."""

    def shed(others):
        b = RouterHarness(routers=2)
        for c, crowd in ((21, 9.0), (22, others), (23, others), (24, others)):
            b.router.concurrency.record_time(b.router.endpoints.index[c], b.now, 4.0, 4.0 * crowd)
            b.router.endpoints.in_flight[b.router.endpoints.index[c]] = 1
        home = next(
            part
            for part in range(99)
            if b.router.rings.beacon_order(
                b.router.objects.states.setdefault(("k", part), ObjectState("k", part, 0)).code
            )[0]
            == b.router.endpoints.index[21]
        )
        return b.ask("k", part=home)[0].split(" from")[0]

    assert (shed(0.0), shed(9.0)) == ("q1 push 24", "q1 nack")


def test_what_a_cold_cache_can_do_is_judged_by_answers_of_the_warm():
    """Hunt h99c0b0 (depot-fare-cache-later): in a jam the last warm caches were sent many times what they could do;
    taken for their power, it let cold peers be pushed over."""

    def power(result):
        b = RouterHarness(weight=0.0, routers=40)
        for part in range(60):
            b.ask("k", part=part)
            while b.last_request_id in b.router.requests:
                b.end(b.last_request_id, result, took_s=0.3)
        return b.router.throughput.power(b.router.endpoints.index[21], b.now)

    assert power("timeout") == 1.0 < power("satisfied")


def test_a_newcomer_takes_the_place_of_a_server_long_gone():
    """Where servers are replaced all day, the arrays and every figure of a server must not grow, nor pass to the next."""
    b = RouterHarness()
    for n in range(100, 140):
        rows = [b.row(c) for c in CACHES[:3]] + [b.row(n)]
        b.call(EndpointsListed(False, rows[3:] + [b.row(n - 1, "gone")]), at=n * 20.0)
        b.serve(f"k{n}", at=n * 20.0 + 1.0)
        b.router.cache_outliers.failure_rate[b.router.endpoints.index[n]] = 0.9
    fleet = b.router.endpoints
    assert len(fleet.ids) <= 12 and len(fleet.index) == len(fleet.ids) == len(fleet.emptied_at)
    b.call(EndpointsListed(False, [b.row(999)]), at=5000.0)
    assert fleet.ids[fleet.index[999]] == 999 and fleet.index[999] not in b.router.cache_outliers.failure_rate


def test_objects_and_purges_are_kept_within_the_memory_that_is_told():
    b = RouterHarness(machine=Bounds(1, 256, 0, 0))
    for n in range(500):
        b.serve(f"k{n}", at=n * 0.01)
        b.call(ObjectsPurged(f"g{n}", 0.0, ""), at=n * 1.0 + 0.005)
    assert (
        len(b.router.objects.states) <= 200
        and "k499" in {key for key, _ in b.router.objects.states}
        and len(b.router.purges.purged_at) < 10
    )


def own(b, key, count, **ask):
    """What becomes of queries that the path would nack: every push to any cache is full."""
    lines = []
    for _ in range(count):
        lines += b.ask(key, **ask)
        while b.last_request_id in b.router.requests:
            lines += b.end(b.last_request_id, "full")
    return [line.split()[1] for line in lines if line[0] == "q" and "push" not in line]


def test_what_would_be_nacked_is_answered_from_memory_as_far_as_the_link_goes():
    """Releases and restarts: caches are full, what was answered a moment ago is nacked, the own link is idle."""
    b = RouterHarness(machine=Bounds(64, 256, 100_000, 100_000))
    b.ask("k")
    b.end(1, "miss"), b.end(1, "satisfied", copy=(0.0, 10_000))
    assert own(b, "other", 1) == ["nack"]
    assert own(b, "k", 5, at=1.0) == ["own"] * 3 + ["nack"] * 2
    assert own(b, "k", 1, at=9.0) == ["own"] and b.ask("k", remaining_s=0.25, at=20.0) == ["q9 own"]


def test_no_copy_in_memory_outlives_its_age_a_purge_or_its_room():
    b = RouterHarness(
        machine=Bounds(1, 256, 100_000, 400_000),
        request_classes=[
            request_class(fresh_s=5.0, stale_s=3.0),
            request_class(idempotency=Idempotency.KEYED),
        ],
    )

    def kept(key, made, size=100, **ask):
        b.ask(key, **ask)
        while b.last_request_id in b.router.requests:
            b.end(
                b.last_request_id,
                "satisfied"
                if b.router.requests[b.last_request_id].source != b.router.requests[b.last_request_id].server
                else "miss",
                copy=(made, size),
            )

    kept("k", 0.0)
    assert own(b, "k", 1, at=7.8) == ["own"] and own(b, "k", 1, at=7.95) == ["nack"]
    kept("m", 8.0, at=8.0), b.call(ObjectsPurged("", 0.0, "m"), at=8.5)
    assert own(b, "m", 1, at=8.6) == ["nack"] and len(b.trace.kept) == 1
    kept("m", 8.4, at=9.0)  # what a cache answers from before the purge is not kept either
    kept("n", 9.0, request_class=1)  # nor what has an effect
    assert len(b.trace.kept) == 1
    for n in range(9):
        kept(f"b{n}", 9.0, 30_000)
    assert (
        len(b.trace.kept) == len(b.router.local_cache.held) == 4
        and b.router.local_cache.size_bytes == 120_000
    )


def test_a_limit_found_while_little_was_asked_does_not_stay_under_the_told_weight():
    """rate+silent+leave: limits began at 32 where weights tell of 59 a cache, and grew too slowly for the load."""
    b = RouterHarness(caches=(21,), weight=59.0, routers=2)
    room = b.router.concurrency.has_capacity
    assert [room(c, inflight, 1.0, 59.0) for c, inflight in ((1, 64), (1, 65))] == [True, False]
    b.router.concurrency.limit[1] = 200.0
    assert [room(1, inflight, 1.0, 59.0) for inflight in (91, 92)] == [True, False]


def test_a_server_that_takes_the_time_it_always_takes_is_not_crowded():
    """Calm days: the way to the origin and a cache slow by nature counted as crowds; 2 to 3% were nacked."""
    b = RouterHarness(routers=3)
    for server, usual, way_in in ((11, 1.5, True), (21, 3.0, False)):
        c = b.router.endpoints.index[server]
        b.router.concurrency.record_time(c, b.now, 8.0, usual)
        assert all(b.router.concurrency.admits(c, b.now, 0.2, b.router.chance, way_in) for _ in range(50))
        b.router.concurrency.record_time(c, b.now, 8.0, 16.0)
        assert not all(b.router.concurrency.admits(c, b.now, 0.2, b.router.chance, way_in) for _ in range(50))


def stuck_origin(b, count=6):
    """Fills that the origin never finishes: each cache gives its own up."""
    for i in range(count):
        b.ask("abcdefgh"[i % 8], part=100 + i)
        while b.last_request_id in b.router.requests:
            b.end(b.last_request_id, "errored", note=7, took_s=1.3)
            b.now += 0.2


def test_stuck_origin_is_left_to_recover():
    """roll+mass and join+mass: the origin works on fills that were given up long ago, new ones only add to them. What
    parents hold goes on being served; what they lack is mostly nacked, at once, until fills do well again."""
    b = RouterHarness(note_detail="all", seed=3)
    stuck_origin(b)
    lines = b.ask("z")
    assert lines == ["q7 push 23 from 12 rank 1 held"]
    b.end(b.last_request_id, "satisfied", note=2)  # held by the parent: served as ever
    shut = 0
    for i in range(20):
        b.now += 0.05
        b.ask("z", part=200 + i)
        shut += b.end(b.last_request_id, "miss", note=8) == [f"q{b.last_request_id} nack"]
        if b.last_request_id in b.router.requests:
            b.end(b.last_request_id, "errored", note=7, is_final=True)
    assert 15 <= shut < 20  # some go, or nobody would see it recover
    b.now += 12.0
    for i in range(8):
        b.serve("y", part=i, note=3)
    assert b.ask("z", part=300) == ["q36 push 21 from 12 rank 1"]


def test_late_fills_shut_the_way_before_they_end():
    """join+mass: what went to the origin in the second until the first fills failed took it six to work off."""
    b = RouterHarness(note_detail="all")
    for i in range(5):
        b.ask("a", part=i)
    b.now += 0.2
    assert "held" not in b.ask("a", part=10)[0]
    b.now += 0.5  # past the contract time of each
    assert "held" in b.ask("a", part=11)[0]


def test_dead_parents_and_held_fills_do_not_speak_of_the_origin():
    """zone+mass: parents of a lost zone refuse at once, links are full; the origin is well."""
    b = RouterHarness(note_detail="all")
    for i in range(6):
        b.ask("abcdefgh"[i % 8], part=i)
        b.end(b.last_request_id, "full", note=7, took_s=0.07, is_final=True)
    assert b.router.origin_breaker.admit_probability(b.now) == 1.0


def test_clients_in_a_hurry_do_not_speak_of_the_origin():
    """wide: half of the clients give hardly more time than a hit takes; their fills end before any could have come."""
    b = RouterHarness(note_detail="all")
    for i in range(12):
        b.ask("abcdefgh"[i % 8], part=i, remaining_s=0.15)
        b.now += 0.1
        b.end(b.last_request_id, "timeout", took_s=0.1, is_final=True)
    assert b.router.origin_breaker.admit_probability(b.now) == 1.0


def test_way_to_the_origin_follows_what_comes_back():
    breaker = OriginCircuitBreaker()
    told = []
    for now, good in (
        (0.0, True),
        (0.5, False),
        (1.0, False),
        (1.5, False),
        (2.0, False),
        (9.0, True),
        (14.0, True),
    ):
        breaker.record(now, good)
        told.append(round(breaker.admit_probability(now), 2))
    assert told == [1.0, 0.37, 0.11, 0.05, 0.02, 0.53, 1.0]


def test_what_is_saved_for_a_cold_server_counts_from_its_telling_and_is_not_kept_for_its_next_start():
    """A router with few queries was refused its first one at each server that started, and a server that started twice met
    all that had been saved since its first start at once."""
    b = RouterHarness(routers=4)
    budget, power = b.router.slow_start["cache"], 4.0

    def told(now, born):
        b.router.process(now, [EndpointsListed(False, [b.row(1, "ready", born=born)])], b)
        c = b.router.endpoints.index[1]
        return c, budget.fleet_rate(now, born, power, 0.1) * budget.share(c, born)

    def take(now, born):
        return budget.admits(
            c, now=now, started_at=born, power=power, work=0.1, largest_s=0.1, chance=b.router.chance
        )

    c, rate = told(10.0, 9.9)
    assert take(10.0, 9.9) is False
    c, rate = told(100.0, 99.9)  # its second start: nothing is left of what came since the first
    assert take(100.0, 99.9) is False
    c, rate = told(200.0, 199.9)
    assert take(200.0 + 0.2 / rate, 199.9) is True


def test_a_router_with_few_queries_learns_soon_what_they_take():
    """Routers of a fleet of 200 see a query or two a second: two percent of each left the first guess, the contract time, at four
    times what answers took for a minute, and cold servers got a quarter of what they bear."""
    b = RouterHarness()
    for i in range(10):
        b.serve("a", part=i)
    assert 0.1 < b.router.statistics.transfer_s[0] < 0.2  # each takes 0.1 s, the first guess was 0.3
    for i in range(40):
        b.serve("b", part=i)
    assert 0.1 < b.router.statistics.transfer_s[0] < 0.125
