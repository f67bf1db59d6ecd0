"""Copies in the router's own memory, for requests that no cache can answer in time.

They leave one by one on the router's link: none is promised that would come late. It could harm where others
need that link.
"""

from collections.abc import Iterable
from typing import NamedTuple

from brookhinge.decisions.messages import StoredCopy
from brookhinge.decisions.object_state import ObjectState
from brookhinge.decisions.sink import DecisionSink

MEMORY_SHARE = 0.12
BYTES_PER_MB = 1e6
AGE_MARGIN_S = 0.1

CopyName = tuple[int, int]  # request class, code of the object


class LocalCopy(NamedTuple):
    """One copy in memory."""

    object: ObjectState
    made_at: float
    size_bytes: int


class LocalCache:
    """The copies held, those used last at the end. Bodies are the sink's: here stand their names."""

    def __init__(self, memory_mb: float = 0.0, flow_bytes_s: float = 0.0, link_bytes_s: float = 0.0) -> None:
        """Start empty; without memory or a link nothing is held.

        `flow_bytes_s` is the pace of one transfer, `link_bytes_s` that of the router's link.
        """
        self.capacity_bytes = memory_mb * MEMORY_SHARE * BYTES_PER_MB
        self.flow_bytes_s = flow_bytes_s
        self.link_bytes_s = link_bytes_s
        self.copies: dict[CopyName, LocalCopy] = {}
        self.size_bytes = 0
        self._link_free_at = 0.0

    def keep(
        self, name: CopyName, state: ObjectState, copy: StoredCopy, request_id: int, sink: DecisionSink
    ) -> None:
        """Keep the copy that a request has just been answered with; those not used for longest make room."""
        self.drop([name], sink)
        self.copies[name] = LocalCopy(state, copy.made_at, copy.size_bytes)
        self.size_bytes += copy.size_bytes
        sink.keep_copy(request_id, name)
        while self.size_bytes > self.capacity_bytes:
            self.drop([next(iter(self.copies))], sink)

    def drop(self, names: Iterable[CopyName], sink: DecisionSink) -> None:
        """Drop the copies held under any of these names."""
        for name in self.copies.keys() & names:
            self.size_bytes -= self.copies.pop(name).size_bytes
            sink.drop_copy(name)

    def drop_purged(self, key: str, group: int, sink: DecisionSink) -> None:
        """Drop the copies of a purged object, or else of a purged group."""
        purged = [name for name, copy in self.copies.items() if copy.object.is_covered_by_purge(key, group)]
        self.drop(purged, sink)

    def reserve(self, name: CopyName, now: float, max_age_s: float, time_left_s: float) -> bool:
        """Whether a copy not older than that can be sent in the time left.

        If so, its place on the link is taken.
        """
        copy = self.copies.get(name)
        if copy is None or not copy.size_bytes * self.link_bytes_s:
            return False
        if 0.0 < max_age_s < now - copy.made_at + AGE_MARGIN_S:
            return False
        sent_at = max(now, self._link_free_at) + copy.size_bytes / self.link_bytes_s
        if max(copy.size_bytes / self.flow_bytes_s, sent_at - now) > time_left_s:
            return False
        self._link_free_at = sent_at
        self.copies[name] = self.copies.pop(name)
        return True
