"""Quorum reads, epochs and replication among the control machines. No I/O, no clock, no chance.

Every machine is the one writer of its own log and holds those of all others. An entry is accepted once a
majority holds it. A read that a majority answered after it was asked has seen every entry accepted before it
was asked: two majorities share a machine. A source opens an epoch at a majority before it appends; a majority
takes nothing of an older epoch then, so a process that was frozen or cut off meanwhile can have nothing
accepted (Lamport 1998; Ongaro and Ousterhout 2014).

Nothing is kept on disk. A machine that starts counts in no majority until it has recovered: until it holds
what so many others hold that each majority it may have been part of shares one with them (Liskov and Cowling
2012). Where a majority has started anew there is nothing to recover from: they begin, and the routers, who
see their process ids change, drop what they held (`subscriber.py`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from brookhinge.purgelog.batching import split
from brookhinge.purgelog.log import SourceLog
from brookhinge.purgelog.messages import Append, Batch, Entry, Kind, Sync
from brookhinge.purgelog.positions import (
    FAR_AHEAD,
    MOST_INDEX,
    START,
    Position,
    covers,
    merged,
    sound_vector,
    unflatten,
)

FRESH_S = 0.6  # answers to syncs sent within so long count in a quorum read
BEHIND_S = (
    0.3  # a peer that lacks entries for so long gets them from any machine, not from their source alone
)
BEGINNING_S = 1.0  # a machine that begins with others says so for so long: they have to see it too
NUMBERS_KEPT = 256  # syncs whose sending time is remembered
APPEND_BYTES = 1150


class Quorum(NamedTuple):
    """What a majority held at least at some moment: no entry accepted before it stands behind `heads`."""

    at: float  # that moment, by the clock of this machine
    heads: list[Position]
    boots: list[int]  # process ids of the machines that answered; 0 for the others


class Opening(NamedTuple):
    """An epoch that this source has asked a majority to promise."""

    epoch: int
    number: int  # of the last sync before it


class PeerState:
    """What one machine knows of another."""

    def __init__(self, machines: int, boot: int = 0, retired: Iterable[int] = ()):
        self.boot = boot
        self.number = 0
        self.heard_at = -math.inf
        self.recovered = False
        self.echoed_number = 0
        self.echoed_at = -math.inf
        self.positions = [START] * machines
        self.promises = [0] * machines
        self.silence_s = [0.0] * machines
        self.behind_since = [None] * machines
        self.retired = frozenset(retired)  # process ids that stood here before

    def succeeded_by(self, boot: int) -> PeerState:
        """What is known once another process answers under this machine's name."""
        return PeerState(len(self.positions), boot, self.retired | {self.boot})


class Replication:
    """The state of replication at one control machine."""

    def __init__(self, machine: int, machines: int, boot: int, now: float):
        self.machine = machine
        self.machines = machines
        self.boot = boot
        self.majority = machines // 2 + 1
        self.others = machines - self.majority + 1  # so many others share a machine with every majority
        self.recovered_at = None
        self.begun_at = None
        self.logs = [SourceLog(source) for source in range(machines)]
        self.promises = [0] * machines
        self.peers = {m: PeerState(machines) for m in range(machines) if m != machine}
        # of the own log; 0: none is open
        self.epoch = 0
        self.opening = None
        self.number = 0
        self.sent_at = {}
        self.started_at = now

    # sending

    def next_number(self, now: float) -> int:
        """The number of the next sync; its sending time is remembered for the echo."""
        self.number += 1
        self.sent_at[self.number] = now
        self.sent_at.pop(self.number - NUMBERS_KEPT, None)
        return self.number

    def positions(self) -> list[Position]:
        """Return the last position held of each source."""
        return [log.head for log in self.logs]

    def silence_ms(self, now: float) -> list[int]:
        """For each machine the milliseconds since it was heard, at most since this process started."""
        heard = [now if m == self.machine else self.peers[m].heard_at for m in range(self.machines)]
        return [round(1000 * (now - max(self.started_at, at))) for at in heard]

    def appends(self, now: float, peer: PeerState) -> list[Append]:
        """Append messages with what a peer lacks, as far as this machine is to send it."""
        batches = []
        for source, log in enumerate(self.logs):
            if log.head <= peer.positions[source]:
                peer.behind_since[source] = None
                continue
            if peer.behind_since[source] is None:
                peer.behind_since[source] = now
            if source != self.machine and now - peer.behind_since[source] < BEHIND_S:
                continue
            following = log.since(peer.positions[source])
            batches += [Batch(source, log.head.epoch, *log.head, [])] if following is None else following
        epochs = [log.head.epoch for log in self.logs]
        return [Append(self.machine, epochs, part) for part in split(batches, APPEND_BYTES)]

    # receiving

    def receive_sync(self, now: float, sender: int, sync: Sync) -> bool:
        """Takes a sync from another machine; whether it was the newest of a process that still counts."""
        peer = self.peers.get(sync.machine)
        if peer is None or sender in peer.retired or not self.sound(sync):
            return False
        if sender != peer.boot:
            peer = self.peers[sync.machine] = peer.succeeded_by(sender)
        if sync.number <= peer.number:
            return False
        peer.number = sync.number
        peer.heard_at = now
        peer.recovered = sync.recovered
        peer.positions = unflatten(sync.positions)
        peer.promises = list(sync.promises)
        peer.silence_s = [ms / 1000.0 for ms in sync.silence_ms]
        if sync.echo in self.sent_at and sync.echo > peer.echoed_number:
            peer.echoed_number = sync.echo
            peer.echoed_at = self.sent_at[sync.echo]
        self.promises = [max(pair) for pair in zip(self.promises, sync.promises, strict=False)]
        return True

    def sound(self, sync: Sync) -> bool:
        """Whether a sync's lists have the right lengths and signs."""
        return (
            len(sync.promises) == len(sync.silence_ms) == self.machines
            and sound_vector(sync.positions, self.machines)
            and min(*sync.promises, *sync.silence_ms) >= 0
        )

    def receive_append(self, message: Append) -> list[Entry]:
        """Take entries from another machine and return those that are new.

        What belongs to an epoch that was promised to be over is refused, but not by its source while that has
        no epoch: the next one is to follow on it.
        """
        new = []
        if len(message.epochs) != self.machines:
            return new
        for batch in message.batches:
            if not 0 <= batch.source < self.machines:
                continue
            over = message.epochs[batch.source] < self.promises[batch.source]
            if over and (batch.source != self.machine or self.epoch):
                continue
            log = self.logs[batch.source]
            after = batch.after
            if not batch.entries:
                if after > log.head and self.plausible(log, after):
                    log.restart(after)
                continue
            new += log.append(batch) or ()
        return new

    @staticmethod
    def plausible(log: SourceLog, position: Position) -> bool:
        """A log that holds something is not led on to a position far ahead of it."""
        return position.index < (log.head.index + FAR_AHEAD if log.head != START else MOST_INDEX)

    # recovery and quorum reads

    def fresh(self, now: float) -> list[int]:
        """Numbers of the machines that have answered lately."""
        return [m for m, peer in self.peers.items() if now - peer.echoed_at < FRESH_S]

    def recover(self, now: float) -> None:
        """Looks whether this machine may count in a majority now."""
        if self.recovered_at is not None:
            return
        fresh = self.fresh(now)
        recovered = [m for m in fresh if self.peers[m].recovered]
        if self.begun_at is not None:
            if now - self.begun_at >= BEGINNING_S:
                self.recovered_at = now
        elif len(recovered) >= self.others:
            if self.holds_all_of(recovered):
                self.recovered_at = now
        elif len(fresh) - len(recovered) + 1 >= self.majority and self.holds_all_of(fresh):
            self.begun_at = now

    def holds_all_of(self, machines: Iterable[int]) -> bool:
        """Whether this machine holds all that these hold."""
        return all(covers(self.positions(), self.peers[m].positions) for m in machines)

    def recovered(self) -> bool:
        """Whether this machine counts in majorities."""
        return self.recovered_at is not None

    def quorum(self, now: float) -> Quorum | None:
        """The newest Quorum, or None while no majority answers."""
        fresh = [m for m in self.fresh(now) if self.peers[m].recovered]
        if not self.recovered() or len(fresh) + 1 < self.majority:
            return None
        heads = self.positions()
        boots = [0] * self.machines
        boots[self.machine] = self.boot
        for m in fresh:
            heads = merged(heads, self.peers[m].positions)
            boots[m] = self.peers[m].boot
        return Quorum(min([now, *(self.peers[m].echoed_at for m in fresh)]), heads, boots)

    # the own log

    def open_epoch(self, now: float) -> None:
        """Open an epoch of the own log once enough others promise to take nothing older.

        Enough: no majority is left for a process that had this machine's name before.
        """
        if self.epoch and self.promises[self.machine] <= self.epoch:
            return
        self.epoch = 0
        if not self.recovered():
            return
        if self.opening is None or self.promises[self.machine] > self.opening.epoch:
            epoch = 1 + max(self.promises[self.machine], self.logs[self.machine].head.epoch)
            self.opening = Opening(epoch, self.number)
            self.promises[self.machine] = epoch
            return
        self.finish_opening()

    def finish_opening(self) -> None:
        """The epoch follows on all that those who promised hold; its first entry tells everybody so."""
        epoch, number = self.opening
        promised = [
            peer
            for peer in self.peers.values()
            if peer.recovered and peer.echoed_number > number and peer.promises[self.machine] == epoch
        ]
        log = self.logs[self.machine]
        if len(promised) < self.others or any(peer.positions[self.machine] > log.head for peer in promised):
            return
        self.epoch = epoch
        self.opening = None
        self.submit(Entry(Kind.OPENED, "", epoch, 0))

    def submit(self, entry: Entry) -> Position | None:
        """Appends to the own log; the entry's position, or None while no epoch is open."""
        if not self.epoch or self.promises[self.machine] > self.epoch:
            return None
        log = self.logs[self.machine]
        log.append(Batch(self.machine, self.epoch, *log.head, [entry]))
        return log.head

    def accepted(self) -> Position:
        """The last position of the own log that a majority holds."""
        peers = [peer for peer in self.peers.values() if peer.recovered]
        held = [peer.positions[self.machine] for peer in peers] + [START] * self.majority
        held.append(self.logs[self.machine].head)
        return sorted(held, reverse=True)[self.majority - 1]
