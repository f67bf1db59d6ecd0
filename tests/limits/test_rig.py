"""Real routers that share limits, with faults in and between them. Boxes note when each query came: over all routers no
more may reach a cold one in any window than what pushes it over, whoever dies, sleeps or is cut off meanwhile."""

import asyncio

import pytest

from brookhinge.emulator.load_generator import Load, uneven
from brookhinge.emulator.process_cluster import ProcessCluster
from brookhinge.limits.lease_terms import LEASE_TERM_S, START_S

LONG = 60.0
WINDOW_S, WORK_S = 1.0, 0.1  # by the rig's settings, and what each query below is expected to take
FALLS = 3.0 * 0.3 * 4 * WINDOW_S / WORK_S  # multiple x share at the start x power x window, in queries
ROOM = FALLS + 3.0 * FALLS**0.5 + 3.0


def play(script, folder, routers=8, first=""):
    async def run():
        async with ProcessCluster(
            folder,
            routers=routers,
            boxes=3,
            aim_s=WORK_S,
            flow_kb_s=500.0,
            warm_s=20.0,
            patience_s=2.0,
            more="share_limits = true",
            first=first,
        ) as rig:
            assert await rig.until(rig.one_view, LONG)
            await asyncio.sleep(START_S + 0.5)
            await script(rig)
            for name, box in rig.boxes.items():
                assert box.most_in(WINDOW_S) <= ROOM, (
                    f"{name} got {box.most_in(WINDOW_S)} within {WINDOW_S} s"
                )

    asyncio.run(run())


def flood(rig):
    """More than boxes would bear, half of it at one router."""
    return uneven(rig, 150.0, 150.0 / 7)


async def largest_quota(rig, name):
    """The largest part of a cold box that a router may use now."""
    rows = await rig.parts(name)
    return max((row[5] for row in rows or () if row[0] == "cache"), default=0.0)


async def find_lessor(rig, but=None):
    """A lessor of a cold limit that is not the busy router, as that one sees it."""
    names = [row[7] for row in await rig.parts("n1") or () if row[0] == "cache"]
    return next((name for name in names if name not in ("n1", but, "")), "n2" if but != "n2" else "n3")


def test_a_busy_router_gets_what_the_others_do_not_need(tmp_path):
    async def script(rig):
        await rig.cold(*rig.box_names)
        async with Load(rig, uneven(rig)) as load:

            async def busy():
                return await largest_quota(rig, "n1") > 2.0 / 8

            assert await rig.until(busy, LONG)
            before = sum(len(box.came) for box in rig.boxes.values())
            assert await rig.until(
                lambda: sum(len(box.came) for box in rig.boxes.values()) > before + 60, LONG
            )
        assert load.kinds["n1"].get("lost", 0) == 0

    play(script, tmp_path)


def test_nobody_passes_the_whole_while_routers_die_sleep_and_are_cut_off(tmp_path):
    async def script(rig):
        async with Load(rig, flood(rig)):
            await rig.cold(*rig.box_names)
            await asyncio.sleep(2.0)
            first = await find_lessor(rig)  # who leases out most of it, and has granted quotas of its own
            await rig.kill(first)
            await asyncio.sleep(0.5)
            second = await find_lessor(rig, but=first)  # frozen for longer than a lease
            rig.freeze(second)
            await asyncio.sleep(LEASE_TERM_S + 0.5)
            rig.thaw(second)
            rig.freeze("n1")  # who was leased the most
            await asyncio.sleep(LEASE_TERM_S + 0.5)
            rig.thaw("n1")
            await rig.start(first)  # under its name, with what it granted still out
            half = set(rig.names[:4])
            rig.wires.cut = lambda a, b: (a in half) != (b in half)
            await asyncio.sleep(2.0)
            rig.wires.cut = lambda a, b: False
            await rig.cold("s-1")  # another process at the address, while quotas of it are out
            await asyncio.sleep(2.0)

    play(script, tmp_path)


def test_seven_in_ten_killed_and_all_restarted_during_a_cold_start(tmp_path):
    async def script(rig):
        async with Load(rig, flood(rig)):
            await rig.cold(*rig.box_names)
            await asyncio.sleep(1.0)
            gone = rig.names[2:]
            await asyncio.gather(*map(rig.kill, gone))
            await asyncio.gather(*map(rig.start, gone))
            for name in rig.names[:2]:
                await rig.end(name)
                await rig.start(name)
            await asyncio.sleep(2.0)

    play(script, tmp_path)


def test_the_rig_finds_lessors_that_lease_what_was_not_granted(tmp_path):
    async def script(rig):
        async with Load(rig, flood(rig)):
            await rig.cold(*rig.box_names)
            await asyncio.sleep(4.0)

    lavish = (
        "import brookhinge.limits.lessor as m; m.Lessor.issue_leases = lambda self, now: {limit: {lessee: 1.0 for lessee, "
        "(need, until) in self.needs[limit].items() if need > 0 and until > now} for limit in self.shortfalls(now)}"
    )
    with pytest.raises(AssertionError, match="within"):
        play(script, tmp_path, first=lavish)
