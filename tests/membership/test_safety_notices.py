"""Safety notices from members tighten rules at once and never loosen one."""

from helpers import RouterHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.decisions.messages import Endpoint, RouterCountChanged
from brookhinge.membership.safety_notices import SEVERITY, SafetyNotices


def endpoint(server="s", health="ready", born=None):
    return Endpoint(server, health, 4.0, born, 0, "box", 1)


def test_received_drain_holds_until_the_own_channel_has_caught_up():
    notices = SafetyNotices(1000.0)
    assert notices.receive_row(endpoint()) == (endpoint(), None)
    assert notices.receive_notice(("draining", "s", 0)) == endpoint(health="draining")
    assert notices.receive_notice(("draining", "s", 0)) is None  # a repeated notice changes nothing
    # the own channel has not caught up yet
    assert notices.receive_row(endpoint())[0] == endpoint(health="draining")
    # no notice: the members know already
    assert notices.receive_row(endpoint(health="draining")) == (
        endpoint(health="draining"),
        None,
    )
    # the own channel reports it ready again after the drain
    assert notices.receive_row(endpoint())[0] == endpoint()


def test_late_notice_of_an_ended_drain_is_ignored():
    notices = SafetyNotices(1000.0)
    for health in ("ready", "draining", "ready"):
        notices.receive_row(endpoint(health=health))
    assert (
        notices.receive_notice(("draining", "s", 0)) is None
        and notices.receive_row(endpoint())[0] == endpoint()
    )
    assert notices.receive_notice(("gone", "s", 0)) == endpoint(health="gone")


def test_notice_for_another_start_of_a_server_is_ignored():
    notices = SafetyNotices(1000.0)
    notices.receive_row(endpoint(born=5.0))
    assert notices.receive_notice(("gone", "s", 0)) is None and notices.receive_row(endpoint(born=5.0))[
        0
    ] == endpoint(born=5.0)
    assert notices.receive_notice(("gone", "s", 1005000)) == endpoint(health="gone", born=5.0)
    assert notices.receive_row(endpoint(born=9.0))[0] == endpoint(born=9.0)


def test_notice_received_before_the_server_is_listed_is_applied_later():
    notices = SafetyNotices(0.0)
    assert notices.receive_notice(("gone", "new", 7000)) is None
    assert notices.receive_row(endpoint("new", born=7.0))[0] == endpoint("new", "gone", 7.0)


def test_server_missing_from_a_full_list_yields_a_notice():
    notices = SafetyNotices(0.0)
    notices.receive_row(endpoint("a")), notices.receive_row(endpoint("b"))
    assert notices.remove_absent({"b"}) == [("gone", "a", 0)] and notices.remove_absent({"b"}) == []


def test_invalid_notices_are_ignored():
    notices = SafetyNotices(0.0)
    notices.receive_row(endpoint())
    assert (
        notices.receive_notice(("ready", "s", 0)) is None
        and notices.receive_notice(("draining", 5, 0)) is None
    )


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["row", "notice"]),
            st.sampled_from(["ready", "draining", "gone"]),
            st.sampled_from([None, 1.0, 2.0]),
        ),
        max_size=12,
    )
)
def test_notices_never_loosen_a_rule(steps):
    notices, now = SafetyNotices(0.0), {}
    for how, health, born in steps:
        if how == "row":
            used, _ = notices.receive_row(endpoint(health=health, born=born))
            assert SEVERITY[used[1]] >= SEVERITY[health]
            now = {"health": used[1], "born": born} if health != "gone" else {}
        else:
            used = notices.receive_notice((health, "s", notices.unix_ms(born)))
            if used is not None:
                assert now["born"] == born and SEVERITY[used[1]] > SEVERITY[now["health"]]
                now["health"] = used[1]


def test_each_purge_is_new_only_once():
    notices = SafetyNotices(0.0)
    assert [
        notices.purge_is_new(3, "", 5),
        notices.purge_is_new(3, "", 5),
        notices.purge_is_new(3, "", 6),
    ] == [
        True,
        False,
        True,
    ]


def test_slow_start_share_shrinks_when_more_routers_share_it():
    bench = RouterHarness(routers=4)
    rate = [
        cold.fleet_rate(0.5, 0.0, 4.0, 0.1) * cold.share(0, 0.0) for cold in bench.router.slow_start.values()
    ]
    bench.call(RouterCountChanged(8, 16))
    assert [
        cold.fleet_rate(0.5, 0.0, 4.0, 0.1) * cold.share(0, 0.0) for cold in bench.router.slow_start.values()
    ] == [
        rate[0] / 2,
        rate[1] / 4,
    ]
