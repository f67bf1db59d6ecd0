"""Runs rollouts with real processes: worse versions are rolled back in their first stage.

A degradation that affects both versions alike does not stop a rollout.
"""

import asyncio

import pytest

from brookhinge.emulator import rollout_cluster
from brookhinge.emulator.load_generator import Load
from brookhinge.limits.lease_terms import START_S
from tests.limits.test_rig import MAX_REQUESTS, WINDOW_S, WORK_S
from tests.rollout.playback import LONG_TIMEOUT_S, run_script


@pytest.mark.parametrize(
    "version, worse",
    [
        pytest.param(rollout_cluster.FAILS.format(part=0.5), "", id="half nacked"),
        pytest.param(rollout_cluster.CRASHES.format(after_s=3.0), "", id="crash"),
        pytest.param(rollout_cluster.NEVER_READY, "", id="never ready"),
        pytest.param(rollout_cluster.LATE.format(late_s=0.6), "", id="late"),
        pytest.param(rollout_cluster.LEAKS.format(kb=200), "", id="leaks"),
    ],
)
def test_worse_version_is_rolled_back_in_its_first_stage(tmp_path, version, worse):
    async def script(cluster, load):
        coordinator = await cluster.start_coordinator()
        assert await cluster.ended(coordinator, LONG_TIMEOUT_S) == 1, cluster.text("roll")
        assert set(cluster.versions().values()) == {"v1"} and cluster.status()["phase"] == "back"
        assert cluster.text("roll").count('"event":"change"') <= 2  # only routers of the first stage
        for name in cluster.names:
            assert await cluster.until(lambda name=name: cluster.accepts(name), 30.0)

    run_script(script, tmp_path, version=version, worse=worse, untold="back")


def test_version_with_invalid_settings_is_rolled_back(tmp_path):
    async def script(cluster, load):
        coordinator = await cluster.start_coordinator()
        assert await cluster.ended(coordinator, LONG_TIMEOUT_S) == 1, cluster.text("roll")
        assert set(cluster.versions().values()) == {"v1"}

    run_script(script, tmp_path, change_config=lambda text: text.replace('"seed"', '"sead"'), untold="back")


def test_degradation_of_both_versions_does_not_stop_a_rollout(tmp_path):
    """A cache server fails half of its responses for a while and traffic doubles, for old and new routers."""

    async def script(cluster, load):
        coordinator = await cluster.start_coordinator()
        assert await cluster.until(lambda: "v2" in cluster.versions().values(), LONG_TIMEOUT_S)
        cluster.boxes["s-1"].fails = 0.5
        async with Load(cluster, dict.fromkeys(cluster.names, 12.0), seed=8, objects=200):
            await asyncio.sleep(4.0)
            cluster.boxes["s-1"].fails = 0.0
            assert await cluster.ended(coordinator, LONG_TIMEOUT_S) == 0, cluster.text("roll")
        assert set(cluster.versions().values()) == {"v2"}

    run_script(script, tmp_path, stages="[0.5, 1.0]")


def test_rollout_with_cold_cache_servers_keeps_the_shared_limits(tmp_path):
    """Cache servers start cold under several times the load that they sustain, while routers are changed one by one.

    The old and the new process of a router must not both use a share of the limit.
    """

    async def script(cluster, load):
        await asyncio.sleep(START_S)
        coordinator = await cluster.start_coordinator()
        assert await cluster.until(lambda: "v2" in cluster.versions().values(), LONG_TIMEOUT_S)
        await cluster.restart_cold(*cluster.box_names)
        assert await cluster.until(
            lambda: cluster.text("k1").count("took over") + cluster.text("k2").count("took over") > 5,
            LONG_TIMEOUT_S,
        )
        await asyncio.sleep(4.0)
        for name, server in cluster.boxes.items():
            # checked against the capacity at the start, which is the least that a server has later
            early = [at for at in server.arrival_times if at < server.arrival_times[0] + 4.0]
            max_in_window = max(sum(at - WINDOW_S < other <= at for other in early) for at in early)
            assert max_in_window <= MAX_REQUESTS and len(early) > 20, (
                f"{name} got {max_in_window} of {len(early)} requests within {WINDOW_S} s"
            )
        coordinator.terminate()

    run_script(
        script,
        tmp_path,
        requests_per_s=50.0,
        aim_s=WORK_S,
        flow_kb_s=500.0,
        warm_s=20.0,
        more="share_limits = true",
        stages="[0.5, 1.0]",
    )
