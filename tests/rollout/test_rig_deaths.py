"""Runs rollouts with real processes whose coordinators and agents are killed, duplicated or suspended."""

import asyncio
import signal

from tests.rollout.playback import LONG_TIMEOUT_S, run_script


def test_coordinator_that_is_killed_repeatedly_completes_the_rollout(tmp_path):
    async def script(cluster, load):
        coordinator = await cluster.start_coordinator()
        for _ in range(2):
            assert await cluster.until(lambda: cluster.status(), LONG_TIMEOUT_S)
            await asyncio.sleep(2.5)
            if coordinator.returncode is None:
                coordinator.kill()
                await coordinator.wait()
            coordinator = await cluster.start_coordinator()
        assert await cluster.ended(coordinator, LONG_TIMEOUT_S) == 0, cluster.text("roll")
        assert set(cluster.versions().values()) == {"v2"}

    run_script(script, tmp_path, stages="[0.5, 1.0]")


def test_newer_coordinator_supersedes_the_older_one(tmp_path):
    async def script(cluster, load):
        older = await cluster.start_coordinator("one")
        assert await cluster.until(lambda: cluster.status("one"), LONG_TIMEOUT_S)
        duplicate = await cluster.start_coordinator("one")  # the journal is locked, so it exits at once
        assert await cluster.ended(
            duplicate, LONG_TIMEOUT_S
        ) == 1 and "in use by another process" in cluster.text("one")
        await cluster.start_coordinator("two")
        assert await cluster.ended(older, LONG_TIMEOUT_S) == 1, cluster.text("one")
        assert cluster.status("one")["phase"] == "superseded"
        assert await cluster.until(lambda: "v2" in cluster.versions("two").values(), LONG_TIMEOUT_S), (
            cluster.text("two")
        )

    run_script(script, tmp_path)


def test_routers_of_a_killed_agent_keep_serving_and_are_adopted_by_the_next_agent(tmp_path):
    async def script(cluster, load):
        before = dict(load.kinds.get("n1", {}))
        cluster.agents["k1"].kill()
        await cluster.agents["k1"].wait()
        await asyncio.sleep(1.0)
        assert load.kinds["n1"].get("satisfied", 0) > before.get("satisfied", 0)
        await cluster.start_agent("k1")
        assert await cluster.until(
            lambda: cluster.text("k1").count('"event":"found"') == 2, LONG_TIMEOUT_S
        ), cluster.text("k1")
        await cluster.start_coordinator()
        assert await cluster.until(
            lambda: "v2" in [cluster.versions().get(name) for name in cluster.places["k1"]], LONG_TIMEOUT_S
        ), cluster.text("k1")
        assert await cluster.until(
            lambda: cluster.text("k1").count('"event":"took over"') > 2, LONG_TIMEOUT_S
        )
        cluster.ask("back")
        assert await cluster.until(cluster.settled("v1"), LONG_TIMEOUT_S)

    run_script(script, tmp_path, stages="[0.5, 1.0]")


def test_agents_revert_an_unconfirmed_version_when_the_coordinator_is_gone(tmp_path):
    async def script(cluster, load):
        coordinator = await cluster.start_coordinator()
        assert await cluster.until(lambda: "v2" in cluster.versions().values(), LONG_TIMEOUT_S)
        coordinator.kill()
        await coordinator.wait()
        assert await cluster.until(
            lambda: '"event":"alone"' in cluster.text("k1") + cluster.text("k2"), LONG_TIMEOUT_S
        )
        # this coordinator only observes: its first change is not due yet
        coordinator = await cluster.start_coordinator("watch")
        assert await cluster.until(cluster.settled("v1", "watch"), LONG_TIMEOUT_S)

    run_script(script, tmp_path, most_s=60.0, alone_s=3.0, untold="pause")


def test_suspended_agent_delays_the_rollout_while_its_routers_serve(tmp_path):
    """While one of two agents is unreachable no router is changed; afterwards the rollout continues."""

    async def script(cluster, load):
        coordinator = await cluster.start_coordinator()
        assert await cluster.until(lambda: "v2" in cluster.versions().values(), LONG_TIMEOUT_S)
        cluster.agents["k2"].send_signal(signal.SIGSTOP)
        await asyncio.sleep(8.0)
        changes = cluster.text("roll").count('"event":"change"')
        before = load.kinds["n2"].get("satisfied", 0)
        await asyncio.sleep(3.0)
        assert cluster.text("roll").count('"event":"change"') == changes and coordinator.returncode is None
        assert load.kinds["n2"].get("satisfied", 0) > before  # its routers still serve
        cluster.agents["k2"].send_signal(signal.SIGCONT)
        assert await cluster.ended(coordinator, LONG_TIMEOUT_S) == 0, cluster.text("roll")

    run_script(script, tmp_path, stages="[0.5, 1.0]", alone_s=60.0, most_s=30.0)
