"""A small fleet of hollow routers on sockets and in virtual time; no process outlives its driver."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from brookhinge.emulator.capacity.driver import PEERS, ProcessFailedError
from brookhinge.emulator.capacity.messages import Mark
from brookhinge.emulator.capacity.scenario import Durations, Scenario
from brookhinge.emulator.capacity.stage import SocketStage, VirtualStage, wait_until
from brookhinge.emulator.capacity.virtual import PeerFleet
from brookhinge.emulator.capacity.work import Work
from tests.capacity.small import SMALL, small_layout

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 60.0


def ignore_progress(line):
    """Ignore a line of progress."""


async def all_in_force(stage, purges):
    """Return whether each purge is in force at each router."""
    outcomes = await stage.records([planned.number for planned in purges])
    return len(outcomes.records) == len(purges) and all(
        set(record.in_force) == set(outcomes.started) for record in outcomes.records.values()
    )


def test_purges_reach_all_hollow_routers_on_sockets():
    async def run_scenario():
        layout = small_layout(loss=0.0)
        async with SocketStage(layout, 7, PEERS, ignore_progress) as stage:
            assert len(stage.fleet.processes) == 4
            before = await stage.counters()
            purges = Work(layout, 7).burst(10)
            for planned in purges:
                stage.purge(planned)
            assert await wait_until(stage, lambda: all_in_force(stage, purges), TIMEOUT_S) is not None
            after = await stage.counters()
            assert all(after[name].sent_bytes > before[name].sent_bytes for name in after)
            assert set((await stage.known()).values()) == {12}
            return [process.process.pid for process in stage.fleet.processes]

    assert not any(map(running, asyncio.run(run_scenario())))


def test_killed_router_leaves_the_views_and_restarted_router_returns():
    async def run_scenario():
        layout = small_layout(loss=0.0)
        async with SocketStage(layout, 7, PEERS, ignore_progress) as stage:
            scenario = Scenario(stage, PEERS, 7, Durations())
            stage.kill(1, 0)
            assert await wait_until(stage, scenario.one_view, TIMEOUT_S) is not None
            assert len(await stage.known()) == 11
            stage.restart(1, [0], False)
            assert await wait_until(stage, lambda: has_one_view(stage, 12), TIMEOUT_S) is not None

    async def has_one_view(stage, count):
        known = await stage.known()
        return len(known) == count and set(known.values()) == {count}

    asyncio.run(run_scenario())


def test_exit_of_a_process_fails_the_run_and_names_the_process():
    async def run_scenario():
        async with SocketStage(small_layout(), 7, PEERS, ignore_progress) as stage:
            process = stage.fleet.sites[0]
            process.process.kill()
            await process.process.wait()
            await process.ask(Mark())

    with pytest.raises(ProcessFailedError, match="site north/a/1: process exited"):
        asyncio.run(run_scenario())


def running(pid):
    """Return whether a process runs; a zombie does not."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rsplit(")", 1)[1].split()[0] != "Z"
    except FileNotFoundError:
        return False


def children(pid):
    """Return the ids of the child processes of a process."""
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


def wait_for(condition):
    """Return whether a condition becomes true within TIMEOUT_S."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_no_process_outlives_the_driver(tmp_path, signal_number):
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

    assert wait_for(all_started)
    os.kill(driver.pid, signal_number)
    driver.wait(TIMEOUT_S)
    assert wait_for(lambda: not any(map(running, started)))


def virtual_figures(seed):
    """Return the figures of a short run in virtual time."""

    async def run_scenario():
        stage = VirtualStage(PeerFleet(small_layout(), seed))
        async with stage:
            return await Scenario(
                stage, PEERS, seed, Durations(settle=2.0, idle=2.0, ordinary=4.0, burst=2.0)
            ).run()

    return asyncio.run(run_scenario())


def without_processor_time(phases):
    """Return the figures without processor time, which differs between runs."""
    return {name: {k: v for k, v in row.items() if k != "core_share"} for name, row in phases.items()}


def test_run_in_virtual_time_is_reproducible_by_seed():
    first = without_processor_time(virtual_figures(7))
    assert first == without_processor_time(virtual_figures(7))
    assert first != without_processor_time(virtual_figures(8))
    assert (
        first["ordinary"]["purges"] > 0 and first["ordinary"]["expected"] == 12 * first["ordinary"]["purges"]
    )
    assert first["ordinary"]["bytes_s"]["median"] > first["idle"]["bytes_s"]["median"]


def test_routers_cut_off_in_virtual_time_receive_all_purges_after_the_cut():
    async def run_scenario():
        stage = VirtualStage(PeerFleet(small_layout(loss=0.0), 7))
        async with stage:
            return await Scenario(
                stage, PEERS, 7, Durations(settle=2.0, idle=0, ordinary=0, burst=0, cut=5.0)
            ).run()

    phases = asyncio.run(run_scenario())
    assert phases["region_cut"]["missed"] == 0 and phases["region_cut"]["cut_off"] == 3
    assert phases["region_back"]["missed_while_away"] == 0 and phases["region_back"]["catch_up_s"] > 0.0
