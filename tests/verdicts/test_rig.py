"""Router processes that share outlier evidence about three cache servers.

A failing server is ejected by all routers and readmitted once it recovers. Failures local to one router eject no server.
"""

import asyncio

from brookhinge.emulator.load_generator import Load
from brookhinge.emulator.process_cluster import ProcessCluster

TIMEOUT_S = 60.0


def run_cluster(script, folder, routers=8, more="share_verdicts = true", **options):
    async def run():
        async with ProcessCluster(
            folder, routers=routers, boxes=3, more=more, patience_s=2.0, **options
        ) as cluster:
            assert await cluster.until(cluster.one_view, TIMEOUT_S)
            await script(cluster)

    asyncio.run(run())


async def state_of(cluster, name, box):
    """Return the state of a cache server as a router reports it."""
    rows = {row[0]: row[1] for row in await cluster.verdicts(name) or ()}
    return rows.get(box, "well")


def all_report(cluster, box, states, names=None):
    """Return a condition: all those routers report one of the states for a cache server."""

    async def holds():
        reported = await asyncio.gather(*(state_of(cluster, name, box) for name in names or cluster.names))
        return all(state in states for state in reported)

    return holds


def test_failing_server_is_ejected_by_all_and_readmitted_after_it_recovers(tmp_path):
    """Each router sends it one or two requests a second: too few to detect the failures quickly by itself."""

    async def script(cluster):
        async with Load(cluster, dict.fromkeys(cluster.names, 5.0)) as load:
            await asyncio.sleep(2.0)
            cluster.boxes["s-1"].fails = 0.4
            assert await cluster.until(all_report(cluster, "s-1", ("resting",)), TIMEOUT_S)
            before = len(cluster.boxes["s-1"].arrival_times)
            await asyncio.sleep(2.0)
            others = sum(len(cluster.boxes[box].arrival_times) for box in ("s-2", "s-3"))
            # Trials have one rate for the fleet, not one per router.
            assert len(cluster.boxes["s-1"].arrival_times) - before < others / 4
            assert (
                await all_report(cluster, "s-2", ("well",))()
                and await all_report(cluster, "s-3", ("well",))()
            )
            cluster.boxes["s-1"].fails = 0.0
            assert await cluster.until(all_report(cluster, "s-1", ("well",)), TIMEOUT_S)
            before = len(cluster.boxes["s-1"].arrival_times)
            assert await cluster.until(
                lambda: len(cluster.boxes["s-1"].arrival_times) > before + 20, TIMEOUT_S
            )
        assert sum(kinds.get("lost", 0) for kinds in load.kinds.values()) == 0

    run_cluster(script, tmp_path)


def test_failures_local_to_one_router_eject_no_server(tmp_path):
    async def script(cluster):
        async with Load(cluster, dict.fromkeys(cluster.names, 6.0)):
            await asyncio.sleep(1.0)
            cluster.pipes["n1", "s-1"].breaks = cluster.pipes["n1", "s-2"].breaks = 0.7

            async def reports_local_failure():
                return any(row[7] for row in await cluster.verdicts("n1") or ())

            assert await cluster.until(reports_local_failure, TIMEOUT_S)
            for _ in range(20):
                await asyncio.sleep(0.2)
                for name in cluster.names[1:]:
                    assert {await state_of(cluster, name, box) for box in cluster.box_names} == {"well"}

    run_cluster(script, tmp_path, piped=("n1",))


def test_router_that_is_cut_off_ends_the_ejection_when_the_evidence_expires(tmp_path):
    """After the evidence of the other routers has expired, only its own observations count."""

    async def script(cluster):
        async with Load(cluster, dict.fromkeys(cluster.names, 5.0)):
            await asyncio.sleep(1.0)
            cluster.boxes["s-1"].fails = 0.6
            assert await cluster.until(all_report(cluster, "s-1", ("resting",)), TIMEOUT_S)
            cluster.wires.cut = lambda a, b: "n8" in (a, b)
            assert await cluster.until(all_report(cluster, "s-1", ("well",), ["n8"]), TIMEOUT_S)
            assert await cluster.until(all_report(cluster, "s-1", ("resting",), cluster.names[:7]), TIMEOUT_S)
            cluster.boxes["s-1"].fails = 0.0
            assert await cluster.until(all_report(cluster, "s-1", ("well",)), TIMEOUT_S)

    run_cluster(script, tmp_path)
