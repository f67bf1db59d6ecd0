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
from brookhinge.purgelog.roundtrip import smoothed

if TYPE_CHECKING:
    from brookhinge.purgelog.replication import Quorum

PUSH_GAP_S = 0.05  # between two pushes to a reader of what is new
# till a push that is not acknowledged is sent again
FIRST_RETRY_S = 0.3
SHORTEST_RETRY_S = 0.06
LONGEST_RETRY_S = 0.4
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
BACKOFF = 1.5  # of the round trip, when a retry was due


class Reader:
    """One router that reads here, and what it was sent and has acknowledged.

    Attributes:
        positions: acknowledged, of each source.
        fresh: it has just started and needs the heads, no history.
        sent, sent_at, sent_again: the last positions sent, when, and whether they were sent before.
        waits_since: for each source, since when an acknowledgement is awaited.
        echo, owed: its last message's number, and whether that awaits an answer.
        rtt_s: round trip estimate.
    """

    def __init__(
        self,
        name: str,
        process: int,
        session: int,
        address: Address,
        positions: list[Position],
        fresh: bool,
        now: float,
    ):
        self.name = name
        self.process = process
        self.session = session
        self.address = address
        self.positions = positions  # acknowledged
        self.fresh = fresh  # it has just started: it needs the heads and no history
        self.sent = list(positions)
        self.sent_at = -math.inf
        self.sent_again = [False] * len(positions)
        self.waits_since = [None] * len(
            positions
        )  # for each source: since when an acknowledgement is waited for
        self.heard_at = now
        # its last message, and whether that waits for an answer
        self.echo = 0
        self.owed = False
        self.rtt_s = None
        self.caught_up = False

    def retry_s(self) -> float:
        """Return after how many seconds an unacknowledged push is sent again."""
        if self.rtt_s is None:
            return FIRST_RETRY_S
        return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, 1.15 * self.rtt_s + 0.02))

    def acknowledge(self, now: float, positions: list[Position], gap: bool) -> None:
        """Take acknowledged positions; with `gap` the reader asks again for what follows them."""
        self.fresh = False
        for source, position in enumerate(positions):
            if position > self.positions[source]:
                self.progress(now, source, position)
        if gap:
            for source in range(len(self.sent)):
                self.send_again(source)

    def progress(self, now: float, source: int, position: Position) -> None:
        """Take a later acknowledged position of one source."""
        self.positions[source] = position
        if position < self.sent[source]:
            self.waits_since[source] = now
            return
        self.sent[source] = position
        waited = self.waits_since[source]
        self.waits_since[source] = None
        again = self.sent_again[source]
        self.sent_again[source] = False
        if waited is not None and not again and self.sent_at == waited:
            self.measure(now)

    def measure(self, now: float) -> None:
        """Sample the round trip of the last push; what was sent twice does not count (Karn's rule)."""
        self.rtt_s = smoothed(self.rtt_s, now - self.sent_at)

    def send_again(self, source: int) -> None:
        """Send from the last acknowledged position on."""
        if self.sent[source] > self.positions[source]:
            self.sent[source] = self.positions[source]
            self.sent_again[source] = True
        self.waits_since[source] = None

    def retry_late(self, now: float) -> None:
        """Send again what was not acknowledged in time.

        The second time in a row the round trip may have been underestimated, and the estimate grows.
        """
        if now - self.sent_at < SHORTEST_RETRY_S:
            return
        again = any(self.sent_again)
        late = [s for s, at in enumerate(self.waits_since) if at is not None and now - at >= self.retry_s()]
        for source in late:
            self.send_again(source)
        if late and again and self.rtt_s is not None:
            self.rtt_s = min(LONGEST_RETRY_S, self.rtt_s * BACKOFF)

    def sending(self, now: float, batches: list[Batch]) -> None:
        """These go out now."""
        self.sent_at = now
        for batch in batches:
            self.sent[batch.source] = max(self.sent[batch.source], batch.end)
            if self.waits_since[batch.source] is None:
                self.waits_since[batch.source] = now


class Lost:
    """A reader whose lease ended."""

    def __init__(self, reader: Reader, now: float):
        self.process = reader.process
        self.positions = reader.positions
        self.at = now


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
        self.lost[reader.name] = Lost(reader, now)

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
