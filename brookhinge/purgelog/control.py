"""One control machine: replication, its readers, and the progress of its entries. No I/O, no clock.

node.receive(now, sender, address, message, writer)
node.tick(now, writer)          at node.next_at(now) at the latest
"""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from brookhinge.purgelog import messages
from brookhinge.purgelog.distributor import Distributor
from brookhinge.purgelog.interfaces import Address, MessageWriter
from brookhinge.purgelog.log import RECENT
from brookhinge.purgelog.positions import START, Position, covers, flatten, sound_vector
from brookhinge.purgelog.progress import MARGIN_S, Outcome, Progress, Tracker
from brookhinge.purgelog.reader import Reader
from brookhinge.purgelog.replication import Replication

SYNC_S = 0.05  # between two syncs to each other machine
SERVE_S = 0.02  # between two looks at what is due to the routers
TOLD_KEPT = RECENT  # entries remembered, so that one that all machines read is appended once


class Machine(NamedTuple):
    """A control machine as the settings tell of it."""

    name: str
    address: Address
    region: str = ""  # routers of the same region prefer it,
    serves: tuple[str, ...] = ()  # and those of these regions


class ControlNode:
    """The core of one control machine."""

    def __init__(self, machine: int, machines: Sequence[Machine], boot: int, proof_s: float, now: float):
        """Start a machine that holds nothing yet.

        Args:
            machine: the number of this machine.
            machines: all of them, in the same order everywhere.
            boot: process id, drawn at the start.
            proof_s: how long a router uses its own copies on one proof.
            now: seconds of the caller's steady clock.
        """
        self.machine = machine
        self.machines = machines
        self.boot = boot
        self.replication = Replication(machine, len(machines), boot, now)
        self.distributor = Distributor(machine, boot, self.replication.logs, proof_s + MARGIN_S, now)
        self.tracker = Tracker(self.replication, [m.name for m in machines], proof_s, now)
        self.sync_at = now
        self.serve_at = now
        self.serving = False
        self.told: collections.OrderedDict[messages.Entry, None] = collections.OrderedDict()

    # what a program asks

    def submit(self, now: float, entry: messages.Entry, writer: MessageWriter) -> Position | None:
        """Append an entry and send it on; return its position, or None while no majority answers."""
        position = self.replication.submit(entry)
        if position is not None:
            self.remember(entry)
            self.spread(now, writer)
        return position

    def progress(self, now: float, position: Position) -> Progress:
        """Return how far an entry has got that this machine appended."""
        if not self.replication.epoch:
            return Progress(Outcome.PENDING, [])
        self.tracker.receive(now, self.distributor.report(), True)
        return self.tracker.progress(now, position)

    def has(self, entry: messages.Entry) -> bool:
        """Whether the log of any source held this entry lately."""
        return entry in self.told

    # messages

    def receive(
        self, now: float, sender: int, address: Address, message: messages.Message, writer: MessageWriter
    ) -> None:
        """Take a message and answer it."""
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

    def receive_sync(self, now: float, sender: int, sync: messages.Sync) -> None:
        """Take another machine's heartbeat with its reports."""
        if not self.replication.receive_sync(now, sender, sync):
            return
        for report in sync.reports:
            if self.sound(report):
                self.tracker.receive(now, report, report.machine == sync.machine)
        for name, process, session in sync.moved:
            self.distributor.gone_elsewhere(name, process, session)

    def sound(self, report: messages.Report) -> bool:
        """Whether a report's vectors have the right lengths."""
        machines = len(self.machines)
        return sound_vector(report.floors, machines) and (
            not report.lost_floors or sound_vector(report.lost_floors, machines)
        )

    def receive_append(self, now: float, message: messages.Append, writer: MessageWriter) -> None:
        """Take entries from another machine and pass them on to the readers."""
        new = self.replication.receive_append(message)
        for entry in new:
            self.remember(entry)
        if new:
            self.serve(now, writer)

    def remember(self, entry: messages.Entry) -> None:
        """Note an entry, so that it is not appended again."""
        self.told[entry] = None
        if len(self.told) > TOLD_KEPT:
            self.told.popitem(last=False)

    def answer_submit(
        self, now: float, address: Address, message: messages.Submit, writer: MessageWriter
    ) -> None:
        """Append what a client submits and answer with its status."""
        position = self.submit(now, message.entry, writer)
        self.answer_status(now, address, message.number, position or START, writer)

    def answer_status(
        self, now: float, address: Address, number: int, position: Position, writer: MessageWriter
    ) -> None:
        """Answer how far an entry has got."""
        progress = Progress(Outcome.PENDING, []) if position == START else self.progress(now, position)
        missing = [(name, str(why)) for name, why in progress.missing[:8]]
        writer.send(address, messages.Status(number, self.machine, *position, int(progress.outcome), missing))

    # time

    def tick(self, now: float, writer: MessageWriter) -> None:
        """Do what is due by time."""
        self.replication.recover(now)
        self.replication.open_epoch(now)
        if now >= self.serve_at:
            self.serve(now, writer)
        if now >= self.sync_at:
            self.sync_at = now + SYNC_S
            self.synchronise(now, writer)
            self.spread(now, writer)

    def next_at(self, now: float) -> float:
        """Return when a tick is due though no message comes."""
        return min(self.sync_at, self.serve_at)

    def serve(self, now: float, writer: MessageWriter) -> None:
        """Push to the routers, once this machine has held all that a majority held at some moment."""
        self.serve_at = now + SERVE_S
        quorum = self.replication.quorum(now)
        if not self.serving and quorum is not None:
            self.serving = covers(self.replication.positions(), quorum.heads)
        if self.serving:
            self.distributor.tick(now, quorum, writer)

    def push(self, now: float, reader: Reader | None, writer: MessageWriter) -> None:
        """Send one reader what is due to it."""
        if reader is not None:
            self.distributor.push(now, reader, self.replication.quorum(now), writer)

    def synchronise(self, now: float, writer: MessageWriter) -> None:
        """Send every other machine a heartbeat with reports."""
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

    def spread(self, now: float, writer: MessageWriter) -> None:
        """Send the other machines the entries that they lack."""
        for m, peer in self.replication.peers.items():
            for append in self.replication.appends(now, peer):
                writer.send(self.machines[m].address, append)
