"""Core of one control machine: replication, readers and progress of entries. No I/O, no clock.

node.receive(now, sender, address, message, writer)
node.tick(now, writer)          no later than node.next_at(now)
"""

import collections
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from brookhinge.purgelog import messages
from brookhinge.purgelog.distributor import Distributor
from brookhinge.purgelog.interfaces import Address, MessageWriter
from brookhinge.purgelog.log import RECENT_ENTRIES
from brookhinge.purgelog.positions import START, Position, covers, flatten, is_valid_vector
from brookhinge.purgelog.progress import MARGIN_S, Outcome, Progress, Tracker
from brookhinge.purgelog.reader import Reader
from brookhinge.purgelog.replication import Replication
from brookhinge.purgelog.retained_replica import RetainedReplica

SYNC_INTERVAL_S = 0.05  # between two syncs to each peer
SERVE_INTERVAL_S = 0.02  # between two checks for due pushes
MAX_RECENT_ENTRIES = RECENT_ENTRIES  # for the detection of entries that another machine has appended already


class Machine(NamedTuple):
    """Settings of a control machine."""

    name: str
    address: Address
    region: str = ""  # routers of this region prefer it
    serves: tuple[str, ...] = ()  # further regions whose routers prefer it


class ControlNode:
    """The core of one control machine."""

    def __init__(self, machine: int, machines: Sequence[Machine], boot: int, proof_s: float, now: float):
        """Create a machine with empty logs.

        Args:
            machine: the number of this machine.
            machines: all control machines, in the same order in every process.
            boot: random id of this process.
            proof_s: time for which one proof lets a router use its own copies.
            now: seconds of the caller's steady clock.
        """
        self.machine = machine
        self.machines = machines
        self.boot = boot
        self.replication = Replication(machine, len(machines), boot, now)
        self.distributor = Distributor(machine, boot, self.replication.logs, proof_s + MARGIN_S, now)
        self.tracker = Tracker(self.replication, [m.name for m in machines], proof_s, now)
        self.sync_at = now
        self.retained = RetainedReplica(machine, machines, self.replication)
        self.serve_at = now
        self.serving = False
        self.recent_entries: collections.OrderedDict[messages.Entry, None] = collections.OrderedDict()

    # calls from the process

    def submit(self, now: float, entry: messages.Entry, writer: MessageWriter) -> Position | None:
        """Append an entry and replicate it; return its position, or None while no epoch is open."""
        position = self.replication.submit(entry)
        if position is not None:
            self.tracker.record_submission(now, position)
            self.remember(now, entry)
            self.replicate(now, writer)
        return position

    def progress(self, now: float, position: Position) -> Progress:
        """Return the progress of an entry that this machine appended."""
        if not self.replication.epoch:
            return Progress(Outcome.PENDING, [])
        self.tracker.receive(now, self.distributor.report(), True)
        return self.tracker.progress(now, position)

    def has(self, entry: messages.Entry) -> bool:
        """Whether this entry is among the recent entries of any log."""
        return entry in self.recent_entries

    # messages

    def receive(
        self, now: float, sender: int, address: Address, message: messages.Message, writer: MessageWriter
    ) -> None:
        """Handle a message and send the responses."""
        match message:
            case messages.Sync():
                self.receive_sync(now, sender, message)
            case messages.Append():
                self.receive_append(now, message, writer)
            case messages.Subscribe() if self.serving:
                reader_address = (message.host, message.port) if message.host else address
                is_foreign = self.is_foreign(message)
                reader = self.distributor.subscribe(now, sender, reader_address, message, is_foreign)
                self.push(now, reader, writer)
            case messages.Poll() if self.serving:
                self.push(now, self.distributor.poll(now, sender, address, message, writer), writer)
            case messages.Leave():
                self.distributor.leave(sender, message)
            case messages.BackfillRequest() if self.serving:
                self.distributor.backfill(message, address, writer)
            case messages.RetainedPage():
                self.retained.receive(now, message)
            case messages.RetainedRequest():
                address = self.address_of(sender, address, message)
                writer.send(address, self.retained.page(now, message))
            case _:
                self.receive_request(now, address, message, writer)

    def address_of(self, sender: int, address: Address, request: messages.RetainedRequest) -> Address:
        """Return the address at which the sender of a request is reached; `address` is where it came from."""
        if 0 <= request.machine < len(self.machines):
            return self.machines[request.machine].address
        reader = self.distributor.readers.get(sender)
        return address if reader is None else reader.address

    def receive_request(
        self, now: float, address: Address, message: messages.Message, writer: MessageWriter
    ) -> None:
        """Respond to a request that needs no subscription."""
        match message:
            case messages.Submit():
                self.answer_submit(now, address, message, writer)
            case messages.StatusRequest():
                position = Position(message.epoch, message.index)
                self.answer_status(now, address, message.number, position, writer)

    def is_foreign(self, message: messages.Subscribe) -> bool:
        """Whether a router's positions are in logs that are gone, since most machines have restarted."""
        if not message.positions or not any(message.boots):
            return False
        return not self.replication.shares_majority(message.boots)

    def receive_sync(self, now: float, sender: int, sync: messages.Sync) -> None:
        """Apply another machine's heartbeat and its reports."""
        if not self.replication.receive_sync(now, sender, sync):
            return
        for report in sync.reports:
            if self.has_valid_vectors(report):
                self.tracker.receive(now, report, report.machine == sync.machine)
        for name, process, session in sync.moved:
            self.distributor.remove_moved(name, process, session)

    def has_valid_vectors(self, report: messages.Report) -> bool:
        """Whether the position vectors of a report are valid."""
        machines = len(self.machines)
        return is_valid_vector(report.floors, machines) and (
            not report.lost_floors or is_valid_vector(report.lost_floors, machines)
        )

    def receive_append(self, now: float, message: messages.Append, writer: MessageWriter) -> None:
        """Append entries from another machine and push them to the readers."""
        new = self.replication.receive_append(message)
        for entry in new:
            self.remember(now, entry)
        if new:
            self.serve(now, writer)

    def remember(self, now: float, entry: messages.Entry) -> None:
        """Record an entry so that this machine does not append it again, and keep a retained purge."""
        self.retained.apply(now, entry)
        self.recent_entries[entry] = None
        if len(self.recent_entries) > MAX_RECENT_ENTRIES:
            self.recent_entries.popitem(last=False)

    def answer_submit(
        self, now: float, address: Address, message: messages.Submit, writer: MessageWriter
    ) -> None:
        """Append the entry of a client and respond with its status.

        Nobody but the log tells of such a purge, so routers have to keep it.
        """
        entry = msgspec.structs.replace(message.entry, retained=message.entry.kind == messages.Kind.PURGE)
        position = self.submit(now, entry, writer)
        self.answer_status(now, address, message.number, position or START, writer)

    def answer_status(
        self, now: float, address: Address, number: int, position: Position, writer: MessageWriter
    ) -> None:
        """Respond with the progress of an entry."""
        progress = Progress(Outcome.PENDING, []) if position == START else self.progress(now, position)
        missing = [(name, str(why)) for name, why in progress.missing[:8]]
        writer.send(address, messages.Status(number, self.machine, *position, int(progress.outcome), missing))

    # time

    def tick(self, now: float, writer: MessageWriter) -> None:
        """Run the actions that are due."""
        self.replication.recover(now)
        self.replication.open_epoch(now)
        self.retained.tick(now, self.distributor.readers.values(), writer)
        if now >= self.serve_at:
            self.serve(now, writer)
        if now >= self.sync_at:
            self.sync_at = now + SYNC_INTERVAL_S
            self.send_syncs(now, writer)
            self.replicate(now, writer)

    def next_at(self, now: float) -> float:
        """Return the time of the next tick if no message arrives."""
        return min(self.sync_at, self.serve_at)

    def serve(self, now: float, writer: MessageWriter) -> None:
        """Push to the routers, once this machine holds everything that some quorum read returned."""
        self.serve_at = now + SERVE_INTERVAL_S
        quorum = self.replication.quorum(now)
        if not self.serving and quorum is not None:
            self.serving = covers(self.replication.positions(), quorum.heads)
        if self.serving:
            self.distributor.tick(now, quorum, writer)

    def push(self, now: float, reader: Reader | None, writer: MessageWriter) -> None:
        """Push to one reader, if there is one."""
        if reader is not None:
            self.distributor.push(now, reader, self.replication.quorum(now), writer)

    def send_syncs(self, now: float, writer: MessageWriter) -> None:
        """Send a heartbeat with reports to every peer."""
        own = self.distributor.report()
        self.tracker.receive(now, own, True)
        reports = self.tracker.reports_to_send(now, own)
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
                self.distributor.recently_moved(number),
            )
            writer.send(self.machines[m].address, sync)

    def replicate(self, now: float, writer: MessageWriter) -> None:
        """Send the peers the entries that they lack."""
        for m, peer in self.replication.peers.items():
            for append in self.replication.appends(now, peer):
                writer.send(self.machines[m].address, append)
