"""The table of servers as the command channel last listed them. It decides nothing; no I/O, no clock."""

from brookhinge.decisions.rules import event_time, known_event_time

# Seconds after which nothing sent to a server that is gone can still be in flight: its index may be given to another.
REUSE_AFTER_S = 30.0


class Fleet:
    """Listed servers under a dense index, one array for each figure. Times are seconds of the caller's clock.

    ids        as the command channel names them
    role       'cache', 'parent' or 'origin'
    state      health as last listed; 'gone' for a server that left
    weight     transfers at full pace, where told
    born       start of the server's process as listed, or None for one that was there from the first
    cold_from  since when it counts as started: `born`, or when it was listed if that is another clock's time
    zone, cell where it stands
    inflight   queries that this router has there now
    forgot_at  when it last lost what it held: at a restart, a drain or its end
    own        indices of the caches that are ready in this router's zone, in order of their ids, as are
    parents    and
    origins    all listed ones
    fresh      indices first used, or used anew, by the last update"""

    def __init__(self, kinds, here):
        """kinds: what the list calls parents and origins; here: this router's zone."""
        (self.parent_kind, self.origin_kind), self.here, self.index = kinds, here, {}
        self.ids, self.role, self.state, self.weight, self.born, self.cold_from = [], [], [], [], [], []
        self.first_at = None  # when the first list came: starts before it were not watched
        self.newest_born = float("-inf")  # the latest start of those that it tells of
        self.zone, self.cell, self.inflight, self.forgot_at = [], [], [], []
        self.own, self.parents, self.origins, self.fresh = [], [], [], []

    def index_of(self, now, server):
        """A server's index; a newcomer takes that of one long gone, or the arrays would grow."""
        c = self.index.get(server)
        if c is None:
            c = next((c for c in range(len(self.ids)) if self.is_reusable(c, now)), len(self.ids))
            if c < len(self.ids):
                self.index.pop(self.ids[c], None)
            self.reset(c, server)
            self.index[server] = c
            self.fresh.append(c)
        return c

    def is_reusable(self, c, now):
        """Whether another server may take this index."""
        unused = self.state[c] == "gone" and not self.inflight[c]
        return unused and now - self.forgot_at[c] > REUSE_AFTER_S

    def reset(self, c, server):
        """Gives an index, maybe one past the last, to a server of which nothing is known."""
        for array, first in (
            (self.ids, server),
            (self.role, ""),
            (self.state, "gone"),
            (self.weight, 0.0),
            (self.born, None),
            (self.cold_from, None),
            (self.zone, -1),
            (self.cell, 0),
            (self.inflight, 0),
            (self.forgot_at, -1e9),
        ):
            array[c : c + 1] = [first]

    def update(self, now, is_complete, rows):
        """Takes a list of `Endpoint`. A server that a complete one leaves out is gone."""
        self.fresh = []
        self.first_at = now if self.first_at is None else self.first_at
        if now == self.first_at:
            self.newest_born = max([self.newest_born, *(row[3] for row in rows if row[3] is not None)])
        listed = {self.take_row(now, *row) for row in rows}
        if is_complete:
            for c in range(len(self.ids)):
                if c not in listed and self.state[c] != "gone":
                    self.state[c], self.forgot_at[c] = "gone", now
        self.group_by_role()

    def take_row(self, now, server, health, weight, born, cell, kind, zone):
        """One server of a list; its index."""
        c = self.index_of(now, server)
        if health != "ready" or self.born[c] != born:  # left, drained or restarted: what it held is gone
            self.forgot_at[c] = now
        if self.born[c] != born or c in self.fresh:
            self.cold_from[c] = self.start_of(now, born)
        self.state[c], self.weight[c], self.born[c] = health, weight, born
        self.cell[c], self.zone[c] = cell, zone
        self.role[c] = {self.origin_kind: "origin", self.parent_kind: "parent"}.get(kind, "cache")
        return c

    def start_of(self, now, born):
        """Since when a server counts as started that was listed just now. Of those in the first list nothing but their
        stamps is known, beside one another; a later one was not there before."""
        if born is None:
            return None
        if now == self.first_at:
            return known_event_time(now, born, self.newest_born)
        return event_time(now, born)

    def group_by_role(self):
        """Lists the indices of each role anew, in the order of the ids."""
        listed = [c for c, state in enumerate(self.state) if state != "gone"]
        listed.sort(key=self.ids.__getitem__)
        self.own = [c for c in listed if self.is_own_cache(c)]
        self.parents = [c for c in listed if self.role[c] == "parent"]
        self.origins = [c for c in listed if self.role[c] == "origin"]

    def is_own_cache(self, c):
        """Whether it is a ready cache of this router's zone."""
        return self.role[c] == "cache" and self.zone[c] == self.here and self.state[c] == "ready"
