"""Effects: what the router's state wants done, one class for each kind.

The `EventScheduler` hands each to the handler that is registered for its class. Times are seconds since the
router's start. `request_id` and `attempt` are numbered as in `engine/events.py`.
"""

from dataclasses import dataclass

from brookhinge.engine.endpoints import ServerInstance


class Effect:
    """Base of all effects."""

    __slots__ = ()


# To servers.


@dataclass(frozen=True, slots=True)
class SendAttempt(Effect):
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


@dataclass(frozen=True, slots=True)
class CancelAttempt(Effect):
    """Give up an attempt: its response is not wanted any more."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class RetireServer(Effect):
    """Use the connections to one start of a server for nothing new."""

    server: ServerInstance


# To clients.


@dataclass(frozen=True, slots=True)
class Respond(Effect):
    """The final response: an object, or that the client's copy of it still holds."""

    client: int
    number: int
    body: bytes
    is_unchanged: bool


@dataclass(frozen=True, slots=True)
class RejectRequest(Effect):
    """The final response: not served, and asking again is harmless."""

    client: int
    number: int
    retry_after_s: float  # 0: no advice


@dataclass(frozen=True, slots=True)
class FailRequest(Effect):
    """The final response: an error."""

    client: int
    number: int


@dataclass(frozen=True, slots=True)
class RefuseCall(Effect):
    """A call that cannot be taken, answered with an exception of the protocol."""

    client: int
    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class CloseClient(Effect):
    """Close the connection of a client that broke the protocol."""

    client: int
    reason: str


# To the rest of the process.


@dataclass(frozen=True, slots=True)
class WriteLog(Effect):
    """Write an event to the log."""

    event: str
    values: dict[str, object]


@dataclass(frozen=True, slots=True)
class WriteTrace(Effect):
    """Write a step of a request to the trace."""

    step: str
    client_request_id: str
    values: dict[str, object]


@dataclass(frozen=True, slots=True)
class NotifyPeers(Effect):
    """Notify the peers of something that tightens a rule."""

    kind: str  # 'purge', 'draining' or 'gone'
    values: tuple
