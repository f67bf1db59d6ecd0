"""Typed messages that a router of the decisions takes, in order of arrival.

Times are seconds of the caller's steady clock, durations seconds. Servers are named by the ids of the
endpoint list, requests by small integers that the caller gives.
"""

import enum
from typing import NamedTuple

from brookhinge.decisions.rules import AttemptResult


class StoredCopy(NamedTuple):
    """A whole response body that the router could keep for itself."""

    made_at: float  # when its origin made it
    size_bytes: int


class ResponseNote(enum.IntEnum):
    """What a cache tells of how it answered."""

    NONE = 0
    HIT = 1
    FILLED = 2
    VIA_ORIGIN = 3
    JOINED = 4  # it waited for a fill of another request
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKE = 7
    SOURCE_LACKS = 8
    NO_SLOT = 9
    ORIGIN_FAILED = 10


class RequestArrived(NamedTuple):
    """A client asks for an object, or for one part of it."""

    request_id: int
    request_class: int  # index into the request classes of the settings
    key: str
    part: int
    group: int  # objects of a group are purged together
    size_kb: float  # 0: not told
    is_write: bool  # it runs at the origin and leaves no copy
    timeout_s: float  # what is left until the client's deadline
    retry_age_s: float = 0.0  # since the first try of which this is a retry; 0: it is the first
    retry_client: object = (
        None  # who may be given a place in the retry schedule; None: nobody who would be known again
    )


class RequestWithdrawn(NamedTuple):
    """No response is owed any more: the client cancelled or left.

    The end of its last attempt is still told.
    """

    request_id: int


class AttemptEnded(NamedTuple):
    """An attempt was answered, failed, was given up or was never sent."""

    request_id: int
    server: int | str
    result: AttemptResult
    took_s: float
    is_final: bool  # the request is over with it: satisfied or withdrawn
    note: int  # a `ResponseNote`
    waited_s: float  # how long it stood in the server's queue, as told
    copy: StoredCopy | None = None


class Endpoint(NamedTuple):
    """One row of the endpoint list."""

    server: int | str
    state: str  # 'ready', 'draining' or 'gone'
    weight: float  # transfers at full pace at once; 0: not told
    started_at: float | None  # start of the server's process; None: there from the first
    cell: int
    kind: str  # as the list names kinds of servers
    zone: int


class EndpointsListed(NamedTuple):
    """The command channel has listed servers."""

    is_complete: bool  # what a complete list leaves out is gone
    endpoints: list[Endpoint]


class ObjectsPurged(NamedTuple):
    """An object, or else a group of objects, was purged."""

    group: int
    age_s: float  # how long ago
    key: str  # empty: the whole group


class RouterCountChanged(NamedTuple):
    """By how many routers limits are divided from here on."""

    here: int  # of this router's location
    everywhere: int


class QuotasAssigned(NamedTuple):
    """Quotas of limits that the fleet shares: (limit, server, started_at, quota or None) each."""

    quotas: list[tuple]


class OutlierVerdictsChanged(NamedTuple):
    """What follows from all routers' evidence on servers: (server, verdict, seconds) each."""

    verdicts: list[tuple]


class WarmStartReceived(NamedTuple):
    """Rows of what a peer knows that has run for longer (`brookhinge/membership/warm_start_decisions.py`)."""

    rows: list[tuple]


class CopyRuleChanged(NamedTuple):
    """What the router may do with its own copies, as far as it knows all purges."""

    rule: object  # a CopyRule of the purge log
    missed_purges: object = None  # with READMIT: the set of purges that were missed


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
)
