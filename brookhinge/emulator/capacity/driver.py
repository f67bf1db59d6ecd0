"""Starts the processes of an emulated fleet, sends them commands, and stops them on exit or error."""

import asyncio
import os
import socket
import sys
from pathlib import Path

from brookhinge.emulator.capacity.messages import (
    Arrivals,
    Begin,
    Collect,
    Failed,
    Fill,
    Mark,
    Message,
    Purge,
    Sample,
    SetCuts,
    Setup,
    StartControl,
    StartRouters,
    read_answer,
    write,
)

# mechanisms that distribute purges to routers
PEERS = "peers"
LOG = "log"
MAX_PROCESSES = 300
MAX_MEMORY_MB = 12 * 1024
# estimated memory of a process and of each router in it
PROCESS_MB = 45
ROUTER_MB = 4
ANSWER_TIMEOUT_S = 60.0  # a process that takes longer to answer has failed
EXIT_TIMEOUT_S = 2.0  # time to exit after standard input closes, before the process is killed
MAX_ANSWER_BYTES = 64 << 20
CONCURRENT_FILLS = 4  # processes that fill their views at the same time while a fleet starts
JOIN_SITES = 3  # a restarted router gets one join address at each of this many sites


class TooLargeError(Exception):
    """A layout needs more processes or memory than a run may use."""


class ProcessFailedError(Exception):
    """A process of the fleet failed, exited or did not answer in time."""


class Process:
    """One process of the fleet.

    Answers arrive in the order of the commands that have one.
    """

    def __init__(self, title, process):
        self.title = title
        self.process = process

    def send(self, command):
        """Send a command that has no answer.

        Raises:
            ProcessFailedError: If the process's standard input is already closed.
        """
        if self.process.stdin.is_closing():
            raise ProcessFailedError(f"{self.title}: process exited")
        self.process.stdin.write(write(command) + b"\n")

    async def ask(self, command):
        """Send a command and return its answer.

        Raises:
            ProcessFailedError: If the process exits, reports a failure or does not answer in time.
        """
        self.send(command)
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), ANSWER_TIMEOUT_S)
        except TimeoutError:
            raise ProcessFailedError(f"{self.title}: no answer to {type(command).__name__}") from None
        if not line:
            raise ProcessFailedError(f"{self.title}: process exited")
        answer = read_answer(line)
        if isinstance(answer, Failed):
            raise ProcessFailedError(f"{self.title}: {answer.why}")
        return answer

    async def end(self):
        """Close standard input, and kill the process if it does not exit in time."""
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


def check_size(layout):
    """Check that a layout stays within the limits of a run.

    Raises:
        TooLargeError: If the layout needs more processes or memory than a run may use.
    """
    processes = sum(site.routers > 0 for site in layout.sites) + len(layout.capacity.controls)
    memory_mb = processes * PROCESS_MB + layout.routers * ROUTER_MB
    if processes > MAX_PROCESSES:
        raise TooLargeError(f"expected {MAX_PROCESSES} processes at most, got {processes}")
    if memory_mb > MAX_MEMORY_MB:
        raise TooLargeError(
            f"expected {MAX_MEMORY_MB} MB at most, estimated {memory_mb} MB for {layout.routers} routers"
        )


def free_port(host):
    """Return a UDP port that is free on a host."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind((host, 0))
        return bound.getsockname()[1]


class FleetProcesses:
    """The processes of a fleet, one for each site and control machine, as an async context manager.

    Attributes:
        sites: Process of each site that has routers, by site index.
        controls: Process of each running control machine, by number.
        addresses: Membership addresses of the routers of each started site, by site index.
        cuts: Cuts in force.
        control_addresses: (host, port) of each control machine.
    """

    def __init__(self, layout, seed, mechanism, report_progress=lambda line: None):
        check_size(layout)
        self.layout = layout
        self.seed = seed
        self.mechanism = mechanism
        self.report_progress = report_progress
        self.sites = {}
        self.controls = {}
        self.addresses = {}
        self.cuts = []
        self.control_addresses = []

    async def __aenter__(self):
        try:
            if self.mechanism == LOG:
                await self.start_controls()
            for site in self.layout.sites:
                if site.routers:
                    setup = self.setup(site=site.index)
                    self.sites[site.index] = await self.start_process(f"site {site.place}", setup)
        except BaseException:
            await self.end()
            raise
        return self

    async def __aexit__(self, *_):
        await self.end()

    def setup(self, **which):
        """Return the first command of one process.

        Args:
            which: `site` or `control`, the index of what the process runs.
        """
        return Setup(
            self.layout.capacity,
            self.layout.routers,
            self.seed,
            self.mechanism,
            controls=self.control_addresses,
            **which,
        )

    async def start_controls(self):
        """Start the control machines, on addresses chosen before so that each knows all others."""
        hosts = [self.layout.control_host(k) for k in range(len(self.layout.capacity.controls))]
        self.control_addresses = [(host, free_port(host)) for host in hosts]
        for number in range(len(hosts)):
            await self.start_control(number)

    async def start_control(self, number):
        """Start one control machine, or restart it after it was killed."""
        control = self.layout.capacity.controls[number]
        process = await self.start_process(f"control {control.name}", self.setup(control=number))
        self.controls[number] = process
        await process.ask(StartControl())
        process.send(SetCuts([tuple(cut) for cut in self.cuts]))

    async def kill_control(self, number):
        """Kill a control machine without a clean shutdown."""
        process = self.controls.pop(number)
        process.process.kill()
        await process.process.wait()

    async def start_process(self, title, setup):
        """Start one process and send its setup command."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "brookhinge.emulator.capacity.worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_ANSWER_BYTES,
            cwd=Path(__file__).parents[3],
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[3])},
        )
        started = Process(title, process)
        started.send(setup)
        return started

    @property
    def processes(self):
        """All site processes and running control machines."""
        return [*self.sites.values(), *self.controls.values()]

    async def end(self):
        """Stop all processes."""
        await asyncio.shield(asyncio.gather(*(process.end() for process in self.processes)))

    async def start_filled(self):
        """Start all routers with views of the whole fleet, as in a fleet that has run for a long time."""
        answers = []
        for index, process in self.sites.items():
            answers.append(await process.ask(StartRouters([], True)))
            self.addresses[index] = answers[-1].addresses
        claims = [claim for answer in answers for claim in answer.claims]
        processes = list(self.sites.values())
        for step in range(0, len(processes), CONCURRENT_FILLS):
            await asyncio.gather(
                *(process.ask(Fill(claims)) for process in processes[step : step + CONCURRENT_FILLS])
            )
        self.send_all(Begin())

    async def start_cold(self, step_s):
        """Start one site every `step_s` seconds; routers know only their join addresses."""
        for index, process in self.sites.items():
            answer = await process.ask(StartRouters(self.join_addresses(), False))
            self.addresses[index] = answer.addresses
            await asyncio.sleep(step_s)

    def join_addresses(self):
        """Return one router address at each of the first sites that were started."""
        return [addresses[0] for addresses in list(self.addresses.values())[:JOIN_SITES]]

    def send(self, site, command: Message):
        """Send a command that has no answer to one site, by index."""
        self.sites[site].send(command)

    def send_all(self, command):
        """Send a command that has no answer to all sites."""
        for process in self.sites.values():
            process.send(command)

    def purge(self, planned):
        """Submit a purge at a router's command channel or, with the purge log, at a control machine."""
        if self.mechanism == PEERS:
            self.sites[planned.site].send(Purge(planned.number, planned.router))
        elif planned.control in self.controls:
            self.controls[planned.control].send(Purge(planned.number, 0))

    async def control_arrivals(self):
        """Return what each control machine knows of the purges submitted to it."""
        return await asyncio.gather(*(process.ask(Collect()) for process in self.controls.values()))

    def set_cuts(self, cuts):
        """Replace the cuts in force at all processes."""
        self.cuts = list(cuts)
        for process in self.processes:
            process.send(SetCuts([tuple(cut) for cut in cuts]))

    async def ask_all(self, command):
        """Send a command to all sites and return their answers by index."""
        answers = await asyncio.gather(*(process.ask(command) for process in self.sites.values()))
        return dict(zip(self.sites, answers))

    async def control_samples(self) -> dict[int, Sample]:
        """Return counters of all running control machines, by number."""
        answers = await asyncio.gather(*(process.ask(Mark()) for process in self.controls.values()))
        return dict(zip(self.controls, answers))

    async def samples(self) -> dict[int, Sample]:
        """Return counters of all sites, by index."""
        return await self.ask_all(Mark())

    async def arrivals(self) -> dict[int, Arrivals]:
        """Return when purges took effect, by site index."""
        return await self.ask_all(Collect())
