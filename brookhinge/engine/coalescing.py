"""Coalesces a client's retry with its first try, where that is still open.

A follower waits for its leader's response and never has an attempt beside it. Where the leader ends without a
response for it, the follower is handled as a request of its own again.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import TYPE_CHECKING

from brookhinge.decisions.messages import RequestArrived
from brookhinge.engine.open_requests import OpenRequest, Outcome
from brookhinge.engine.records import Records

if TYPE_CHECKING:
    from brookhinge.overload.retry_lineage import RetryLineage

END_MARGIN_S = 0.02  # a follower fails so long before its deadline: the response has to reach its client


class RequestCoalescer:
    """Recognizes retries and lets them follow the request that they repeat.

    Attributes:
        lineage: Recognizes retries; None: every request stands for itself.
        followers: The requests that wait for each leader, in order of arrival.
    """

    def __init__(self, records: Records, *, lineage: RetryLineage | None) -> None:
        self.context = records.context
        self.requests = records.requests
        self.clients = records.clients
        self.invariants = records.invariants
        self.totals = records.totals
        self.lineage = lineage
        self.followers: dict[int, list[int]] = {}
        self.deadlines: list[tuple[float, int]] = []  # heap of (when it fails, follower)

    def connected(self, client: int, address: str) -> None:
        """Note the address of a new connection."""
        self.clients.addresses[client] = address
        self.lineage.connected(address)

    def disconnected(self, address: str | None) -> None:
        """Note that a connection from an address has ended; None: its address was not noted."""
        if address is not None:
            self.lineage.disconnected(address)

    def admit(self, request: OpenRequest, arrival: RequestArrived) -> None:
        """Let a request follow an open one that asks for the same, or pass it to the decisions.

        The decisions hear since when a retry is asked for, and whether its client would be known again.
        """
        request.arrival = arrival
        client = request.call.client
        address = self.clients.addresses.get(client, client)
        name = arrival.request_class, arrival.key, arrival.part
        seen = self.lineage.recognize(self.context.now, request.request_id, address, client, name)
        leader = self.requests.open.get(seen.open_request)
        if leader is not None and self.may_share_response(leader, request):
            self.follow(leader, request)
            return
        self.totals.counts["again"] += seen.is_retry
        client_identity = self.lineage.identify(address, client)
        self.context.inbox.append(
            arrival._replace(
                timeout_s=request.deadline - self.context.now,
                retry_age_s=seen.since_first_s,
                retry_client=client_identity if client_identity.outlives_connection else None,
            )
        )

    def may_share_response(self, leader: OpenRequest, request: OpenRequest) -> bool:
        """Whether the leader's response answers a later request, with no purge in between."""
        if leader.call.known_version != request.call.known_version or leader.call.body != request.call.body:
            return False
        purge = self.invariants.purges.last(request.call.purge_group, request.key)
        return purge is None or purge.known_at < leader.call.received_at

    def follow(self, leader: OpenRequest, request: OpenRequest) -> None:
        """Let a request wait for the leader's response."""
        request.leader = leader.request_id
        self.totals.counts["beside"] += 1
        self.followers.setdefault(leader.request_id, []).append(request.request_id)
        heapq.heappush(self.deadlines, (request.deadline - END_MARGIN_S, request.request_id))

    def release_followers(self, leader: int) -> list[OpenRequest]:
        """The open followers of a request; they follow it no longer."""
        followers = self.followers.pop(leader, None)
        if not followers:
            return []
        return [
            self.requests.open[request_id] for request_id in followers if request_id in self.requests.open
        ]

    def has_time_left(self, follower: OpenRequest) -> bool:
        """Whether a follower that was released can still be served."""
        return follower.deadline - self.context.now > END_MARGIN_S

    def ended(self, request: OpenRequest, outcome: Outcome) -> None:
        """Note the end of a request."""
        if self.lineage is None:
            return
        if request.leader is None:
            self.lineage.end(self.context.now, request.request_id, was_served=outcome is Outcome.SATISFIED)
            return
        followers = self.followers.get(request.leader, [])
        if request.request_id in followers:
            followers.remove(request.request_id)

    def take_expired(self) -> Iterator[OpenRequest]:
        """The followers whose time is over, one after another."""
        while self.deadlines and self.deadlines[0][0] <= self.context.now:
            _, request_id = heapq.heappop(self.deadlines)
            request = self.requests.open.get(request_id)
            if request is not None and request.leader is not None:
                yield request

    def next_at(self) -> float | None:
        """When the next follower's time is over, or None."""
        while self.deadlines and self.deadlines[0][1] not in self.requests.open:
            heapq.heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else None
