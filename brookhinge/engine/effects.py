"""Effects: the actions that the router's state requests, one class for each kind.

The `EventScheduler` passes each effect to the handler registered for its class. Times are seconds since the
start of the router. `request_id` and `attempt` are numbered as in `engine/events.py`.
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
    fill_from: str | None  # fill source that the server may use; None: it answers from its own copies
    retention: int  # retention rank of the copy that the server fills
    max_age_s: float  # maximum age of a copy; 0: the freshness lifetime of the request class
    joins_fill: bool  # whether the server waits for a fill of the object that is in progress
    cached_only: bool
    revalidates: bool  # whether the server asks its fill source if its copy is still current
    known_version: bytes | None  # version tag of the copy that the client holds
    body: bytes
    skips_cache: bool = False
    idempotency_key: bytes | None = None


class CancelAttempt(NamedTuple):
    """Cancel an attempt whose response is no longer needed."""

    request_id: int
    attempt: int


class RetireServer(NamedTuple):
    """Send no new attempts over the connections to a server instance."""

    server: ServerInstance


# To clients.


class Respond(NamedTuple):
    """Send the final response: an object, or a notice that the client's copy is unchanged."""

    client: int
    number: int
    body: bytes
    is_unchanged: bool


class RejectRequest(NamedTuple):
    """Send the final response: the request was not served and may safely be repeated."""

    client: int
    number: int
    retry_after_s: float  # 0: no retry delay is suggested


class FailRequest(NamedTuple):
    """Send the final response: an error."""

    client: int
    number: int


class RefuseCall(NamedTuple):
    """Answer an invalid call with an exception of the protocol."""

    client: int
    number: int
    reason: str


class CloseClient(NamedTuple):
    """Close the connection of a client that violated the protocol."""

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
    """Notify the peers of a purge, or of a server that is draining or gone."""

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
