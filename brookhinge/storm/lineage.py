"""Which query is a client's retry of which. No I/O, no clock.

A retry carries a new id. It is known by what can be seen: the same object, part and track, from the same connection or
the same address, after an earlier try that was refused, failed or forgotten, or that is still out. A guess can be wrong,
so what it leads to is harmless: a query beside one that is out gets that one's answer, which is the one it asked for; a
query after one that was not served counts less only once the first try's contract time has passed; and behind an
address with many connections (a proxy, a school) the connection alone tells who somebody is."""

from collections import OrderedDict
from typing import NamedTuple

OUT = "out"
NEW, AGAIN, BESIDE = "new", "again", "beside"
MANY = 4  # connections open from one address, past which an address tells nobody from another


class Seen(NamedTuple):
    """What a new query is. since: seconds since its first try came; beside: the query that is out for it, or None."""

    kind: str
    since: float
    beside: int


FRESH = Seen(NEW, 0.0, None)


class Try:
    __slots__ = ("first_at", "at", "state", "query", "connection", "tries")

    def __init__(self, first_at, at, query, connection, tries):
        self.first_at, self.at, self.state, self.query = first_at, at, OUT, query
        self.connection, self.tries = connection, tries


class Lineage:
    """remember_s: how long after its end a try is looked for; most: tries remembered, the oldest end first. Memory is
    bounded by `most`, and what is remembered ends by itself: no sweep is needed, a stale entry is judged when it is met
    and the oldest make room."""

    def __init__(self, remember_s=15.0, most=8192):
        self.remember_s, self.most = remember_s, most
        self.tries, self.of_query, self.open_from = OrderedDict(), {}, {}
        self.counts = dict(new=0, again=0, beside=0)

    def connected(self, address):
        self.open_from[address] = self.open_from.get(address, 0) + 1

    def disconnected(self, address):
        left = self.open_from.get(address, 0) - 1
        if left > 0:
            self.open_from[address] = left
        else:
            self.open_from.pop(address, None)

    def who(self, address, connection):
        return ("connection", connection) if self.open_from.get(address, 0) > MANY else ("address", address)

    def asked(self, now, query, address, connection, name):
        """A query has come. name: (track, object, part). Remembers it and tells what it is."""
        key = self.who(address, connection), name
        known = self.tries.get(key)
        if known is None:
            self.tries[key] = Try(now, now, query, connection, 1)
            self.of_query[query] = key
            if len(self.tries) > self.most:
                self.forget_oldest()
            self.counts[NEW] += 1
            return FRESH
        if known.state != OUT and not 0 <= now - known.at <= self.remember_s:
            known = None  # too long ago, or the clock has stepped
        if known is not None and known.state == OUT:
            self.counts[BESIDE] += 1
            return Seen(BESIDE, max(0.0, now - known.first_at), known.query)
        first_at = now if known is None else known.first_at
        self.tries[key] = Try(first_at, now, query, connection, 1 if known is None else known.tries + 1)
        self.tries.move_to_end(key)
        self.of_query[query] = key
        kind = NEW if known is None else AGAIN
        self.counts[kind] += 1
        return Seen(kind, max(0.0, now - first_at), None)

    def forget_oldest(self):
        _, old = self.tries.popitem(last=False)
        self.of_query.pop(old.query, None)

    def ended(self, now, query, state):
        """A query is over: None if it was served, else how: 'refused', 'failed' or 'forgotten'."""
        key = self.of_query.pop(query, None)
        known = self.tries.get(key)
        if known is None or known.query != query:
            return
        if state is None:
            del self.tries[key]
        else:
            known.state, known.at = state, now
