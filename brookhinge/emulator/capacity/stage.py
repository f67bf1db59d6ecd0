"""One interface for scenarios to a fleet on sockets and to a fleet in virtual time."""

import asyncio
import time
from typing import NamedTuple

from brookhinge.emulator.capacity.driver import FleetProcesses
from brookhinge.emulator.capacity.measure import PurgeRecord, counters_of_samples
from brookhinge.emulator.capacity.messages import Drain, Kill, Restart, SetDemand

POLL_S = 0.25  # between two checks of a condition


class PurgeOutcomes(NamedTuple):
    """Progress of purges.

    Attributes:
        records: PurgeRecord by number.
        started: When each router last started, or None if it is down, by name.
        rules: (time, CopyRule name) of each rule of the purge log, by router.
    """

    records: dict[int, PurgeRecord]
    started: dict[str, float | None]
    rules: dict[str, list]


class SocketStage:
    """A fleet of processes on loopback sockets.

    Attributes:
        lag_s: Largest event loop delay of the run in seconds.
        phase_lag_s: Largest event loop delay between the last two counters, in seconds.
    """

    kind = "sockets"

    def __init__(self, layout, seed, mechanism, report_progress):
        self.layout = layout
        self.fleet = FleetProcesses(layout, seed, mechanism, report_progress)
        self.tasks = []
        self.samples = {}
        self.lag_s = self.phase_lag_s = 0.0

    async def __aenter__(self):
        await self.fleet.__aenter__()
        try:
            await self.fleet.start_filled()
        except BaseException:
            await self.fleet.end()
            raise
        return self

    async def __aexit__(self, *fault):
        for task in self.tasks:
            task.cancel()
        await self.fleet.__aexit__(*fault)

    def now(self):
        """Return the monotonic time that all timestamps use."""
        return time.monotonic()

    async def wait(self, seconds):
        """Wait for a number of seconds."""
        await asyncio.sleep(seconds)

    def schedule(self, delay_s, call, *args):
        """Schedule a call in `delay_s` seconds."""
        self.tasks.append(asyncio.ensure_future(self.call_later(delay_s, call, *args)))

    @staticmethod
    async def call_later(seconds, call, *args):
        """Call a function after a delay."""
        await asyncio.sleep(seconds)
        call(*args)

    def purge(self, planned):
        """Submit a purge at its source."""
        self.fleet.purge(planned)

    def drain(self, planned):
        """Submit a drain at a router's command channel."""
        self.fleet.send(planned.site, Drain(planned.number, planned.server, planned.router))

    def set_demand(self, load):
        """Set the mean part of the servers' capacity in use."""
        self.fleet.send_all(SetDemand(load))

    def set_cuts(self, cuts):
        """Replace the cuts in force."""
        self.fleet.set_cuts(cuts)

    def restart(self, site, routers, graceful):
        """Restart routers of a site, after announcing that they leave if `graceful`."""
        self.fleet.send(site, Restart(list(routers), self.fleet.join_addresses(), graceful))

    def kill(self, site, router):
        """Kill a router without a clean shutdown."""
        self.fleet.send(site, Kill([router]))

    async def kill_control(self, number):
        """Kill a control machine without a clean shutdown."""
        await self.fleet.kill_control(number)

    async def start_control(self, number):
        """Restart a control machine."""
        await self.fleet.start_control(number)

    async def counters(self):
        """Return the counters of all routers, by name."""
        self.samples = await self.fleet.samples()
        self.phase_lag_s = max(sample.lag_s for sample in self.samples.values())
        self.lag_s = max(self.lag_s, self.phase_lag_s)
        return counters_of_samples(self.samples)

    async def control_counters(self):
        """Return the counters of all running control machines, by name."""
        samples = await self.fleet.control_samples()
        return counters_of_samples(samples)

    async def known(self):
        """Return how many members each running router considers alive or suspect, by name."""
        samples = await self.fleet.samples()
        routers = [router for sample in samples.values() for router in sample.routers]
        return {router.name: router.known for router in routers if router.up}

    async def records(self, numbers):
        """Return the progress of purges so far."""
        arrivals = await self.fleet.arrivals()
        controls = await self.fleet.control_arrivals()
        sources = [*arrivals.values(), *controls]
        submitted = {number: at for source in sources for number, at in source.submitted.items()}
        known = {number: at for source in sources for number, at in source.known.items()}
        named = {number: names for source in sources for number, names in source.named.items()}
        started = {name: at for source in arrivals.values() for name, at in source.started.items()}
        records = {}
        for number in numbers:
            if number not in submitted:
                continue
            in_force = {}
            for source in arrivals.values():
                in_force.update(source.in_force.get(number, {}))
            records[number] = PurgeRecord(submitted[number], in_force, known.get(number), named.get(number))
        rules = {name: rules for source in arrivals.values() for name, rules in source.rules.items()}
        return PurgeOutcomes(records, started, rules)

    def lateness(self):
        """Return the largest event loop delay between the last two counters, as figures of a phase."""
        return {"loop_late_s": round(self.phase_lag_s, 3)}

    def state(self):
        """Return the memory of the processes and their largest event loop delay."""
        grown = [
            sample.grown_bytes / len(sample.routers) / 1e6
            for sample in self.samples.values()
            if sample.routers
        ]
        return {
            "processes": len(self.fleet.processes),
            "memory_mb_all": round(sum(sample.memory_bytes for sample in self.samples.values()) / 1e6, 1),
            "memory_mb_router": round(max(grown), 3),
            "loop_late_s": round(self.lag_s, 3),
        }


class VirtualStage:
    """A fleet in virtual time, with the interface of SocketStage."""

    kind = "virtual"

    def __init__(self, fleet):
        self.fleet = fleet
        self.layout = fleet.layout

    async def __aenter__(self):
        self.fleet.start_filled()
        return self

    async def __aexit__(self, *_):
        pass

    def now(self):
        """Return the virtual time in seconds."""
        return self.fleet.network.now

    async def wait(self, seconds):
        """Run the simulation for a number of seconds."""
        self.fleet.run(seconds)

    def schedule(self, delay_s, call, *args):
        """Schedule a call in `delay_s` seconds."""
        self.fleet.network.at(self.now() + delay_s, call, *args)

    def purge(self, planned):
        """Submit a purge at its source."""
        self.fleet.purge(planned)

    def drain(self, planned):
        """Submit a drain at a router's command channel."""
        self.fleet.drain(planned)

    def set_demand(self, load):
        """Do nothing: limits are not simulated in virtual time."""

    def set_cuts(self, cuts):
        """Replace the cuts in force."""
        self.fleet.set_cuts(cuts)

    def restart(self, site, routers, graceful):
        """Restart routers of a site, after announcing that they leave if `graceful`."""
        for router in routers:
            self.fleet.restart(self.layout.sites[site].name_of(router), graceful)

    def kill(self, site, router):
        """Kill a router without a clean shutdown."""
        self.fleet.kill(self.layout.sites[site].name_of(router))

    async def kill_control(self, number):
        """Kill a control machine without a clean shutdown."""
        self.fleet.kill_control(number)

    async def start_control(self, number):
        """Restart a control machine."""
        self.fleet.start_control(number)

    async def counters(self):
        """Return the counters of all routers, by name."""
        return self.fleet.counters()

    async def known(self):
        """Return how many members each running router considers alive or suspect, by name."""
        return self.fleet.known_members()

    async def records(self, numbers):
        """Return the progress of purges so far."""
        return PurgeOutcomes(self.fleet.records(numbers), self.fleet.started(), self.fleet.rules())

    async def control_counters(self):
        """Return the counters of all running control machines, by name."""
        return self.fleet.control_counters()

    def lateness(self):
        """Return no figures: there is no event loop delay in virtual time."""
        return {}

    def state(self):
        """Return no figures: process state is not measured in virtual time."""
        return {}


async def wait_until(stage, condition, timeout_s):
    """Wait until `await condition()` is true.

    Returns:
        Seconds waited, or None if `timeout_s` passed first.
    """
    began = stage.now()
    while stage.now() - began < timeout_s:
        if await condition():
            return round(stage.now() - began, 3)
        await stage.wait(POLL_S)
    return None
