"""What fellows tell of servers and purges that tightens a rule: it binds at once and is remembered until the own command
channel has caught up. Nothing a fellow says loosens anything. No I/O, no clock.

A word is ("draining" or "gone", server, start) or ("purge", group, object, moment); start and moment are milliseconds
of the Unix clock as the command channel tells them, start 0 for a server that was there from the first, group -1 with
an object. Rows are those of the reducer: (server, health, weight, born, cell, kind, zone), born in seconds since this
router's own start, or None."""

WORSE = {"ready": 0, "draining": 1, "gone": 2}
HEARD, PURGES = 4096, 1024


class Tight:
    """start: this router's, in seconds of the Unix clock."""

    def __init__(self, start):
        self.start, self.rows, self.heard, self.purges = start, {}, {}, {}
        self.own, self.passed = (
            {},
            {},
        )  # what the own channel said last; starts that it took back from a drain

    def stamp(self, born):
        return round((born + self.start) * 1000) if born is not None else 0

    def told(self, row):
        """A row of the own channel: as it is to be used, and the word for the fellows, if it tightens."""
        server, health, born = row[0], row[1], self.stamp(row[3])
        before, heard = self.rows.get(server), self.heard.get(server)
        if heard and (heard[0] != born or WORSE[heard[1]] <= WORSE[health]):  # caught up, or another start
            heard = self.heard.pop(server) and None
        if (born, "draining") == self.own.get(server) and health == "ready":
            self.passed[server] = born
        self.own[server] = born, health
        news = health != "ready" and (before is None or before[1] != health or self.stamp(before[3]) != born)
        used = self.rows[server] = (server, heard[1], *row[2:]) if heard else row
        if health == "gone":
            for kept in (self.rows, self.own, self.passed):
                kept.pop(server, None)
        return used, (health, server, born) if news else None

    def absent(self, present):
        """Servers that a whole list of the own channel leaves out: their words."""
        out = [
            (server, self.stamp(self.rows.pop(server)[3]))
            for server in list(self.rows)
            if server not in present
        ]
        for server, _ in out:
            self.own.pop(server, None), self.passed.pop(server, None)
        return [("gone", server, born) for server, born in out]

    def hear(self, word):
        """A fellow's word: the row that now holds, or None if it changes nothing here."""
        kind, server, born = word
        if kind not in ("draining", "gone") or not isinstance(server, str):
            return None
        if kind == "draining" and self.passed.get(server) == born:
            return (
                None  # a drain that the own channel saw begin and end: a late word of it would hold for good
            )
        heard = self.heard.get(server)
        if heard is None or heard[0] == born and WORSE[heard[1]] < WORSE[kind] or heard[0] < born:
            self.heard[server] = born, kind
            if len(self.heard) > HEARD:
                del self.heard[next(iter(self.heard))]
        row = self.rows.get(server)
        if row is None or self.stamp(row[3]) != born or WORSE[row[1]] >= WORSE[kind]:
            return None
        row = self.rows[server] = (server, kind, *row[2:])
        return row

    def purge_is_new(self, group, object_, moment):
        """Whether a purge was heard of neither from the own channel nor from a fellow yet."""
        name = group, object_, moment
        if name in self.purges:
            return False
        self.purges[name] = None
        if len(self.purges) > PURGES:
            del self.purges[next(iter(self.purges))]
        return True
