"""The retained purges at one control machine, and how it gets those from before its start. No I/O, no clock.

A machine that starts gets them from another machine. If most machines have restarted, only routers may have
them, which keep them in memory as well: the machines collect them from routers that come back with positions
in the logs before. If nobody has them, every copy made before the machines began anew counts as purged.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from brookhinge.decisions.retained_purges import RetainedPurges
from brookhinge.decisions.rules import NEVER
from brookhinge.purgelog.interfaces import Address, MessageWriter
from brookhinge.purgelog.messages import Entry, Kind, RetainedPage, RetainedRequest, RetainedState
from brookhinge.purgelog.positions import Position, covers
from brookhinge.purgelog.reader import Reader
from brookhinge.purgelog.replication import Replication
from brookhinge.purgelog.retained_exchange import RetainedTransfer, make_page, name_of

if TYPE_CHECKING:
    from brookhinge.purgelog.control import Machine

ANSWER_TIMEOUT_S = 0.2
COLLECTION_INTERVAL_S = 0.1  # between two transfers
COLLECTION_S = 4.0  # routers come back to machines that began anew within this time
FLOOR_DELAY_S = 1.0  # after that, for other machines to end their collection
UNANSWERED_S = 10.0  # a machine that recovered from others waits so long for one that has all purges
MAX_ROUTERS_ASKED = 8
# A router whose last proof is older than that when the machines began anew may have been cut off before they
# ended, and lack later purges, unless another one had its last proof at about the same time.
RECENT_PROOF_S = 5.0
SAME_PROOF_S = 1.0


class RetainedReplica:
    """The retained purges of one control machine.

    Attributes:
        purges: The purges known, with times of the machine's steady clock.
        is_complete: Whether all up to the machine's positions are known.
    """

    def __init__(self, machine: int, machines: Sequence[Machine], replication: Replication) -> None:
        """Create an empty replica.

        Args:
            machine: Number of this machine.
            machines: All control machines.
            replication: State of replication, whose logs tell all later retained purges.
        """
        self.purges = RetainedPurges()
        self.is_complete = False
        self._machine = machine
        self._machines = machines
        self._replication = replication
        self._starts: list[Position] = []  # of the logs, from which entries are known without a gap
        self._since: float | None = None  # when the collection began
        self._transfer: RetainedTransfer | None = None
        self._source: int | Address = machine  # of the transfer: a machine's number or a router's address
        self._asked: set[Address] = set()  # routers that were asked
        self._proofs: list[float] = []  # last proofs, in the logs before, of processes that held all purges
        self._due_at = 0.0
        self._number = 0
        self._turn = itertools.count()

    def apply(self, now: float, entry: Entry) -> None:
        """Record an entry of a log if it is a retained purge."""
        if entry.retained and entry.kind == Kind.PURGE:
            self.purges.add(name_of(entry.text, entry.number), now, entry.stamp_ms)

    def page(self, now: float, request: RetainedRequest) -> RetainedPage:
        """Return the page that a router or another machine requests."""
        positions = self._replication.positions()
        state = self._state()
        proven_at = max(self._proofs) if state is RetainedState.OF_LOGS_BEFORE else NEVER
        return make_page(self.purges, request, now, state=state, positions=positions, proven_at=proven_at)

    def _state(self) -> RetainedState:
        if self.is_complete:
            return RetainedState.COMPLETE
        return RetainedState.OF_LOGS_BEFORE if self._proofs else RetainedState.PARTIAL

    def _holds_logs_before(self, began_anew_at: float) -> bool:
        """Return whether no purge of the logs before can be missing."""
        if not self._proofs:
            return False
        latest = max(self._proofs)
        agreeing = sum(latest - proven_at <= SAME_PROOF_S for proven_at in self._proofs)
        return latest >= began_anew_at - RECENT_PROOF_S or agreeing > 1

    def tick(self, now: float, readers: Iterable[Reader], writer: MessageWriter) -> None:
        """Request what may be missing, and end the collection when its time is over."""
        if not self._replication.recovered():
            return
        starts = [log.start for log in self._replication.logs]
        if starts != self._starts:  # a log was continued without the entries before
            self._starts = starts
            self._since = now
            self.is_complete = False
        if self.is_complete:
            return
        began_anew_at = self._replication.bootstrap_started_at
        has_ended, floor = self._collection_end(now, began_anew_at)
        if has_ended:
            self.purges.raise_floor(floor, self._replication.boot)
            self.is_complete = True
        elif now >= self._due_at:
            self._request(now, readers, writer)

    def _collection_end(self, now: float, began_anew_at: float | None) -> tuple[bool, float]:
        """Return whether the collection is over, and up to when all copies then count as purged."""
        collected_s = now - self._since
        if began_anew_at is not None:
            if collected_s >= COLLECTION_S and self._holds_logs_before(began_anew_at):
                return True, NEVER
            return collected_s >= COLLECTION_S + FLOOR_DELAY_S, began_anew_at
        return collected_s >= UNANSWERED_S, now

    def _request(self, now: float, readers: Iterable[Reader], writer: MessageWriter) -> None:
        """Ask the next source, or go on with the transfer whose page has arrived."""
        if self._transfer is None or self._transfer.tries:
            self._number += 1
            self._transfer = RetainedTransfer(self._number)
            self._source = self._next_source(now, readers)
        if self._source == self._machine:
            self._transfer = None
            return
        is_router = isinstance(self._source, tuple)
        address = self._source if is_router else self._machines[self._source].address
        self._due_at = now + ANSWER_TIMEOUT_S
        writer.send(address, self._transfer.request(self._machine))

    def _next_source(self, now: float, readers: Iterable[Reader]) -> int | Address:
        """Return a router that has not been asked, else another machine; this machine if there is none."""
        if len(self._asked) < MAX_ROUTERS_ASKED:
            for reader in readers:
                if reader.has_history and reader.address not in self._asked:
                    self._asked.add(reader.address)
                    return reader.address
        machines = self._replication.responsive_peers(now)
        return machines[next(self._turn) % len(machines)] if machines else self._machine

    def receive(self, now: float, page: RetainedPage) -> None:
        """Take a page of the transfer that is under way."""
        transfer = self._transfer
        if transfer is None or page.number != transfer.number or self.is_complete:
            return
        if not transfer.receive(now, page, len(self._machines)):
            self._number = transfer.number
            self._due_at = now
            return
        self._transfer = None
        self._due_at = now + COLLECTION_INTERVAL_S
        self._merge(transfer)

    def _merge(self, transfer: RetainedTransfer) -> None:
        received = transfer.purges
        for name, at in received.purged_at.items():
            self.purges.add(name, at, received.stamps[name])
        if transfer.state is RetainedState.PARTIAL:
            return
        if transfer.state is RetainedState.OF_LOGS_BEFORE:
            self._proofs.append(transfer.proven_at)
        elif len(transfer.positions) == len(self._starts) and covers(transfer.positions, self._starts):
            self.is_complete = True
        else:
            return
        self.purges.raise_floor(received.floor, received.floor_stamp)
