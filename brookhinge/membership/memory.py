"""What a router that has just started is told by a peer of its place: sub-ranges of the beacon rings, what queries take, and
which caches hold what is asked for most. No I/O, no clock. It loosens nothing: a cache is asked for what it holds with the
oldest copy that will do as ever, and a wrong hint costs a miss.

    memory.round(now, inbox, writer)
    known()                             rows of what this router knows: (kind, text, number, text, number, number) each
    writer.event_of("remember", rows)   what a peer knows, in pieces"""

import xxhash

from brookhinge.decisions.messages import WarmStartReceived
from brookhinge.membership.view import ALIVE

AGAIN_S, TRIES = 0.5, 6
ROWS, MOST = 10, 200  # in one datagram; in all
LONGEST_KEY = 64  # of objects whose holders are told
# Kinds of rows.
RING = "ring"
TRANSFER_TIME = "takes"
HOLDER = "holder"


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
                writer.event_of("remember", [tuple(row) for row in rows])
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
    """Goes before Router: it also takes `WarmStartReceived`, and `memory` tells what a peer may want."""

    def handle(self, message):
        """Handles one message."""
        if isinstance(message, WarmStartReceived):
            for kind, *row in message.rows:
                if kind == RING:
                    self._learn_ring(*row)
                elif kind == TRANSFER_TIME:
                    self._learn_transfer_time(*row)
                elif kind == HOLDER:
                    self._learn_holder(*row)
        else:
            super().handle(message)

    def memory(self):
        """Returns rows of what this router knows: (kind, text, number, text, number, number) each."""
        ids = self.endpoints.ids
        rows = [
            (RING, ids[ring.points[0]], len(ring.points), "", ring.range_ends[0], ring.range_ends[1])
            for ring in self.rings.rings
            if len(ring.points) in (2, 3)
        ]
        rows += [
            (TRANSFER_TIME, one.name, 0, "", mean_s, samples)
            for one, mean_s, samples in zip(
                self.request_classes, self.statistics.transfer_s, self.statistics.samples
            )
        ]
        wanted = sorted(
            (
                state
                for state in self.objects.states.values()
                if self.eligibility.current_holders(state, self.now) and len(state.key) <= LONGEST_KEY
            ),
            key=lambda state: -state.count,
        )
        return rows + [
            (HOLDER, state.key, state.part, ids[c], state.group, state.count)
            for state in wanted[:MOST]
            for c in state.holders
        ]

    def _learn_ring(self, first, points, _, one, two):
        """Takes over the sub-ranges of a ring that has the same points here."""
        for ring in self.rings.rings:
            is_same = self.endpoints.ids[ring.points[0]] == first and len(ring.points) == points
            if is_same and 0 < one <= two <= ring.range_ends[-1]:
                ring.range_ends[:-1] = [one, two][: points - 1]

    def _learn_transfer_time(self, name, _, __, mean_s, samples):
        """Takes over a class's mean transfer time where the peer has counted more requests."""
        statistics = self.statistics
        for i, one in enumerate(self.request_classes):
            if one.name == name and samples > statistics.samples[i] and mean_s > 0.0:
                statistics.transfer_s[i] = mean_s
                statistics.samples[i] = samples

    def _learn_holder(self, key, part, server, group, count):
        """Takes over a holder of an object, unless that was purged lately."""
        c = self.endpoints.index.get(server)
        objects = self.objects
        was_purged = self.purges.is_known(key) or self.purges.is_known(group)
        if c in self.endpoints.local_caches and len(objects.states) < objects.max_objects and not was_purged:
            state = objects.get_or_add(key, part, group)
            state.holders.setdefault(c, self.now)
            state.count = max(state.count, count / 2.0)
