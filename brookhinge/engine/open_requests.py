"""Requests that are owed a final response, and the ids of those that had one lately."""

import enum

from brookhinge.decisions.messages import RequestArrived
from brookhinge.decisions.rules import AttemptResult, Ran
from brookhinge.engine.events import RequestReceived

FINISHED_KEPT = 1024  # ids of finished requests that are remembered: clients give each request a new one


class Outcome(enum.Enum):
    """How a request ended."""

    SATISFIED = enum.auto()
    REJECTED = enum.auto()
    FAILED = enum.auto()
    WITHDRAWN = enum.auto()  # by its client: no response is owed any more


class OpenRequest:
    """A request that is owed its final response.

    Attributes:
        request_id: The router's number of it.
        call: The request as it came; what goes on unchanged is kept as the bytes that came.
        request_class: Index of its class.
        key: The object's key as text.
        deadline: The client's.
        attempts: How many attempts were sent.
        has_attempt_out: Whether the last of them has not ended.
        server: The server of the last attempt.
        fill_from: The fill source of the last attempt.
        sent_at: When the last attempt was decided.
        last_result: How the last attempt that has ended did.
        first_ran: The first attempt that may have run.
        arrival: The message by which the decisions hear of it, where it may be a client's retry.
        leader: The request whose response it waits for.
    """

    __slots__ = (
        "arrival",
        "attempts",
        "call",
        "deadline",
        "fill_from",
        "first_ran",
        "has_attempt_out",
        "key",
        "last_result",
        "leader",
        "request_class",
        "request_id",
        "sent_at",
        "server",
    )

    def __init__(self, request_id: int, call: RequestReceived, request_class: int) -> None:
        self.request_id = request_id
        self.call = call
        self.request_class = request_class
        self.key = call.object_key.decode("ascii")
        self.deadline = call.received_at + call.timeout_s
        self.attempts = 0
        self.has_attempt_out = False
        self.server: str | None = None
        self.fill_from: str | None = None
        self.sent_at = self.deadline
        self.last_result: AttemptResult | None = None
        self.first_ran: Ran | None = None
        self.arrival: RequestArrived | None = None
        self.leader: int | None = None


class RequestTable:
    """All open requests.

    Attributes:
        open: By the router's number.
        by_client_request_id: The number of the open request with each client's id.
        finished: Ids of the last requests that have ended, the oldest first.
    """

    def __init__(self) -> None:
        self.open: dict[int, OpenRequest] = {}
        self.by_client_request_id: dict[bytes, int] = {}
        self.finished: dict[bytes, None] = {}
        self.next_id = 0

    def add(self, call: RequestReceived, request_class: int) -> OpenRequest:
        """Open a request."""
        request = OpenRequest(self.next_id, call, request_class)
        self.next_id += 1
        self.open[request.request_id] = request
        self.by_client_request_id[call.client_request_id] = request.request_id
        return request

    def remove(self, request_id: int) -> None:
        """End a request; its client's id is remembered."""
        client_request_id = self.open.pop(request_id).call.client_request_id
        del self.by_client_request_id[client_request_id]
        self.finished[client_request_id] = None
        if len(self.finished) > FINISHED_KEPT:
            del self.finished[next(iter(self.finished))]

    def has_attempt_out(self, request_id: int, attempt: int) -> bool:
        """Whether that attempt has neither ended nor been given up."""
        request = self.open.get(request_id)
        return request is not None and request.has_attempt_out and request.attempts == attempt
