"""Settings of the decisions, as read by `brookhinge/decision_settings.py`. Times are seconds."""

import enum
from typing import NamedTuple, Protocol


class Idempotency(enum.StrEnum):
    """When a request that may already have been executed may be sent again."""

    REPEATABLE = "repeatable"  # always
    KEYED = "keyed"  # only to servers that remember its idempotency key
    ONCE = "once"  # never


class DeduplicationScope(enum.StrEnum):
    """Which caches share their record of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class SiblingFills(enum.StrEnum):
    """Which other caches a cache may fill from."""

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class NoteDetail(enum.StrEnum):
    """What caches report about how they answered a request."""

    NONE = "none"
    HIT = "hit"  # whether it was a cache hit
    ALL = "all"  # also which part of a fill failed


class RequestClass(NamedTuple):
    """Settings of one class of requests."""

    name: str
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope  # applies to keyed requests
    deduplication_window_s: float  # how long caches remember an idempotency key
    latency_objective_s: float
    objective_stretch: float  # the objective is extended by this multiple of the request's transfer time
    timeout_s: float
    utility: float
    late_share: float  # fraction of the utility earned by a response after the objective
    fresh_s: float  # how long a copy stays fresh; 0: until it is purged
    stale_s: float  # how much longer a stale copy may be served to a request that accepts one
    stale_share: float  # fraction of the utility earned by a stale copy
    uncacheable: bool  # executed at the origin; no copy is stored


class Location(NamedTuple):
    """The zone of this router, and how many routers there are."""

    zone: int
    routers_here: int  # in this router's location
    routers: int  # in all locations
    number: int
    weights_known: bool  # whether the weights in the endpoint list are meaningful


class RouterLimits(NamedTuple):
    """Limits and permissions of a router."""

    max_attempts: int
    probes: bool
    cancel: bool
    max_retry_after_s: float  # 0: rejections contain no retry time


class FillPolicy(NamedTuple):
    """Where caches may fill from, and what is known about fills."""

    siblings: SiblingFills
    allows_direct: bool  # requests may be sent directly to a parent or the origin
    joins_fills: bool  # a request may wait for a fill of the same object that is in progress
    notes: NoteDetail
    transfer_kb_s: float  # rate of one transfer to a client; 0: not known
    uplink_kb_s: float  # 0: not known


class SlowStart(NamedTuple):
    """How the servers of one role warm up, and how much load overloads them meanwhile."""

    initial_share: float  # fraction of the full capacity at the start
    warm_up_s: float
    overload_multiple: float  # of the current capacity, sent within a window; 0: cannot be overloaded
    window_s: float


class Machine(Protocol):
    """The router's memory, and the rates at which it can send copies from it."""

    memory_mb: float
    flow_bytes_s: float  # rate of one transfer
    link_bytes_s: float  # rate of all transfers together; 0: the router serves no copies itself
