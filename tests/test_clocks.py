"""Tests with timestamps from wall clocks that were changed.

A wrong timestamp must be treated at least as strictly as the correct time would be.
"""

import pytest

from brookhinge.decisions import rules
from brookhinge.decisions.messages import EndpointsListed
from brookhinge.engine.events import AttemptEnded, ObjectsPurged, RequestReceived
from brookhinge.net.stamp_clock import StampClock
from tests.helpers import EFFECT_WORDS, RouterHarness, StateHarness, configuration

HOUR_S = 3600.0


def recording_desk(folder, **options):
    """Return a desk, and a list that receives the maximum copy age of each attempt."""
    desk, max_ages_s = StateHarness(folder, **options), []
    forward = desk.state.sink.forward
    desk.state.sink.forward = lambda request, attempt: (
        max_ages_s.append(attempt.max_age_s),
        forward(request, attempt),
    )
    return desk, max_ages_s


def starting_desk(folder):
    """Return a recording desk in its first round; caches hold no purged copies 5 s after a purge."""
    settings = configuration()["settings"]
    settings["Specifics"]["GoneEverywhereNs"] = 5e9
    desk, max_ages_s = recording_desk(folder, settings=settings)
    desk.state.purges.is_first_round = True
    return desk, max_ages_s


@pytest.mark.parametrize("purged_at", [-HOUR_S, HOUR_S, 9.9])
def test_new_purge_with_wrong_timestamp_is_treated_as_recent(tmp_path, purged_at):
    """The sender's clock was set back or forward; no copy from before the purge may be served."""
    desk, max_ages_s = recording_desk(tmp_path)
    desk.process(ObjectsPurged(4, 0, purged_at, "aa"), at=10.0)
    desk.ask(at=10.5)
    assert len(max_ages_s) == 1 and 0.0 < max_ages_s[0] <= 0.6


def test_purges_known_at_startup_are_dated_relative_to_the_newest(tmp_path):
    """The newest purge cannot be later than now; the timestamps give the age of the others relative to it."""
    desk, max_ages_s = starting_desk(tmp_path)
    events = [
        ObjectsPurged(4 + n, 0, purged_at, key)
        for n, (purged_at, key) in enumerate([(-HOUR_S, "aa"), (-2.0, "bb")])
    ]
    desk.process(*events, at=10.0)
    desk.ask(key=b"aa", at=10.5)
    desk.ask(key=b"bb", at=10.5)
    assert max_ages_s[0] == 0.0 and 0.4 < max_ages_s[1] <= 0.5


@pytest.mark.parametrize(
    "started_at, warming_since", [(-HOUR_S, 10.0), (HOUR_S, 10.0), (9.5, 9.5), (-20.0, 10.0), (None, None)]
)
def test_newly_listed_server_is_in_slow_start_despite_a_wrong_start_time(started_at, warming_since):
    bench = RouterHarness()
    bench.call(EndpointsListed(False, [bench.row(31, born=started_at)]), at=10.0)
    endpoints = bench.router.endpoints
    assert endpoints.warming_since[endpoints.index[31]] == warming_since
    bench.call(EndpointsListed(False, [bench.row(31, born=started_at)]), at=90.0)  # same start listed again
    assert endpoints.warming_since[endpoints.index[31]] == warming_since


def test_start_times_in_the_first_list_are_relative_to_the_newest():
    """Holds for any clock error at the router's startup: the newest start cannot be later than now."""
    bench = RouterHarness(caches=())
    endpoints = bench.router.endpoints
    endpoints.first_listed_at = None
    bench.call(
        EndpointsListed(True, [bench.row(31, born=-HOUR_S), bench.row(32, born=-HOUR_S - 5.0)]), at=10.0
    )
    assert [endpoints.warming_since[endpoints.index[server]] for server in (31, 32)] == [10.0, 5.0]


@pytest.mark.parametrize("is_caught_up, expected_effect", [(True, "satisfy"), (False, "pull")])
def test_local_copy_is_not_served_while_a_purge_may_be_unread(tmp_path, is_caught_up, expected_effect):
    """After a stall, until the command channel has answered, the copy may be older than an unread purge."""
    desk = StateHarness(
        tmp_path, limits={"memory_mb": 192, "sockets": 1024}, flow_bytes_per_s=1e6, link_bytes_per_s=1e7
    )
    desk.ask(at=10.0)
    desk.process(AttemptEnded(0, 1, "miss", 0, 0.0, None, b"", False, 10.1), at=10.1)
    desk.process(
        AttemptEnded(0, 2, "satisfied", 2, 0.0, None, b"bytes", False, 10.2, 10.1, b"t", None), at=10.2
    )
    request = (1, 9, b"r9", b"page", b"aa", b"0", 0, 4, 100.0, 0.2, None, b"", 10.3)
    effects = desk.state.reduce(10.3, [RequestReceived(*request)], is_caught_up)
    assert [EFFECT_WORDS[type(effect)] for effect in effects] == [expected_effect]


@pytest.mark.parametrize("dated_at, is_kept", [(10.0, True), (10.0 + HOUR_S, False), (12.0, False)])
def test_copy_dated_in_the_future_is_not_kept(tmp_path, dated_at, is_kept):
    """Its age is unknown, and it would count as fresh for an hour."""
    desk = StateHarness(
        tmp_path, limits={"memory_mb": 192, "sockets": 1024}, flow_bytes_per_s=1e6, link_bytes_per_s=1e7
    )
    desk.ask(at=10.0)
    desk.process(AttemptEnded(0, 1, "miss", 0, 0.0, None, b"", False, 10.1), at=10.1)
    desk.process(
        AttemptEnded(0, 2, "satisfied", 2, 0.0, None, b"bytes", False, 10.2, dated_at, b"t", None), at=10.2
    )
    assert bool(desk.state.sink.copies) is is_kept


def test_event_time_outside_the_plausible_delay_is_replaced_by_now():
    delay_s = rules.PLAUSIBLE_DELAY_S
    assert rules.event_time(100.0, 100.0 - delay_s) == 100.0 - delay_s
    assert rules.event_time(100.0, 100.0 - delay_s - 1.0) == 100.0
    assert rules.event_time(100.0, 100.5) == 100.0


def test_purge_known_at_startup_applies_if_the_router_clock_was_ahead(tmp_path):
    """The newest known event cannot be later than now; a clock that is ahead cannot show how much earlier."""
    desk, max_ages_s = starting_desk(tmp_path)
    desk.process(ObjectsPurged(4, 0, desk.now - 7.5, "aa"))  # 2.5 s ago by its sender's clock
    desk.ask()
    assert 0.0 < max_ages_s[0] <= 2.6


def test_purge_known_at_startup_applies_if_all_sender_clocks_went_back_before_it(tmp_path):
    """A purge with a lower number has a timestamp an hour later. The router's own clock was correct."""
    desk, max_ages_s = starting_desk(tmp_path)
    purges = [(-20.0, "bb"), (-HOUR_S - 2.0, "aa")]
    desk.process(*[ObjectsPurged(4 + n, 0, purged_at, key) for n, (purged_at, key) in enumerate(purges)])
    desk.ask(key=b"aa")
    assert 0.0 < max_ages_s[0] <= 2.6


@pytest.mark.parametrize("set_by_s", [1.5, 0.5, -1.5, HOUR_S, -HOUR_S])
@pytest.mark.parametrize("is_copy_made_after", [False, True])
def test_copy_looks_no_younger_after_all_wall_clocks_were_set(set_by_s, is_copy_made_after):
    """Guards against own copies served over their age: soak seed 71, all clocks set forward by 1.5 s."""
    started_at, made_at, set_at, received_at = 1000.0, 5.0, 4.0 if is_copy_made_after else 6.0, 7.0
    stamp = started_at + made_at + (set_by_s if is_copy_made_after else 0.0)
    assert set_at < received_at
    clock = StampClock(started_at, lambda: received_at, lambda: started_at + received_at + set_by_s)
    assert clock.since_start(stamp) <= made_at


def test_stamp_is_read_exactly_by_a_clock_that_was_not_set():
    clock = StampClock(1000.0, lambda: 7.0, lambda: 1007.0)
    assert clock.since_start(1005.0) == 5.0
