"""Quorum reads, epochs and replication among control machines. No I/O, no clock, no randomness.

Each machine is the only writer of its own log and holds a copy of every other log. An entry is accepted once
a majority holds it. A read answered by a majority sees every entry accepted before the read was sent, since
any two majorities share a machine. Before it appends, a source has a majority promise to accept nothing of an
older epoch. A process that was suspended or partitioned meanwhile can therefore have no entry accepted
(Lamport 1998; Ongaro and Ousterhout 2014).

Nothing is stored on disk. A machine that starts counts in no majority until it has recovered, that is, until
it holds everything held by a set of other machines that intersects every majority it may have been part of
(Liskov and Cowling 2012). If a majority has restarted, there is nothing to recover from and the machines
bootstrap. The routers detect this by the changed process ids and drop their copies (`subscriber.py`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from brookhinge.purgelog.batching import split
from brookhinge.purgelog.log import SourceLog
from brookhinge.purgelog.messages import Append, Batch, Entry, Kind, Sync
from brookhinge.purgelog.positions import (
    INDEX_LIMIT,
    MAX_LEAD,
    START,
    Position,
    covers,
    elementwise_max,
    is_valid_vector,
    unflatten,
)

RESPONSE_WINDOW_S = 0.6  # age limit of an echoed sync in a quorum read
# A peer that lacks entries for longer gets them from any machine, not only from their source.
RELAY_DELAY_S = 0.3
BOOTSTRAP_S = 1.0  # delay before a bootstrapping machine counts as recovered: the others must bootstrap too
MAX_TRACKED_SYNCS = 256  # syncs whose send time is kept
MAX_APPEND_BYTES = 1150


class Quorum(NamedTuple):
    """Result of a quorum read: no entry accepted before the moment `at` is after `heads`."""

    at: float  # by the clock of this machine
    heads: list[Position]
    boots: list[int]  # process ids of the machines that answered; 0 for each other machine


class Opening(NamedTuple):
    """An epoch that this source is opening and that a majority has to promise."""

    epoch: int
    number: int  # of the last sync sent before the request


class PeerState:
    """What one machine knows about another."""

    def __init__(self, machines: int, boot: int = 0, retired: Iterable[int] = ()):
        self.boot = boot
        self.number = 0
        self.last_message_at = -math.inf
        self.recovered = False
        self.echoed_number = 0
        self.echoed_at = -math.inf
        self.positions = [START] * machines
        self.promises = [0] * machines
        self.silence_s = [0.0] * machines
        self.behind_since = [None] * machines
        self.retired = frozenset(retired)  # ids of earlier processes of this machine

    def replaced_by(self, boot: int) -> PeerState:
        """Return the initial state for a new process of the same machine."""
        return PeerState(len(self.positions), boot, self.retired | {self.boot})


class Replication:
    """The state of replication at one control machine."""

    def __init__(self, machine: int, machines: int, boot: int, now: float):
        self.machine = machine
        self.machines = machines
        self.boot = boot
        self.majority = machines // 2 + 1
        # Any set of this many machines intersects every majority.
        self.blocking_set_size = machines - self.majority + 1
        self.recovered_at = None
        self.bootstrap_started_at = None
        self.logs = [SourceLog(source) for source in range(machines)]
        self.promises = [0] * machines
        self.peers = {m: PeerState(machines) for m in range(machines) if m != machine}
        self.epoch = 0  # open epoch of the own log; 0: none
        self.opening = None
        self.number = 0
        self.sent_at = {}
        self.started_at = now

    # sending

    def next_number(self, now: float) -> int:
        """Return the number of the next sync and record its send time for the echo."""
        self.number += 1
        self.sent_at[self.number] = now
        self.sent_at.pop(self.number - MAX_TRACKED_SYNCS, None)
        return self.number

    def positions(self) -> list[Position]:
        """Return the last position held of each source."""
        return [log.head for log in self.logs]

    def silence_ms(self, now: float) -> list[int]:
        """Return for each machine the time since its last message, at most since this process started."""
        last_message_times = [
            now if m == self.machine else self.peers[m].last_message_at for m in range(self.machines)
        ]
        return [round(1000 * (now - max(self.started_at, at))) for at in last_message_times]

    def appends(self, now: float, peer: PeerState) -> list[Append]:
        """Return Append messages with the entries that a peer lacks and this machine has to send."""
        batches = []
        for source, log in enumerate(self.logs):
            if log.head <= peer.positions[source]:
                peer.behind_since[source] = None
                continue
            if peer.behind_since[source] is None:
                peer.behind_since[source] = now
            if source != self.machine and now - peer.behind_since[source] < RELAY_DELAY_S:
                continue
            following = log.since(peer.positions[source])
            batches += [Batch(source, log.head.epoch, *log.head, [])] if following is None else following
        epochs = [log.head.epoch for log in self.logs]
        return [Append(self.machine, epochs, part) for part in split(batches, MAX_APPEND_BYTES)]

    # receiving

    def receive_sync(self, now: float, sender: int, sync: Sync) -> bool:
        """Apply a sync from another machine; return False if it is invalid or outdated."""
        peer = self.peers.get(sync.machine)
        if peer is None or sender in peer.retired or not self.is_valid(sync):
            return False
        if sender != peer.boot:
            peer = self.peers[sync.machine] = peer.replaced_by(sender)
        if sync.number <= peer.number:
            return False
        peer.number = sync.number
        peer.last_message_at = now
        peer.recovered = sync.recovered
        peer.positions = unflatten(sync.positions)
        peer.promises = list(sync.promises)
        peer.silence_s = [ms / 1000.0 for ms in sync.silence_ms]
        if sync.echo in self.sent_at and sync.echo > peer.echoed_number:
            peer.echoed_number = sync.echo
            peer.echoed_at = self.sent_at[sync.echo]
        self.promises = [max(pair) for pair in zip(self.promises, sync.promises, strict=False)]
        return True

    def is_valid(self, sync: Sync) -> bool:
        """Whether the lists in a sync have the expected lengths and no negative numbers."""
        return (
            len(sync.promises) == len(sync.silence_ms) == self.machines
            and is_valid_vector(sync.positions, self.machines)
            and min(*sync.promises, *sync.silence_ms) >= 0
        )

    def receive_append(self, message: Append) -> list[Entry]:
        """Append entries from another machine and return the new ones.

        Entries of an epoch below the promised one are rejected. The source itself accepts them while it has
        no open epoch, since its next epoch must continue from them.
        """
        new = []
        if len(message.epochs) != self.machines:
            return new
        for batch in message.batches:
            if not 0 <= batch.source < self.machines:
                continue
            epoch_over = message.epochs[batch.source] < self.promises[batch.source]
            if epoch_over and (batch.source != self.machine or self.epoch):
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
        """Whether a log may continue from a position: an empty log from any, another from none far ahead."""
        return position.index < (log.head.index + MAX_LEAD if log.head != START else INDEX_LIMIT)

    # recovery and quorum reads

    def responsive_peers(self, now: float) -> list[int]:
        """Return the numbers of the machines that echoed a recent sync."""
        return [m for m, peer in self.peers.items() if now - peer.echoed_at < RESPONSE_WINDOW_S]

    def recover(self, now: float) -> None:
        """Check whether this machine may count in majorities."""
        if self.recovered_at is not None:
            return
        responsive = self.responsive_peers(now)
        recovered = [m for m in responsive if self.peers[m].recovered]
        if self.bootstrap_started_at is not None:
            if now - self.bootstrap_started_at >= BOOTSTRAP_S:
                self.recovered_at = now
        elif len(recovered) >= self.blocking_set_size:
            if self.covers_peers(recovered):
                self.recovered_at = now
        elif len(responsive) - len(recovered) + 1 >= self.majority and self.covers_peers(responsive):
            self.bootstrap_started_at = now

    def covers_peers(self, machines: Iterable[int]) -> bool:
        """Whether this machine holds everything that the given machines hold."""
        return all(covers(self.positions(), self.peers[m].positions) for m in machines)

    def recovered(self) -> bool:
        """Whether this machine counts in majorities."""
        return self.recovered_at is not None

    def quorum(self, now: float) -> Quorum | None:
        """Return the current Quorum, or None while no majority answers."""
        responsive = [m for m in self.responsive_peers(now) if self.peers[m].recovered]
        if not self.recovered() or len(responsive) + 1 < self.majority:
            return None
        heads = self.positions()
        boots = [0] * self.machines
        boots[self.machine] = self.boot
        for m in responsive:
            heads = elementwise_max(heads, self.peers[m].positions)
            boots[m] = self.peers[m].boot
        return Quorum(min([now, *(self.peers[m].echoed_at for m in responsive)]), heads, boots)

    def shares_majority(self, boots: list[int]) -> bool:
        """Whether a majority of the machines still runs as the processes in `boots`, as far as is known here.

        If not, positions from the time of those processes may be in logs that are gone.
        """
        current = [self.boot if m == self.machine else self.peers[m].boot for m in range(self.machines)]
        same = sum(boot != 0 and boot == known for boot, known in zip(boots, current, strict=False))
        return same >= self.majority

    # the own log

    def open_epoch(self, now: float) -> None:
        """Open an epoch of the own log once enough other machines promise to accept nothing older.

        They are enough if an earlier process of this machine can no longer reach a majority.
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
        """Open the epoch once this machine holds all entries of those that promised.

        The first entry announces the epoch to the other machines.
        """
        epoch, number = self.opening
        promised = [
            peer
            for peer in self.peers.values()
            if peer.recovered and peer.echoed_number > number and peer.promises[self.machine] == epoch
        ]
        log = self.logs[self.machine]
        if len(promised) < self.blocking_set_size or any(
            peer.positions[self.machine] > log.head for peer in promised
        ):
            return
        self.epoch = epoch
        self.opening = None
        self.submit(Entry(Kind.OPENED, "", epoch, 0))

    def submit(self, entry: Entry) -> Position | None:
        """Append an entry to the own log; return its position, or None while no epoch is open."""
        if not self.epoch or self.promises[self.machine] > self.epoch:
            return None
        log = self.logs[self.machine]
        log.append(Batch(self.machine, self.epoch, *log.head, [entry]))
        return log.head

    def accepted(self) -> Position:
        """Return the last position of the own log that a majority holds."""
        peers = [peer for peer in self.peers.values() if peer.recovered]
        held = [peer.positions[self.machine] for peer in peers] + [START] * self.majority
        held.append(self.logs[self.machine].head)
        return sorted(held, reverse=True)[self.majority - 1]
