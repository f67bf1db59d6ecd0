"""Effects: what the router's state wants done, one class for each kind.

The `EventScheduler` hands each to the handler that is registered for its class. Times are seconds since the
router's start. `request_id` and `attempt` are numbered as in `engine/events.py`.
"""

from typing import NamedTuple

from brookhinge.engine.endpoints import ServerInstance

# To servers.


class SendAttempt(NamedTuple):
    """Send an attempt of a request to a server."""

    request_id: int
    attempt: int
    server: ServerInstance
    client_request_id: bytes
    class_name: bytes
    object_key: bytes
    part: bytes
    deadline: float
    fill_from: str | None  # where the server may fill from; None: it answers from what it holds
    retention: int  # how much the server should want to keep the copy that it fills
    max_age_s: float  # the oldest copy that will do; 0: the fresh time of the class
    joins_fill: bool  # wait for a fill of the object that is under way
    cached_only: bool
    revalidates: bool  # the server asks its source whether its copy still holds
    known_version: bytes | None  # tag of the copy that the client has
    body: bytes
    skips_cache: bool = False
    idempotency_key: bytes | None = None


class CancelAttempt(NamedTuple):
    """Give up an attempt: its response is not wanted any more."""

    request_id: int
    attempt: int


class RetireServer(NamedTuple):
    """Use the connections to one start of a server for nothing new."""

    server: ServerInstance


# To clients.


class Respond(NamedTuple):
    """The final response: an object, or that the client's copy of it still holds."""

    client: int
    number: int
    body: bytes
    is_unchanged: bool


class RejectRequest(NamedTuple):
    """The final response: not served, and asking again is harmless."""

    client: int
    number: int
    retry_after_s: float  # 0: no advice


class FailRequest(NamedTuple):
    """The final response: an error."""

    client: int
    number: int


class RefuseCall(NamedTuple):
    """A call that cannot be taken, answered with an exception of the protocol."""

    client: int
    number: int
    reason: str


class CloseClient(NamedTuple):
    """Close the connection of a client that broke the protocol."""

    client: int
    reason: str


# To the rest of the process.


class WriteLog(NamedTuple):
    """Write an event to the log."""

    event: str
    values: dict[str, object]


class WriteTrace(NamedTuple):
    """Write a step of a request to the trace."""

    step: str
    client_request_id: str
    values: dict[str, object]


class NotifyPeers(NamedTuple):
    """Notify the peers of something that tightens a rule."""

    kind: str  # 'purge', 'draining' or 'gone'
    values: tuple


Effect = (
    SendAttempt
    | CancelAttempt
    | RetireServer
    | Respond
    | RejectRequest
    | FailRequest
    | RefuseCall
    | CloseClient
    | WriteLog
    | WriteTrace
    | NotifyPeers
)
