"""What a router that starts is told by a peer: in the decisions, and among real processes."""

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


class Taught(RouterHarness):
    """A bench whose router remembers."""

    def __init__(self, **named):
        super().__init__(**named)
        self.router.__class__ = type("Router", (WarmStartMixin, Router), {})


def hand_over(old, new):
    new.router.process(new.now, [WarmStartReceived(old.router.memory())], new.trace)


def test_sub_ranges_sending_times_and_holders_are_taken_over():
    old, new = Taught(), Taught()
    for i in range(30):
        old.serve("abc"[i % 3])
    old.router.rings.rings[0][1][0] = 300
    hand_over(old, new)
    assert (
        new.router.rings.rings[0][1] == old.router.rings.rings[0][1]
        and new.router.statistics.transfer_s == old.router.statistics.transfer_s
    )
    assert {key: list(doc.holders) for key, doc in new.router.objects.states.items()} == {
        key: list(doc.holders) for key, doc in old.router.objects.states.items()
    }
    target = new.ask("a")[0].split()[2]
    assert target in [str(old.router.endpoints.ids[c]) for c in old.router.objects.states["a", 0].holders]


def test_own_experience_and_purges_go_before_warm_start_state():
    old, new = Taught(), Taught()
    for _ in range(3):
        old.serve("a")
    old.serve("b", group=5)
    for _ in range(60):
        new.serve("c")
    mean = new.router.statistics.transfer_s[0]
    new.call(ObjectsPurged(5, 0.0, ""))
    new.call(ObjectsPurged(-1, 0.0, "a"))
    hand_over(old, new)
    assert (
        new.router.statistics.transfer_s[0] == mean
        and ("a", 0) not in new.router.objects.states
        and ("b", 0) not in new.router.objects.states
    )


def test_rows_that_fit_nothing_change_nothing():
    new = Taught()
    before = [list(ends) for _, ends, _ in new.router.rings.rings]
    rows = [
        ("ring", 21, 2, "", 5000, 1000),
        ("ring", 99, 2, "", 300, 1000),
        ("takes", "other", 0, "", 0.5, 99.0),
        ("holder", "x", 0, 99, 0, 9.0),
        ("song", "x", 0, "", 0, 0),
    ]
    new.router.process(new.now, [WarmStartReceived(rows)], new.trace)
    assert [ends for _, ends, _ in new.router.rings.rings] == before and not new.router.objects.states


class Writer:
    def __init__(self):
        self.posted, self.events = [], []

    def post_to(self, place, *what):
        self.posted.append((place, *what))

    def post_event(self, event):
        self.events.append(event)


def core(states):
    view = MembershipView(600.0)
    for n, state in enumerate(states):
        view.apply(0.0, Claim(f"n{n}", n + 1, 1, 1, state, "h", n + 1, "z", 1, 0.0), "n0")
    context = CoreContext(view, "n0", "z", 1)
    return WarmStart(context, known_rows=lambda: [("takes", "page", 0, "", 0.1, 9.0)] * 23, now=0.0), Writer()


def test_one_peer_after_another_is_asked_until_one_answers():
    memory, writer = core((*[MemberState.ALIVE] * 3, MemberState.LOST))
    for k in range(4):
        memory.round(k * 0.5, [], writer)
    assert {row[0] for row in writer.posted} == {1, 2} and [row[1] for row in writer.posted] == [
        WarmStartRequest(0, 0)
    ] * 4
    memory.round(2.0, [CoreMessage(2, WarmStartState(0, 1), [("takes", "page", 0, "", 0.1, 9.0)])], writer)
    assert writer.events == [
        events.WarmStartReceived([("takes", "page", 0, "", 0.1, 9.0)])
    ] and memory.next_at() == float("inf")
    memory.round(
        2.1, [CoreMessage(3, WarmStartRequest(0, 0), ())], writer
    )  # from now on it answers, in pieces
    assert [len(row[2]) for row in writer.posted[4:]] == [10, 10, 3]


def test_nobody_to_ask_is_no_error_and_who_knows_nothing_tells_nothing():
    memory, writer = core((MemberState.ALIVE,))
    memory.round(0.0, [CoreMessage(3, WarmStartRequest(0, 0), ())], writer)
    for k in range(9):
        memory.round(k * 0.5, [], writer)
    assert writer.posted == [] and memory.is_done


def test_a_router_that_starts_among_processes_knows_what_its_peer_knew(tmp_path):
    async def script():
        async with ProcessCluster(tmp_path, routers=3, boxes=3, more="share_memory = true") as rig:
            assert await rig.until(rig.one_view, 60.0)
            await asyncio.sleep(3.5)  # those who began together have done asking
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

    assert asyncio.run(script())
