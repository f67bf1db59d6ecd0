"""The process of one site or one control machine.

driver.py starts it as `python -m brookhinge.emulator.capacity.worker`. It reads commands from standard input,
answers on standard output and exits when its input closes, so that it does not outlive the driver. It ignores
SIGINT: on an interrupt at the terminal, the driver stops its processes.
"""

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

MAX_COMMAND_BYTES = 64 << 20
PR_SET_PDEATHSIG = 1  # Linux: signals this process when its parent dies, even if this process is stopped


def end_with_parent():
    """Ask the kernel to kill this process when its parent dies.

    Where prctl is missing, the process exits when its input closes.
    """
    try:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    except (OSError, AttributeError):
        pass


class SiteProcess:
    """The process of one site: its routers, and the handlers of their commands."""

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
        """Start all routers of the site at once."""
        self.memory_at_start = resident_bytes()
        await asyncio.gather(*(router.start(command.join, command.hold) for router in self.routers))
        return Started([router.claim() for router in self.routers], [r.address for r in self.routers])

    def fill(self, command):
        """Add claims of the whole fleet to each router's view."""
        for router in self.routers:
            router.fill(command.claims)
        gc.collect()
        gc.freeze()  # as the daemon does at ready
        return Done()

    def begin(self, _):
        """Let routers that were started with `hold` send and receive."""
        for router in self.routers:
            router.membership.begin()

    def set_cuts(self, command):
        """Replace the cuts on the links from this site."""
        cuts = [Cut(*cut) for cut in command.cuts]
        for router in self.routers:
            router.links.cut(cuts)

    def purge(self, command):
        """Submit a purge at one router, if it is running."""
        if self.routers[command.router].up:
            self.submitted[command.number] = time.monotonic()
            self.routers[command.router].purge(command.number)

    def drain(self, command):
        """Submit a drain at one router, if it is running."""
        if self.routers[command.router].up:
            self.submitted[command.number] = time.monotonic()
            self.routers[command.router].drain(command.number, command.server)

    def set_demand(self, command):
        """Set the demand on the cache servers."""
        for router in self.routers:
            router.load = command.load

    def kill(self, command):
        """Stop routers without a clean shutdown."""
        for number in command.routers:
            if self.routers[number].up:
                self.routers[number].kill()

    def restart(self, command):
        """Restart routers, all at once."""
        for number in command.routers:
            task = asyncio.ensure_future(self.routers[number].restart(command.join, command.graceful))
            self.tasks.add(task)
            task.add_done_callback(self.restarted)

    def restarted(self, task):
        """Finish a restart task; a failed one ends the process with the error."""
        self.tasks.discard(task)
        if not task.cancelled():
            task.result()

    def sample(self, _):
        """Return the current counters."""
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
        """Return when each purge took effect at each router."""
        in_force = {}
        for router in self.routers:
            for number, moment in router.arrivals.items():
                in_force.setdefault(number, {})[router.name] = moment
        started = {router.name: router.started_at for router in self.routers}
        rules = {router.name: router.rules for router in self.routers if router.client is not None}
        return Arrivals(in_force, started, self.submitted, rules=rules)


def fail(loop, context):
    """Report an uncaught exception to the driver and exit."""
    fault = context.get("exception")
    sys.stdout.buffer.write(write(Failed(f"{context.get('message')}: {fault!r}")) + b"\n")
    sys.stdout.buffer.flush()
    os._exit(1)


async def take(process, command):
    """Carry out a command and return its answer, or None if it has none."""
    answer = process.handlers[type(command)](command)
    return await answer if asyncio.iscoroutine(answer) else answer


async def serve():
    """Serve commands until standard input closes."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(fail)
    reader = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
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
    """Return a factory of a router's purge log client, or None without control machines."""
    if not setup.controls:
        return None

    from brookhinge.emulator.capacity.purge_log_processes import CountedClient, control_blocks

    return functools.partial(CountedClient, control_blocks(layout, setup.controls))


def make_process(setup: Setup):
    """Return the site or control machine process that a setup describes."""
    if setup.control < 0:
        return SiteProcess(setup)

    from brookhinge.emulator.capacity.purge_log_processes import ControlProcess

    return ControlProcess(setup)


def main():
    """Run until standard input closes, then exit at once without closing the routers."""
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
