"""A fleet as a scenario plays it: the same calls on sockets and in virtual time."""

import asyncio
import time
from typing import NamedTuple

from brookhinge.emulator.capacity.driver import FleetProcesses
from brookhinge.emulator.capacity.measure import PurgeRecord, counters_of_samples
from brookhinge.emulator.capacity.messages import Drain, Kill, Restart, SetDemand

POLL_S = 0.25  # between two looks for something that is waited for


class Fates(NamedTuple):
    """PurgeRecord by number, router -> when it last started (None: not up), router -> rules of the purge log."""

    records: dict[int, PurgeRecord]
    started: dict[str, float | None]
    rules: dict[str, list]


class SocketStage:
    """A fleet of processes on loopback sockets."""

    kind = "sockets"

    def __init__(self, layout, seed, mechanism, tell):
        self.layout = layout
        self.fleet = FleetProcesses(layout, seed, mechanism, tell)
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
        """Seconds of the clock that all moments are told by."""
        return time.monotonic()

    async def wait(self, seconds):
        """Lets so much time pass."""
        await asyncio.sleep(seconds)

    def plan(self, at_s, call, *args):
        """Calls so many seconds from now."""
        self.tasks.append(asyncio.ensure_future(self.later(at_s, call, *args)))

    @staticmethod
    async def later(seconds, call, *args):
        """Waits, then calls."""
        await asyncio.sleep(seconds)
        call(*args)

    def purge(self, planned):
        """A source tells a purge."""
        self.fleet.purge(planned)

    def drain(self, planned):
        """A router's command channel tells of a drain."""
        self.fleet.send(planned.site, Drain(planned.number, planned.server, planned.router))

    def set_demand(self, room):
        """Part of the servers' room in use on the mean."""
        self.fleet.send_all(SetDemand(room))

    def set_cuts(self, cuts):
        """Cuts in force from now on."""
        self.fleet.set_cuts(cuts)

    def restart(self, site, routers, graceful):
        """Routers of a site start anew."""
        self.fleet.send(site, Restart(list(routers), self.fleet.join_addresses(), graceful))

    def kill(self, site, router):
        """A router ends without a word."""
        self.fleet.send(site, Kill([router]))

    async def kill_control(self, number):
        """A control machine ends without a word."""
        await self.fleet.kill_control(number)

    async def start_control(self, number):
        """A control machine starts anew."""
        await self.fleet.start_control(number)

    async def counters(self):
        """Counters of all routers."""
        self.samples = await self.fleet.samples()
        self.phase_lag_s = max(sample.lag_s for sample in self.samples.values())
        self.lag_s = max(self.lag_s, self.phase_lag_s)
        return counters_of_samples(self.samples)

    async def control_counters(self):
        """Counters of all control machines."""
        samples = await self.fleet.control_samples()
        return counters_of_samples(samples)

    async def known(self):
        """Router that is up -> how many it believes alive or suspects."""
        samples = await self.fleet.samples()
        routers = [router for sample in samples.values() for router in sample.routers]
        return {router.name: router.known for router in routers if router.up}

    async def records(self, numbers):
        """What became of purges as of now."""
        arrivals = await self.fleet.arrivals()
        controls = await self.fleet.control_arrivals()
        sources = [*arrivals.values(), *controls]
        submitted = {number: at for one in sources for number, at in one.submitted.items()}
        known = {number: at for one in sources for number, at in one.known.items()}
        named = {number: names for one in sources for number, names in one.named.items()}
        started = {name: at for one in arrivals.values() for name, at in one.started.items()}
        records = {}
        for number in numbers:
            if number not in submitted:
                continue
            in_force = {}
            for one in arrivals.values():
                in_force.update(one.in_force.get(number, {}))
            records[number] = PurgeRecord(submitted[number], in_force, known.get(number), named.get(number))
        rules = {name: rules for one in arrivals.values() for name, rules in one.rules.items()}
        return Fates(records, started, rules)

    def lateness(self):
        """By how much event loops were late between the last two times that counters were asked for."""
        return {"loop_late_s": round(self.phase_lag_s, 3)}

    def state(self):
        """What the processes hold and how late they were."""
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
    """A fleet in virtual time."""

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
        """Seconds of the virtual clock."""
        return self.fleet.network.now

    async def wait(self, seconds):
        """Plays on for so long."""
        self.fleet.run(seconds)

    def plan(self, at_s, call, *args):
        """Calls so many seconds from now."""
        self.fleet.network.at(self.now() + at_s, call, *args)

    def purge(self, planned):
        """A source tells a purge."""
        self.fleet.purge(planned)

    def drain(self, planned):
        """A router's command channel tells of a drain."""
        self.fleet.drain(planned)

    def set_demand(self, room):
        """Limits are not played in virtual time."""

    def set_cuts(self, cuts):
        """Cuts in force from now on."""
        self.fleet.set_cuts(cuts)

    def restart(self, site, routers, graceful):
        """Routers of a site start anew."""
        for router in routers:
            self.fleet.restart(self.layout.sites[site].name_of(router), graceful)

    def kill(self, site, router):
        """A router ends without a word."""
        self.fleet.kill(self.layout.sites[site].name_of(router))

    async def kill_control(self, number):
        """A control machine ends without a word."""
        self.fleet.kill_control(number)

    async def start_control(self, number):
        """A control machine starts anew."""
        self.fleet.start_control(number)

    async def counters(self):
        """Counters of all routers."""
        return self.fleet.counters()

    async def known(self):
        """Router that is up -> how many it believes alive or suspects."""
        return self.fleet.known_members()

    async def records(self, numbers):
        """What became of purges as of now."""
        return Fates(self.fleet.records(numbers), self.fleet.started(), self.fleet.rules())

    async def control_counters(self):
        """Counters of all control machines."""
        return self.fleet.control_counters()

    def lateness(self):
        """Virtual time is never late."""
        return {}

    def state(self):
        """Nothing that a process holds is measured in virtual time."""
        return {}


async def wait_until(stage, holds, most_s):
    """Seconds until `await holds()`; None if it did not within `most_s`."""
    began = stage.now()
    while stage.now() - began < most_s:
        if await holds():
            return round(stage.now() - began, 3)
        await stage.wait(POLL_S)
    return None
