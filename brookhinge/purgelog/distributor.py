"""Distribution of the logs from one control machine to the routers that read there. No I/O, no clock.

A reader counts in the reported floors from its first message until it leaves, catches up at another machine,
or its lease ends. A reader whose lease has ended is reported by name for LOST_READER_RETENTION_S.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TYPE_CHECKING

from brookhinge.purgelog.batching import split
from brookhinge.purgelog.interfaces import Address, MessageWriter
from brookhinge.purgelog.log import SourceLog
from brookhinge.purgelog.messages import (
    BackfillRequest,
    Batch,
    Horizon,
    Leave,
    Poll,
    Push,
    Report,
    Segment,
    Subscribe,
    Unknown,
)
from brookhinge.purgelog.positions import (
    MAX_LEAD,
    START,
    Position,
    covers,
    flatten,
    is_valid_vector,
    unflatten,
)
from brookhinge.purgelog.reader import FIRST_RETRY_S, LostReader, Reader

if TYPE_CHECKING:
    from brookhinge.purgelog.replication import Quorum

PUSH_INTERVAL_S = 0.05  # minimum time between two pushes of new entries to a reader
LOST_READER_RETENTION_S = 60.0  # a lost reader is reported for so long
SUSPENDED_AFTER_S = 1.0  # longer gaps between ticks mean that this process was suspended; leases are extended
# A reader that lacks more entries continues from the heads and backfills.
MAX_CATCH_UP_ENTRIES = 512
MAX_PUSH_BYTES = 1100
# limits for the names of each kind in a report
MAX_NAMES = 4
MAX_NAMES_BYTES = 120
MAX_MOVED_READERS = 8  # readers listed in one sync


class Distributor:
    """All readers of one control machine.

    Attributes:
        readers: readers with a lease, by process id.
        lost: readers whose lease ended recently, by name.
        moved: process id, session and time of readers that caught up here recently, by name.
        implausible: number of messages rejected for their positions.
    """

    def __init__(self, machine: int, boot: int, logs: list[SourceLog], lease_s: float, now: float):
        """Start without readers.

        Args:
            machine: the number of this control machine.
            boot: its process id.
            logs: logs of all sources, shared with replication.
            lease_s: time without a message after which a reader is lost.
            now: seconds of the caller's steady clock.
        """
        self.machine = machine
        self.boot = boot
        self.logs = logs
        self.lease_s = lease_s
        self.readers = {}
        self.lost = {}
        self.moved = {}
        self.last_tick_at = now
        self.number = 0
        self.implausible = 0

    def heads(self) -> list[Position]:
        """Return the last position held of each source."""
        return [log.head for log in self.logs]

    # messages of routers

    def subscribe(
        self, now: float, process: int, address: Address, message: Subscribe, is_foreign: bool = False
    ) -> Reader | None:
        """Subscribe a router and return its Reader, or None if the message is outdated or implausible.

        Positions in logs that are gone (`is_foreign`) acknowledge nothing; the router has to continue from
        the heads, under a new session.
        """
        if not self.plausible(message.positions):
            return None
        for other in [r for r in self.readers.values() if r.name == message.name and r.process != process]:
            if other.last_message_at < now - self.lease_s:
                self.mark_lost(now, other)
        reader = self.readers.get(process)
        if reader is not None and reader.session > message.session:
            return None
        if reader is None or reader.session < message.session:
            fresh = not message.positions or is_foreign
            positions = [START] * len(self.logs) if fresh else unflatten(message.positions)
            reader = Reader(message.name, process, message.session, address, positions, fresh, now)
            reader.is_foreign = is_foreign
            reader.has_history = bool(message.positions)
            self.readers[process] = reader
            lost = self.lost.get(message.name)
            if lost is not None and lost.process == process:
                del self.lost[message.name]
        self.renew_lease(now, reader, message.number, True)
        return reader

    def poll(
        self, now: float, process: int, address: Address, message: Poll, writer: MessageWriter
    ) -> Reader | None:
        """Record a router's acknowledgement; return its Reader, or None if the message is rejected."""
        reader = self.readers.get(process)
        if reader is None or reader.session != message.session:
            writer.send(address, Unknown(message.session))
            return None
        if not self.plausible(message.positions):
            return None
        if message.positions and not reader.is_foreign:
            reader.acknowledge(now, unflatten(message.positions), message.gap)
        self.renew_lease(now, reader, message.number, message.answer)
        if not reader.caught_up and covers(reader.positions, self.heads()):
            reader.caught_up = True
            self.moved[reader.name] = reader.process, reader.session, now
        return reader

    def plausible(self, numbers: list[int]) -> bool:
        """Whether positions have the right format and none is far ahead of the logs."""
        valid = not numbers or is_valid_vector(numbers, len(self.logs))
        if valid and numbers:
            ahead = (p.index - log.head.index for p, log in zip(unflatten(numbers), self.logs, strict=False))
            valid = max(ahead) < MAX_LEAD
        self.implausible += not valid
        return valid

    def renew_lease(self, now: float, reader: Reader, number: int, answer: bool) -> None:
        """Renew a reader's lease and record whether its message has to be answered."""
        reader.last_message_at = now
        if number > reader.echo:
            reader.echo = number
            reader.answer_due = reader.answer_due or answer

    def leave(self, process: int, message: Leave) -> None:
        """Remove a router that shuts down as planned."""
        reader = self.readers.get(process)
        if reader is not None and reader.session <= message.session:
            del self.readers[process]

    def backfill(self, request: BackfillRequest, address: Address, writer: MessageWriter) -> None:
        """Send fingerprints of entries after a position, or Horizon if they are not held."""
        if not 0 <= request.source < len(self.logs):
            return
        position = Position(request.epoch, request.index)
        digest = self.logs[request.source].digest_after(position)
        if digest is None:
            writer.send(address, Horizon(request.number, request.source))
        else:
            writer.send(
                address, Segment(request.number, request.source, *digest.through, digest.fingerprints)
            )

    # messages of other machines

    def remove_moved(self, name: str, process: int, session: int) -> None:
        """Remove a router that has caught up at another machine."""
        reader = self.readers.get(process)
        if reader is not None and reader.session < session:
            del self.readers[process]
            if self.moved.get(name, (0,))[0] == process:
                del self.moved[name]
        self.lost.pop(name, None)

    # time

    def tick(self, now: float, quorum: Quorum | None, writer: MessageWriter) -> None:
        """End expired leases and push to every reader."""
        self.end_leases(now)
        for reader in self.readers.values():
            self.push(now, reader, quorum, writer)

    def end_leases(self, now: float) -> None:
        """Remove readers whose lease ended; a suspension of this process extends all leases."""
        gap = now - self.last_tick_at
        self.last_tick_at = now
        if gap > SUSPENDED_AFTER_S:
            for reader in self.readers.values():
                reader.last_message_at += gap
        for reader in [r for r in self.readers.values() if now - r.last_message_at > self.lease_s]:
            self.mark_lost(now, reader)
        self.lost = {
            name: lost for name, lost in self.lost.items() if now - lost.at < LOST_READER_RETENTION_S
        }
        self.moved = {name: moved for name, moved in self.moved.items() if now - moved[2] < self.lease_s}

    def mark_lost(self, now: float, reader: Reader) -> None:
        """Move a reader to the lost readers."""
        del self.readers[reader.process]
        self.lost[reader.name] = LostReader(reader, now)

    def push(self, now: float, reader: Reader, quorum: Quorum | None, writer: MessageWriter) -> None:
        """Send a reader new entries, overdue entries, or the answer to its last message."""
        reader.resend_overdue(now)
        if not reader.answer_due and (now - reader.sent_at < PUSH_INTERVAL_S or not self.has_unsent(reader)):
            return
        batches = self.unsent_batches(reader)
        if batches is None:
            if quorum is not None:
                self.restart(now, reader, quorum, writer)
            return
        for part in split(batches, MAX_PUSH_BYTES) or [[]]:
            writer.send(reader.address, self.message(now, reader, quorum, False, part))
        if batches:
            reader.record_sent(now, batches)
        reader.answer_due = False

    def has_unsent(self, reader: Reader) -> bool:
        """Whether a reader has just started or was not sent all entries yet."""
        return reader.fresh or any(log.head > sent for log, sent in zip(self.logs, reader.sent, strict=False))

    def unsent_batches(self, reader: Reader) -> list[Batch] | None:
        """Return batches not sent to a reader yet; None if it must continue from the heads."""
        if reader.fresh:
            return None
        if (
            sum(log.head.index - sent.index for log, sent in zip(self.logs, reader.sent, strict=False))
            > MAX_CATCH_UP_ENTRIES
        ):
            return None
        batches = []
        for log, sent in zip(self.logs, reader.sent, strict=False):
            if sent >= log.head:
                continue
            following = log.since(sent)
            if following is None:
                return None
            batches += following
        return batches

    def restart(self, now: float, reader: Reader, quorum: Quorum | None, writer: MessageWriter) -> None:
        """Make a reader continue from the heads, at most once per FIRST_RETRY_S unless an answer is due."""
        if now - reader.sent_at < FIRST_RETRY_S and not reader.answer_due:
            return
        reader.sent_at = now
        reader.answer_due = False
        writer.send(reader.address, self.message(now, reader, quorum, True, []))

    def message(
        self, now: float, reader: Reader, quorum: Quorum | None, restart: bool, batches: list[Batch]
    ) -> Push:
        """Return a push, with a proof if there is a quorum."""
        if quorum is None:
            return Push(reader.session, reader.echo, -1, [], [], False, batches)
        age_ms = math.ceil(1000 * (now - quorum.at))
        heads = flatten(quorum.heads)
        return Push(reader.session, reader.echo, age_ms, heads, quorum.boots, restart, batches)

    # reports

    def report(self) -> Report:
        """Return the report of this machine."""
        self.number += 1
        heads = self.heads()
        floors = list(heads)
        lost_floors = []
        for reader in self.readers.values():
            floors = [min(pair) for pair in zip(floors, reader.positions, strict=False)]
        for lost in self.lost.values():
            lost_floors = [
                min(pair) for pair in zip(lost_floors or lost.positions, lost.positions, strict=False)
            ]
        behind = [r.name for r in self.readers.values() if not covers(r.positions, heads)]
        return Report(
            self.machine,
            self.boot,
            self.number,
            flatten(floors),
            flatten(lost_floors),
            len(self.readers),
            truncate_names(behind),
            truncate_names(self.lost),
        )

    def recently_moved(self, number: int) -> list[tuple[str, int, int]]:
        """Return up to MAX_MOVED_READERS readers that caught up here recently; `number` rotates the list."""
        rows = [(name, process, session) for name, (process, session, _) in self.moved.items()]
        first = number * MAX_MOVED_READERS % max(1, len(rows))
        return (rows[first:] + rows[:first])[:MAX_MOVED_READERS]


def truncate_names(names: Iterable[str]) -> list[str]:
    """Return the first names, limited so that a report fits into a datagram."""
    kept = []
    remaining_bytes = MAX_NAMES_BYTES
    for name in names:
        remaining_bytes -= len(name.encode())
        if len(kept) == MAX_NAMES or remaining_bytes < 0:
            break
        kept.append(name)
    return kept
