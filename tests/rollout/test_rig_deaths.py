"""Rollouts among real processes whose coordinators and keepers are killed, doubled and put to sleep."""

import asyncio
import signal

from tests.rollout.playback import LONG, play


def test_a_coordinator_killed_again_and_again_goes_on_and_an_older_one_is_refused(tmp_path):
    async def script(rig, load):
        first = await rig.start_coordinator()
        for _ in range(2):
            assert await rig.until(lambda: rig.status(), LONG)
            await asyncio.sleep(2.5)
            if first.returncode is None:
                first.kill()
                await first.wait()
            first = await rig.start_coordinator()
        assert await rig.ended(first, LONG) == 0, rig.text("roll")
        assert set(rig.versions().values()) == {"v2"}

    play(script, tmp_path, stages="[0.5, 1.0]")


def test_two_coordinators_the_younger_one_acts(tmp_path):
    async def script(rig, load):
        older = await rig.start_coordinator("one")
        assert await rig.until(lambda: rig.status("one"), LONG)
        same = await rig.start_coordinator("one")  # on the same journal: refused at once
        assert await rig.ended(same, LONG) == 1 and "in use by another process" in rig.text("one")
        await rig.start_coordinator("two")
        assert await rig.ended(older, LONG) == 1, rig.text("one")
        assert rig.status("one")["phase"] == "superseded"
        assert await rig.until(lambda: "v2" in rig.versions("two").values(), LONG), rig.text("two")

    play(script, tmp_path)


def test_a_killed_keeper_leaves_its_routers_serving_and_its_successor_takes_them_over(tmp_path):
    async def script(rig, load):
        before = dict(load.kinds.get("n1", {}))
        rig.agents["k1"].kill()
        await rig.agents["k1"].wait()
        await asyncio.sleep(1.0)
        assert load.kinds["n1"].get("satisfied", 0) > before.get("satisfied", 0)
        await rig.start_agent("k1")
        assert await rig.until(lambda: rig.text("k1").count('"event":"found"') == 2, LONG), rig.text("k1")
        await rig.start_coordinator()
        assert await rig.until(lambda: "v2" in [rig.versions().get(n) for n in rig.places["k1"]], LONG), (
            rig.text("k1")
        )
        assert await rig.until(lambda: rig.text("k1").count('"event":"took over"') > 2, LONG)
        rig.ask("back")
        assert await rig.until(rig.settled("v1"), LONG)

    play(script, tmp_path, stages="[0.5, 1.0]")


def test_a_coordinator_gone_for_good_leaves_what_was_not_judged_to_go_back_by_itself(tmp_path):
    async def script(rig, load):
        roll = await rig.start_coordinator()
        assert await rig.until(lambda: "v2" in rig.versions().values(), LONG)
        roll.kill()
        await roll.wait()
        assert await rig.until(lambda: '"event":"alone"' in rig.text("k1") + rig.text("k2"), LONG)
        roll = await rig.start_coordinator("watch")  # looks only: it stands before its first change for long
        assert await rig.until(rig.settled("v1", "watch"), LONG)

    play(script, tmp_path, most_s=60.0, alone_s=3.0, untold="pause")


def test_a_keeper_that_sleeps_holds_the_change_up_and_nothing_else(tmp_path):
    """Cut off from half of the keepers a coordinator changes nothing more; when they are back it goes on."""

    async def script(rig, load):
        roll = await rig.start_coordinator()
        assert await rig.until(lambda: "v2" in rig.versions().values(), LONG)
        rig.agents["k2"].send_signal(signal.SIGSTOP)
        await asyncio.sleep(8.0)
        held = rig.text("roll").count('"event":"change"')
        before = load.kinds["n2"].get("satisfied", 0)
        await asyncio.sleep(3.0)
        assert rig.text("roll").count('"event":"change"') == held and roll.returncode is None
        assert load.kinds["n2"].get("satisfied", 0) > before  # its routers serve on
        rig.agents["k2"].send_signal(signal.SIGCONT)
        assert await rig.ended(roll, LONG) == 0, rig.text("roll")

    play(script, tmp_path, stages="[0.5, 1.0]", alone_s=60.0, most_s=30.0)
