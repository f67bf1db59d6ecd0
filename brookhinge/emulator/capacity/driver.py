"""Starts the processes of a modelled fleet, speaks to them, and ends them all: on return, on an interrupt, on a fault."""

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

# mechanisms by which routers hear of purges
PEERS = "peers"
LOG = "log"
MOST_PROCESSES = 300
MOST_MEMORY_MB = 12 * 1024
# what a process and each router in it are reckoned to hold
PROCESS_MB = 45
ROUTER_MB = 4
ANSWER_S = 60.0  # a process that has not answered by then has failed
END_S = 2.0  # a process has so long to end once its input is closed
LONGEST_ANSWER = 64 << 20
AT_ONCE = 4  # processes that are busy at the same time while a fleet starts
JOIN_SITES = 3  # a router that starts anew is told one address at each of so many sites


class TooLarge(Exception):
    """A layout asks for more processes or memory than a run may take."""


class ProcessFailed(Exception):
    """A process of the fleet failed or does not answer."""


class Process:
    """One process of the fleet; its answers come in the order of the commands that have one."""

    def __init__(self, title, process):
        self.title = title
        self.process = process

    def send(self, command):
        """Sends a command that has no answer."""
        if self.process.stdin.is_closing():
            raise ProcessFailed(f"{self.title}: ended")
        self.process.stdin.write(write(command) + b"\n")

    async def ask(self, command):
        """Sends a command and waits for its answer; raises ProcessFailed."""
        self.send(command)
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), ANSWER_S)
        except TimeoutError:
            raise ProcessFailed(f"{self.title}: no answer to {type(command).__name__}") from None
        if not line:
            raise ProcessFailed(f"{self.title}: ended")
        answer = read_answer(line)
        if isinstance(answer, Failed):
            raise ProcessFailed(f"{self.title}: {answer.why}")
        return answer

    async def end(self):
        """Closes its input, and kills it if it does not end by itself."""
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), END_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


def check_size(layout):
    """Raises TooLarge where a layout takes more processes or memory than a run may."""
    processes = sum(site.routers > 0 for site in layout.sites) + len(layout.capacity.controls)
    memory_mb = processes * PROCESS_MB + layout.routers * ROUTER_MB
    if processes > MOST_PROCESSES:
        raise TooLarge(f"expected {MOST_PROCESSES} processes at most, got {processes}")
    if memory_mb > MOST_MEMORY_MB:
        raise TooLarge(
            f"expected {MOST_MEMORY_MB} MB at most, reckoned {memory_mb} MB for {layout.routers} routers"
        )


def free_port(host):
    """A UDP port that is free at a host."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind((host, 0))
        return bound.getsockname()[1]


class FleetProcesses:
    """async with FleetProcesses(layout, seed, mechanism) as fleet: one process for each site.

    tell     called with a line of progress"""

    def __init__(self, layout, seed, mechanism, tell=lambda line: None):
        check_size(layout)
        self.layout = layout
        self.seed = seed
        self.mechanism = mechanism
        self.tell = tell
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
        """The first command of one process."""
        return Setup(
            self.layout.capacity,
            self.layout.routers,
            self.seed,
            self.mechanism,
            controls=self.control_addresses,
            **which,
        )

    async def start_controls(self):
        """Starts the control machines, each at an address that the others know before."""
        hosts = [self.layout.control_host(k) for k in range(len(self.layout.capacity.controls))]
        self.control_addresses = [(host, free_port(host)) for host in hosts]
        for number in range(len(hosts)):
            await self.start_control(number)

    async def start_control(self, number):
        """Starts one control machine, or starts it anew after it was killed."""
        control = self.layout.capacity.controls[number]
        process = await self.start_process(f"control {control.name}", self.setup(control=number))
        self.controls[number] = process
        await process.ask(StartControl())
        process.send(SetCuts([tuple(cut) for cut in self.cuts]))

    async def kill_control(self, number):
        """A control machine ends without a word."""
        process = self.controls.pop(number)
        process.process.kill()
        await process.process.wait()

    async def start_process(self, title, setup):
        """Starts one process and says what it is."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "brookhinge.emulator.capacity.worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LONGEST_ANSWER,
            cwd=Path(__file__).parents[3],
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[3])},
        )
        started = Process(title, process)
        started.send(setup)
        return started

    @property
    def processes(self):
        """All processes that were started."""
        return [*self.sites.values(), *self.controls.values()]

    async def end(self):
        """Ends all processes."""
        await asyncio.shield(asyncio.gather(*(process.end() for process in self.processes)))

    async def start_filled(self):
        """Starts all routers with views that know the whole fleet: as one that has long run."""
        answers = []
        for index, process in self.sites.items():
            answers.append(await process.ask(StartRouters([], True)))
            self.addresses[index] = answers[-1].addresses
        claims = [claim for answer in answers for claim in answer.claims]
        processes = list(self.sites.values())
        for step in range(0, len(processes), AT_ONCE):
            await asyncio.gather(*(process.ask(Fill(claims)) for process in processes[step : step + AT_ONCE]))
        self.send_all(Begin())

    async def start_cold(self, step_s):
        """Starts site after site, `step_s` apart; each router knows nothing but addresses to join by."""
        for index, process in self.sites.items():
            answer = await process.ask(StartRouters(self.join_addresses(), False))
            self.addresses[index] = answer.addresses
            await asyncio.sleep(step_s)

    def join_addresses(self):
        """One address at each of the first sites that were started."""
        return [addresses[0] for addresses in list(self.addresses.values())[:JOIN_SITES]]

    def send(self, site, command: Message):
        """A command without an answer to one site, by index."""
        self.sites[site].send(command)

    def send_all(self, command):
        """The same to all sites."""
        for process in self.sites.values():
            process.send(command)

    def purge(self, planned):
        """A source tells a purge: a router's command channel, or a control machine where there is a log."""
        if self.mechanism == PEERS:
            self.sites[planned.site].send(Purge(planned.number, planned.router))
        elif planned.control in self.controls:
            self.controls[planned.control].send(Purge(planned.number, 0))

    async def control_arrivals(self):
        """What control machines know of the purges that they were told first."""
        return await asyncio.gather(*(process.ask(Collect()) for process in self.controls.values()))

    def set_cuts(self, cuts):
        """Cuts in force from now on."""
        self.cuts = list(cuts)
        for process in self.processes:
            process.send(SetCuts([tuple(cut) for cut in cuts]))

    async def ask_all(self, command):
        """The answers of all sites, by index."""
        answers = await asyncio.gather(*(process.ask(command) for process in self.sites.values()))
        return dict(zip(self.sites, answers))

    async def control_samples(self) -> dict[int, Sample]:
        """Counters of all control machines that run."""
        answers = await asyncio.gather(*(process.ask(Mark()) for process in self.controls.values()))
        return dict(zip(self.controls, answers))

    async def samples(self) -> dict[int, Sample]:
        """Counters of all sites."""
        return await self.ask_all(Mark())

    async def arrivals(self) -> dict[int, Arrivals]:
        """What became of the purges, by site."""
        return await self.ask_all(Collect())
