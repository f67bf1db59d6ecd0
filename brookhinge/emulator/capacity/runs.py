"""Which runs a command takes: one size, the short form, or all sizes and seeds. Each run plays the mechanism that the fleet
had before (`peers`) and the one that it has (`log`) on the same seed."""

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

MECHANISMS = (PEERS, LOG)  # the one before first
SIZES = (66, 132, 265, 530, 1060)
LARGEST_ON_SOCKETS = {PEERS: 132, LOG: 530}  # what half of a machine with 8 cores carries
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
VIRTUAL_AT_ONCE = 2  # virtual runs beside each other


class Plan(NamedTuple):
    """What a command asks for."""

    file: str
    layout: Layout
    seed: int
    loss: float | None
    tell: Callable[[str], None]


class VirtualJob(NamedTuple):
    """One virtual run, as it is handed to a process."""

    file: str
    routers: int
    seed: int
    loss: float | None
    mechanism: str
    durations: Durations | None  # None: the hour's cut


def virtual_fleet(layout, seed, mechanism):
    """A fleet in virtual time."""
    return (PeerFleet if mechanism == PEERS else LogFleet)(layout, seed)


async def play(stage, mechanism, seed, durations, tell):
    """One run on a stage; its row."""
    async with stage:
        phases = await Scenario(stage, mechanism, seed, durations, tell).run()
        state = stage.state()
    return row_of(stage.kind, stage.layout, mechanism, seed, scenario_of(durations), phases, state)


def scenario_of(durations):
    """The name under which runs of those phases are kept."""
    return "all phases" if durations == ALL_PHASES else "cost"


def row_of(kind, layout, mechanism, seed, scenario, phases, state):
    """The row of one run."""
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


async def play_on_sockets(plan, layout, seed, mechanism, durations):
    """One run on sockets."""
    return await play(SocketStage(layout, seed, mechanism, plan.tell), mechanism, seed, durations, plan.tell)


def play_virtually(job):
    """One run in virtual time; also called in a process of its own."""
    gc.disable()  # a collection would count for whichever router happens to run
    layout = read_layout(job.file, job.routers, job.loss)
    if job.durations is None:
        phases = HourOfCut(layout, job.seed).run()
        return row_of("virtual", layout, job.mechanism, job.seed, "hour", phases, {})
    stage = VirtualStage(virtual_fleet(layout, job.seed, job.mechanism))
    return asyncio.run(play(stage, job.mechanism, job.seed, job.durations, lambda line: None))


async def play_jobs(plan, jobs, keep=lambda rows: None):
    """Virtual runs, a few at a time; rows in the order of the jobs."""
    loop = asyncio.get_running_loop()
    rows = []
    with ProcessPoolExecutor(VIRTUAL_AT_ONCE, max_tasks_per_child=1, mp_context=SPAWN) as pool:
        for done in asyncio.as_completed([loop.run_in_executor(pool, play_virtually, job) for job in jobs]):
            row = await done
            plan.tell(f"virtual, {row['mechanism']}, {row['routers']} routers, seed {row['seed']}: done")
            keep([row])
            rows.append(row)
    return rows


def last_line(plan, rows, routers):
    """The JSON object of a command."""
    known = MECHANISMS
    return results.last_line(rows, routers, plan.seed, plan.layout.capacity.loss, known[0], known[-1])


async def single_run(plan, given):
    """One size on sockets, or in virtual time, with the mechanism before and the one as it is."""
    rows = []
    for mechanism in chosen(given):
        if given.virtual:
            job = VirtualJob(plan.file, plan.layout.routers, plan.seed, plan.loss, mechanism, ALL_PHASES)
            rows += await play_jobs(plan, [job])
        elif plan.layout.routers <= LARGEST_ON_SOCKETS[mechanism]:
            rows.append(await play_on_sockets(plan, plan.layout, plan.seed, mechanism, ALL_PHASES))
        else:
            plan.tell(
                f"{mechanism}: {plan.layout.routers} routers are more than a machine carries on sockets"
            )
    if given.keep:
        results.keep(rows, given.keep + ".json")
    return last_line(plan, rows, plan.layout.routers)


async def short_run(plan, given):
    """Under a minute: a small fleet on sockets, two sizes in virtual time."""
    known = MECHANISMS
    sizes = (given.routers,) if given.routers else SHORT_VIRTUAL
    jobs = [
        VirtualJob(plan.file, size, plan.seed, plan.loss, mechanism, SHORT)
        for size in reversed(sizes)
        for mechanism in known
    ]
    rows = await play_jobs(plan, jobs)
    small = Layout(plan.layout.capacity, min(SHORT_SOCKETS, *sizes))
    rows.append(await play_on_sockets(plan, small, plan.seed, known[-1], SHORT))
    return last_line(plan, rows, max(sizes))


def chosen(given):
    """The mechanisms that a command asks for."""
    return [one for one in MECHANISMS if given.mechanism in (None, one)]


async def long_run(plan, given):
    """All sizes and seeds; each row is kept as soon as it is there."""

    def keep(rows):
        results.keep(rows, given.keep + ".json")

    size = plan.layout.capacity.routers
    jobs = [VirtualJob(plan.file, size, seed, plan.loss, LOG, None) for seed in SEEDS if LOG in chosen(given)]
    jobs += [
        VirtualJob(plan.file, routers, seed, plan.loss, mechanism, VIRTUAL)
        for mechanism in chosen(given)
        for routers in SIZES
        for seed in SEEDS
    ]
    jobs += [
        VirtualJob(plan.file, size, plan.seed, plan.loss, mechanism, ALL_PHASES)
        for mechanism in chosen(given)
    ]
    if given.virtual:
        await play_jobs(plan, jobs, keep)
    elif given.sockets:
        await all_on_sockets(plan, given, keep)
    else:
        await all_on_sockets(plan, given, keep)
        await play_jobs(plan, jobs, keep)
    return last_line(plan, results.load(given.keep + ".json"), size)


async def all_on_sockets(plan, given, keep):
    """Each size that the machine carries on three seeds, and the largest with all phases."""
    for mechanism in chosen(given):
        sizes = [size for size in SIZES if size <= LARGEST_ON_SOCKETS[mechanism]]
        for size in reversed(sizes):
            layout = Layout(plan.layout.capacity, size)
            for seed in SEEDS:
                keep([await play_on_sockets(plan, layout, seed, mechanism, STANDARD)])
        layout = Layout(plan.layout.capacity, max(sizes))
        keep([await play_on_sockets(plan, layout, plan.seed, mechanism, ALL_PHASES)])


async def router_run(plan, given):
    """One real router with its data path."""
    phases = await measure_router(plan.layout.capacity.caches)
    row = row_of("rig", Layout(plan.layout.capacity, 1), "data path", plan.seed, "router", phases, {})
    if given.keep:
        results.keep([row], given.keep + ".json")
    return {"routers": 1, "seed": plan.seed, **phases}
