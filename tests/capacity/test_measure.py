"""Figures of a phase: rates per router, missed purges, and recovery after a cut."""

from brookhinge.emulator.capacity.measure import Counters, PurgeRecord, catch_up, cost, effective_at, purges


def test_cost_is_the_median_and_worst_rate_per_second():
    before = {name: Counters(0.0, 0, 0, 0, 0, 0.0) for name in "abc"}
    after = {
        "a": Counters(2.0, 2, 200, 0, 0, 0.02),
        "b": Counters(2.0, 4, 400, 2, 200, 0.04),
        "c": Counters(2.0, 0, 0, 0, 0, 0.0),
    }
    figures = cost(before, after)
    assert figures["bytes_s"] == {"median": 100.0, "worst": 300.0}
    assert figures["messages_s"] == {"median": 1.0, "worst": 3.0}
    assert figures["core_share"] == {"median": 0.01, "worst": 0.02}


def test_routers_that_started_later_or_are_down_are_not_counted():
    records = {1: PurgeRecord(10.0, {"a": 10.1, "b": 10.4}, 10.6)}
    since = {"a": 0.0, "b": 1.0, "late": 11.0, "down": None}
    figures = purges(records, since)
    assert figures["missed"] == 0 and figures["expected"] == 2
    assert figures["all_s"]["worst"] == 0.4 and figures["known_s"]["worst"] == 0.6


def test_purge_that_never_arrives_or_is_late_counts_as_missed():
    records = {1: PurgeRecord(10.0, {"a": 10.1}), 2: PurgeRecord(10.0, {"a": 10.1, "b": 25.0})}
    figures = purges(records, {"a": 0.0, "b": 0.0}, until=10.0)
    assert figures["missed"] == 2 and figures["known"] == 0 and figures["known_s"]["worst"] is None


def test_catch_up_time_is_none_while_a_purge_is_missed():
    records = {1: PurgeRecord(1.0, {"x": 9.0}), 2: PurgeRecord(2.0, {"x": 9.5, "y": 9.2})}
    whole = {"missed_while_away": 0, "unbound_s": 8.0, "not_exact": 0, "catch_up_s": 1.5}
    assert catch_up(records, {"x"}, 8.0) == whole
    assert catch_up(records, {"x", "y"}, 8.0) == {**whole, "missed_while_away": 1, "catch_up_s": None}


def test_purge_takes_effect_when_a_router_stops_using_its_copies():
    record = PurgeRecord(10.0, {"late": 20.0})
    assert (
        effective_at(record, "late", {"late": [(8.0, "PROVEN"), (13.0, "STALE"), (20.0, "PROVEN")]}) == 13.0
    )
    assert effective_at(record, "stale", {"stale": [(9.0, "STALE")]}) == 10.0
    assert effective_at(record, "new", {"new": []}) == 10.0  # uses no copies before its first proof
    assert effective_at(record, "told by peers", {}) is None
    assert effective_at(record, "proven", {"proven": [(8.0, "STALE"), (9.0, "PROVEN")]}) is None
    assert effective_at(record, "aside", {"aside": [(9.0, "PROVEN"), (11.0, "ASIDE")]}) == 11.0
    assert (
        effective_at(record, "before", {"before": [(8.0, "PROVEN"), (9.0, "ASIDE"), (9.5, "READMIT")]})
        is None
    )


def test_router_that_still_sets_copies_aside_has_not_caught_up():
    records = {1: PurgeRecord(1.0, {})}
    away = [(0.5, "PROVEN"), (4.0, "STALE"), (8.1, "ASIDE"), (8.1, "PROVEN")]
    figures = catch_up(records, {"x"}, 8.0, {"x": away})
    assert figures == {"missed_while_away": 0, "unbound_s": 3.0, "not_exact": 1, "catch_up_s": None}
    figures = catch_up(records, {"x"}, 8.0, {"x": [*away, (9.0, "READMIT")]})
    assert figures == {"missed_while_away": 0, "unbound_s": 3.0, "not_exact": 0, "catch_up_s": 1.0}
