"""A small fleet of hollow routers on real sockets, and in virtual time; nothing that it started outlives it."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from brookhinge.emulator.capacity.driver import PEERS, ProcessFailed
from brookhinge.emulator.capacity.messages import Mark
from brookhinge.emulator.capacity.scenario import Durations, Scenario
from brookhinge.emulator.capacity.stage import SocketStage, VirtualStage, wait_until
from brookhinge.emulator.capacity.virtual import PeerFleet
from brookhinge.emulator.capacity.work import Work
from tests.capacity.small import SMALL, small_layout

ROOT = Path(__file__).parents[2]
LONG_S = 60.0


def quiet(line):
    """No progress."""


async def all_in_force(stage, purges):
    """Whether each purge is in force at each router."""
    fates = await stage.records([planned.number for planned in purges])
    return len(fates.records) == len(purges) and all(
        set(record.in_force) == set(fates.started) for record in fates.records.values()
    )


def test_purges_reach_twelve_hollow_routers_on_sockets():
    async def play():
        layout = small_layout(loss=0.0)
        async with SocketStage(layout, 7, PEERS, quiet) as stage:
            assert len(stage.fleet.processes) == 4
            before = await stage.counters()
            purges = Work(layout, 7).burst(10)
            for planned in purges:
                stage.purge(planned)
            assert await wait_until(stage, lambda: all_in_force(stage, purges), LONG_S) is not None
            after = await stage.counters()
            assert all(after[name].sent_bytes > before[name].sent_bytes for name in after)
            assert set((await stage.known()).values()) == {12}
            return [process.process.pid for process in stage.fleet.processes]

    assert not any(map(running, asyncio.run(play())))


def test_a_router_that_is_killed_is_lost_and_one_that_starts_anew_is_back():
    async def play():
        layout = small_layout(loss=0.0)
        async with SocketStage(layout, 7, PEERS, quiet) as stage:
            scenario = Scenario(stage, PEERS, 7, Durations())
            stage.kill(1, 0)
            assert await wait_until(stage, scenario.one_view, LONG_S) is not None
            assert len(await stage.known()) == 11
            stage.restart(1, [0], False)
            assert await wait_until(stage, lambda: whole(stage, 12), LONG_S) is not None

    async def whole(stage, count):
        known = await stage.known()
        return len(known) == count and set(known.values()) == {count}

    asyncio.run(play())


def test_a_process_that_ends_fails_the_run_by_name():
    async def play():
        async with SocketStage(small_layout(), 7, PEERS, quiet) as stage:
            process = stage.fleet.sites[0]
            process.process.kill()
            await process.process.wait()
            await process.ask(Mark())

    with pytest.raises(ProcessFailed, match="site north/a/1: ended"):
        asyncio.run(play())


def running(pid):
    """Whether a process runs (one that has ended but was not waited for does not)."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rsplit(")", 1)[1].split()[0] != "Z"
    except FileNotFoundError:
        return False


def children(pid):
    """Processes that a process has started."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                text = (entry / "stat").read_text()
            except OSError:
                continue
            if int(text.rsplit(")", 1)[1].split()[1]) == pid:
                found.append(int(entry.name))
    return found


def until(holds):
    """Whether something holds within LONG_S."""
    end = time.monotonic() + LONG_S
    while time.monotonic() < end:
        if holds():
            return True
        time.sleep(0.05)
    return False


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_no_process_outlives_the_driver(tmp_path, how):
    layout = tmp_path / "small.hcl"
    layout.write_text(SMALL)
    driver = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.capacity", "--file", str(layout), "--routers", "12"],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    started = []

    def all_started():
        started[:] = children(driver.pid)
        return len(started) >= 4

    assert until(all_started)
    os.kill(driver.pid, how)
    driver.wait(LONG_S)
    assert until(lambda: not any(map(running, started)))


def virtual_figures(seed):
    """Figures of a short run in virtual time."""

    async def play():
        stage = VirtualStage(PeerFleet(small_layout(), seed))
        async with stage:
            return await Scenario(
                stage, PEERS, seed, Durations(settle=2.0, idle=2.0, ordinary=4.0, burst=2.0)
            ).run()

    return asyncio.run(play())


def without_processor_time(phases):
    """Figures but those of the processor, which differ by run."""
    return {name: {k: v for k, v in row.items() if k != "core_share"} for name, row in phases.items()}


def test_virtual_time_replays_by_seed():
    first = without_processor_time(virtual_figures(7))
    assert first == without_processor_time(virtual_figures(7))
    assert first != without_processor_time(virtual_figures(8))
    assert (
        first["ordinary"]["purges"] > 0 and first["ordinary"]["expected"] == 12 * first["ordinary"]["purges"]
    )
    assert first["ordinary"]["bytes_s"]["median"] > first["idle"]["bytes_s"]["median"]


def test_a_cut_in_virtual_time_keeps_purges_away_until_it_ends():
    async def play():
        stage = VirtualStage(PeerFleet(small_layout(loss=0.0), 7))
        async with stage:
            return await Scenario(
                stage, PEERS, 7, Durations(settle=2.0, idle=0, ordinary=0, burst=0, cut=5.0)
            ).run()

    phases = asyncio.run(play())
    assert phases["region_cut"]["missed"] == 0 and phases["region_cut"]["cut_off"] == 3
    assert phases["region_back"]["missed_while_away"] == 0 and phases["region_back"]["catch_up_s"] > 0.0
