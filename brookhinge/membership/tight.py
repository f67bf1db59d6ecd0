"""What peers tell of servers and purges that tightens a rule: it binds at once and is remembered until the own command
channel has caught up. Nothing a peer says loosens anything. No I/O, no clock.

A notice is ("draining" or "gone", server, start) or ("purge", group, object, moment); start and moment are milliseconds
of the Unix clock as the command channel tells them, start 0 for a server that was there from the first, group -1 with
an object. Rows are `Endpoint` of the decisions, their start in seconds since this
router's own start, or None."""

WORSE = {"ready": 0, "draining": 1, "gone": 2}
RECEIVED_KEPT, PURGES_KEPT = 4096, 1024


class Tight:
    """start: this router's, in seconds of the Unix clock."""

    def __init__(self, start):
        self.start, self.rows, self.received, self.purges = start, {}, {}, {}
        self.own, self.passed = (
            {},
            {},
        )  # what the own channel said last; starts that it took back from a drain

    def stamp(self, born):
        return round((born + self.start) * 1000) if born is not None else 0

    def receive_row(self, row):
        """A row of the own channel: as it is to be used, and the notice for the peers, if it tightens."""
        server, health, born = row[0], row[1], self.stamp(row[3])
        before, received = self.rows.get(server), self.received.get(server)
        if received and (
            received[0] != born or WORSE[received[1]] <= WORSE[health]
        ):  # caught up, or another start
            received = self.received.pop(server) and None
        if (born, "draining") == self.own.get(server) and health == "ready":
            self.passed[server] = born
        self.own[server] = born, health
        news = health != "ready" and (before is None or before[1] != health or self.stamp(before[3]) != born)
        used = self.rows[server] = row._replace(state=received[1]) if received else row
        if health == "gone":
            for kept in (self.rows, self.own, self.passed):
                kept.pop(server, None)
        return used, (health, server, born) if news else None

    def absent(self, present):
        """Servers that a whole list of the own channel leaves out: their notices."""
        out = [
            (server, self.stamp(self.rows.pop(server)[3]))
            for server in list(self.rows)
            if server not in present
        ]
        for server, _ in out:
            self.own.pop(server, None), self.passed.pop(server, None)
        return [("gone", server, born) for server, born in out]

    def receive_notice(self, notice):
        """A peer's notice: the row that now holds, or None if it changes nothing here."""
        kind, server, born = notice
        if kind not in ("draining", "gone") or not isinstance(server, str):
            return None
        if kind == "draining" and self.passed.get(server) == born:
            return None  # a drain that the own channel saw begin and end: a late notice of it would hold for good
        received = self.received.get(server)
        if received is None or received[0] == born and WORSE[received[1]] < WORSE[kind] or received[0] < born:
            self.received[server] = born, kind
            if len(self.received) > RECEIVED_KEPT:
                del self.received[next(iter(self.received))]
        row = self.rows.get(server)
        if row is None or self.stamp(row[3]) != born or WORSE[row[1]] >= WORSE[kind]:
            return None
        row = self.rows[server] = row._replace(state=kind)
        return row

    def purge_is_new(self, group, object_, moment):
        """Whether a purge was received neither from the own channel nor from a peer yet."""
        name = group, object_, moment
        if name in self.purges:
            return False
        self.purges[name] = None
        if len(self.purges) > PURGES_KEPT:
            del self.purges[next(iter(self.purges))]
        return True
