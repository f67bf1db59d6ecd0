"""Runs rollouts with real processes: routers, their agents and a coordinator."""

import json

from brookhinge.emulator.command_channel import CommandChannel
from tests.rollout.playback import LONG_TIMEOUT_S, run_script


def lost_count(outcomes_by_router):
    return sum(outcomes.get("lost", 0) + outcomes.get("none", 0) for outcomes in outcomes_by_router.values())


def test_good_version_is_rolled_out_without_lost_requests(tmp_path):
    async def script(cluster, load):
        coordinator = await cluster.start_coordinator()
        assert await cluster.ended(coordinator, LONG_TIMEOUT_S) == 0, cluster.text("roll")
        assert set(cluster.versions().values()) == {"v2"} and cluster.status()["phase"] == "done"
        assert cluster.text("roll").count('"event":"passed"') == 2

    outcomes_by_router = run_script(script, tmp_path, stages="[0.5, 1.0]")
    assert sum(outcomes.get("satisfied", 0) for outcomes in outcomes_by_router.values()) > 300
    # a request in flight at the moment its connection is closed may be lost by chance, but not more than one
    assert lost_count(outcomes_by_router) <= 1


def test_change_of_a_reloadable_setting_restarts_no_router(tmp_path):
    """The version has another command channel, which the routers read on SIGHUP, stage by stage."""

    async def script(cluster, load):
        new_channel = CommandChannel([dict(row) for row in cluster.channels["n1"].hosts.values()])
        address = "%s:%d" % await new_channel.listen()
        for name in cluster.names:
            path = tmp_path / "v2" / f"{name}.json"
            path.write_text(json.dumps({**json.loads(path.read_text()), "channel": address}))
        coordinator = await cluster.start_coordinator()
        assert await cluster.ended(coordinator, LONG_TIMEOUT_S) == 0, cluster.text("roll")
        assert set(cluster.versions().values()) == {"v2"} and len(new_channel.polls) > 0
        log = cluster.text("k1") + cluster.text("k2")
        assert log.count('"event":"settings"') == 4
        assert log.count('"event":"took over"') == 4  # the four initial starts
        new_channel.end()

    run_script(script, tmp_path, stages="[0.5, 1.0]", same_program=True)


def test_paused_rollout_is_rolled_back_on_request(tmp_path):
    async def script(cluster, load):
        coordinator = await cluster.start_coordinator()
        assert await cluster.until(lambda: "v2" in cluster.versions().values(), LONG_TIMEOUT_S)
        cluster.ask("pause")
        assert await cluster.until(lambda: cluster.status()["phase"] == "paused", LONG_TIMEOUT_S)
        cluster.ask("back")
        assert await cluster.ended(coordinator, LONG_TIMEOUT_S) == 1, cluster.text("roll")
        assert set(cluster.versions().values()) == {"v1"}

    run_script(script, tmp_path)
