"""Routers and control machines as processes on loopback, in two regions, with process and network faults."""

import asyncio
import time

from brookhinge.emulator.origin import body_of, group_of
from brookhinge.emulator.process_cluster import OFF, ProcessCluster
from brookhinge.operator import read_file
from brookhinge.purgelog.progress import Outcome
from brookhinge.purgelog.submit import NotAppendedError, submit

LONG_S = 60.0  # timeout, allowing for a slow computer
PROOF_S = 2.0


def play(script, folder, routers=8, controls=5, **kwargs):
    async def run():
        async with ProcessCluster(
            folder, routers=routers, controls=controls, proof_s=PROOF_S, **kwargs
        ) as rig:
            assert await rig.until(lambda: all_proven(rig), LONG_S)
            await script(rig)

    asyncio.run(run())


def all_proven(rig, names=None):
    return all(rig.last_rule(name) == "proven" for name in names or rig.processes)


async def purge_and_wait(rig, key, control="c1", wait_s=LONG_S):
    """Submit a purge and return its last Status, once it is in force or `wait_s` has passed."""
    block = read_file(rig.folder / "fleet.hcl").control[control]
    end = time.monotonic() + LONG_S
    while True:
        try:
            return (await submit(block, key, -1, wait_s))[1]
        except NotAppendedError:  # it has just started, and no majority has answered it yet
            assert time.monotonic() < end
            await asyncio.sleep(0.1)


class BackgroundRequests:
    """Sends requests to every router while a script runs. The body of an answer identifies the object's version."""

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
                status, body = await caller.ask(object_)
                self.answers.append((name, object_, asked_at, status, body))
            except OSError:
                caller = None

    async def __aexit__(self, *_):
        self.stop = True
        await asyncio.gather(*self.tasks)

    def outdated_answers(self, object_, since, version):
        """Return the answers of an older version to requests sent after `since`."""
        outdated_bodies = [body_of(object_, 0, earlier, self.rig.origin.sizes) for earlier in range(version)]
        return [
            (name, asked_at - since)
            for name, requested, asked_at, status, body in self.answers
            if requested == object_ and asked_at > since and status == "satisfied" and body in outdated_bodies
        ]


GRACE_S = 0.5


async def change_and_check(rig, requests, objects):
    """Change objects at the origin, purge them and check that no answer is outdated once the purges are in force."""
    changed_at = {}
    for object_ in objects:
        when = rig.origin.change(object_)
        rig.feed.drop(object_, when=when)
        changed_at[object_] = time.monotonic()
    statuses = await asyncio.gather(*(purge_and_wait(rig, object_, "c1") for object_ in objects))
    in_force_at = time.monotonic()
    await asyncio.sleep(1.5)
    for object_ in objects:
        since = max(changed_at[object_], in_force_at) + GRACE_S
        assert not requests.outdated_answers(object_, since, rig.origin.version(object_))
    return statuses


def test_no_purge_is_lost_when_a_control_machine_is_killed_in_a_burst(tmp_path):
    async def script(rig):
        objects = [f"{7919 * k:016x}" for k in range(12)]
        async with BackgroundRequests(rig, objects) as requests:
            await asyncio.sleep(1.0)
            burst = asyncio.ensure_future(change_and_check(rig, requests, objects))
            await asyncio.sleep(0.02)
            await rig.kill_control("c4")
            statuses = await burst
        assert all(status.outcome in (Outcome.IN_FORCE, Outcome.IN_FORCE_EXCEPT) for status in statuses)
        assert {name for status in statuses for name, _ in status.missing} <= {"c4"}
        assert await rig.until(lambda: all_proven(rig), LONG_S)
        assert "c4" not in {rig.read_at(name) for name in rig.names}
        assert not [answer for answer in requests.answers if answer[3] == "lost"]
        assert (await purge_and_wait(rig, "after", "c2")).outcome in (
            Outcome.IN_FORCE,
            Outcome.IN_FORCE_EXCEPT,
        )

    play(script, tmp_path)


def test_purges_are_in_force_during_and_after_a_suspension_of_a_control_machine(tmp_path):
    async def script(rig):
        rig.freeze("c1")
        await asyncio.sleep(3.0)
        during = await purge_and_wait(rig, "during", "c2")
        assert during.outcome in (Outcome.IN_FORCE, Outcome.IN_FORCE_EXCEPT)
        rig.thaw("c1")
        assert (await purge_and_wait(rig, "after", "c1")).outcome in (
            Outcome.IN_FORCE,
            Outcome.IN_FORCE_EXCEPT,
        )
        assert await rig.until(lambda: all_proven(rig), LONG_S)

    play(script, tmp_path)


def test_routers_that_cannot_send_stop_using_copies_and_are_listed_as_missing(tmp_path):
    """Everything that two routers send is lost: they stop using copies, and the source lists them as missing."""

    async def script(rig):
        cut_off = {"n1", "n2"}
        rig.wires.cut = lambda a, b: a in cut_off and b.startswith("c")
        assert await rig.until(lambda: all(rig.last_rule(name) == "stale" for name in cut_off), LONG_S)
        status = await purge_and_wait(rig, "meanwhile", "c3")
        assert status.outcome == Outcome.IN_FORCE_EXCEPT and {name for name, _ in status.missing} <= cut_off
        assert all_proven(rig, [name for name in rig.names if name not in cut_off])
        rig.wires.cut = lambda a, b: False
        assert await rig.until(lambda: all_proven(rig), LONG_S)

    play(script, tmp_path)


def test_restarted_source_opens_a_higher_epoch(tmp_path):
    """The source restarts with empty memory: its new epoch is higher, and nothing is lost."""

    async def script(rig):
        assert (await purge_and_wait(rig, "before", "c1")).epoch == 1
        await rig.kill_control("c1")
        await rig.start_control("c1")
        status = await purge_and_wait(rig, "after", "c1")
        assert status.epoch == 2 and status.outcome in (Outcome.IN_FORCE, Outcome.IN_FORCE_EXCEPT)
        assert await rig.until(lambda: all_proven(rig), LONG_S)

    play(script, tmp_path, routers=4, controls=3)


def test_no_outdated_answer_when_a_router_restarts_in_a_burst(tmp_path):
    async def script(rig):
        objects = [f"{7919 * k:016x}" for k in range(8)]
        async with BackgroundRequests(rig, objects) as requests:
            await asyncio.sleep(1.0)
            burst = asyncio.ensure_future(change_and_check(rig, requests, objects))
            await rig.kill("n3")
            await rig.start("n3", OFF.format(off=-3600))
            await burst
            assert await rig.until(lambda: all_proven(rig), LONG_S)
            await change_and_check(rig, requests, objects[:3])
        assert requests.answers and group_of(objects[0]) == 0

    play(script, tmp_path, routers=4, controls=3)


def test_router_without_a_proof_uses_no_own_copy(tmp_path):
    """Cache servers and origin are stopped, so only a router's own copies are left. It answers from them only while it has a
    proof that they were not purged."""

    async def script(rig):
        caller = await rig.caller("n1")
        kept_object, purged_object = f"{1:016x}", f"{2:016x}"
        for object_ in (kept_object, purged_object):
            assert await rig.until(lambda o=object_: satisfied(caller, o), LONG_S)
        for name in rig.box_names:
            await rig.boxes[name].stop()
        rig.origin.end()
        assert await rig.until(lambda: satisfied(caller, kept_object), LONG_S)
        assert (await purge_and_wait(rig, purged_object, "c1")).outcome == Outcome.IN_FORCE
        assert not await satisfied(caller, purged_object) and await satisfied(caller, kept_object)
        rig.wires.cut = lambda a, b: "n1" in (a, b)
        assert await rig.until(lambda: rig.last_rule("n1") == "stale", LONG_S)
        assert not await satisfied(caller, kept_object)
        rig.wires.cut = lambda a, b: False
        assert await rig.until(lambda: rig.last_rule("n1") == "proven", LONG_S)
        assert await satisfied(caller, kept_object) and not await satisfied(caller, purged_object)
        caller.close()

    play(script, tmp_path, routers=3, controls=3, boxes=1, link_bytes_s=10_000_000)


async def satisfied(caller, object_):
    return (await caller.ask(object_))[0] == "satisfied"
