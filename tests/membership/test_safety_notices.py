"""What peers tell of servers: it tightens at once, and nothing it says loosens."""

from helpers import RouterHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from brookhinge.decisions.messages import Endpoint, RouterCountChanged
from brookhinge.membership.safety_notices import SEVERITY, SafetyNotices


def row(server="s", health="ready", born=None):
    return Endpoint(server, health, 4.0, born, 0, "box", 1)


def test_a_drain_received_binds_until_the_own_channel_has_caught_up():
    t = SafetyNotices(1000.0)
    assert t.receive_row(row()) == (row(), None)
    assert t.receive_notice(("draining", "s", 0)) == row(health="draining")
    assert t.receive_notice(("draining", "s", 0)) is None  # once
    assert t.receive_row(row())[0] == row(health="draining")  # the own channel is behind
    assert t.receive_row(row(health="draining")) == (row(health="draining"), None)  # the peers know
    assert t.receive_row(row())[0] == row()  # it says so itself: it is ready again


def test_a_late_notice_of_a_drain_that_is_over_holds_nothing():
    t = SafetyNotices(1000.0)
    for health in ("ready", "draining", "ready"):
        t.receive_row(row(health=health))
    assert t.receive_notice(("draining", "s", 0)) is None and t.receive_row(row())[0] == row()
    assert t.receive_notice(("gone", "s", 0)) == row(health="gone")


def test_a_notice_of_another_start_changes_nothing():
    t = SafetyNotices(1000.0)
    t.receive_row(row(born=5.0))
    assert t.receive_notice(("gone", "s", 0)) is None and t.receive_row(row(born=5.0))[0] == row(born=5.0)
    assert t.receive_notice(("gone", "s", 1005000)) == row(health="gone", born=5.0)
    assert t.receive_row(row(born=9.0))[0] == row(born=9.0)


def test_received_before_the_own_channel_lists_it():
    t = SafetyNotices(0.0)
    assert t.receive_notice(("gone", "new", 7000)) is None
    assert t.receive_row(row("new", born=7.0))[0] == row("new", "gone", 7.0)


def test_a_whole_list_that_leaves_one_out_is_a_notice():
    t = SafetyNotices(0.0)
    t.receive_row(row("a")), t.receive_row(row("b"))
    assert t.absent({"b"}) == [("gone", "a", 0)] and t.absent({"b"}) == []


def test_notices_that_are_no_notices():
    t = SafetyNotices(0.0)
    t.receive_row(row())
    assert t.receive_notice(("ready", "s", 0)) is None and t.receive_notice(("draining", 5, 0)) is None


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
def test_notices_never_loosen(steps):
    t, now = SafetyNotices(0.0), {}
    for how, health, born in steps:
        if how == "row":
            used, _ = t.receive_row(row(health=health, born=born))
            assert SEVERITY[used[1]] >= SEVERITY[health]
            now = {"health": used[1], "born": born} if health != "gone" else {}
        else:
            used = t.receive_notice((health, "s", t.stamp(born)))
            if used is not None:
                assert now["born"] == born and SEVERITY[used[1]] > SEVERITY[now["health"]]
                now["health"] = used[1]


def test_purges_are_taken_once():
    t = SafetyNotices(0.0)
    assert [t.purge_is_new(3, "", 5), t.purge_is_new(3, "", 5), t.purge_is_new(3, "", 6)] == [
        True,
        False,
        True,
    ]


def test_more_sharers_make_a_cold_budget_smaller_at_once():
    b = RouterHarness(routers=4)
    rate = [cold.fleet_rate(0.5, 0.0, 4.0, 0.1) * cold.share(0, 0.0) for cold in b.router.slow_start.values()]
    b.call(RouterCountChanged(8, 16))
    assert [
        cold.fleet_rate(0.5, 0.0, 4.0, 0.1) * cold.share(0, 0.0) for cold in b.router.slow_start.values()
    ] == [
        rate[0] / 2,
        rate[1] / 4,
    ]
