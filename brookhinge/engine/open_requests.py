"""Records of open requests, and the ids of requests that ended recently."""

import enum

from brookhinge.decisions.messages import RequestArrived
from brookhinge.decisions.rules import AttemptResult, Ran
from brookhinge.engine.events import RequestReceived

MAX_FINISHED_IDS = 1024  # remembered to refuse reused ids: clients must give each request a new one


class Outcome(enum.Enum):
    """How a request ended."""

    SATISFIED = enum.auto()
    REJECTED = enum.auto()
    FAILED = enum.auto()
    WITHDRAWN = enum.auto()  # canceled by the client or its connection closed; no response is sent


class OpenRequest:
    """A request without a final response.

    Attributes:
        request_id: The router's id of the request.
        call: The request as received; fields that are forwarded unchanged are kept as the received bytes.
        request_class: Index of the request class.
        key: The object key as text.
        deadline: The client's deadline.
        attempts: Number of attempts sent.
        has_attempt_out: Whether the latest attempt is outstanding.
        server: Server of the latest attempt, or None.
        fill_from: Fill source of the latest attempt, or None.
        sent_at: When the latest attempt was decided.
        last_result: Result of the latest attempt that ended, or None.
        first_ran: Where and when the first attempt that may have run was sent, or None.
        arrival: The message for the decisions, if the request may be a client's retry, else None.
        leader: Id of the request whose response this one waits for, or None.
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
        open: {request id: open request}.
        by_client_request_id: {client's request id: the router's id of the open request}.
        finished: Clients' ids of recently ended requests, oldest first.
    """

    def __init__(self) -> None:
        self.open: dict[int, OpenRequest] = {}
        self.by_client_request_id: dict[bytes, int] = {}
        self.finished: dict[bytes, None] = {}
        self.next_id = 0

    def add(self, call: RequestReceived, request_class: int) -> OpenRequest:
        """Open a request and assign its id."""
        request = OpenRequest(self.next_id, call, request_class)
        self.next_id += 1
        self.open[request.request_id] = request
        self.by_client_request_id[call.client_request_id] = request.request_id
        return request

    def remove(self, request_id: int) -> None:
        """Remove a request that has ended, and remember the id that its client gave it."""
        client_request_id = self.open.pop(request_id).call.client_request_id
        del self.by_client_request_id[client_request_id]
        self.finished[client_request_id] = None
        if len(self.finished) > MAX_FINISHED_IDS:
            del self.finished[next(iter(self.finished))]

    def has_attempt_out(self, request_id: int, attempt: int) -> bool:
        """Return whether an attempt has neither ended nor been canceled."""
        request = self.open.get(request_id)
        return request is not None and request.has_attempt_out and request.attempts == attempt
