"""Real router processes on loopback, with faults injected into them and the links between them.

Each wait ends when its condition holds, or fails after a limit. The time needed is measured by the benchmark, not here."""

import asyncio

from brookhinge.emulator.process_cluster import OFF, OTHER_VERSION, ProcessCluster

TIMEOUT_S = 60.0  # generous for a slow machine; the target times are a fraction of it


def run_scenario(scenario, folder, **cluster_options):
    async def run():
        async with ProcessCluster(folder, **cluster_options) as rig:
            assert await rig.until(rig.one_view, TIMEOUT_S)
            await scenario(rig)

    asyncio.run(run())


def lost_members(rig, name):
    return {line["member"] for line in rig.log(name, "fleet") if line["change"] == "lost"}


async def has_state(rig, name, member, state):
    view = await rig.view(name)
    return view is not None and view.get(member) == state


def test_killed_and_frozen_routers_are_lost_and_accepted_again(tmp_path):
    async def scenario(rig):
        for name in ("n3", "n5", "n8"):
            await rig.kill(name)
        assert await rig.until(rig.one_view, TIMEOUT_S)
        for name in ("n3", "n5", "n8"):
            await rig.start(name)
        assert await rig.until(rig.one_view, TIMEOUT_S)
        rig.freeze("n6")
        assert await rig.until(lambda: has_state(rig, "n1", "n6", "lost"), TIMEOUT_S)
        await asyncio.sleep(2.0)
        rig.thaw("n6")
        assert await rig.until(rig.one_view, TIMEOUT_S)
        assert lost_members(rig, "n6") <= {"n3", "n5", "n8"}  # a frozen router declares no live one lost
        assert {line["member"] for line in rig.log("n1", "fleet") if line["change"] == "back"} == {"n6"}

    run_scenario(scenario, tmp_path, routers=12)


def test_partitioned_halves_with_changes_merge_into_one_view(tmp_path):
    async def scenario(rig):
        left = {"n1", "n2", "n3", "n4"}
        rig.wires.cut = lambda a, b: (a in left) != (b in left)
        assert await rig.until(lambda: has_state(rig, "n1", "n7", "lost"), TIMEOUT_S)
        assert await rig.until(lambda: has_state(rig, "n7", "n1", "lost"), TIMEOUT_S)
        await rig.kill("n8")
        await rig.end("n4")
        assert await rig.until(lambda: has_state(rig, "n1", "n4", "left"), TIMEOUT_S)
        rig.wires.cut = lambda a, b: False
        assert await rig.until(rig.one_view, TIMEOUT_S)
        # stale claims do not revive a member that left
        assert await rig.until(lambda: has_state(rig, "n7", "n4", "left"), TIMEOUT_S)
        assert await rig.until(lambda: has_state(rig, "n1", "n8", "lost"), TIMEOUT_S)

    run_scenario(scenario, tmp_path, routers=8)


def test_faulty_links_make_no_member_lost_for_long(tmp_path):
    async def scenario(rig):
        rig.wires.cut = lambda a, b: {a, b} == {"n2", "n5"}  # all other members still reach n2 and n5
        rig.wires.loss, rig.wires.double, rig.wires.corrupt, rig.wires.delay_s = 0.2, 0.1, 0.02, 0.05
        await asyncio.sleep(10.0)
        rig.wires.cut = lambda a, b: a == "n3"  # one-way: datagrams from n3 are lost
        rig.wires.loss = rig.wires.corrupt = 0.0
        assert await rig.until(lambda: has_state(rig, "n1", "n3", "lost"), TIMEOUT_S)
        rig.wires.cut = lambda a, b: False
        assert await rig.until(rig.one_view, TIMEOUT_S)

    run_scenario(scenario, tmp_path, routers=6)


def test_drain_received_by_one_router_applies_to_all(tmp_path):
    """The command channels of all other routers are down; without notices they would keep using the cache server."""

    async def scenario(rig):
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
        requests = asyncio.ensure_future(ask(60))
        await asyncio.sleep(0.5)
        after, others = rig.boxes["s-1"].counters["queries"], rig.boxes["s-2"].counters["queries"]
        await requests
        assert rig.boxes["s-1"].counters["queries"] == after and rig.boxes["s-2"].counters["queries"] > others
        for caller in callers:
            caller.close()

    run_scenario(scenario, tmp_path, routers=6, boxes=2)


def test_wrong_key_and_duplicate_name_stay_out_and_a_wrong_clock_does_not_matter(tmp_path):
    async def scenario(rig):
        await rig.kill("n4")
        await rig.kill("n5")
        await rig.kill("n6")
        await rig.start("n4", OFF.format(off=-3600))
        assert await rig.until(lambda: has_state(rig, "n1", "n4", "alive"), TIMEOUT_S)
        await rig.start("n5", key="f" * 32)  # datagrams signed with another key are rejected
        await rig.start("n6", under="n2")  # the name is in use, and the older process keeps it
        assert await rig.until(
            lambda: [line for line in rig.log("n6", "fleet") if line["change"] == "taken"], TIMEOUT_S
        )
        assert await rig.until(lambda: has_state(rig, "n1", "n2", "alive"), TIMEOUT_S)
        assert await rig.until(lambda: rig.one_view(["n1", "n2", "n3", "n4"]), TIMEOUT_S)
        for name in ("n5", "n6"):  # both still serve requests without the fleet
            caller = await rig.caller(name)
            assert (await caller.ask("0000000000000007"))[0] == "satisfied"
            caller.close()

    run_scenario(scenario, tmp_path, routers=6, boxes=1)


def test_rolling_restart_makes_no_router_lost(tmp_path):
    async def scenario(rig):
        for name in rig.names:
            await rig.end(name)
            await rig.start(name)
        assert await rig.until(rig.one_view, TIMEOUT_S)
        assert [lost_members(rig, name) for name in rig.names] == [set()] * 8
        assert all(
            [line["here"] for line in rig.log(name, "fleet") if line["change"] == "sharers"][-1:] in ([], [8])
            for name in rig.names
        )

    run_scenario(scenario, tmp_path, routers=8, boxes=1)


def test_routers_of_two_protocol_versions_share_one_view(tmp_path):
    """Each version decodes only claims and probes of the other, which is enough for one view without false losses."""

    async def scenario(rig):
        for name in ("n4", "n5"):
            await rig.end(name)
            await rig.start(name, OTHER_VERSION)
        assert await rig.until(lambda: rig.one_view(["n1", "n2", "n3"], others=("n4", "n5")), TIMEOUT_S)
        await asyncio.sleep(4.0)
        assert lost_members(rig, "n1") == lost_members(rig, "n2") == lost_members(rig, "n3") == set()
        assert await rig.until(lambda: rig.one_view(["n1", "n2", "n3"], others=("n4", "n5")), TIMEOUT_S)
        await rig.kill("n2")  # the others of its version still detect the crash
        assert await rig.until(lambda: has_state(rig, "n1", "n2", "lost"), TIMEOUT_S)

    run_scenario(scenario, tmp_path, routers=5, boxes=1)
