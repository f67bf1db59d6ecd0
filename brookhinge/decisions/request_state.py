"""What is remembered of a request that has no final response yet."""

import enum

from brookhinge.decisions.object_state import ObjectState
from brookhinge.decisions.rules import Ran
from brookhinge.decisions.settings import RequestClass
from brookhinge.decisions.sink import Retention


class FillKind(enum.Enum):
    """Where the server of an attempt takes the object from.

    Attributes:
        is_upstream: it is expected to come through the uplink.
        is_cached_only: the source is asked for what it holds, it fetches nothing itself.
    """

    NONE = "none", False, False  # from what it holds; a parent or the origin asked directly answers by itself
    HOLDER = "holder", False, False  # it served a copy lately; a source is named in case that is gone
    SIBLING = "sibling", False, True  # from another cache that holds it
    UPSTREAM = "upstream", True, False  # from a parent or the origin
    UPSTREAM_CACHED = "upstream_cached", True, True  # from a parent, if that holds it

    def __init__(self, label: str, is_upstream: bool, is_cached_only: bool) -> None:
        self.label = label
        self.is_upstream = is_upstream
        self.is_cached_only = is_cached_only


# An attribute of an enum class costs more than one of a module, and each request needs these.
_NO_FILL = FillKind.NONE
_NO_RETENTION = Retention.NONE


class RequestState:
    """A request, and how its last attempt was sent. Times are seconds.

    Attributes:
        class_index: index of its request class.
        deadline: when its client stops waiting.
        is_uncacheable: it runs at the origin and leaves no copy.
        transfer_s: what sending the response takes, by its size; 0: not known.
        retry_client: who may be given a place in the retry schedule, or None.
        priority_weight: the part of its class's utility that a response still earns.
        is_scheduled: it came at the time that it was given.
        attempts: how many were sent.
        server: index of the last attempt's server.
        source: index of the server it may fill from; the server itself where it may not fill.
        fill: where the last attempt takes the object from.
        failed_servers: servers that failed it.
        failed_sources: sources that failed it.
        may_have_run: its first attempt that may have run.
        is_withdrawn: its client has cancelled it or left.
        is_lookup_only: it is only looked for, not filled.
        lookup_missed: it was looked for and not found.
        parent_missed: its parent was asked for what it holds, and did not have it.
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
        """Whether the last attempt is expected to come through the uplink."""
        return self.fill.is_upstream

    @property
    def is_held(self) -> bool:
        """Whether the last attempt went to a server that served a copy lately."""
        return self.fill is FillKind.HOLDER

    @property
    def fills_from_nobody(self) -> bool:
        """Whether the last attempt's server could answer only by itself."""
        return self.source == self.server
