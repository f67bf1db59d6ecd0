"""Records of open requests, and the ids of requests that ended recently."""

import enum

from brookhinge.decisions.messages import RequestArrived
from brookhinge.decisions.rules import AttemptResult, Ran
from brookhinge.engine.events import RequestReceived

MAX_FINISHED_IDS = 1024  # of the latest requests; clients must give each request a new id
DEFAULT_MAX_RAN_IDS = 4096


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
        ran: Clients' ids of ended requests that a server may have executed, oldest first. They are remembered
            for longer: such a request must not be executed again when its id comes again.
        max_ran_ids: Maximum number of ids in `ran`.
    """

    def __init__(self, max_ran_ids: int = DEFAULT_MAX_RAN_IDS) -> None:
        self.open: dict[int, OpenRequest] = {}
        self.by_client_request_id: dict[bytes, int] = {}
        self.finished: dict[bytes, None] = {}
        self.ran: dict[bytes, None] = {}
        self.max_ran_ids = max_ran_ids
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
        request = self.open.pop(request_id)
        client_request_id = request.call.client_request_id
        del self.by_client_request_id[client_request_id]
        if request.first_ran is None:
            _remember(self.finished, client_request_id, MAX_FINISHED_IDS)
        else:
            _remember(self.ran, client_request_id, self.max_ran_ids)

    def was_used(self, client_request_id: bytes) -> bool:
        """Return whether an id is that of an ended request that is still remembered."""
        return client_request_id in self.finished or client_request_id in self.ran

    def has_attempt_out(self, request_id: int, attempt: int) -> bool:
        """Return whether an attempt has neither ended nor been canceled."""
        request = self.open.get(request_id)
        return request is not None and request.has_attempt_out and request.attempts == attempt


def _remember(ids: dict[bytes, None], client_request_id: bytes, maximum: int) -> None:
    """Add an id, and forget the oldest one if there are more than `maximum`."""
    ids[client_request_id] = None
    if len(ids) > maximum:
        del ids[next(iter(ids))]
