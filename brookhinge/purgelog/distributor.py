"""The routers that read the logs at one control machine. No I/O, no clock.

A reader counts in the reported floors from its first message until it has left, has caught up at another
machine, or its lease has ended; then it counts among the lost, by name, for a while longer.
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
    FAR_AHEAD,
    START,
    Position,
    covers,
    flatten,
    sound_vector,
    unflatten,
)
from brookhinge.purgelog.reader import FIRST_RETRY_S, LostReader, Reader

if TYPE_CHECKING:
    from brookhinge.purgelog.replication import Quorum

PUSH_GAP_S = 0.05  # between two pushes to a reader of what is new
FORGET_S = 60.0  # how long a lost reader is reported
FROZEN_S = 1.0  # between two ticks: this process stood still, and leases did not run meanwhile
MOST_BEHIND = (
    512  # entries that a reader is led on over; one further behind goes on from the heads and backfills
)
PUSH_BYTES = 1100
# names of each kind in a report
NAMES_TOLD = 4
NAME_BYTES_TOLD = 120
MOVED_TOLD = 8  # readers told to the other machines in one sync


class Distributor:
    """All readers of one control machine."""

    def __init__(self, machine: int, boot: int, logs: list[SourceLog], lease_s: float, now: float):
        """Start without readers.

        Args:
            machine: the number of this control machine.
            boot: its process id.
            logs: of all sources, shared with replication.
            lease_s: a reader that is silent for so long is lost.
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

    def subscribe(self, now: float, process: int, address: Address, message: Subscribe) -> Reader | None:
        """Let a router begin to read; return its Reader, or None where the message does not count."""
        if not self.plausible(message.positions):
            return None
        for other in [r for r in self.readers.values() if r.name == message.name and r.process != process]:
            if other.heard_at < now - self.lease_s:
                self.lose(now, other)
        reader = self.readers.get(process)
        if reader is not None and reader.session > message.session:
            return None
        if reader is None or reader.session < message.session:
            positions = unflatten(message.positions) or [START] * len(self.logs)
            fresh = not message.positions
            reader = Reader(message.name, process, message.session, address, positions, fresh, now)
            self.readers[process] = reader
            lost = self.lost.get(message.name)
            if lost is not None and lost.process == process:
                del self.lost[message.name]
        self.heard(now, reader, message.number, True)
        return reader

    def poll(
        self, now: float, process: int, address: Address, message: Poll, writer: MessageWriter
    ) -> Reader | None:
        """Take a router's acknowledgement; return its Reader, or None where it does not count."""
        reader = self.readers.get(process)
        if reader is None or reader.session != message.session:
            writer.send(address, Unknown(message.session))
            return None
        if not self.plausible(message.positions):
            return None
        if message.positions:
            reader.acknowledge(now, unflatten(message.positions), message.gap)
        self.heard(now, reader, message.number, message.answer)
        if not reader.caught_up and covers(reader.positions, self.heads()):
            reader.caught_up = True
            self.moved[reader.name] = reader.process, reader.session, now
        return reader

    def plausible(self, numbers: list[int]) -> bool:
        """Whether positions can be those of a router: none runs far ahead of the logs."""
        sound = not numbers or sound_vector(numbers, len(self.logs))
        if sound and numbers:
            ahead = (p.index - log.head.index for p, log in zip(unflatten(numbers), self.logs, strict=False))
            sound = max(ahead) < FAR_AHEAD
        self.implausible += not sound
        return sound

    def heard(self, now: float, reader: Reader, number: int, answer: bool) -> None:
        """Renew a reader's lease and note whether its message awaits an answer."""
        reader.heard_at = now
        if number > reader.echo:
            reader.echo = number
            reader.owed = reader.owed or answer

    def leave(self, process: int, message: Leave) -> None:
        """Take a router off that ends as planned."""
        reader = self.readers.get(process)
        if reader is not None and reader.session <= message.session:
            del self.readers[process]

    def backfill(self, request: BackfillRequest, address: Address, writer: MessageWriter) -> None:
        """Send fingerprints of what follows on a position, as far as they are held."""
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

    def gone_elsewhere(self, name: str, process: int, session: int) -> None:
        """Take a router off that has caught up at another machine."""
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
        """Take off readers whose lease ended; leases do not run while this process stands still."""
        gap = now - self.last_tick_at
        self.last_tick_at = now
        if gap > FROZEN_S:
            for reader in self.readers.values():
                reader.heard_at += gap
        for reader in [r for r in self.readers.values() if now - r.heard_at > self.lease_s]:
            self.lose(now, reader)
        self.lost = {name: lost for name, lost in self.lost.items() if now - lost.at < FORGET_S}
        self.moved = {name: moved for name, moved in self.moved.items() if now - moved[2] < self.lease_s}

    def lose(self, now: float, reader: Reader) -> None:
        """Count a reader among the lost."""
        del self.readers[reader.process]
        self.lost[reader.name] = LostReader(reader, now)

    def push(self, now: float, reader: Reader, quorum: Quorum | None, writer: MessageWriter) -> None:
        """Send a reader what is new, what is overdue, or the answer that it awaits."""
        reader.retry_late(now)
        if not reader.owed and (now - reader.sent_at < PUSH_GAP_S or not self.has_new(reader)):
            return
        batches = self.lacking(reader)
        if batches is None:
            if quorum is not None:
                self.restart(now, reader, quorum, writer)
            return
        for part in split(batches, PUSH_BYTES) or [[]]:
            writer.send(reader.address, self.message(now, reader, quorum, False, part))
        if batches:
            reader.sending(now, batches)
        reader.owed = False

    def has_new(self, reader: Reader) -> bool:
        """Whether something was not sent to a reader yet."""
        return reader.fresh or any(log.head > sent for log, sent in zip(self.logs, reader.sent, strict=False))

    def lacking(self, reader: Reader) -> list[Batch] | None:
        """Return batches that a reader was not sent; None if it must go on from the heads."""
        if reader.fresh:
            return None
        if (
            sum(log.head.index - sent.index for log, sent in zip(self.logs, reader.sent, strict=False))
            > MOST_BEHIND
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
        """Let a reader go on from the heads, not more often than retries are due."""
        if now - reader.sent_at < FIRST_RETRY_S and not reader.owed:
            return
        reader.sent_at = now
        reader.owed = False
        writer.send(reader.address, self.message(now, reader, quorum, True, []))

    def message(
        self, now: float, reader: Reader, quorum: Quorum | None, restart: bool, batches: list[Batch]
    ) -> Push:
        """Return a push, with a proof while there is a quorum."""
        if quorum is None:
            return Push(reader.session, reader.echo, -1, [], [], False, batches)
        age_ms = math.ceil(1000 * (now - quorum.at))
        heads = flatten(quorum.heads)
        return Push(reader.session, reader.echo, age_ms, heads, quorum.boots, restart, batches)

    # what is reported

    def report(self) -> Report:
        """Return what this machine vouches for now."""
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
            few(behind),
            few(self.lost),
        )

    def moved_lately(self, number: int) -> list[tuple[str, int, int]]:
        """Return some readers that have caught up here lately, others with each number."""
        rows = [(name, process, session) for name, (process, session, _) in self.moved.items()]
        first = number * MOVED_TOLD % max(1, len(rows))
        return (rows[first:] + rows[:first])[:MOVED_TOLD]


def few(names: Iterable[str]) -> list[str]:
    """Return some names, few enough for a datagram."""
    told = []
    room = NAME_BYTES_TOLD
    for name in names:
        room -= len(name.encode())
        if len(told) == NAMES_TOLD or room < 0:
            break
        told.append(name)
    return told
