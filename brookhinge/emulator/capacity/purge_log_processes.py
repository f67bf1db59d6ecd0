"""The purge log in a modelled fleet, on sockets: a router's client and a control machine's process, whose datagrams take the
links and are counted."""

import asyncio
import time

from brookhinge.clock import steady
from brookhinge.emulator.capacity.hollow import (
    FLEET,
    GROUP_OF_OBJECTS,
    KEY,
    fleet_settings,
)
from brookhinge.emulator.capacity.layout import Layout
from brookhinge.emulator.capacity.links import LinkedTransport, Links, Traffic
from brookhinge.emulator.capacity.messages import (
    Arrivals,
    Collect,
    Done,
    Mark,
    Purge,
    RouterSample,
    Sample,
    SetCuts,
    StartControl,
)
from brookhinge.emulator.capacity.process_gauges import LoopLag, resident_bytes
from brookhinge.operator.capacity import Cut
from brookhinge.operator.schema import CONTROL, REQUIRED
from brookhinge.operator.settings import Control
from brookhinge.purgelog.client import LogClient
from brookhinge.purgelog.messages import Entry, Kind
from brookhinge.purgelog.progress import Outcome
from brookhinge.purgelog.server import ControlServer

PROOF_S = 3.0  # as the operator's file has it by default
KNOWN_S = 1.2  # by then a source knows that a purge is in force everywhere, or names who is missing
LOOK_S = 0.02  # between two looks whether purges are in force, and two tries to append one


def control_blocks(layout, addresses):
    """`control` blocks of the operator's file by name."""
    defaults = {key: default for key, (_, default) in CONTROL.items() if default is not REQUIRED}
    return {
        control.name: Control(
            **{
                **defaults,
                "name": control.name,
                "listen": tuple(address),
                "site": FLEET,
                "key": KEY,
                "region": control.region,
                "serves": control.serves,
                "proof_s": PROOF_S,
            }
        )
        for control, address in zip(layout.capacity.controls, addresses)
    }


class Counted:
    """Goes before an Endpoint: its datagrams take the links and are counted."""

    links: Links
    traffic: Traffic

    async def open(self, listen):
        """Binds; datagrams take the links from here on."""
        address = await super().open(listen)
        self.transport = LinkedTransport(self.transport, self.links, self.traffic)
        return address

    def datagram_received(self, data, address):
        """Counts a datagram and takes it."""
        self.traffic.count_received(data)
        super().datagram_received(data, address)


class CountedClient(Counted, LogClient):
    """A router's client of the purge log."""

    def __init__(self, controls, router):
        settings = fleet_settings(
            name=router.name,
            listen=(router.host, 0),
            join=(),
            site=FLEET,
            key=KEY,
            zone=router.site.zone,
            region=router.site.region,
            purge_log=True,
        )
        super().__init__(settings, controls, router.log_event, router.log)
        self.links, self.traffic = router.links, router.traffic


class CountedServer(Counted, ControlServer):
    """A control machine."""

    def __init__(self, name, controls, log, links, traffic):
        super().__init__(name, controls, log)
        self.links, self.traffic = links, traffic


def purge_entry(number):
    """The log's entry of a numbered purge."""
    return Entry(Kind.PURGE, f"{number:016x}", GROUP_OF_OBJECTS, round(time.time() * 1000))


class PurgeSource:
    """The purges that a control machine is told first: appended as soon as it can, and watched until they are in force.

    submit(entry) -> position or None; progress(position) -> Progress"""

    def __init__(self, submit, progress):
        self.submit, self.progress = submit, progress
        self.submitted, self.known, self.named = {}, {}, {}
        self.unplaced, self.pending = [], {}

    def take(self, now, number):
        """A purge of that number is told now."""
        self.submitted[number] = now
        self.unplaced.append(number)
        self.look(now)

    def look(self, now):
        """Appends what waits, and asks the oldest appended first whether it is in force."""
        while self.unplaced:
            position = self.submit(purge_entry(self.unplaced[0]))
            if position is None:
                break
            self.pending[self.unplaced.pop(0)] = position
        for number, position in list(self.pending.items()):
            progress = self.progress(position)
            if progress.outcome == Outcome.PENDING:
                break
            del self.pending[number]
            self.known[number] = now
        for number, position in self.pending.items():
            if number not in self.named and now - self.submitted[number] >= KNOWN_S:
                self.named[number] = sorted({name for name, _ in self.progress(position).missing})

    def waits(self):
        """Whether something has to be looked at."""
        return bool(self.unplaced or self.pending)


class ControlProcess:
    """One control machine, and the commands that its process takes."""

    def __init__(self, setup):
        layout = Layout(setup.capacity, setup.routers)
        control = layout.capacity.controls[setup.control]
        self.name, self.traffic, self.lag = control.name, Traffic(), LoopLag()
        site = layout.site_of_place[control.site]
        self.links = Links(layout, site, f"{setup.seed} {control.name}")
        blocks = control_blocks(layout, setup.controls)
        self.server = CountedServer(control.name, blocks, self.log, self.links, self.traffic)
        self.source = PurgeSource(self.append, self.progress)
        self.memory_at_start, self.changes = resident_bytes(), {}
        self.handlers = {
            StartControl: self.start,
            SetCuts: self.set_cuts,
            Purge: self.purge,
            Mark: self.sample,
            Collect: self.arrivals,
        }

    async def start(self, _):
        """Binds and serves."""
        await self.server.start()
        self.looking = asyncio.ensure_future(self.look())
        return Done()

    async def look(self):
        """Looks at the purges of this source."""
        while True:
            await asyncio.sleep(LOOK_S)
            if self.source.waits():
                self.source.look(time.monotonic())

    def append(self, entry):
        """Appends an entry; its position, or None."""
        return self.server.node.submit(steady(), entry, self.server)

    def progress(self, position):
        """Progress of an entry."""
        return self.server.node.progress(steady(), position)

    def set_cuts(self, command):
        """Cuts on the links from this machine."""
        self.links.cut([Cut(*cut) for cut in command.cuts])

    def purge(self, command):
        """The source tells a purge here first."""
        self.source.take(time.monotonic(), command.number)

    def log(self, event, **values):
        """Lines of the log are counted by what changed."""
        change = values.get("change", event)
        self.changes[change] = self.changes.get(change, 0) + 1

    def sample(self, _):
        """Counters up to now."""
        traffic, memory = self.traffic, resident_bytes()
        own = RouterSample(
            self.name,
            True,
            traffic.sent,
            traffic.sent_bytes,
            traffic.received,
            traffic.received_bytes,
            0,
            len(self.server.node.distributor.readers),
        )
        return Sample(
            time.monotonic(),
            time.process_time(),
            memory,
            memory - self.memory_at_start,
            self.lag.take(),
            [own],
            self.changes,
        )

    def arrivals(self, _):
        """What this source knows of its purges."""
        source = self.source
        return Arrivals(submitted=source.submitted, known=source.known, named=source.named)
