"""Typed messages that a router of the decisions processes in order of arrival.

Points in time are seconds on the caller's monotonic clock, durations are seconds. Servers are identified by
their ids in the endpoint list, requests by small integers that the caller assigns.
"""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from brookhinge.decisions.rules import AttemptResult


class StoredCopy(NamedTuple):
    """A complete response body that the router may keep in its own memory."""

    made_at: float  # when the origin generated it
    size_bytes: int


class ResponseNote(enum.IntEnum):
    """What a cache reports about how it answered a request."""

    NONE = 0
    HIT = 1
    FILLED = 2
    VIA_ORIGIN = 3
    JOINED = 4  # it waited for another request's fill
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKE = 7
    SOURCE_LACKS = 8
    NO_SLOT = 9
    ORIGIN_FAILED = 10


class RequestArrived(NamedTuple):
    """A client requests an object, or one part of it."""

    request_id: int
    request_class: int  # index into the request classes of the settings
    key: str
    part: int
    group: int  # purge group: its objects can be purged together
    size_kb: float  # 0: not known
    is_write: bool  # executed at the origin; no copy is stored
    timeout_s: float  # time left until the client's deadline
    retry_age_s: float = 0.0  # time since the first try, if this is a client's retry; 0: it is the first try
    retry_client: object = None  # holder of reservations in the retry schedule; None: not recognizable later


class RequestWithdrawn(NamedTuple):
    """A request no longer needs a response: the client cancelled it or disconnected.

    The end of its last attempt is still reported.
    """

    request_id: int


class AttemptEnded(NamedTuple):
    """An attempt was answered, failed, timed out or was never sent."""

    request_id: int
    server: int | str
    result: AttemptResult
    took_s: float
    is_final: bool  # the request ends with this attempt: it is satisfied or withdrawn
    note: int  # a `ResponseNote`
    waited_s: float  # waiting time reported by the server; 0: none, or not reported
    copy: StoredCopy | None = None


class Endpoint(NamedTuple):
    """One row of the endpoint list."""

    server: int | str
    state: str  # 'ready', 'draining' or 'gone'
    weight: float  # concurrent transfers at full rate; 0: not known
    started_at: float | None  # when the server's process started; None: it was running from the beginning
    cell: int
    kind: str  # the list's name for this kind of server
    zone: int


class EndpointsListed(NamedTuple):
    """An endpoint list, or an update of it, from the command channel."""

    is_complete: bool  # servers missing from a complete list are gone
    endpoints: list[Endpoint]


class ObjectsPurged(NamedTuple):
    """An object or a group of objects was purged."""

    group: int
    age_s: float  # time since the purge
    key: str  # empty: the whole group was purged


class RouterCountChanged(NamedTuple):
    """The number of routers that share the limits has changed."""

    here: int  # in this router's location
    everywhere: int


class QuotasAssigned(NamedTuple):
    """Quotas of the limits that routers share, as tuples (limit, server, started_at, quota or None)."""

    quotas: list[tuple]


class OutlierVerdictsChanged(NamedTuple):
    """Verdicts on servers from the evidence of all routers, as tuples (server, verdict, seconds)."""

    verdicts: list[tuple]


class WarmStartReceived(NamedTuple):
    """State of a peer that has been running for longer (`brookhinge/membership/warm_start_decisions.py`)."""

    rows: list[tuple]


class CopyRuleChanged(NamedTuple):
    """How the router may use its own copies, depending on whether it knows all purges."""

    rule: object  # a CopyRule of the purge log
    missed_purges: object = None  # with READMIT: the set of purges that were missed


class RetainedPurges(NamedTuple):
    """Purges that caches are not told of, as tuples (key or group, seconds since the purge)."""

    purges: Sequence[tuple[str | int, float]]
    floor_age_s: float | None = None  # every copy made before that many seconds ago counts as purged


class PurgeKnowledgeChanged(NamedTuple):
    """Whether all purges that caches are not told of are known; while not, copies may be `max_age_s` old."""

    is_complete: bool
    max_age_s: float


RouterMessage = (
    RequestArrived
    | RequestWithdrawn
    | AttemptEnded
    | EndpointsListed
    | ObjectsPurged
    | RouterCountChanged
    | QuotasAssigned
    | OutlierVerdictsChanged
    | WarmStartReceived
    | CopyRuleChanged
    | RetainedPurges
    | PurgeKnowledgeChanged
)
