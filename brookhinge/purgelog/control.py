"""One control machine: replication, the routers that read here, and the progress of its own entries. No I/O, no clock.

node.receive(now, sender, address, message, writer)
node.tick(now, writer)          at node.next_at(now) at the latest
writer.send(address, message)   message: brookhinge.purgelog.messages"""

import collections
from typing import NamedTuple

from brookhinge.purgelog import messages
from brookhinge.purgelog.distributor import Distributor
from brookhinge.purgelog.log import RECENT
from brookhinge.purgelog.positions import START, Position, covers, flatten, sound_vector
from brookhinge.purgelog.progress import MARGIN_S, Outcome, Progress, Tracker
from brookhinge.purgelog.replication import Replication

SYNC_S = 0.05  # between two syncs to each other machine
SERVE_S = 0.02  # between two looks at what is due to the routers
TOLD_KEPT = RECENT  # entries remembered, so that one that all machines read is appended once


class Machine(NamedTuple):
    """A control machine as the settings tell of it."""

    name: str
    address: tuple  # (host, port)
    region: str = ""  # routers of the same region prefer it,
    serves: tuple = ()  # and those of these regions


class ControlNode:
    """machines: all of them, in the same order everywhere; machine: the place of this one; boot: drawn at the start;
    proof_s: how long a router uses its own copies on one proof."""

    def __init__(self, machine, machines, boot, proof_s, now):
        self.machine = machine
        self.machines = machines
        self.boot = boot
        self.replication = Replication(machine, len(machines), boot, now)
        self.distributor = Distributor(machine, boot, self.replication.logs, proof_s + MARGIN_S, now)
        self.tracker = Tracker(self.replication, [m.name for m in machines], proof_s, now)
        self.sync_at = now
        self.serve_at = now
        self.serving = False
        self.told = collections.OrderedDict()

    # what a program asks

    def submit(self, now, entry, writer):
        """Appends an entry and sends it on at once; its Position, or None while no majority answers."""
        position = self.replication.submit(entry)
        if position is not None:
            self.remember(entry)
            self.spread(now, writer)
        return position

    def progress(self, now, position):
        """Progress of an entry that this machine appended."""
        if not self.replication.epoch:
            return Progress(Outcome.PENDING, [])
        self.tracker.receive(now, self.distributor.report(), True)
        return self.tracker.progress(now, position)

    def has(self, entry):
        """Whether the log of any source held this entry lately."""
        return entry in self.told

    # messages

    def receive(self, now, sender, address, message, writer):
        match message:
            case messages.Sync():
                self.receive_sync(now, sender, message)
            case messages.Append():
                self.receive_append(now, message, writer)
            case messages.Subscribe() if self.serving:
                reached = (message.host, message.port) if message.host else address
                self.push(now, self.distributor.subscribe(now, sender, reached, message), writer)
            case messages.Poll() if self.serving:
                self.push(now, self.distributor.poll(now, sender, address, message, writer), writer)
            case messages.Leave():
                self.distributor.leave(sender, message)
            case messages.BackfillRequest() if self.serving:
                self.distributor.backfill(message, address, writer)
            case messages.Submit():
                self.answer_submit(now, address, message, writer)
            case messages.StatusRequest():
                position = Position(message.epoch, message.index)
                self.answer_status(now, address, message.number, position, writer)

    def receive_sync(self, now, sender, sync):
        if not self.replication.receive_sync(now, sender, sync):
            return
        for report in sync.reports:
            if self.sound(report):
                self.tracker.receive(now, report, report.machine == sync.machine)
        for name, process, session in sync.moved:
            self.distributor.gone_elsewhere(name, process, session)

    def sound(self, report):
        machines = len(self.machines)
        return sound_vector(report.floors, machines) and (
            not report.lost_floors or sound_vector(report.lost_floors, machines)
        )

    def receive_append(self, now, message, writer):
        new = self.replication.receive_append(message)
        for entry in new:
            self.remember(entry)
        if new:
            self.serve(now, writer)

    def remember(self, entry):
        self.told[entry] = None
        if len(self.told) > TOLD_KEPT:
            self.told.popitem(last=False)

    def answer_submit(self, now, address, message, writer):
        position = self.submit(now, message.entry, writer)
        self.answer_status(now, address, message.number, position or START, writer)

    def answer_status(self, now, address, number, position, writer):
        progress = Progress(Outcome.PENDING, []) if position == START else self.progress(now, position)
        missing = [(name, str(why)) for name, why in progress.missing[:8]]
        writer.send(address, messages.Status(number, self.machine, *position, int(progress.outcome), missing))

    # time

    def tick(self, now, writer):
        self.replication.recover(now)
        self.replication.open_epoch(now)
        if now >= self.serve_at:
            self.serve(now, writer)
        if now >= self.sync_at:
            self.sync_at = now + SYNC_S
            self.synchronise(now, writer)
            self.spread(now, writer)

    def next_at(self, now):
        """When tick is due though no message comes."""
        return min(self.sync_at, self.serve_at)

    def serve(self, now, writer):
        """Pushes to the routers, once this machine has held all that a majority held at some moment."""
        self.serve_at = now + SERVE_S
        quorum = self.replication.quorum(now)
        if not self.serving and quorum is not None:
            self.serving = covers(self.replication.positions(), quorum.heads)
        if self.serving:
            self.distributor.tick(now, quorum, writer)

    def push(self, now, reader, writer):
        """Sends one reader what is due to it."""
        if reader is not None:
            self.distributor.push(now, reader, self.replication.quorum(now), writer)

    def synchronise(self, now, writer):
        own = self.distributor.report()
        self.tracker.receive(now, own, True)
        reports = self.tracker.to_tell(now, own)
        for m, peer in self.replication.peers.items():
            number = self.replication.next_number(now)
            sync = messages.Sync(
                self.machine,
                number,
                peer.number,
                self.replication.recovered(),
                list(self.replication.promises),
                flatten(self.replication.positions()),
                self.replication.silence_ms(now),
                reports,
                self.distributor.moved_lately(number),
            )
            writer.send(self.machines[m].address, sync)

    def spread(self, now, writer):
        """Sends the other machines the entries that they lack."""
        for m, peer in self.replication.peers.items():
            for append in self.replication.appends(now, peer):
                writer.send(self.machines[m].address, append)
