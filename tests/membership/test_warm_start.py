"""Warm start: the decisions, the request protocol, and real router processes."""

import asyncio

from helpers import RouterHarness

from brookhinge.decisions.messages import ObjectsPurged, WarmStartReceived
from brookhinge.decisions.router import Router
from brookhinge.emulator.process_cluster import ProcessCluster
from brookhinge.engine import events
from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.core import CoreContext
from brookhinge.membership.messages import CoreMessage, WarmStartRequest, WarmStartState
from brookhinge.membership.view import MembershipView
from brookhinge.membership.warm_start import WarmStart
from brookhinge.membership.warm_start_decisions import WarmStartMixin


class WarmStartBench(RouterHarness):
    """A bench whose router sends and applies warm-start state."""

    def __init__(self, **named):
        super().__init__(**named)
        self.router.__class__ = type("Router", (WarmStartMixin, Router), {})


def transfer_state(old, new):
    new.router.process(new.now, [WarmStartReceived(old.router.warm_start_rows())], new.trace)


def test_sub_ranges_transfer_times_and_holders_are_adopted():
    old, new = WarmStartBench(), WarmStartBench()
    for i in range(30):
        old.serve("abc"[i % 3])
    old.router.rings.rings[0][1][0] = 300
    transfer_state(old, new)
    assert (
        new.router.rings.rings[0][1] == old.router.rings.rings[0][1]
        and new.router.statistics.transfer_s == old.router.statistics.transfer_s
    )
    assert {key: list(state.holders) for key, state in new.router.objects.states.items()} == {
        key: list(state.holders) for key, state in old.router.objects.states.items()
    }
    target = new.ask("a")[0].split()[2]
    assert target in [str(old.router.endpoints.ids[c]) for c in old.router.objects.states["a", 0].holders]


def test_own_samples_and_purges_take_precedence_over_warm_start_state():
    old, new = WarmStartBench(), WarmStartBench()
    for _ in range(3):
        old.serve("a")
    old.serve("b", group=5)
    for _ in range(60):
        new.serve("c")
    mean = new.router.statistics.transfer_s[0]
    new.call(ObjectsPurged(5, 0.0, ""))
    new.call(ObjectsPurged(-1, 0.0, "a"))
    transfer_state(old, new)
    assert (
        new.router.statistics.transfer_s[0] == mean
        and ("a", 0) not in new.router.objects.states
        and ("b", 0) not in new.router.objects.states
    )


def test_rows_that_match_nothing_are_ignored():
    new = WarmStartBench()
    before = [list(ends) for _, ends, _ in new.router.rings.rings]
    rows = [
        ("ring", 21, 2, "", 5000, 1000),
        ("ring", 99, 2, "", 300, 1000),
        ("takes", "other", 0, "", 0.5, 99.0),
        ("holder", "x", 0, 99, 0, 9.0),
        ("unknown", "x", 0, "", 0, 0),
    ]
    new.router.process(new.now, [WarmStartReceived(rows)], new.trace)
    assert [ends for _, ends, _ in new.router.rings.rings] == before and not new.router.objects.states


class Writer:
    def __init__(self):
        self.posted, self.events = [], []

    def post_to(self, i, *message_and_rows):
        self.posted.append((i, *message_and_rows))

    def post_event(self, event):
        self.events.append(event)


def make_core(states):
    view = MembershipView(600.0)
    for n, state in enumerate(states):
        view.apply(0.0, Claim(f"n{n}", n + 1, 1, 1, state, "h", n + 1, "z", 1, 0.0), "n0")
    context = CoreContext(view, "n0", "z", 1)
    return WarmStart(context, known_rows=lambda: [("takes", "page", 0, "", 0.1, 9.0)] * 23, now=0.0), Writer()


def test_members_are_asked_in_turn_until_one_answers():
    warm_start, writer = make_core((*[MemberState.ALIVE] * 3, MemberState.LOST))
    for k in range(4):
        warm_start.round(k * 0.5, [], writer)
    assert {row[0] for row in writer.posted} == {1, 2} and [row[1] for row in writer.posted] == [
        WarmStartRequest(0, 0)
    ] * 4
    warm_start.round(
        2.0, [CoreMessage(2, WarmStartState(0, 1), [("takes", "page", 0, "", 0.1, 9.0)])], writer
    )
    assert writer.events == [
        events.WarmStartReceived([("takes", "page", 0, "", 0.1, 9.0)])
    ] and warm_start.next_at() == float("inf")
    # it now answers requests, split into datagrams
    warm_start.round(2.1, [CoreMessage(3, WarmStartRequest(0, 0), ())], writer)
    assert [len(row[2]) for row in writer.posted[4:]] == [10, 10, 3]


def test_router_without_members_to_ask_finishes_and_sends_nothing():
    warm_start, writer = make_core((MemberState.ALIVE,))
    warm_start.round(0.0, [CoreMessage(3, WarmStartRequest(0, 0), ())], writer)
    for k in range(9):
        warm_start.round(k * 0.5, [], writer)
    assert writer.posted == [] and warm_start.is_done


def test_restarted_router_process_receives_warm_start_rows(tmp_path):
    async def scenario():
        async with ProcessCluster(tmp_path, routers=3, boxes=3, more="share_memory = true") as rig:
            assert await rig.until(rig.one_view, 60.0)
            await asyncio.sleep(3.5)  # routers that started together have stopped asking
            caller = await rig.caller("n1")
            for _ in range(3):
                for n in range(20):
                    assert (await caller.ask(f"{n + 1:016x}"))[0] == "satisfied"
            caller.close()
            await rig.end("n2")
            await rig.start("n2")
            return (
                await rig.until(lambda: rig.log("n2", "remembered"), 60.0)
                and rig.log("n2", "remembered")[0]["rows"] > 0
            )

    assert asyncio.run(scenario())
