"""Copies in the router's own memory, for requests that no cache server can answer in time.

Copies are sent one after another over the router's link, and one that would arrive late is not promised. This
can do harm where other traffic needs the link.
"""

from collections.abc import Iterable
from typing import NamedTuple

from brookhinge.decisions import memory_limits
from brookhinge.decisions.messages import StoredCopy
from brookhinge.decisions.object_state import ObjectState
from brookhinge.decisions.purge_index import PurgeIndex
from brookhinge.decisions.sink import DecisionSink

AGE_MARGIN_S = 0.1

CopyName = tuple[int, int]  # (index of the request class, code of the object)


class LocalCopy(NamedTuple):
    """One copy in the router's memory."""

    object: ObjectState
    made_at: float
    size_bytes: int
    group: int = (
        0  # purge group of the request that it answered; requests that name another one do not get it
    )


class LocalCache:
    """Index of the copies in memory, least recently used first. The sink stores the bodies."""

    def __init__(self, memory_mb: float = 0.0, flow_bytes_s: float = 0.0, link_bytes_s: float = 0.0) -> None:
        """Create an empty index; without memory or a link, no copies are kept.

        `flow_bytes_s` is the rate of a single transfer, `link_bytes_s` that of the router's link.
        """
        self.capacity_bytes = memory_limits.max_copy_bytes(memory_mb)
        self.flow_bytes_s = flow_bytes_s
        self.link_bytes_s = link_bytes_s
        self.copies: dict[CopyName, LocalCopy] = {}
        self.size_bytes = 0
        self._purge_index: PurgeIndex[CopyName] = PurgeIndex()
        self._link_free_at = 0.0

    def keep(
        self, name: CopyName, state: ObjectState, copy: StoredCopy, request_id: int, sink: DecisionSink
    ) -> None:
        """Keep the copy that a request was just answered with, and evict the least recently used ones."""
        self.drop([name], sink)
        self.copies[name] = LocalCopy(state, copy.made_at, copy.size_bytes, state.group)
        self._purge_index.add(state.key, state.group, name)
        self.size_bytes += copy.size_bytes
        sink.keep_copy(request_id, name)
        while self.size_bytes > self.capacity_bytes:
            self.drop([next(iter(self.copies))], sink)

    def drop(self, names: Iterable[CopyName], sink: DecisionSink) -> None:
        """Drop the copies with any of these names."""
        for name in self.copies.keys() & names:
            copy = self.copies.pop(name)
            self._purge_index.remove(copy.object.key, copy.group, name)
            self.size_bytes -= copy.size_bytes
            sink.drop_copy(name)

    def drop_purged(self, key: str, group: int, sink: DecisionSink) -> None:
        """Drop the copies of a purged object, or of a purged group if `key` is empty."""
        self.drop(self._purge_index.covered(key, group), sink)

    def reserve(self, name: CopyName, now: float, max_age_s: float, time_left_s: float) -> bool:
        """Return whether a copy of at most `max_age_s` can be sent in `time_left_s`; if so, reserve the link.

        A `max_age_s` of 0 accepts a copy of any age.
        """
        copy = self.copies.get(name)
        if copy is None or not copy.size_bytes * self.link_bytes_s or copy.group != copy.object.group:
            return False
        if 0.0 < max_age_s < now - copy.made_at + AGE_MARGIN_S:
            return False
        sent_by = max(now, self._link_free_at) + copy.size_bytes / self.link_bytes_s
        if max(copy.size_bytes / self.flow_bytes_s, sent_by - now) > time_left_s:
            return False
        self._link_free_at = sent_by
        self.copies[name] = self.copies.pop(name)
        return True
