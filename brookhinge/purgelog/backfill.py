"""What a router missed while no machine could lead it on: fetched as fingerprints of the purges, one datagram at a time.
No I/O, no clock."""

from collections import deque

from brookhinge.purgelog.log import FINGERPRINT_BYTES, group_fingerprint, object_fingerprint
from brookhinge.purgelog.messages import BackfillRequest, Segment
from brookhinge.purgelog.positions import Position

PACE_S = 1.0  # between two requests: a segment of 256 entries takes 1.1 KB
TRIES = 2  # requests without an answer, then another machine is asked


class PurgeSet:
    """Fingerprints of purged objects and groups. An object that was purged is always found; one that was not is found by
    chance: once in 4 billion for each fingerprint."""

    def __init__(self, pieces):
        joined = b"".join(pieces)
        self.prints = {joined[k : k + FINGERPRINT_BYTES] for k in range(0, len(joined), FINGERPRINT_BYTES)}

    def covers(self, key, group):
        return any(
            value.to_bytes(FINGERPRINT_BYTES, "big") in self.prints
            for value in (object_fingerprint(key), group_fingerprint(group))
        )


class Backfill:
    """ranges: [source, position reached, end] each. order: control machines by preference."""

    def __init__(self, order, choice, now):
        self.order = order
        self.choice = choice
        self.due_at = now
        self.ranges = deque()
        self.pieces = []
        self.number = 0
        self.unanswered = 0
        self.refusals = set()
        self.lost = False

    def extend(self, missed):
        """More to fetch: (source, position held, position to reach) each."""
        self.ranges.extend([source, held, end] for source, held, end in missed)

    def done(self):
        return not self.ranges

    def fingerprints(self):
        return PurgeSet(self.pieces)

    def tick(self, now):
        """(machine, request) where one is due; (machine, None) else."""
        if now < self.due_at or not self.ranges:
            return self.order[self.choice], None
        if self.unanswered == TRIES:
            self.ask_next()
        machine = self.order[self.choice]
        self.due_at = now + PACE_S
        self.unanswered += 1
        self.number += 1
        source, held, _ = self.ranges[0]
        return machine, BackfillRequest(self.number, source, *held)

    def receive(self, now, message):
        if message.number != self.number or not self.ranges:
            return
        self.unanswered = 0
        if isinstance(message, Segment):
            self.take(message)
        else:
            self.refuse(now)

    def take(self, segment):
        source, held, end = self.ranges[0]
        through = Position(segment.epoch, segment.index)
        if segment.source != source or through <= held:
            return
        self.refusals.clear()
        self.pieces.append(segment.fingerprints)
        if through >= end:
            self.ranges.popleft()
        else:
            self.ranges[0][1] = through

    def refuse(self, now):
        """The machine no longer holds it; another one may."""
        self.refusals.add(self.order[self.choice])
        self.ask_next()
        self.due_at = now
        self.lost = len(self.refusals) == len(self.order)

    def ask_next(self):
        self.choice = (self.choice + 1) % len(self.order)
        self.unanswered = 0
