"""The process of one site, or of one control machine: `python -m brookhinge.emulator.capacity.worker`, started by driver.py.

It reads commands from standard input, answers on standard output, and ends when its input closes: so none outlives the
driver. An interrupt at the terminal reaches the driver alone, which ends its processes."""

import asyncio
import collections
import ctypes
import functools
import gc
import os
import signal
import sys
import time

from brookhinge.emulator.capacity.hollow import HollowRouter
from brookhinge.emulator.capacity.layout import Layout
from brookhinge.emulator.capacity.messages import (
    Arrivals,
    Begin,
    Collect,
    Done,
    Drain,
    Failed,
    Fill,
    Kill,
    Mark,
    Purge,
    Restart,
    Sample,
    SetCuts,
    SetDemand,
    Setup,
    Started,
    StartRouters,
    read_command,
    write,
)
from brookhinge.emulator.capacity.process_gauges import LoopLag, resident_bytes
from brookhinge.operator.capacity import Cut

LONGEST_COMMAND = 64 << 20
PR_SET_PDEATHSIG = 1  # of Linux: a signal to this process when its parent dies, also while it is stopped


def end_with_parent():
    """Asks the kernel, where it can, to kill this process with its parent; a closed input does it elsewhere."""
    try:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    except (OSError, AttributeError):
        pass


class SiteProcess:
    """All routers of one site, and the commands that they take."""

    def __init__(self, setup):
        self.layout = Layout(setup.capacity, setup.routers)
        self.site = self.layout.sites[setup.site]
        make_client = client_maker(self.layout, setup)
        self.routers = [
            HollowRouter(self.layout, self.site, number, setup.seed, make_client)
            for number in range(self.site.routers)
        ]
        self.submitted = {}
        self.tasks = set()
        self.memory_at_start = resident_bytes()
        self.lag = LoopLag()
        self.handlers = {
            StartRouters: self.start_routers,
            Fill: self.fill,
            Begin: self.begin,
            SetCuts: self.set_cuts,
            Purge: self.purge,
            Drain: self.drain,
            SetDemand: self.set_demand,
            Kill: self.kill,
            Restart: self.restart,
            Mark: self.sample,
            Collect: self.arrivals,
        }

    async def start_routers(self, command):
        """All routers of the site at once."""
        self.memory_at_start = resident_bytes()
        await asyncio.gather(*(router.start(command.join, command.hold) for router in self.routers))
        return Started([router.claim() for router in self.routers], [r.address for r in self.routers])

    def fill(self, command):
        """The whole fleet's claims into each view."""
        for router in self.routers:
            router.fill(command.claims)
        gc.collect()
        gc.freeze()  # as the daemon does once it is ready
        return Done()

    def begin(self, _):
        """Routers that were held back start to speak."""
        for router in self.routers:
            router.talk.begin()

    def set_cuts(self, command):
        """Cuts on the links from this site."""
        cuts = [Cut(*cut) for cut in command.cuts]
        for router in self.routers:
            router.links.cut(cuts)

    def purge(self, command):
        """One router learns of a purge."""
        if self.routers[command.router].up:
            self.submitted[command.number] = time.monotonic()
            self.routers[command.router].purge(command.number)

    def drain(self, command):
        """One router learns of a drain."""
        if self.routers[command.router].up:
            self.submitted[command.number] = time.monotonic()
            self.routers[command.router].drain(command.number, command.server)

    def set_demand(self, command):
        """What queries ask of the cache servers."""
        for router in self.routers:
            router.room = command.room

    def kill(self, command):
        """Routers end without a word."""
        for number in command.routers:
            if self.routers[number].up:
                self.routers[number].kill()

    def restart(self, command):
        """Routers start anew, all at once."""
        for number in command.routers:
            task = asyncio.ensure_future(self.routers[number].restart(command.join, command.graceful))
            self.tasks.add(task)
            task.add_done_callback(self.restarted)

    def restarted(self, task):
        """A restart that failed ends the process with its reason."""
        self.tasks.discard(task)
        if not task.cancelled():
            task.result()

    def sample(self, _):
        """Counters up to now."""
        changes = collections.Counter()
        for router in self.routers:
            changes.update(router.changes)
        memory = resident_bytes()
        return Sample(
            time.monotonic(),
            time.process_time(),
            memory,
            memory - self.memory_at_start,
            self.lag.take(),
            [router.sample() for router in self.routers],
            dict(changes),
        )

    def arrivals(self, _):
        """When each purge came into force at each router."""
        in_force = {}
        for router in self.routers:
            for number, moment in router.arrivals.items():
                in_force.setdefault(number, {})[router.name] = moment
        started = {router.name: router.started_at for router in self.routers}
        rules = {router.name: router.rules for router in self.routers if router.client is not None}
        return Arrivals(in_force, started, self.submitted, rules=rules)


def fail(loop, context):
    """A fault that nobody caught: the driver is told, and the process ends."""
    fault = context.get("exception")
    sys.stdout.buffer.write(write(Failed(f"{context.get('message')}: {fault!r}")) + b"\n")
    sys.stdout.buffer.flush()
    os._exit(1)


async def take(process, command):
    """Carries a command out; its answer, or None if it has none."""
    answer = process.handlers[type(command)](command)
    return await answer if asyncio.iscoroutine(answer) else answer


async def serve():
    """Takes commands until the input closes."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(fail)
    reader = asyncio.StreamReader(limit=LONGEST_COMMAND)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    setup = read_command(await reader.readline())
    process = make_process(setup)
    lag = asyncio.ensure_future(process.lag.run())
    while line := await reader.readline():
        answer = await take(process, read_command(line))
        if answer is not None:
            sys.stdout.buffer.write(write(answer) + b"\n")
            sys.stdout.buffer.flush()
    lag.cancel()


def client_maker(layout, setup):
    """Makes the purge log's client of a router, where there is a log."""
    if not setup.controls:
        return None

    from brookhinge.emulator.capacity.purge_log_processes import CountedClient, control_blocks

    return functools.partial(CountedClient, control_blocks(layout, setup.controls))


def make_process(setup: Setup):
    """The process that the setup names."""
    if setup.control < 0:
        return SiteProcess(setup)

    from brookhinge.emulator.capacity.purge_log_processes import ControlProcess

    return ControlProcess(setup)


def main():
    """Runs until the input closes; ends at once then, with whatever its routers had open."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    end_with_parent()
    try:
        asyncio.run(serve())
    except Exception as fault:
        sys.stdout.buffer.write(write(Failed(repr(fault))) + b"\n")
        sys.stdout.buffer.flush()
    os._exit(0)


if __name__ == "__main__":
    main()
