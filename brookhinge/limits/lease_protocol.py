"""Requests and offers between the lessees and the lessors of the fleet. No I/O, no clock.

Routers with the same view choose the same lessor for a limit. The bound on shared limits also holds while
they choose different ones.
"""

from collections.abc import Callable, Sequence

import xxhash

from brookhinge.limits.demand import DemandEstimate
from brookhinge.limits.lease_terms import (
    DEMAND_HEADROOM,
    MAX_MISSED_REPORTS,
    REPORT_INTERVAL_S,
    ROWS_PER_DATAGRAM,
)
from brookhinge.limits.lessee import Lessee
from brookhinge.limits.lessor import Lessor
from brookhinge.limits.records import Demand, Limit, RequestRow
from brookhinge.membership.core import CoreContext, CoreWriter
from brookhinge.membership.messages import CoreMessage, LeaseOffer, LeaseRequest, Row

FLEET_WIDE_KINDS = frozenset({"parent"})  # limits of all other kinds are shared within a zone
MAX_LIMITS_PER_REPORT = 64  # limits that a lessor offers in one report
LESSORS_PER_KIND = 4  # few, so that the rows of many limits share a datagram
MAX_LESSORS_REMEMBERED = 1024
CONTENDED_S = MAX_MISSED_REPORTS * REPORT_INTERVAL_S


class LeaseProtocol:
    """The lessee and the lessor of one router, and their messages."""

    def __init__(self, context: CoreContext, fleet_size: Callable[[], tuple[int, int]], now: float) -> None:
        """Initialize the protocol; the arguments are those of Limits."""
        self.context = context
        self.view = context.view
        self.fleet_size = fleet_size
        self.lessee = Lessee(now, is_sole_router=max(fleet_size()) <= 1)
        self.lessor = Lessor()
        self.demand = DemandEstimate(now)
        self.contended: dict[Limit, dict[int, float]] = {}  # by lessor: until when its offer counts
        self._last_offers: dict[int, int] = {}  # by lessor: number of its last offer

    # members and quotas

    def own_quota(self, limit: Limit) -> float:
        """Return this router's own quota: an equal share of a limit."""
        in_zone, total = self.fleet_size()
        return 1.0 / (total if limit[0] in FLEET_WIDE_KINDS else in_zone)

    def quota(self, limit: Limit, now: float) -> float:
        """Return the fraction of a limit that this router may use now."""
        return self.lessee.quota(limit, self.own_quota(limit), now)

    def members_sharing(self, limit: Limit) -> list[int]:
        """Return the positions of the alive members of this protocol version that share a limit."""
        return self.context.alive_members(None if limit[0] in FLEET_WIDE_KINDS else self.context.zone)

    def lessor_of(self, limit: Limit) -> int | None:
        """Return the position of a limit's lessor, by rendezvous hashing over the members that share it."""
        kind, server, started_at_ms = limit
        slot = xxhash.xxh64_intdigest(f"{server} {started_at_ms}".encode()) % LESSORS_PER_KIND
        return self.context.choose(f"{kind} {slot}", self.members_sharing(limit))

    # sending

    def report(self, now: float, writer: CoreWriter) -> None:
        """Request missing quota from lessors, then offer leases of what was granted to this router."""
        self.lessee.expire(now)
        self._expire_contended(now)
        requested: dict[int, list[Limit]] = {}
        for limit in {**self.demand.fractions, **self.contended}:  # also limits without demand here
            needed = self.demand.fractions.get(limit, 0.0) * DEMAND_HEADROOM
            if needed > self.quota(limit, now) or limit in self.contended:
                lessor = self.lessor_of(limit)
                if lessor is not None:
                    requested.setdefault(lessor, []).append(limit)
        for lessor, limits in requested.items():
            self._send_requests(now, lessor, limits, writer)
        self._send_offers(now, writer)

    def _expire_contended(self, now: float) -> None:
        contended = {}
        for limit, by_lessor in self.contended.items():
            unexpired = {lessor: until for lessor, until in by_lessor.items() if until > now}
            if unexpired:
                contended[limit] = unexpired
        self.contended = contended

    def _send_requests(self, now: float, lessor: int, limits: list[Limit], writer: CoreWriter) -> None:
        lessor_id = self.view.incarnation_ids[lessor]
        for start in range(0, len(limits), ROWS_PER_DATAGRAM):
            demands = {
                limit: Demand(self.own_quota(limit), self.demand.fractions.get(limit, 0.0))
                for limit in limits[start : start + ROWS_PER_DATAGRAM]
            }
            number, rows = self.lessee.make_request(now, lessor_id, demands, self.contended)
            if rows:
                request = LeaseRequest(number, self._last_offers.get(lessor_id, 0))
                wire_rows = [(*row.limit, round(row.need, 6), row.grant) for row in rows]
                self._send(now, lessor, request, wire_rows, writer)

    def _send_offers(self, now: float, writer: CoreWriter) -> None:
        """Send offers for contended limits to all members that share them, also to those without a lease."""
        contended = list(self.lessor.shortfalls(now))
        issued = self.lessor.issue_leases(now)
        rows_by_member: dict[int, list[Row]] = {}
        for limit in contended[:MAX_LIMITS_PER_REPORT]:
            amounts = issued.get(limit, {})
            for i in self.members_sharing(limit):
                amount = amounts.get(self.view.incarnation_ids[i], 0.0)
                rows_by_member.setdefault(i, []).append((*limit, amount))
        for i, rows in rows_by_member.items():
            for start in range(0, len(rows), ROWS_PER_DATAGRAM):
                offer = LeaseOffer(*self.lessor.next_offer(now, self.view.incarnation_ids[i]))
                self._send(now, i, offer, rows[start : start + ROWS_PER_DATAGRAM], writer)

    def _send(
        self, now: float, i: int, message: LeaseRequest | LeaseOffer, rows: Sequence[Row], writer: CoreWriter
    ) -> None:
        """Send a message to the member at a position, without the network if it is this router."""
        if self.context.is_self(i):
            self.receive(now, CoreMessage(self.view.incarnation_ids[i], message, tuple(rows)), writer)
        else:
            writer.post_to(i, message, rows)

    # receiving

    def receive(self, now: float, received: CoreMessage, writer: CoreWriter) -> None:
        """Process a request as the lessor, or an offer as the lessee."""
        if isinstance(received.message, LeaseRequest):
            self._receive_request(now, received)
        else:
            self._receive_offer(now, received, writer)

    def _receive_request(self, now: float, received: CoreMessage) -> None:
        message = received.message
        rows = [RequestRow(Limit(*row[:3]), *row[3:]) for row in received.rows]
        self.lessor.receive_request(now, received.sender_id, message.number, message.acknowledged, rows)

    def _receive_offer(self, now: float, received: CoreMessage, writer: CoreWriter) -> None:
        message = received.message
        sender_id = received.sender_id
        amounts = [(Limit(*row[:3]), row[3]) for row in received.rows]
        is_new = message.number > self._last_offers.get(sender_id, 0)
        if is_new:
            self._last_offers[sender_id] = message.number
            if len(self._last_offers) > MAX_LESSORS_REMEMBERED:
                del self._last_offers[next(iter(self._last_offers))]
        leased = [(limit, amount) for limit, amount in amounts if amount > 0.0]
        self.lessee.receive_offer(now, sender_id, message.number, message.acknowledged, leased)
        if is_new:
            self._answer_offer(now, sender_id, [limit for limit, _ in amounts], writer)

    def _answer_offer(self, now: float, lessor_id: int, limits: list[Limit], writer: CoreWriter) -> None:
        """Answer a new offer at once with a request, which may grant quota that is not needed here."""
        for limit in limits:
            self.contended.setdefault(limit, {})[lessor_id] = now + CONTENDED_S
        if lessor_id not in self.view.incarnation_ids:
            return
        lessor = self.view.incarnation_ids.index(lessor_id)
        if not self.context.is_self(lessor):
            self._send_requests(now, lessor, limits, writer)
