"""State of a request that has no final response yet."""

import enum

from brookhinge.decisions.object_state import ObjectState
from brookhinge.decisions.rules import Ran
from brookhinge.decisions.settings import RequestClass
from brookhinge.decisions.sink import Retention


class FillKind(enum.Enum):
    """Where the server of an attempt gets the object from.

    Attributes:
        is_upstream: Whether the object is expected to come through the uplink.
        is_cached_only: Whether the source may answer only from its cache.
    """

    NONE = "none", False, False  # its own cache; a parent or the origin that is asked directly answers itself
    HOLDER = "holder", False, False  # its own cache, as a known holder; the source is for a copy that is gone
    SIBLING = "sibling", False, True  # another cache that holds the object
    UPSTREAM = "upstream", True, False  # a parent or the origin
    UPSTREAM_CACHED = "upstream_cached", True, True  # a parent, only if it holds the object

    def __init__(self, label: str, is_upstream: bool, is_cached_only: bool) -> None:
        self.label = label
        self.is_upstream = is_upstream
        self.is_cached_only = is_cached_only


# Module globals are cheaper to look up than enum members, and every request uses these.
_NO_FILL = FillKind.NONE
_NO_RETENTION = Retention.NONE


class RequestState:
    """State of a request and of its last attempt. Times are seconds.

    Attributes:
        class_index: Index of its request class.
        deadline: When the client stops waiting.
        is_uncacheable: Whether it is executed at the origin and no copy is stored.
        transfer_s: Transfer time of the response, estimated from its size; 0 if not known.
        retry_client: Holder of reservations in the retry schedule, or None.
        priority_weight: Fraction of its class's utility that a response can still earn.
        is_scheduled: Whether it is a retry that arrived at its reserved time.
        attempts: Number of attempts sent.
        server: Index of the last attempt's server.
        source: Index of the last attempt's fill source; the server itself if it may not fill.
        fill: Where the server of the last attempt gets the object from.
        failed_servers: Indices of the servers that failed the request.
        failed_sources: Indices of the fill sources that failed the request.
        may_have_run: Its first attempt that may have been executed, or None.
        is_withdrawn: Whether the client has cancelled it or disconnected.
        is_lookup_only: Whether it may only be answered from a cache, without a fill.
        lookup_missed: Whether a cache lookup without a fill has missed.
        parent_missed: Whether its parent was asked for a cached copy and had none.
    """

    __slots__ = (
        "attempts",
        "class_index",
        "deadline",
        "failed_servers",
        "failed_sources",
        "fill",
        "is_lookup_only",
        "is_scheduled",
        "is_uncacheable",
        "is_withdrawn",
        "lookup_missed",
        "may_have_run",
        "object",
        "parent_missed",
        "priority_weight",
        "request_class",
        "request_id",
        "retention",
        "retry_client",
        "sent_at",
        "server",
        "source",
        "transfer_s",
    )

    def __init__(
        self,
        request_id: int,
        class_index: int,
        request_class: RequestClass,
        state: ObjectState,
        *,
        now: float,
        timeout_s: float,
        is_uncacheable: bool,
        transfer_s: float,
        retry_client: object = None,
    ) -> None:
        self.request_id = request_id
        self.class_index = class_index
        self.request_class = request_class
        self.object = state
        self.deadline = now + timeout_s
        self.is_uncacheable = is_uncacheable
        self.transfer_s = transfer_s
        self.retry_client = retry_client
        self.priority_weight = 1.0
        self.is_scheduled = False
        self.attempts = 0
        self.server: int | None = None
        self.source: int | None = None
        self.sent_at = now
        self.retention = _NO_RETENTION
        self.fill = _NO_FILL
        self.failed_servers: set[int] = set()
        self.failed_sources: set[int] = set()
        self.may_have_run: Ran | None = None
        self.is_withdrawn = False
        self.is_lookup_only = False
        self.lookup_missed = False
        self.parent_missed = False

    @property
    def fills_upstream(self) -> bool:
        """Return whether the response to the last attempt is expected to come through the uplink."""
        return self.fill.is_upstream

    @property
    def was_sent_to_holder(self) -> bool:
        """Return whether the last attempt went to a cache that served a copy recently."""
        return self.fill is FillKind.HOLDER

    @property
    def has_no_fill_source(self) -> bool:
        """Return whether the last attempt named no fill source besides the server itself."""
        return self.source == self.server
