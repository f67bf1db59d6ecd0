"""Real routers that share what they see of three boxes: a box that fails is left by all, one that heals is taken back, and
one router's own trouble is nobody else's."""

import asyncio

from brookhinge.emulator.load_generator import Load
from brookhinge.emulator.process_cluster import ProcessCluster

LONG = 60.0


def play(script, folder, routers=8, more="share_verdicts = true", **rig_):
    async def run():
        async with ProcessCluster(folder, routers=routers, boxes=3, more=more, patience_s=2.0, **rig_) as rig:
            assert await rig.until(rig.one_view, LONG)
            await script(rig)

    asyncio.run(run())


async def state(rig, name, box):
    rows = {row[0]: row[1] for row in await rig.verdicts(name) or ()}
    return rows.get(box, "well")


def all_say(rig, box, states, names=None):
    async def holds():
        said = await asyncio.gather(*(state(rig, name, box) for name in names or rig.names))
        return all(one in states for one in said)

    return holds


def test_all_eject_a_server_that_fails_one_in_three_and_come_back(tmp_path):
    """Each router sees a query or two a second of it: alone it could not tell for long."""

    async def script(rig):
        async with Load(rig, dict.fromkeys(rig.names, 5.0)) as load:
            await asyncio.sleep(2.0)
            rig.boxes["s-1"].fails = 0.4
            assert await rig.until(all_say(rig, "s-1", ("resting",)), LONG)
            before = len(rig.boxes["s-1"].came)
            await asyncio.sleep(2.0)
            others = sum(len(rig.boxes[box].came) for box in ("s-2", "s-3"))
            assert len(rig.boxes["s-1"].came) - before < others / 4  # trials at one pace, not a query of each
            assert await all_say(rig, "s-2", ("well",))() and await all_say(rig, "s-3", ("well",))()
            rig.boxes["s-1"].fails = 0.0
            assert await rig.until(all_say(rig, "s-1", ("well",)), LONG)
            before = len(rig.boxes["s-1"].came)
            assert await rig.until(lambda: len(rig.boxes["s-1"].came) > before + 20, LONG)
        assert sum(kinds.get("lost", 0) for kinds in load.kinds.values()) == 0

    play(script, tmp_path)


def test_one_routers_own_link_ejects_no_server(tmp_path):
    async def script(rig):
        async with Load(rig, dict.fromkeys(rig.names, 6.0)):
            await asyncio.sleep(1.0)
            rig.pipes["n1", "s-1"].breaks = rig.pipes["n1", "s-2"].breaks = 0.7

            async def knows():
                return any(row[7] for row in await rig.verdicts("n1") or ())

            assert await rig.until(knows, LONG)  # it learns that the fault is on its own way
            for _ in range(20):
                await asyncio.sleep(0.2)
                for name in rig.names[1:]:
                    assert {await state(rig, name, box) for box in rig.box_names} == {"well"}

    play(script, tmp_path, piped=("n1",))


def test_a_router_cut_off_is_as_it_would_be_alone(tmp_path):
    """What the others saw ends with its age; then only its own experience counts."""

    async def script(rig):
        async with Load(rig, dict.fromkeys(rig.names, 5.0)):
            await asyncio.sleep(1.0)
            rig.boxes["s-1"].fails = 0.6
            assert await rig.until(all_say(rig, "s-1", ("resting",)), LONG)
            rig.wires.cut = lambda a, b: "n8" in (a, b)
            assert await rig.until(all_say(rig, "s-1", ("well",), ["n8"]), LONG)
            assert await rig.until(all_say(rig, "s-1", ("resting",), rig.names[:7]), LONG)
            rig.boxes["s-1"].fails = 0.0
            assert await rig.until(all_say(rig, "s-1", ("well",)), LONG)

    play(script, tmp_path)
