"""Dissemination: new claims are piggybacked on datagrams and gossiped to random members (SWIM, 4.1)."""

import math
from collections.abc import Sequence

import msgspec

from brookhinge.membership import timing
from brookhinge.membership.broadcast_queue import BroadcastQueue
from brookhinge.membership.byte_budget import (
    COMPRESSED_CLAIM_BYTES,
    EMPTY_DATAGRAM_BYTES,
    PLAIN_CLAIM_BYTES,
    ByteBudget,
)
from brookhinge.membership.claims import Claim
from brookhinge.membership.local_member import LocalMember
from brookhinge.membership.messages import Announcement, Gossip, Notice
from brookhinge.membership.notice_queue import NoticeQueue
from brookhinge.membership.writer import PeerWriter

# These numbers of claims and notices keep a datagram under 1,400 bytes.
MAX_PLAIN_CLAIMS = 8
MAX_NOTICES = 6
MAX_GOSSIP_CLAIMS = 32  # compressed
MAX_PIGGYBACKED_CLAIMS = 4

FANOUT = 3  # members that receive each gossip message
NOTICE_FANOUT = 4  # members to which a new notice is forwarded at once
UPDATE_TRANSMISSIONS = 3
URGENT_TRANSMISSIONS = 5  # in a large fleet, for a suspicion and its refutation
WITNESS_TRANSMISSIONS = 2  # in a large fleet, for another witness of a suspicion
GOSSIP_BYTES_PER_S = 300.0
GOSSIP_BURST_BYTES = 5000.0


class Dissemination:
    """Sends datagrams, with the least often sent new claims and notices piggybacked on each."""

    def __init__(self, local: LocalMember, now: float) -> None:
        self.local = local
        self.queue = BroadcastQueue()
        self.notices = NoticeQueue()
        self.budget = ByteBudget(GOSSIP_BYTES_PER_S, GOSSIP_BURST_BYTES, now)
        self.next_gossip_at = now

    # queueing

    def broadcast_limit(self) -> int:
        """Return how often each member sends a notice, which is enough to reach nearly all members."""
        return 3 * math.ceil(math.log10(len(self.local.view.names) + 1)) + 1

    def _urgent_transmissions(self, large_fleet_transmissions: int) -> int:
        """Return how often each member sends an urgent claim.

        A large fleet needs fewer transmissions, because each member receives the claim from many others.
        """
        if len(self.local.view.names) < timing.LARGE_FLEET_MEMBERS:
            return self.broadcast_limit()
        return large_fleet_transmissions

    def queue_urgent(self, name: str, now: float) -> None:
        """Queue a suspicion, or a claim that refutes or ends one."""
        self.queue.add(name, now, self._urgent_transmissions(URGENT_TRANSMISSIONS), urgent=True)

    def queue_witness(self, name: str, now: float) -> None:
        """Queue a suspicion again after another witness confirmed it."""
        self.queue.add(name, now, self._urgent_transmissions(WITNESS_TRANSMISSIONS), urgent=True)

    def queue_update(self, name: str, now: float, transmissions: int) -> None:
        """Queue a claim that is not urgent, and delay the gossip so that claims that follow are batched."""
        if not self.queue.has_pending():
            self.next_gossip_at = max(self.next_gossip_at, now + self.gossip_interval())
        self.queue.add(name, now, transmissions)

    def receive_notice(self, now: float, notice: Notice, reporter: str, writer: PeerWriter) -> None:
        """Forward a new notice to some members at once, and to the host unless it reported it itself."""
        if not self.notices.add(notice, now, self.broadcast_limit()):
            return
        if reporter != self.local.name:
            writer.notice(notice[0], notice[1:], reporter)
        for i in self.local.sample_members(NOTICE_FANOUT):
            self.send(i, Announcement(), writer)

    # sending

    def may_send_updates(self, now: float) -> bool:
        """Return whether claims are pending and may be sent: urgent ones always, others within the budget."""
        return self.queue.has_urgent() or (self.queue.has_pending() and self.budget.allows(now))

    def piggyback(
        self, now: float, claims: Sequence[Claim] = (), settled_notices: int = 0
    ) -> tuple[list[Claim], list[Notice]]:
        """Choose the claims and notices to piggyback on a datagram.

        Args:
            now: Current time in seconds.
            claims: Claims to send instead of pending ones.
            settled_notices: Maximum number of notices to add that have no transmissions left; otherwise a
                member that missed all of them would never receive the notice.
        """
        updates = list(claims)
        if not updates and self.may_send_updates(now):
            updates = self.local.claims_of(self.queue.take(MAX_PIGGYBACKED_CLAIMS), now)
            self.budget.spend(PLAIN_CLAIM_BYTES * len(updates))
        notices = self.notices.take(MAX_NOTICES)
        free_slots = MAX_NOTICES - len(notices)
        notices += self.notices.sample_settled(min(settled_notices, free_slots), self.local.rng)
        return updates, notices

    def send(
        self,
        i: int,
        message: msgspec.Struct,
        writer: PeerWriter,
        claims: Sequence[Claim] = (),
        settled_notices: int = 0,
    ) -> None:
        """Send a message to the member at position `i`, with piggybacked claims and notices."""
        self.send_to(self.local.view.addresses[i], message, writer, claims, settled_notices)

    def send_to(
        self,
        address: tuple[str, int],
        message: msgspec.Struct,
        writer: PeerWriter,
        claims: Sequence[Claim] = (),
        settled_notices: int = 0,
    ) -> None:
        """Send a message to an address, with piggybacked claims and notices."""
        updates, notices = self.piggyback(self.local.now, claims, settled_notices)
        writer.send(address, message, updates, notices)

    # gossip

    def gossip_interval(self) -> float:
        """Return the seconds between two gossip rounds while anything is pending."""
        if self.queue.has_urgent() or self.notices.has_pending():
            return timing.GOSSIP_INTERVAL_S
        return timing.GOSSIP_INTERVAL_S * self.local.scale()

    def due_at(self) -> float:
        """Return when the next gossip is due; infinity if nothing is pending."""
        if self.notices.has_pending() or self.queue.has_urgent():
            return self.next_gossip_at
        if self.queue.has_pending():
            return max(self.next_gossip_at, self.budget.ready_at())
        return math.inf

    def gossip(self, now: float, writer: PeerWriter) -> None:
        """Send pending claims, within the budget, and pending notices to a few random members."""
        if now < self.next_gossip_at:
            return
        self.next_gossip_at = now + self.gossip_interval()
        self.queue.expire(now, self.local.view.index)
        claims: list[Claim] = []
        if self.may_send_updates(now):
            claims = self.local.claims_of(self.queue.take(MAX_GOSSIP_CLAIMS, FANOUT), now)
        if claims or self.notices.has_pending():
            for i in self.local.sample_members(FANOUT):
                self._gossip_to(now, i, claims, writer)

    def _gossip_to(self, now: float, i: int, claims: list[Claim], writer: PeerWriter) -> None:
        address = self.local.view.addresses[i]
        if self.local.is_foreign(i):
            writer.send(address, Announcement(), claims[:MAX_PLAIN_CLAIMS], [])
            return
        _, notices = self.piggyback(now, claims or [self.local.claim(now)])
        if claims:
            self.budget.spend(EMPTY_DATAGRAM_BYTES + COMPRESSED_CLAIM_BYTES * len(claims))
        writer.send(address, Gossip(), claims, notices)
