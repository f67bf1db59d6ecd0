"""Settings of the decisions, as `brookhinge/decision_settings.py` reads them. Times are seconds."""

import enum
from typing import NamedTuple, Protocol


class Idempotency(enum.StrEnum):
    """Whether a request may be sent again that may already have run."""

    REPEATABLE = "repeatable"  # always
    KEYED = "keyed"  # where servers remember its idempotency key
    ONCE = "once"  # never


class DeduplicationScope(enum.StrEnum):
    """Which caches share the memory of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class SiblingFills(enum.StrEnum):
    """Which other caches a cache may fill from."""

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class NoteDetail(enum.StrEnum):
    """What caches tell of how they answered."""

    NONE = "none"
    HIT = "hit"  # whether it was a hit
    ALL = "all"  # also which part of a fill failed


class RequestClass(NamedTuple):
    """One kind of request."""

    name: str
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope  # of keyed requests
    deduplication_window_s: float  # how long caches remember a key
    latency_objective_s: float
    objective_stretch: float  # the objective grows by this multiple of the request's transfer time
    timeout_s: float
    utility: float
    late_share: float  # of the utility, for a response after the objective
    fresh_s: float  # 0: until purged
    stale_s: float  # how much older than fresh a copy may be when asked for
    stale_share: float  # of the utility, for such a copy
    uncacheable: bool  # runs at the origin and leaves no copy


class Location(NamedTuple):
    """Where this router stands and who else stands there."""

    zone: int
    routers_here: int
    routers: int
    number: int
    weights_known: bool  # False: a weight in the endpoint list says nothing


class RouterLimits(NamedTuple):
    """What a router may do here."""

    max_attempts: int
    probes: bool
    cancel: bool
    max_retry_after_s: float  # 0: no advice to clients


class FillPolicy(NamedTuple):
    """Where caches may fill from, and what is told of it."""

    siblings: SiblingFills
    allows_direct: bool  # requests may go straight to a parent or the origin
    joins_fills: bool
    notes: NoteDetail
    transfer_kb_s: float  # pace of one transfer to a client; 0: not told
    uplink_kb_s: float  # 0: not told


class SlowStart(NamedTuple):
    """How a kind of server warms up and what overloads it meanwhile."""

    initial_share: float  # of its capacity, at the start
    warm_up_s: float
    overload_multiple: float  # of what it can do now, sent in a window; 0: nothing overloads it
    window_s: float


class Machine(Protocol):
    """What the machine gives, and the pace of what a router sends from its own memory."""

    memory_mb: float
    flow_bytes_s: float  # of one transfer
    link_bytes_s: float  # of all together; 0: the router sends nothing by itself
