"""What a router that has just started is told by a peer of its place: sub-ranges of the beacon rings, what queries take, and
which caches hold what is asked for most. No I/O, no clock. It loosens nothing: a cache is asked for what it holds with the
oldest copy that will do as ever, and a wrong hint costs a miss.

    memory.round(now, inbox, writer)
    known()                             rows of what this router knows: (kind, text, number, text, number, number) each
    writer.post_event(WarmStartReceived(rows))   what a peer knows, in pieces"""

import xxhash

from brookhinge.decision_records import Doc
from brookhinge.decisions.messages import WarmStartReceived
from brookhinge.engine import events
from brookhinge.membership.view import ALIVE

AGAIN_S, TRIES = 0.5, 6
ROWS, MOST = 10, 200  # in one datagram; in all


class Memory:
    methods, look = ("recall", "memory"), None

    def __init__(self, view, name, zone, version, known, now):
        self.view, self.name, self.zone, self.version, self.known = view, name, zone, version, known
        self.at, self.tries, self.done, self.shrinks_at = now, 0, False, float("inf")

    def next_at(self):
        return self.at if not self.done else float("inf")

    def round(self, now, inbox, writer):
        for sender, method, values, rows in inbox:
            place = next((i for i, uid in enumerate(self.view.uid) if uid == sender), None)
            if method == "recall" and place is not None and self.done:
                told = self.known()[:MOST]
                for at in range(0, len(told), ROWS):
                    writer.post_to(place, "memory", (at, len(told)), told[at : at + ROWS])
            elif method == "memory" and self.tries and rows:
                self.done = True
                writer.post_event(events.WarmStartReceived([tuple(row) for row in rows]))
        if not self.done and now >= self.at:
            self.ask(now, writer)

    def ask(self, now, writer):
        """One peer after another, until one answers; whoever has nobody to ask has begun with the others."""
        self.at = now + AGAIN_S
        v = self.view
        peers = [
            i
            for i in range(len(v.names))
            if v.state[i] == ALIVE
            and v.zone[i] == self.zone
            and v.version[i] == self.version
            and v.names[i] != self.name
        ]
        self.tries += 1
        if self.tries > TRIES:
            self.done = True
        elif peers:
            order = sorted(peers, key=lambda i: xxhash.xxh64_intdigest(f"{self.name} {v.names[i]}".encode()))
            writer.post_to(order[self.tries % len(order)], "recall", (0, 0), [])

    def tell(self, now, writer):
        """Nothing here ends by itself."""


class Remembering:
    """Goes before Router: beside its messages it takes `WarmStartReceived`, and `memory()` tells what a peer may want."""

    def memory(self):
        rows = [
            ("ring", self.fleet.ids[points[0]], len(points), "", ends[0], ends[1])
            for points, ends, _ in self.rings.rings
            if len(points) in (2, 3)
        ]
        rows += [
            ("takes", track.name, 0, "", mean, count)
            for track, mean, count in zip(self.request_classes, self.sending, self.known)
        ]
        hot = sorted(
            (doc for doc in self.docs.values() if self.holders(doc) and len(doc.key) <= 64),
            key=lambda doc: -doc.count,
        )
        return rows + [
            ("holder", doc.key, doc.part, self.fleet.ids[c], doc.group, doc.count)
            for doc in hot[:MOST]
            for c in doc.holders
        ]

    def handle(self, message):
        if isinstance(message, WarmStartReceived):
            self.remember(message.rows)
        else:
            super().handle(message)

    def remember(self, rows):
        """What it has learnt itself by now goes before what it is told."""
        for kind, name, number, other, one, two in rows:
            if kind == "ring":
                for points, ends, _ in self.rings.rings:
                    if (
                        self.fleet.ids[points[0]] == name
                        and len(points) == number
                        and 0 < one <= two <= ends[-1]
                    ):
                        ends[:-1] = [one, two][: number - 1]
            elif kind == "takes":
                for t, track in enumerate(self.request_classes):
                    if track.name == name and two > self.known[t] and one > 0.0:
                        self.sending[t], self.known[t] = one, two
            elif kind == "holder":
                c = self.fleet.index.get(other)
                if c in self.fleet.own and len(self.docs) < self.most and not self.purged_lately(name, one):
                    doc = self.docs.get((name, number)) or self.docs.setdefault(
                        (name, number), Doc(name, number, one)
                    )
                    doc.holders.setdefault(c, self.now)
                    doc.count = max(doc.count, two / 2.0)

    def purged_lately(self, key, group):
        return key in self.groups or group in self.groups
