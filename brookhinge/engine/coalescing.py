"""Coalesces a client's retry with its first try if that is still open.

A retry that is coalesced (the follower) waits for the response to the first try (the leader) and is not
sent to any server meanwhile. If the leader ends without a response that it can share, the follower is
handled as an independent request again.
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

# A follower fails this long before its deadline, so that the response still reaches its client in time.
RESPONSE_MARGIN_S = 0.02


class RequestCoalescer:
    """Recognizes retries and lets them wait for the response to the request that they retry.

    Attributes:
        lineage: Recognizes retries; None if requests are not coalesced.
        followers: {leader: ids of the requests that wait for it, in order of arrival}.
        deadlines: Heap of (time at which the follower fails, follower).
    """

    def __init__(self, records: Records, *, lineage: RetryLineage | None) -> None:
        self.context = records.context
        self.requests = records.requests
        self.clients = records.clients
        self.invariants = records.invariants
        self.totals = records.totals
        self.lineage = lineage
        self.followers: dict[int, list[int]] = {}
        self.deadlines: list[tuple[float, int]] = []

    def on_connected(self, client: int, address: str) -> None:
        """Record the address of a new connection."""
        self.clients.addresses[client] = address
        self.lineage.connected(address)

    def on_disconnected(self, address: str | None) -> None:
        """Record that a connection from `address` has closed; None if its address was not recorded."""
        if address is not None:
            self.lineage.disconnected(address)

    def admit(self, request: OpenRequest, arrival: RequestArrived) -> None:
        """Coalesce a request with the open one that it retries, or pass it to the decisions.

        The message to the decisions has the time since the client's first try, and the client's identity if
        it will be recognized on a later connection.
        """
        request.arrival = arrival
        client = request.call.client
        address = self.clients.addresses.get(client, client)
        object_name = arrival.request_class, arrival.key, arrival.part
        recognized = self.lineage.recognize(
            self.context.now, request.request_id, address, client, object_name
        )
        leader = self.requests.open.get(recognized.open_request)
        if leader is not None and self.may_share_response(leader, request):
            self.follow(leader, request)
            return
        self.totals.counts["again"] += recognized.is_retry
        client_identity = self.lineage.identify(address, client)
        self.context.inbox.append(
            arrival._replace(
                timeout_s=request.deadline - self.context.now,
                retry_age_s=recognized.since_first_s,
                retry_client=client_identity if client_identity.outlives_connection else None,
            )
        )

    def may_share_response(self, leader: OpenRequest, request: OpenRequest) -> bool:
        """Return whether the leader's response may answer a later request too.

        Both must have the same known version and body, with no purge of the object since the leader came.
        """
        if leader.call.known_version != request.call.known_version or leader.call.body != request.call.body:
            return False
        purge = self.invariants.purges.last(request.call.purge_group, request.key)
        return purge is None or purge.known_at < leader.call.received_at

    def follow(self, leader: OpenRequest, request: OpenRequest) -> None:
        """Make a request wait for the leader's response."""
        request.leader = leader.request_id
        self.totals.counts["beside"] += 1
        self.followers.setdefault(leader.request_id, []).append(request.request_id)
        heapq.heappush(self.deadlines, (request.deadline - RESPONSE_MARGIN_S, request.request_id))

    def release_followers(self, leader: int) -> list[OpenRequest]:
        """Detach and return the followers of a request that are still open."""
        followers = self.followers.pop(leader, None)
        if not followers:
            return []
        return [
            self.requests.open[request_id] for request_id in followers if request_id in self.requests.open
        ]

    def has_time_left(self, follower: OpenRequest) -> bool:
        """Return whether enough time is left to serve a released follower."""
        return follower.deadline - self.context.now > RESPONSE_MARGIN_S

    def on_request_ended(self, request: OpenRequest, outcome: Outcome) -> None:
        """Update the lineage when a request ends, and remove an ended follower from its leader's list."""
        if self.lineage is None:
            return
        if request.leader is None:
            self.lineage.end(self.context.now, request.request_id, was_served=outcome is Outcome.SATISFIED)
            return
        followers = self.followers.get(request.leader, [])
        if request.request_id in followers:
            followers.remove(request.request_id)

    def take_expired(self) -> Iterator[OpenRequest]:
        """Yield the followers that have timed out."""
        while self.deadlines and self.deadlines[0][0] <= self.context.now:
            _, request_id = heapq.heappop(self.deadlines)
            request = self.requests.open.get(request_id)
            if request is not None and request.leader is not None:
                yield request

    def next_at(self) -> float | None:
        """Return the time at which the next follower fails, or None if there are no followers."""
        while self.deadlines and self.deadlines[0][1] not in self.requests.open:
            heapq.heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else None
