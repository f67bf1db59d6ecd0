"""Real routers and control machines as processes on loopback, in two regions, with faults in and between them."""

import asyncio
import time

from brookhinge.emulator.origin import body_of, group_of
from brookhinge.emulator.process_cluster import OFF, ProcessCluster
from brookhinge.operator import read_file
from brookhinge.purgelog.progress import Outcome
from brookhinge.purgelog.submit import NotAppendedError, submit

LONG = 60.0  # for a slow machine
PROOF_S = 2.0


def play(script, folder, routers=8, controls=5, **named):
    async def run():
        async with ProcessCluster(
            folder, routers=routers, controls=controls, proof_s=PROOF_S, **named
        ) as rig:
            assert await rig.until(lambda: all_proven(rig), LONG)
            await script(rig)

    asyncio.run(run())


def all_proven(rig, names=None):
    return all(rig.last_rule(name) == "proven" for name in names or rig.processes)


async def purged(rig, key, control="c1", wait_s=LONG):
    """The last Status of a purge told to a control machine, once it is in force."""
    block = read_file(rig.folder / "fleet.hcl").control[control]
    end = time.monotonic() + LONG
    while True:
        try:
            return (await submit(block, key, -1, wait_s))[1]
        except NotAppendedError:  # it has just started: no majority has answered it yet
            assert time.monotonic() < end
            await asyncio.sleep(0.1)


class Asked:
    """Queries to every router while a script goes on: each has one final answer; how old an answer is, is told by its
    bytes, which are of one version."""

    def __init__(self, rig, objects):
        self.rig, self.objects, self.answers, self.stop = rig, objects, [], False

    async def __aenter__(self):
        self.tasks = [asyncio.ensure_future(self.ask(name)) for name in self.rig.names]
        return self

    async def ask(self, name):
        caller, k = None, 0
        while not self.stop:
            await asyncio.sleep(0.03)
            k += 1
            try:
                if caller is None or not caller.connection.open:
                    caller = await self.rig.caller(name)
                object_, asked_at = self.objects[k % len(self.objects)], time.monotonic()
                word, said = await caller.ask(object_)
                self.answers.append((name, object_, asked_at, word, said))
            except OSError:
                caller = None

    async def __aexit__(self, *_):
        self.stop = True
        await asyncio.gather(*self.tasks)

    def old(self, object_, since, version):
        """Answers to queries asked after that moment whose bytes are of an older version."""
        olds = [body_of(object_, 0, earlier, self.rig.origin.sizes) for earlier in range(version)]
        return [
            (name, asked_at - since)
            for name, asked, asked_at, word, said in self.answers
            if asked == object_ and asked_at > since and word == "satisfied" and said in olds
        ]


GRACE_S = 0.5


async def changed(rig, asked, objects):
    """Changes objects at the origin, tells the purges and checks that no answer is older, once they are in force."""
    moments = {}
    for object_ in objects:
        when = rig.origin.change(object_)
        rig.feed.drop(object_, when=when)
        moments[object_] = time.monotonic()
    statuses = await asyncio.gather(*(purged(rig, object_, "c1") for object_ in objects))
    in_force_at = time.monotonic()
    await asyncio.sleep(1.5)
    for object_ in objects:
        since = max(moments[object_], in_force_at) + GRACE_S
        assert not asked.old(object_, since, rig.origin.version(object_))
    return statuses


def test_a_distributor_killed_in_a_burst(tmp_path):
    async def script(rig):
        objects = [f"{7919 * k:016x}" for k in range(12)]
        async with Asked(rig, objects) as asked:
            await asyncio.sleep(1.0)
            burst = asyncio.ensure_future(changed(rig, asked, objects))
            await asyncio.sleep(0.02)
            await rig.kill_control("c4")
            statuses = await burst
        assert all(status.outcome in (Outcome.IN_FORCE, Outcome.IN_FORCE_EXCEPT) for status in statuses)
        assert {name for status in statuses for name, _ in status.missing} <= {"c4"}
        assert await rig.until(lambda: all_proven(rig), LONG)
        assert "c4" not in {rig.read_at(name) for name in rig.names}
        assert not [answer for answer in asked.answers if answer[3] == "lost"]
        assert (await purged(rig, "after", "c2")).outcome in (Outcome.IN_FORCE, Outcome.IN_FORCE_EXCEPT)

    play(script, tmp_path)


def test_a_distributor_frozen_and_thawed(tmp_path):
    async def script(rig):
        rig.freeze("c1")
        await asyncio.sleep(3.0)
        during = await purged(rig, "during", "c2")
        assert during.outcome in (Outcome.IN_FORCE, Outcome.IN_FORCE_EXCEPT)
        rig.thaw("c1")
        assert (await purged(rig, "after", "c1")).outcome in (Outcome.IN_FORCE, Outcome.IN_FORCE_EXCEPT)
        assert await rig.until(lambda: all_proven(rig), LONG)

    play(script, tmp_path)


def test_a_site_cut_one_way_and_cut_off(tmp_path):
    """What two routers send is lost: no machine hears them, they stop using copies, and the source names them."""

    async def script(rig):
        cut = {"n1", "n2"}
        rig.wires.cut = lambda a, b: a in cut and b.startswith("c")
        assert await rig.until(lambda: all(rig.last_rule(name) == "stale" for name in cut), LONG)
        status = await purged(rig, "meanwhile", "c3")
        assert status.outcome == Outcome.IN_FORCE_EXCEPT and {name for name, _ in status.missing} <= cut
        assert all_proven(rig, [name for name in rig.names if name not in cut])
        rig.wires.cut = lambda a, b: False
        assert await rig.until(lambda: all_proven(rig), LONG)

    play(script, tmp_path)


def test_a_source_killed_and_back(tmp_path):
    """It comes back with nothing in its memory and a clock an hour behind: its new epoch is higher, and nothing is lost."""

    async def script(rig):
        assert (await purged(rig, "before", "c1")).epoch == 1
        await rig.kill_control("c1")
        await rig.start_control("c1")
        status = await purged(rig, "after", "c1")
        assert status.epoch == 2 and status.outcome in (Outcome.IN_FORCE, Outcome.IN_FORCE_EXCEPT)
        assert await rig.until(lambda: all_proven(rig), LONG)

    play(script, tmp_path, routers=4, controls=3)


def test_a_router_restarted_in_a_burst_while_queries_run(tmp_path):
    async def script(rig):
        objects = [f"{7919 * k:016x}" for k in range(8)]
        async with Asked(rig, objects) as asked:
            await asyncio.sleep(1.0)
            burst = asyncio.ensure_future(changed(rig, asked, objects))
            await rig.kill("n3")
            await rig.start("n3", OFF.format(off=-3600))
            await burst
            assert await rig.until(lambda: all_proven(rig), LONG)
            await changed(rig, asked, objects[:3])
        assert asked.answers and group_of(objects[0]) == 0

    play(script, tmp_path, routers=4, controls=3)


def test_a_router_without_a_proof_uses_no_copy_of_its_own(tmp_path):
    """Boxes and origin end: what a router holds itself is all there is. It answers from that while it can prove that nothing
    was purged, and no longer."""

    async def script(rig):
        caller = await rig.caller("n1")
        kept, gone = f"{1:016x}", f"{2:016x}"
        for object_ in (kept, gone):
            assert await rig.until(lambda o=object_: satisfied(caller, o), LONG)
        for name in rig.box_names:
            await rig.boxes[name].stop()
        rig.origin.end()
        assert await rig.until(lambda: satisfied(caller, kept), LONG)
        assert (await purged(rig, gone, "c1")).outcome == Outcome.IN_FORCE
        assert not await satisfied(caller, gone) and await satisfied(caller, kept)
        rig.wires.cut = lambda a, b: "n1" in (a, b)
        assert await rig.until(lambda: rig.last_rule("n1") == "stale", LONG)
        assert not await satisfied(caller, kept)
        rig.wires.cut = lambda a, b: False
        assert await rig.until(lambda: rig.last_rule("n1") == "proven", LONG)
        assert await satisfied(caller, kept) and not await satisfied(caller, gone)
        caller.close()

    play(script, tmp_path, routers=3, controls=3, boxes=1, link_bytes_s=10_000_000)


async def satisfied(caller, object_):
    return (await caller.ask(object_))[0] == "satisfied"
