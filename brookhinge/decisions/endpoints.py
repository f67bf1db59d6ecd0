"""Table of the servers last listed by the command channel."""

import enum
from collections.abc import Iterable, Iterator

from brookhinge.decisions.messages import Endpoint
from brookhinge.decisions.rules import NEVER, READY_STATE, event_time, known_event_time

# Nothing that was sent to a server can still be in flight this long after it left the list, so that its index
# may be reused.
REUSE_AFTER_S = 30.0
GONE = "gone"


class ServerRole(enum.StrEnum):
    """Role of a server for this router."""

    CACHE = "cache"
    PARENT = "parent"  # cache servers fill from it
    ORIGIN = "origin"


class EndpointTable:
    """Stores the listed servers by dense index, one array per field. Times are seconds of the caller's clock.

    Attributes:
        index: Index of each server, by server id.
        ids: Server ids as used by the command channel.
        role: A `ServerRole`, or None before the first row of the server.
        state: Health as last listed; 'gone' for a server that is no longer listed.
        weight: Concurrent transfers at full speed; 0 if unknown.
        started_at: Start time of the server process as listed, or None if it has run from the beginning.
        warming_since: Start of the warm-up: `started_at`, corrected by the time of the listing where the
            clock that stamped it may be wrong. None if `started_at` is None.
        zone: Zone of the server.
        cell: Cell of the server.
        in_flight: Requests that this router has in flight to the server.
        emptied_at: When the server last lost its cached copies, by a restart, a drain or its removal.
        local_caches: Indices of the ready cache servers in this router's zone, ordered by server id.
        parents: Indices of all listed parents, ordered by server id.
        origins: Indices of all listed origins, ordered by server id.
        first_listed_at: When the first list arrived, or None before it. Earlier starts were not observed.
        newly_indexed: Indices that the last update assigned or reused.
        newly_emptied: Indices of the servers that lost their cached copies by the last update.
    """

    def __init__(self, parent_kind: str, origin_kind: str, zone: int) -> None:
        """Create an empty table.

        `parent_kind` and `origin_kind` are the kinds of parents and origins in the endpoint list; `zone` is
        the zone of this router.
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
        self.newly_emptied: list[int] = []
        self._members: dict[ServerRole, set[int]] = {role: set() for role in ServerRole}
        self._changed_roles: set[ServerRole] = set()  # whose members the current update has changed
        self._gone: dict[int, None] = {}  # indices of the servers that are gone, in the order of `emptied_at`
        self.first_listed_at: float | None = None
        self._newest_start = float("-inf")  # latest start time in the first list

    def update(self, now: float, is_complete: bool, endpoints: Iterable[Endpoint]) -> None:
        """Apply an endpoint list; a server missing from a complete list is marked as gone.

        An update costs what it changes: only a complete list passes over all servers.
        """
        self.newly_indexed = []
        self.newly_emptied = []
        if self.first_listed_at is None:
            self.first_listed_at = now
        if now == self.first_listed_at:
            starts = [row.started_at for row in endpoints if row.started_at is not None]
            self._newest_start = max([self._newest_start, *starts])
        listed = {self._update_row(now, row) for row in endpoints}
        if is_complete:
            for server, state in enumerate(self.state):
                if server not in listed and state != GONE:
                    self._remove_missing(now, server)
        self._sort_changed_roles()

    def is_ready_local_cache(self, server: int) -> bool:
        """Return whether a server is a ready cache server in this router's zone."""
        is_local = self.role[server] is ServerRole.CACHE and self.zone[server] == self.own_zone
        return is_local and self.state[server] == READY_STATE

    def _update_row(self, now: float, row: Endpoint) -> int:
        """Apply one row of the list; return the index of its server."""
        is_new = row.server not in self.index
        server = self._index_of(now, row.server)
        listed_as = self._listed_role(server)
        is_other_start = self.started_at[server] != row.started_at
        if row.state != READY_STATE or is_other_start:  # removed, drained or restarted: its copies are lost
            self._set_emptied(now, server)
        if is_other_start or is_new:
            self.warming_since[server] = self._effective_start(now, row.started_at)
        self.state[server] = row.state
        self.weight[server] = row.weight
        self.started_at[server] = row.started_at
        self.cell[server] = row.cell
        self.zone[server] = row.zone
        self.role[server] = self._role_of(row.kind)
        self._update_membership(server, listed_as)
        return server

    def _remove_missing(self, now: float, server: int) -> None:
        """Mark a server as gone that a complete list omits."""
        listed_as = self._listed_role(server)
        self.state[server] = GONE
        self._set_emptied(now, server)
        self._update_membership(server, listed_as)

    def _set_emptied(self, now: float, server: int) -> None:
        self.emptied_at[server] = now
        self.newly_emptied.append(server)

    def _listed_role(self, server: int) -> ServerRole | None:
        """Return the role in whose list of servers this one belongs, or None if it belongs in no list."""
        role = self.role[server]
        if role is ServerRole.CACHE:
            return role if self.is_ready_local_cache(server) else None
        return role if self.state[server] != GONE else None

    def _update_membership(self, server: int, previous: ServerRole | None) -> None:
        """Move a server from the list that it belonged in before to the one that it belongs in now."""
        self._gone.pop(server, None)
        if self.state[server] == GONE:
            self._gone[server] = None
        current = self._listed_role(server)
        if current is previous:
            return
        if previous is not None:
            self._members[previous].discard(server)
            self._changed_roles.add(previous)
        if current is not None:
            self._members[current].add(server)
            self._changed_roles.add(current)

    def _role_of(self, kind: str) -> ServerRole:
        if kind == self.parent_kind:
            return ServerRole.PARENT
        return ServerRole.ORIGIN if kind == self.origin_kind else ServerRole.CACHE

    def _index_of(self, now: float, server: int | str) -> int:
        """Return a server's index; a new server reuses the index of a removed one, to bound the arrays."""
        server_index = self.index.get(server)
        if server_index is None:
            server_index = next(self._reusable_indices(now), len(self.ids))
            if server_index < len(self.ids):
                self.index.pop(self.ids[server_index], None)
            self._reset(server_index, server)
            self.index[server] = server_index
            self.newly_indexed.append(server_index)
        return server_index

    def _reusable_indices(self, now: float) -> Iterator[int]:
        """Yield the indices that a new server may reuse; those of the servers gone longest come first."""
        for server in self._gone:
            if now - self.emptied_at[server] <= REUSE_AFTER_S:
                return
            if not self.in_flight[server]:
                yield server

    def _reset(self, server_index: int, server: int | str) -> None:
        """Initialize an existing index, or the one past the end, for a new server."""
        for array, initial in (
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
            array[server_index : server_index + 1] = [initial]

    def _effective_start(self, now: float, started_at: float | None) -> float | None:
        """Return the time from which a server that was just listed counts as started; None if not known.

        For servers in the first list only the time stamps are known, so they are compared with one another. A
        server that first appears in a later list was not there before.
        """
        if started_at is None:
            return None
        if now == self.first_listed_at:
            return known_event_time(now, started_at, self._newest_start)
        return event_time(now, started_at)

    def _sort_changed_roles(self) -> None:
        """Make new lists for the roles whose members have changed; the other lists stay the same objects."""
        if ServerRole.CACHE in self._changed_roles:
            self.local_caches = self._sorted_members(ServerRole.CACHE)
        if ServerRole.PARENT in self._changed_roles:
            self.parents = self._sorted_members(ServerRole.PARENT)
        if ServerRole.ORIGIN in self._changed_roles:
            self.origins = self._sorted_members(ServerRole.ORIGIN)
        self._changed_roles.clear()

    def _sorted_members(self, role: ServerRole) -> list[int]:
        return sorted(self._members[role], key=self.ids.__getitem__)
