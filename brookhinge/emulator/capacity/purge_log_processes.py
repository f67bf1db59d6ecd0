"""The purge log of an emulated fleet on sockets: a router's client and the process of a control machine.

Their datagrams pass the emulated links and are counted.
"""

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

PROOF_S = 3.0  # default of the operator's file
KNOWN_S = 1.2  # target for a source to know a purge is in force everywhere, or to name missing routers
PURGE_POLL_S = 0.02  # between two checks of a purge's progress, and two attempts to append one


def control_blocks(layout, addresses):
    """Return the `control` blocks of the operator's file by name."""
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


class CountedEndpoint:
    """Mixin, listed before an Endpoint, that counts its datagrams and sends them over emulated links.

    Attributes:
        links: Links that outgoing datagrams pass.
        traffic: Counters of sent and received datagrams.
    """

    links: Links
    traffic: Traffic

    async def open(self, listen):
        """Bind the socket, wrap its transport in the links and return the address."""
        address = await super().open(listen)
        self.transport = LinkedTransport(self.transport, self.links, self.traffic)
        return address

    def datagram_received(self, data, address):
        """Count and process a received datagram."""
        self.traffic.count_received(data)
        super().datagram_received(data, address)


class CountedClient(CountedEndpoint, LogClient):
    """A router's purge log client on emulated links."""

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


class CountedServer(CountedEndpoint, ControlServer):
    """A control machine on emulated links."""

    def __init__(self, name, controls, log, links, traffic):
        super().__init__(name, controls, log)
        self.links, self.traffic = links, traffic


def purge_entry(number):
    """Return the log entry of a purge, by number."""
    return Entry(Kind.PURGE, f"{number:016x}", GROUP_OF_OBJECTS, round(time.time() * 1000))


class PurgeSource:
    """Appends the purges submitted to one control machine and tracks them until they are in force.

    Attributes:
        submit: Appends an entry and returns its position, or None if it cannot be appended now.
        progress: Returns the Progress of the entry at a position.
        submitted: When each purge was submitted, by number.
        known: When each purge was known to be in force everywhere, by number.
        named: Routers that were missing KNOWN_S after the submission, by purge number.
        unappended: Numbers of purges that are not appended yet, oldest first.
        pending: Position of each appended purge not yet known to be in force, by number.
    """

    def __init__(self, submit, progress):
        self.submit, self.progress = submit, progress
        self.submitted, self.known, self.named = {}, {}, {}
        self.unappended, self.pending = [], {}

    def add(self, now, number):
        """Submit a purge, and append it if possible."""
        self.submitted[number] = now
        self.unappended.append(number)
        self.poll(now)

    def poll(self, now):
        """Append waiting purges, then check pending ones, oldest first, up to the first still pending."""
        while self.unappended:
            position = self.submit(purge_entry(self.unappended[0]))
            if position is None:
                break
            self.pending[self.unappended.pop(0)] = position
        for number, position in list(self.pending.items()):
            progress = self.progress(position)
            if progress.outcome == Outcome.PENDING:
                break
            del self.pending[number]
            self.known[number] = now
        for number, position in self.pending.items():
            if number not in self.named and now - self.submitted[number] >= KNOWN_S:
                self.named[number] = sorted({name for name, _ in self.progress(position).missing})

    def has_unfinished(self):
        """Return whether any purge is not yet appended or not yet known to be in force."""
        return bool(self.unappended or self.pending)


class ControlProcess:
    """The process of one control machine, and the handlers of its commands."""

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
        """Bind the socket and start serving."""
        await self.server.start()
        self.poll_task = asyncio.ensure_future(self.poll())
        return Done()

    async def poll(self):
        """Poll the purges submitted here until cancelled."""
        while True:
            await asyncio.sleep(PURGE_POLL_S)
            if self.source.has_unfinished():
                self.source.poll(time.monotonic())

    def append(self, entry):
        """Append an entry and return its position, or None if it cannot be appended now."""
        return self.server.node.submit(steady(), entry, self.server)

    def progress(self, position):
        """Return the progress of the entry at a position."""
        return self.server.node.progress(steady(), position)

    def set_cuts(self, command):
        """Replace the cuts on the links from this machine."""
        self.links.cut([Cut(*cut) for cut in command.cuts])

    def purge(self, command):
        """Submit a purge at this control machine."""
        self.source.add(time.monotonic(), command.number)

    def log(self, event, **values):
        """Count a log event, by its `change` if it has one."""
        change = values.get("change", event)
        self.changes[change] = self.changes.get(change, 0) + 1

    def sample(self, _):
        """Return the current counters."""
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
        """Return what this control machine knows of the purges submitted to it."""
        source = self.source
        return Arrivals(submitted=source.submitted, known=source.known, named=source.named)
