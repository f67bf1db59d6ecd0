"""Tries and failures of servers, as counted by each router. No I/O, no clock.

What goes over the wire are totals since a router's process began, with a number that rises: a datagram that comes twice,
late or out of order changes nothing. What acts is the growth of a total within the last T seconds; what came before the
first total that was heard is nobody's evidence, for its age is not known."""

from collections import deque

T = 4.0  # no evidence older than this acts
SLOTS = 0.5  # one total is kept for so long a stretch
LATE = 1.0  # a word that took so much longer than the quickest of its sender is not believed


class Book:
    """Totals heard of one router: server and start -> (when, tries, failed) rows, and the number of the last of them."""

    __slots__ = ("numbers", "quickest", "totals", "heard_at")

    def __init__(self):
        self.numbers, self.quickest, self.totals, self.heard_at = {}, None, {}, -1e9


class Evidence:
    def __init__(self):
        self.books = {}  # router's process -> Book

    def hear(self, now, router, number, stamp, rows):
        """rows: ((server, start), tries, failed) totals; stamp: seconds of the sender's clock at the sending."""
        book = self.books.setdefault(router, Book())
        took = now - stamp  # of two clocks: only differences of it mean anything
        if book.quickest is None or took < book.quickest:
            book.quickest = took
        if took - book.quickest > LATE:
            return
        book.heard_at = now
        for server, tries, failed in rows:
            if number <= book.numbers.get(server, 0):
                continue
            book.numbers[server] = number
            kept = book.totals.setdefault(server, deque())
            if kept and now - kept[-1][0] > T:  # a gap: what grew meanwhile has no age
                kept.clear()
            if kept and (tries < kept[-1][1] or failed < kept[-1][2]):
                continue  # totals never fall: not of this process
            if len(kept) > 1 and now - kept[-2][0] < SLOTS:
                kept[-1] = now, tries, failed
            else:
                kept.append((now, tries, failed))

    def of(self, server, now):
        """{router: (tries, failed)} of the last T seconds."""
        return {
            router: seen
            for router, book in self.books.items()
            if server in book.totals and (seen := grown(book.totals[server], now))[0] > 0
        }

    def servers(self, now):
        """All that anybody tried of late."""
        return {
            server
            for book in self.books.values()
            for server, kept in book.totals.items()
            if grown(kept, now)[0] > 0
        }

    def forget(self, now):
        for router, book in list(self.books.items()):
            if now - book.heard_at > 2 * T:
                del self.books[router]
                continue
            for server, kept in list(book.totals.items()):
                while len(kept) > 1 and now - kept[1][0] > T:
                    kept.popleft()
                if now - kept[-1][0] > 2 * T:
                    del book.totals[server], book.numbers[server]


def grown(kept, now):
    """By how much a row of totals grew within the last T seconds."""
    if not kept or now - kept[-1][0] > T:
        return 0, 0
    first = next(told for told in kept if now - told[0] <= T)
    return kept[-1][1] - first[1], kept[-1][2] - first[2]
