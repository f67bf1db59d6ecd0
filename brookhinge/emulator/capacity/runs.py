"""Selects and executes the runs of a command: one size, the short form, or all sizes and seeds.

Runs of the earlier mechanism (`peers`, purge notices among peers) and of the current one (`log`, the purge
log) use the same seeds.
"""

import asyncio
import datetime
import gc
import multiprocessing
import os
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from brookhinge.emulator.capacity import results
from brookhinge.emulator.capacity.driver import LOG, PEERS
from brookhinge.emulator.capacity.hour import HourOfCut
from brookhinge.emulator.capacity.layout import Layout, read_layout
from brookhinge.emulator.capacity.router import measure_router
from brookhinge.emulator.capacity.scenario import Durations, Scenario
from brookhinge.emulator.capacity.stage import SocketStage, VirtualStage
from brookhinge.emulator.capacity.virtual import PeerFleet
from brookhinge.emulator.capacity.virtual_log import LogFleet

MECHANISMS = (PEERS, LOG)  # earlier one first
SIZES = (66, 132, 265, 530, 1060)
LARGEST_ON_SOCKETS = {PEERS: 132, LOG: 530}  # routers that fit on half of a machine with 8 cores
SEEDS = (7, 8, 9)
SHORT_SOCKETS = 66
SHORT_VIRTUAL = (132, 530)
SHORT = Durations(settle=2.0, idle=2.0, ordinary=3.0, burst=0.0)
STANDARD = Durations(settle=4.0, idle=4.0, ordinary=6.0, burst=3.0)
VIRTUAL = Durations(settle=4.0, idle=3.0, ordinary=4.0, burst=2.0)
ALL_PHASES = Durations(
    settle=4.0,
    idle=4.0,
    ordinary=6.0,
    burst=3.0,
    peak=4.0,
    changes=9.0,
    site_start=6.0,
    rolling=5.0,
    failures=6.0,
    distributor=6.0,
    zone=10.0,
    cut=20.0,
)
SPAWN = multiprocessing.get_context("spawn")
CONCURRENT_VIRTUAL_RUNS = 2


class Plan(NamedTuple):
    """Settings of a command.

    Attributes:
        file: File with the `capacity` block.
        layout: Layout of the file.
        seed: Seed of the runs.
        loss: Probability that a link drops a datagram, or None for that of the file.
        report_progress: Prints a line of progress.
    """

    file: str
    layout: Layout
    seed: int
    loss: float | None
    report_progress: Callable[[str], None]


class VirtualJob(NamedTuple):
    """One run in virtual time, as passed to a worker process.

    Attributes:
        file: File with the `capacity` block.
        routers: Number of routers.
        seed: Seed of the run.
        loss: Probability that a link drops a datagram, or None for that of the file.
        mechanism: How purges are distributed.
        durations: Duration of each phase, or None for the cut of an hour.
    """

    file: str
    routers: int
    seed: int
    loss: float | None
    mechanism: str
    durations: Durations | None


def virtual_fleet(layout, seed, mechanism):
    """Return a fleet in virtual time that uses a mechanism."""
    return (PeerFleet if mechanism == PEERS else LogFleet)(layout, seed)


async def run_scenario(stage, mechanism, seed, durations, report_progress):
    """Execute one run on a stage and return its row."""
    async with stage:
        phases = await Scenario(stage, mechanism, seed, durations, report_progress).run()
        state = stage.state()
    return row_of(stage.kind, stage.layout, mechanism, seed, scenario_of(durations), phases, state)


def scenario_of(durations):
    """Return the scenario name of runs with these durations."""
    return "all phases" if durations == ALL_PHASES else "cost"


def row_of(kind, layout, mechanism, seed, scenario, phases, state):
    """Return the row of one run."""
    return {
        "kind": kind,
        "mechanism": mechanism,
        "scenario": scenario,
        "routers": layout.routers,
        "sites": sum(site.routers > 0 for site in layout.sites),
        "seed": seed,
        "loss": layout.capacity.loss,
        "date": datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d %H:%M UTC"),
        "command": results.command(sys.argv[1:]),
        "revision": results.revision(),
        "machine_load": round(os.getloadavg()[0], 1),
        "state": state,
        "phases": phases,
    }


async def run_on_sockets(plan, layout, seed, mechanism, durations):
    """Execute one run on sockets and return its row."""
    return await run_scenario(
        SocketStage(layout, seed, mechanism, plan.report_progress),
        mechanism,
        seed,
        durations,
        plan.report_progress,
    )


def run_in_virtual_time(job):
    """Execute one run in virtual time, in a worker process, and return its row."""
    gc.disable()  # a collection would add to the processor time of whichever router runs at that time
    layout = read_layout(job.file, job.routers, job.loss)
    if job.durations is None:
        phases = HourOfCut(layout, job.seed).run()
        return row_of("virtual", layout, job.mechanism, job.seed, "hour", phases, {})
    stage = VirtualStage(virtual_fleet(layout, job.seed, job.mechanism))
    return asyncio.run(run_scenario(stage, job.mechanism, job.seed, job.durations, lambda line: None))


async def run_virtual_jobs(plan, jobs, keep=lambda rows: None):
    """Execute virtual runs, a few at a time, and return their rows in the order of completion."""
    loop = asyncio.get_running_loop()
    rows = []
    with ProcessPoolExecutor(CONCURRENT_VIRTUAL_RUNS, max_tasks_per_child=1, mp_context=SPAWN) as pool:
        for done in asyncio.as_completed(
            [loop.run_in_executor(pool, run_in_virtual_time, job) for job in jobs]
        ):
            row = await done
            plan.report_progress(
                f"virtual, {row['mechanism']}, {row['routers']} routers, seed {row['seed']}: done"
            )
            keep([row])
            rows.append(row)
    return rows


def last_line(plan, rows, routers):
    """Return the JSON object that a command prints as its last line."""
    mechanisms = MECHANISMS
    return results.last_line(
        rows, routers, plan.seed, plan.layout.capacity.loss, mechanisms[0], mechanisms[-1]
    )


async def single_run(plan, options):
    """Run one size on sockets or in virtual time, with each selected mechanism."""
    rows = []
    for mechanism in selected_mechanisms(options):
        if options.virtual:
            job = VirtualJob(plan.file, plan.layout.routers, plan.seed, plan.loss, mechanism, ALL_PHASES)
            rows += await run_virtual_jobs(plan, [job])
        elif plan.layout.routers <= LARGEST_ON_SOCKETS[mechanism]:
            rows.append(await run_on_sockets(plan, plan.layout, plan.seed, mechanism, ALL_PHASES))
        else:
            plan.report_progress(
                f"{mechanism}: {plan.layout.routers} routers are more than a machine can run on sockets"
            )
    if options.keep:
        results.keep(rows, options.keep + ".json")
    return last_line(plan, rows, plan.layout.routers)


async def short_run(plan, options):
    """Run a small fleet on sockets and two sizes in virtual time, in under a minute."""
    mechanisms = MECHANISMS
    sizes = (options.routers,) if options.routers else SHORT_VIRTUAL
    jobs = [
        VirtualJob(plan.file, size, plan.seed, plan.loss, mechanism, SHORT)
        for size in reversed(sizes)
        for mechanism in mechanisms
    ]
    rows = await run_virtual_jobs(plan, jobs)
    small = Layout(plan.layout.capacity, min(SHORT_SOCKETS, *sizes))
    rows.append(await run_on_sockets(plan, small, plan.seed, mechanisms[-1], SHORT))
    return last_line(plan, rows, max(sizes))


def selected_mechanisms(options):
    """Return the mechanisms that a command selects."""
    return [one for one in MECHANISMS if options.mechanism in (None, one)]


async def long_run(plan, options):
    """Run all sizes and seeds, and store each row as soon as its run ends."""

    def keep(rows):
        results.keep(rows, options.keep + ".json")

    size = plan.layout.capacity.routers
    jobs = [
        VirtualJob(plan.file, size, seed, plan.loss, LOG, None)
        for seed in SEEDS
        if LOG in selected_mechanisms(options)
    ]
    jobs += [
        VirtualJob(plan.file, routers, seed, plan.loss, mechanism, VIRTUAL)
        for mechanism in selected_mechanisms(options)
        for routers in SIZES
        for seed in SEEDS
    ]
    jobs += [
        VirtualJob(plan.file, size, plan.seed, plan.loss, mechanism, ALL_PHASES)
        for mechanism in selected_mechanisms(options)
    ]
    if options.virtual:
        await run_virtual_jobs(plan, jobs, keep)
    elif options.sockets:
        await all_on_sockets(plan, options, keep)
    else:
        await all_on_sockets(plan, options, keep)
        await run_virtual_jobs(plan, jobs, keep)
    return last_line(plan, results.load(options.keep + ".json"), size)


async def all_on_sockets(plan, options, keep):
    """Run each size that the machine can run on sockets with all seeds, and the largest with all phases."""
    for mechanism in selected_mechanisms(options):
        sizes = [size for size in SIZES if size <= LARGEST_ON_SOCKETS[mechanism]]
        for size in reversed(sizes):
            layout = Layout(plan.layout.capacity, size)
            for seed in SEEDS:
                keep([await run_on_sockets(plan, layout, seed, mechanism, STANDARD)])
        layout = Layout(plan.layout.capacity, max(sizes))
        keep([await run_on_sockets(plan, layout, plan.seed, mechanism, ALL_PHASES)])


async def router_run(plan, options):
    """Measure one real router with its data path."""
    phases = await measure_router(plan.layout.capacity.caches)
    row = row_of("rig", Layout(plan.layout.capacity, 1), "data path", plan.seed, "router", phases, {})
    if options.keep:
        results.keep([row], options.keep + ".json")
    return {"routers": 1, "seed": plan.seed, **phases}
