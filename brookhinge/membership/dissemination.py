"""Dissemination: what is new rides on every datagram and goes by gossip to random members (SWIM, 4.1)."""

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

# A datagram stays under 1,400 bytes with so many claims and notices.
MAX_PLAIN_CLAIMS = 8
MAX_NOTICES = 6
MAX_GOSSIP_CLAIMS = 32  # compressed
MAX_PIGGYBACKED_CLAIMS = 4

FANOUT = 3  # members that receive one gossip
NOTICE_FANOUT = 4  # members to whom a notice goes on at once
UPDATE_TRANSMISSIONS = 3
URGENT_TRANSMISSIONS = 5  # in a large fleet, of a suspicion and what refutes it
WITNESS_TRANSMISSIONS = 2  # in a large fleet, of another witness of a suspicion
GOSSIP_BYTES_PER_S = 300.0
GOSSIP_BURST_BYTES = 5000.0


class Dissemination:
    """Sends datagrams to members, and on each what is new and least often sent."""

    def __init__(self, local: LocalMember, now: float) -> None:
        self.local = local
        self.queue = BroadcastQueue()
        self.notices = NoticeQueue()
        self.budget = ByteBudget(GOSSIP_BYTES_PER_S, GOSSIP_BURST_BYTES, now)
        self.next_gossip_at = now

    # queueing

    def broadcast_limit(self) -> int:
        """How often each member sends a notice: then nearly all have received it."""
        return 3 * math.ceil(math.log10(len(self.local.view.names) + 1)) + 1

    def _urgent_transmissions(self, in_large_fleet: int) -> int:
        """How often each member sends urgent news. In a large fleet each comes from many sides."""
        if len(self.local.view.names) < timing.LARGE_FLEET_MEMBERS:
            return self.broadcast_limit()
        return in_large_fleet

    def queue_urgent(self, name: str, now: float) -> None:
        """Queue a suspicion, or what refutes or ends it."""
        self.queue.add(name, now, self._urgent_transmissions(URGENT_TRANSMISSIONS), urgent=True)

    def queue_witness(self, name: str, now: float) -> None:
        """Queue a suspicion again of which another witness was heard."""
        self.queue.add(name, now, self._urgent_transmissions(WITNESS_TRANSMISSIONS), urgent=True)

    def queue_update(self, name: str, now: float, transmissions: int) -> None:
        """Queue any other news of a member, and wait a little: more of the kind may come right behind."""
        if not self.queue.has_pending():
            self.next_gossip_at = max(self.next_gossip_at, now + self.gossip_interval())
        self.queue.add(name, now, transmissions)

    def receive_notice(self, now: float, notice: Notice, reporter: str, writer: PeerWriter) -> None:
        """Pass a notice that is new to the host, unless it is its own, and to some members at once."""
        if not self.notices.add(notice, now, self.broadcast_limit()):
            return
        if reporter != self.local.name:
            writer.notice(notice[0], notice[1:], reporter)
        for i in self.local.sample_members(NOTICE_FANOUT):
            self.send(i, Announcement(), writer)

    # sending

    def may_send_updates(self, now: float) -> bool:
        """Whether claims are pending and may be sent: urgent ones at any time, others within the budget."""
        return self.queue.has_urgent() or (self.queue.has_pending() and self.budget.allows(now))

    def piggyback(
        self, now: float, claims: Sequence[Claim] = (), settled_notices: int = 0
    ) -> tuple[list[Claim], list[Notice]]:
        """Choose the claims and notices that ride on a datagram.

        Args:
            now: seconds.
            claims: go in the place of pending ones.
            settled_notices: so many notices that were sent often enough go too: who missed one then would
                never receive it.
        """
        updates = list(claims)
        if not updates and self.may_send_updates(now):
            updates = self.local.claims_of(self.queue.take(MAX_PIGGYBACKED_CLAIMS), now)
            self.budget.spend(PLAIN_CLAIM_BYTES * len(updates))
        notices = self.notices.take(MAX_NOTICES)
        room = MAX_NOTICES - len(notices)
        notices += self.notices.sample_settled(min(settled_notices, room), self.local.rng)
        return updates, notices

    def send(
        self,
        i: int,
        message: msgspec.Struct,
        writer: PeerWriter,
        claims: Sequence[Claim] = (),
        settled_notices: int = 0,
    ) -> None:
        """Send a message to the member at a position, with what rides on it."""
        self.send_to(self.local.view.addresses[i], message, writer, claims, settled_notices)

    def send_to(
        self,
        address: tuple[str, int],
        message: msgspec.Struct,
        writer: PeerWriter,
        claims: Sequence[Claim] = (),
        settled_notices: int = 0,
    ) -> None:
        """Send a message to an address, with what rides on it."""
        updates, notices = self.piggyback(self.local.now, claims, settled_notices)
        writer.send(address, message, updates, notices)

    # gossip

    def gossip_interval(self) -> float:
        """Seconds between two gossips while anything is pending."""
        if self.queue.has_urgent() or self.notices.has_pending():
            return timing.GOSSIP_INTERVAL_S
        return timing.GOSSIP_INTERVAL_S * self.local.scale()

    def due_at(self) -> float:
        """When the next gossip is due; never while nothing is pending."""
        if self.notices.has_pending() or self.queue.has_urgent():
            return self.next_gossip_at
        if self.queue.has_pending():
            return max(self.next_gossip_at, self.budget.ready_at())
        return math.inf

    def gossip(self, now: float, writer: PeerWriter) -> None:
        """Send what is pending to a few random members: claims within the budget, notices always."""
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
