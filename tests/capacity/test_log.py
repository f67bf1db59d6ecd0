"""The purge log of an emulated fleet, with a control machine killed and with a region cut off."""

import asyncio

from brookhinge.emulator.capacity.driver import LOG
from brookhinge.emulator.capacity.hour import HourOfCut
from brookhinge.emulator.capacity.scenario import Durations, Scenario
from brookhinge.emulator.capacity.stage import SocketStage, VirtualStage, wait_until
from brookhinge.emulator.capacity.virtual_log import LogFleet
from brookhinge.emulator.capacity.work import Work
from tests.capacity.small import small_layout
from tests.capacity.test_hollow import TIMEOUT_S, all_in_force, ignore_progress


async def known_everywhere(stage, purges):
    """Return whether the source of each purge knows that it is in force everywhere."""
    outcomes = await stage.records([planned.number for planned in purges])
    return len(outcomes.records) == len(purges) and all(
        record.known is not None for record in outcomes.records.values()
    )


async def proven(stage):
    """Return whether each router has received a proof."""
    outcomes = await stage.records([])
    return all(any(rule == "PROVEN" for _, rule in outcomes.rules[name]) for name in outcomes.started)


def test_no_purge_is_lost_when_a_control_machine_is_killed_during_a_burst():
    async def run_scenario():
        layout = small_layout()
        async with SocketStage(layout, 7, LOG, ignore_progress) as stage:
            assert len(stage.fleet.processes) == 7
            assert await wait_until(stage, lambda: proven(stage), TIMEOUT_S) is not None
            purges = [planned._replace(control=0) for planned in Work(layout, 7).burst(10)]
            for planned in purges:
                stage.purge(planned)
            await stage.kill_control(1)
            assert await wait_until(stage, lambda: all_in_force(stage, purges), TIMEOUT_S) is not None
            assert await wait_until(stage, lambda: known_everywhere(stage, purges), TIMEOUT_S) is not None
            await stage.start_control(1)
            later_purges = [planned._replace(control=1) for planned in Work(layout, 8).burst(3)]
            later_purges = [planned._replace(number=planned.number + 100) for planned in later_purges]
            for planned in later_purges:
                stage.purge(planned)
            assert await wait_until(stage, lambda: all_in_force(stage, later_purges), TIMEOUT_S) is not None

    asyncio.run(run_scenario())


def log_phases(durations, **changes):
    """Return the figures of a run in virtual time."""

    async def run_scenario():
        stage = VirtualStage(LogFleet(small_layout(**changes), 7))
        async with stage:
            return await Scenario(stage, LOG, 7, durations).run()

    return asyncio.run(run_scenario())


def test_sources_know_that_all_ordinary_purges_are_in_force_in_virtual_time():
    phases = log_phases(Durations(settle=5.0, idle=0, ordinary=5.0, burst=2.0, distributor=5.0))
    for name in ("ordinary", "burst", "distributor"):
        assert phases[name]["missed"] == 0 and phases[name]["expected"] == 12 * phases[name]["purges"]
    assert phases["ordinary"]["known"] == phases["ordinary"]["purges"]
    assert phases["ordinary"]["control"]["bytes_s"]["median"] > 0


def test_routers_are_exact_again_after_a_cut():
    phases = log_phases(Durations(settle=5.0, idle=0, ordinary=0, burst=0, cut=8.0))
    assert phases["region_cut"]["missed"] == 0
    back = phases["region_back"]
    assert (back["missed_while_away"], back["not_exact"]) == (0, 0)
    assert back["unbound_s"] < 4.0  # PROOF_S (3 s) and the network delay


def test_routers_are_exact_again_after_a_cut_longer_than_the_recent_log():
    """Fingerprints readmit copies that were set aside when the recent log lost purges of the cut."""
    figures = HourOfCut(small_layout(purges_s=200.0), 7, seconds=30.0).run()
    assert figures["hour_cut"]["purges"] > 4096
    assert figures["hour_cut"]["missed"] == 0
    back = figures["hour_back"]
    assert (back["missed_while_away"], back["not_exact"]) == (0, 0)
    assert back["catch_up_s"] > 0.0
