"""The table of servers as the command channel last listed them."""

import enum
from collections.abc import Iterable

from brookhinge.decisions.messages import Endpoint
from brookhinge.decisions.rules import NEVER, READY_STATE, event_time, known_event_time

# Seconds after which nothing sent to a server that is gone can still be in flight: its index may be given to
# another.
REUSE_AFTER_S = 30.0
GONE = "gone"


class ServerRole(enum.StrEnum):
    """What a server does for this router."""

    CACHE = "cache"
    PARENT = "parent"  # caches fill from it
    ORIGIN = "origin"


class EndpointTable:
    """Listed servers under a dense index, one array for each figure. Times are seconds of the caller's clock.

    Attributes:
        index: the index of each server id.
        ids: server ids as the command channel names them.
        role: a `ServerRole`, or None before the first row.
        state: health as last listed; 'gone' for a server that left.
        weight: transfers at full pace, where told.
        started_at: start of the server's process as listed, or None for one that was there from the first.
        warming_since: since when it counts as started: `started_at`, or when it was listed if that is
            another clock's time.
        zone: the zone it stands in.
        cell: the cell it stands in.
        in_flight: requests that this router has there now.
        emptied_at: when it last lost what it held: at a restart, a drain or its end.
        local_caches: indices of the caches that are ready in this router's zone, in order of their ids.
        parents: indices of all listed parents, in order of their ids.
        origins: indices of all listed origins, in order of their ids.
        first_listed_at: when the first list came: starts before it were not watched.
        newly_indexed: indices first used, or used anew, by the last update.
    """

    def __init__(self, parent_kind: str, origin_kind: str, zone: int) -> None:
        """Start with no servers.

        `parent_kind` and `origin_kind` are what the list calls parents and origins, `zone` is this router's.
        """
        self.parent_kind = parent_kind
        self.origin_kind = origin_kind
        self.own_zone = zone
        self.index: dict[int | str, int] = {}
        self.ids: list[int | str] = []
        self.role: list[ServerRole | None] = []
        self.state: list[str] = []
        self.weight: list[float] = []
        self.started_at: list[float | None] = []
        self.warming_since: list[float | None] = []
        self.zone: list[int] = []
        self.cell: list[int] = []
        self.in_flight: list[int] = []
        self.emptied_at: list[float] = []
        self.local_caches: list[int] = []
        self.parents: list[int] = []
        self.origins: list[int] = []
        self.newly_indexed: list[int] = []
        self.first_listed_at: float | None = None
        self._newest_start = float("-inf")  # the latest start that the first list tells of

    def update(self, now: float, is_complete: bool, endpoints: Iterable[Endpoint]) -> None:
        """Take a list; a server that a complete one leaves out is gone."""
        self.newly_indexed = []
        if self.first_listed_at is None:
            self.first_listed_at = now
        if now == self.first_listed_at:
            starts = [row.started_at for row in endpoints if row.started_at is not None]
            self._newest_start = max([self._newest_start, *starts])
        listed = {self._take(now, row) for row in endpoints}
        if is_complete:
            for server, state in enumerate(self.state):
                if server not in listed and state != GONE:
                    self.state[server] = GONE
                    self.emptied_at[server] = now
        self._group_by_role()

    def is_ready_local_cache(self, server: int) -> bool:
        """Whether it is a ready cache of this router's zone."""
        is_local = self.role[server] is ServerRole.CACHE and self.zone[server] == self.own_zone
        return is_local and self.state[server] == READY_STATE

    def _take(self, now: float, row: Endpoint) -> int:
        """Take one row; return its index."""
        server = self._index_of(now, row.server)
        is_other_start = self.started_at[server] != row.started_at
        if row.state != READY_STATE or is_other_start:  # left, drained or restarted: what it held is gone
            self.emptied_at[server] = now
        if is_other_start or server in self.newly_indexed:
            self.warming_since[server] = self._effective_start(now, row.started_at)
        self.state[server] = row.state
        self.weight[server] = row.weight
        self.started_at[server] = row.started_at
        self.cell[server] = row.cell
        self.zone[server] = row.zone
        self.role[server] = self._role_of(row.kind)
        return server

    def _role_of(self, kind: str) -> ServerRole:
        if kind == self.parent_kind:
            return ServerRole.PARENT
        return ServerRole.ORIGIN if kind == self.origin_kind else ServerRole.CACHE

    def _index_of(self, now: float, server: int | str) -> int:
        """Return a server's index; a newcomer takes that of one long gone, or the arrays would grow."""
        server_index = self.index.get(server)
        if server_index is None:
            server_index = next(
                (
                    server_index
                    for server_index in range(len(self.ids))
                    if self._is_reusable(server_index, now)
                ),
                len(self.ids),
            )
            if server_index < len(self.ids):
                self.index.pop(self.ids[server_index], None)
            self._reset(server_index, server)
            self.index[server] = server_index
            self.newly_indexed.append(server_index)
        return server_index

    def _is_reusable(self, server: int, now: float) -> bool:
        is_unused = self.state[server] == GONE and not self.in_flight[server]
        return is_unused and now - self.emptied_at[server] > REUSE_AFTER_S

    def _reset(self, server_index: int, server: int | str) -> None:
        """Give an index, maybe one past the last, to a server of which nothing is known."""
        for array, first in (
            (self.ids, server),
            (self.role, None),
            (self.state, GONE),
            (self.weight, 0.0),
            (self.started_at, None),
            (self.warming_since, None),
            (self.zone, -1),
            (self.cell, 0),
            (self.in_flight, 0),
            (self.emptied_at, NEVER),
        ):
            array[server_index : server_index + 1] = [first]

    def _effective_start(self, now: float, started_at: float | None) -> float | None:
        """Since when a server counts as started that was listed just now.

        Of those in the first list nothing but their stamps is known, beside one another; a later one was not
        there before.
        """
        if started_at is None:
            return None
        if now == self.first_listed_at:
            return known_event_time(now, started_at, self._newest_start)
        return event_time(now, started_at)

    def _group_by_role(self) -> None:
        listed = [server for server, state in enumerate(self.state) if state != GONE]
        listed.sort(key=self.ids.__getitem__)
        self.local_caches = [server for server in listed if self.is_ready_local_cache(server)]
        self.parents = [server for server in listed if self.role[server] is ServerRole.PARENT]
        self.origins = [server for server in listed if self.role[server] is ServerRole.ORIGIN]
