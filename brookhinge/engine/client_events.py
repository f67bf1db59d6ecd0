"""Handles client events: connections, requests and withdrawals."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from brookhinge.decisions.messages import RequestArrived
from brookhinge.decisions.rules import Refusal, Withdrawal
from brookhinge.decisions.settings import Idempotency
from brookhinge.engine.coalescing import RequestCoalescer
from brookhinge.engine.effects import CloseClient, RefuseCall, RejectRequest
from brookhinge.engine.events import ClientConnected, ClientDisconnected, RequestCancelled, RequestReceived
from brookhinge.engine.open_requests import OpenRequest
from brookhinge.engine.records import Records
from brookhinge.engine.responses import FinalResponses

if TYPE_CHECKING:
    from brookhinge.decisions.router import Router


class ClientEvents:
    """Opens requests and refuses calls that are invalid."""

    def __init__(
        self,
        records: Records,
        *,
        decisions: Router,
        class_names: Sequence[bytes],
        coalescer: RequestCoalescer,
        responses: FinalResponses,
    ) -> None:
        self.context = records.context
        self.decisions = decisions
        self.class_indexes = {name: i for i, name in enumerate(class_names)}
        self.requests = records.requests
        self.clients = records.clients
        self.coalescer = coalescer
        self.responses = responses
        self.totals = records.totals

    def on_connected(self, event: ClientConnected) -> None:
        """Record the address of a new connection."""
        self.coalescer.on_connected(event.client, event.address)

    def on_disconnected(self, event: ClientDisconnected) -> None:
        """Withdraw all open requests of a closed connection."""
        self.forget(event.client)

    def on_request_cancelled(self, event: RequestCancelled) -> None:
        """Withdraw a request, and close the connection of a client that withdraws too many."""
        request_id = self.clients.request(event.client, event.number)
        if request_id is None:
            return
        self.responses.withdraw(self.requests.open[request_id], Withdrawal.CANCELLED)
        protocol_error = self.clients.count_withdrawal(event.client)
        if protocol_error is not None:
            self.close(event.client, protocol_error)

    def on_request_received(self, call: RequestReceived) -> None:
        """Open a request, reject or refuse it, or close its connection."""
        request_class = self.class_indexes.get(call.class_name)
        if request_class is None:
            self.refuse(call, "service: no such class")
            return
        if call.client in self.clients.closed:
            return
        protocol_error = self.clients.register_number(call.client, call.number)
        if protocol_error is not None:
            self.close(call.client, protocol_error)
        elif call.client_request_id in self.requests.by_client_request_id:
            self.refuse_repeated(call)
        elif self.requests.was_used(call.client_request_id):
            self.refuse(call, "ref: used before")
        elif self.context.is_shutting_down:
            self.reject_at_shutdown(call)
        else:
            self.open_request(call, request_class)

    def refuse(self, call: RequestReceived, reason: str) -> None:
        """Answer an invalid call with an exception of the protocol."""
        self.context.emit(RefuseCall(call.client, call.number, reason))

    def refuse_repeated(self, call: RequestReceived) -> None:
        """Refuse a request id that is already open.

        A client that reuses one of its own open ids violates the protocol: its connection is closed.
        """
        first = self.requests.open[self.requests.by_client_request_id[call.client_request_id]]
        if first.call.client == call.client:
            self.close(call.client, "request id is already open")
        else:
            self.refuse(call, "ref: still open")

    def reject_at_shutdown(self, call: RequestReceived) -> None:
        """Reject a request that was read after shutdown began; it has not run, so a retry is safe."""
        self.totals.counts["queries"] += 1
        self.totals.counts["nacked"] += 1
        self.totals.refusals[Refusal.STOPPING] += 1
        self.context.emit(RejectRequest(call.client, call.number, 0.0))

    def open_request(self, call: RequestReceived, request_class: int) -> None:
        """Open a request, then pass it to the decisions or coalesce it with the request that it retries."""
        request = self.requests.add(call, request_class)
        self.clients.add_request(call.client, call.number, request.request_id)
        self.totals.counts["queries"] += 1
        left_s = request.deadline - self.context.now
        if self.context.is_traced:
            self.context.trace(
                "taken",
                request,
                client=call.client,
                number=call.number,
                kind=call.class_name.decode(),
                left_s=left_s,
            )
        arrival = RequestArrived(
            request_id=request.request_id,
            request_class=request_class,
            key=request.key,
            part=call.part_number,
            group=call.purge_group,
            size_kb=call.size_kb,
            is_write=False,
            timeout_s=left_s,
        )
        if self.may_be_retry(request):
            self.coalescer.admit(request, arrival)
        else:
            self.context.inbox.append(arrival)

    def may_be_retry(self, request: OpenRequest) -> bool:
        """Return whether a request may be a client's retry.

        Only requests of repeatable classes can be: each request of another class asks for a new effect.
        """
        request_class = self.decisions.request_classes[request.request_class]
        return self.coalescer.lineage is not None and request_class.idempotency is Idempotency.REPEATABLE

    def close(self, client: int, reason: str) -> None:
        """Close a connection that violates the protocol; its later calls in this round are ignored."""
        self.forget(client)
        self.clients.closed.add(client)
        self.context.emit(CloseClient(client, reason))

    def forget(self, client: int) -> None:
        """Withdraw all open requests of a connection and remove its records."""
        for request_id in self.clients.open_requests(client):
            self.responses.withdraw(self.requests.open[request_id], Withdrawal.CLIENT_GONE)
        self.coalescer.on_disconnected(self.clients.forget(client))
