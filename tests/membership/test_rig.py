"""Real routers as processes on loopback, with faults in and between them. Waiting is until it holds, at most so long; how
long it took is measured by the benchmark, not here."""

import asyncio

from brookhinge.emulator.process_cluster import OFF, OTHER_VERSION, ProcessCluster

LONG = 60.0  # for a slow machine; the note's bounds are a fraction of it


def play(script, folder, **rig_):
    async def run():
        async with ProcessCluster(folder, **rig_) as rig:
            assert await rig.until(rig.one_view, LONG)
            await script(rig)

    asyncio.run(run())


def lost(rig, name):
    return {line["member"] for line in rig.log(name, "fleet") if line["change"] == "lost"}


async def believes(rig, name, member, state):
    view = await rig.view(name)
    return view is not None and view.get(member) == state


def test_killed_restarted_frozen_and_thawed(tmp_path):
    async def script(rig):
        for name in ("n3", "n5", "n8"):
            await rig.kill(name)
        assert await rig.until(rig.one_view, LONG)
        for name in ("n3", "n5", "n8"):
            await rig.start(name)
        assert await rig.until(rig.one_view, LONG)
        rig.freeze("n6")
        assert await rig.until(lambda: believes(rig, "n1", "n6", "lost"), LONG)
        await asyncio.sleep(2.0)
        rig.thaw("n6")
        assert await rig.until(rig.one_view, LONG)
        assert lost(rig, "n6") <= {"n3", "n5", "n8"}  # who slept takes nobody for dead
        assert {line["member"] for line in rig.log("n1", "fleet") if line["change"] == "back"} == {"n6"}

    play(script, tmp_path, routers=12)


def test_halves_with_changes_on_both_sides_become_one(tmp_path):
    async def script(rig):
        left = {"n1", "n2", "n3", "n4"}
        rig.wires.cut = lambda a, b: (a in left) != (b in left)
        assert await rig.until(lambda: believes(rig, "n1", "n7", "lost"), LONG)
        assert await rig.until(lambda: believes(rig, "n7", "n1", "lost"), LONG)
        await rig.kill("n8")
        await rig.end("n4")
        assert await rig.until(lambda: believes(rig, "n1", "n4", "left"), LONG)
        rig.wires.cut = lambda a, b: False
        assert await rig.until(rig.one_view, LONG)
        assert await rig.until(
            lambda: believes(rig, "n7", "n4", "left"), LONG
        )  # no old news revives a leaver
        assert await rig.until(lambda: believes(rig, "n1", "n8", "lost"), LONG)

    play(script, tmp_path, routers=8)


def test_bad_links_make_nobody_lost_for_long(tmp_path):
    async def script(rig):
        rig.wires.cut = lambda a, b: {a, b} == {"n2", "n5"}  # all but one can reach it
        rig.wires.loss, rig.wires.double, rig.wires.corrupt, rig.wires.delay_s = 0.2, 0.1, 0.02, 0.05
        await asyncio.sleep(10.0)
        rig.wires.cut = lambda a, b: a == "n3"  # what it sends is lost, what it is sent comes
        rig.wires.loss = rig.wires.corrupt = 0.0
        assert await rig.until(lambda: believes(rig, "n1", "n3", "lost"), LONG)
        rig.wires.cut = lambda a, b: False
        assert await rig.until(rig.one_view, LONG)

    play(script, tmp_path, routers=6)


def test_a_drain_told_to_one_router_alone_binds_all(tmp_path):
    """The command channels of all others are dead: without peers they would go on asking the box."""

    async def script(rig):
        callers = [await rig.caller(name) for name in rig.names]

        async def ask(rounds):
            for k in range(rounds):
                await asyncio.gather(*(c.ask(f"{7919 * (k % 40) + n:016x}") for n, c in enumerate(callers)))
                await asyncio.sleep(0.02)

        await ask(20)
        for name in rig.names[1:]:
            rig.channels[name].end()
        before = rig.boxes["s-1"].counters["queries"]
        await ask(10)
        assert rig.boxes["s-1"].counters["queries"] > before
        rig.channels["n1"].list("s-1", health="draining")
        going = asyncio.ensure_future(ask(60))
        await asyncio.sleep(0.5)
        after, others = rig.boxes["s-1"].counters["queries"], rig.boxes["s-2"].counters["queries"]
        await going
        assert rig.boxes["s-1"].counters["queries"] == after and rig.boxes["s-2"].counters["queries"] > others
        for caller in callers:
            caller.close()

    play(script, tmp_path, routers=6, boxes=2)


def test_who_must_stay_out_and_whose_clock_is_off(tmp_path):
    async def script(rig):
        await rig.kill("n4")
        await rig.kill("n5")
        await rig.kill("n6")
        await rig.start("n4", OFF.format(off=-3600))
        assert await rig.until(lambda: believes(rig, "n1", "n4", "alive"), LONG)
        await rig.start("n5", key="f" * 32)  # its datagrams are nobody's
        await rig.start("n6", under="n2")  # a name in use: the older process keeps it
        assert await rig.until(
            lambda: [line for line in rig.log("n6", "fleet") if line["change"] == "taken"], LONG
        )
        assert await rig.until(lambda: believes(rig, "n1", "n2", "alive"), LONG)
        assert await rig.until(lambda: rig.one_view(["n1", "n2", "n3", "n4"]), LONG)
        for name in ("n5", "n6"):  # both serve all the same, alone
            caller = await rig.caller(name)
            assert (await caller.ask("0000000000000007"))[0] == "satisfied"
            caller.close()

    play(script, tmp_path, routers=6, boxes=1)


def test_a_rolling_restart_of_all_loses_nobody(tmp_path):
    async def script(rig):
        for name in rig.names:
            await rig.end(name)
            await rig.start(name)
        assert await rig.until(rig.one_view, LONG)
        assert [lost(rig, name) for name in rig.names] == [set()] * 8
        assert all(
            [line["here"] for line in rig.log(name, "fleet") if line["change"] == "sharers"][-1:] in ([], [8])
            for name in rig.names
        )

    play(script, tmp_path, routers=8, boxes=1)


def test_routers_of_two_message_versions_know_one_another(tmp_path):
    """Each reads of the other claims and probes, and no more: one view, and nobody is taken for dead."""

    async def script(rig):
        for name in ("n4", "n5"):
            await rig.end(name)
            await rig.start(name, OTHER_VERSION)
        assert await rig.until(lambda: rig.one_view(["n1", "n2", "n3"], others=("n4", "n5")), LONG)
        await asyncio.sleep(4.0)
        assert lost(rig, "n1") == lost(rig, "n2") == lost(rig, "n3") == set()
        assert await rig.until(lambda: rig.one_view(["n1", "n2", "n3"], others=("n4", "n5")), LONG)
        await rig.kill("n2")  # the others of its version still find it out
        assert await rig.until(lambda: believes(rig, "n1", "n2", "lost"), LONG)

    play(script, tmp_path, routers=5, boxes=1)
