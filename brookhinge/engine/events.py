"""Events: the inputs of the router's state, one class for each kind.

Event sources post them to the `EventScheduler`; `RouterState` has one handler for each class. Times are
seconds since the start of the router. `client` is the connection id assigned by the listener, `request_id`
the router's own id of an open request, `attempt` the attempt's number within its request, counted from 1, and
`client_request_id` the id that the client assigned.
"""

from collections.abc import Sequence
from typing import NamedTuple

from brookhinge.decisions.rules import AttemptResult
from brookhinge.engine.endpoints import ListedEndpoint

# From clients' connections.


class ClientConnected(NamedTuple):
    """A connection was accepted; posted only if retries are recognized."""

    client: int
    address: str


class ClientDisconnected(NamedTuple):
    """A client's connection has closed; its open requests need no response."""

    client: int


class RequestReceived(NamedTuple):
    """A client sent a request, which must get exactly one final response."""

    client: int
    number: int  # call number on the connection, assigned by the client
    client_request_id: bytes  # passed on to the cache servers
    class_name: bytes
    object_key: bytes
    part: bytes
    part_number: int
    purge_group: int
    size_kb: float  # 0: unknown
    timeout_s: float
    known_version: bytes | None  # version tag of the copy that the client holds
    body: bytes
    received_at: float
    idempotency_key: bytes | None = None


class RequestCancelled(NamedTuple):
    """A client has withdrawn one of its requests."""

    client: int
    number: int


# From connections to servers.


class AttemptEnded(NamedTuple):
    """An attempt ended, with or without a response from the server."""

    request_id: int
    attempt: int
    result: AttemptResult
    note: int  # how the server got its copy, as numbered by `net/cachewire.py`; 0: unknown
    source_wait_s: float  # seconds that the server waited for its fill source
    load_report: list[float] | None
    body: bytes
    is_unchanged: bool  # whether the copy that the client holds is still current
    received_at: float
    dated_at: float | None = None  # when the copy left the origin
    version: bytes | None = None  # version tag of the copy
    purge_group: bytes | None = None


# From the command channel; `number` is the command's position in the channel.


class EndpointsListed(NamedTuple):
    """The complete endpoint list, or changes to it."""

    number: int
    is_complete: bool
    endpoints: Sequence[ListedEndpoint]


class ObjectsPurged(NamedTuple):
    """Copies of an object or a purge group from before `purged_at` must no longer be used."""

    number: int
    purge_group: int  # 0 if `object_key` is set
    purged_at: float  # by the clock of the sender of the purge
    object_key: str  # empty: all objects of the group


class CommandSkipped(NamedTuple):
    """A command could not be decoded."""

    number: int
    reason: str


# From the fleet.


class PeerNoticeReceived(NamedTuple):
    """A peer sent a notice, which can only add restrictions."""

    kind: str  # 'purge', 'draining' or 'gone'
    values: tuple


class PurgeLogEntryRead(NamedTuple):
    """An entry was read from the purge log.

    Attributes:
        kind: Kind of the entry, as numbered by `purgelog/messages.py`.
        text: Object key of a purge, empty for a group; else the server.
        number: Purge group, or -1 for a purge of an object; else the server's start in ms of Unix time.
        stamp_ms: Timestamp of the entry in ms of Unix time.
        retained: Whether caches are not told of this purge, so that the router has to keep it.
    """

    kind: int
    text: str
    number: int
    stamp_ms: int
    retained: bool = False


class CopyRuleChanged(NamedTuple):
    """The rule for using the router's own copies changed; it depends on whether all purges are known."""

    rule: object  # a CopyRule of `purgelog/subscriber.py`
    missed_purges: object | None


class RetainedPurgesRead(NamedTuple):
    """Purges that caches are not told of, from before what the router has read of the purge log.

    Attributes:
        purges: (object key or purge group, seconds since the purge) of each.
        floor_age_s: Every copy made before that many seconds ago counts as purged; None if there is no floor.
    """

    purges: Sequence[tuple[str | int, float]]
    floor_age_s: float | None


class PurgeKnowledgeChanged(NamedTuple):
    """It changed whether all purges that caches are not told of are known.

    Attributes:
        is_complete: Whether they are.
        max_age_s: Age up to which copies of caches are accepted while they are not.
    """

    is_complete: bool
    max_age_s: float


class RouterCountChanged(NamedTuple):
    """The number of routers that share limits changed, in this zone or in the whole fleet."""

    in_zone: int
    in_fleet: int


class QuotasAssigned(NamedTuple):
    """The router's quotas of limits that the fleet shares were assigned."""

    quotas: Sequence[tuple]  # of (kind, server, start of the server in ms, quota or None)


class OutlierVerdictsChanged(NamedTuple):
    """The outlier verdicts on servers, based on the observations of all routers, changed."""

    verdicts: Sequence[tuple]  # of (server, start of the server in ms, verdict, seconds)


class WarmStartReceived(NamedTuple):
    """A peer that has run for longer sent what it has learned."""

    rows: Sequence[tuple]


# From the process itself.


class ShutdownBegan(NamedTuple):
    """The process shuts down: open requests fail and no more decisions are made."""


Event = (
    ClientConnected
    | ClientDisconnected
    | RequestReceived
    | RequestCancelled
    | AttemptEnded
    | EndpointsListed
    | ObjectsPurged
    | CommandSkipped
    | PeerNoticeReceived
    | PurgeLogEntryRead
    | CopyRuleChanged
    | RetainedPurgesRead
    | PurgeKnowledgeChanged
    | RouterCountChanged
    | QuotasAssigned
    | OutlierVerdictsChanged
    | WarmStartReceived
    | ShutdownBegan
)
