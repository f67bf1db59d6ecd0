"""What a router missed while no control machine could lead it on. No I/O, no clock.

It is fetched as fingerprints of the purges, one datagram at a time.
"""

from collections import deque
from collections.abc import Iterable

from brookhinge.purgelog.log import FINGERPRINT_BYTES, group_fingerprint, object_fingerprint
from brookhinge.purgelog.messages import BackfillRequest, Horizon, Segment
from brookhinge.purgelog.positions import Position

PACE_S = 1.0  # between two requests: a segment of 256 entries takes 1.1 KB
TRIES = 2  # requests without an answer, then another machine is asked


class PurgeSet:
    """Fingerprints of purged objects and groups.

    An object that was purged is always found; one that was not is found by chance, once in 4 billion for each
    fingerprint.
    """

    def __init__(self, pieces: list[bytes]):
        joined = b"".join(pieces)
        self.prints = {joined[k : k + FINGERPRINT_BYTES] for k in range(0, len(joined), FINGERPRINT_BYTES)}

    def covers(self, key: str, group: int) -> bool:
        """Whether an object may be among the purged ones, by its key or its group."""
        return any(
            value.to_bytes(FINGERPRINT_BYTES, "big") in self.prints
            for value in (object_fingerprint(key), group_fingerprint(group))
        )


class Backfill:
    """The missed ranges of all sources, fetched from one control machine after another.

    Attributes:
        order: numbers of the control machines by preference.
        choice: index in `order` of the machine that is asked.
        ranges: [source, position reached, end] each.
        lost: no machine holds what is missing any more.
    """

    def __init__(self, order: list[int], choice: int, now: float):
        self.order = order
        self.choice = choice
        self.due_at = now
        self.ranges = deque()
        self.pieces: list[bytes] = []
        self.number = 0
        self.unanswered = 0
        self.refusals = set()
        self.lost = False

    def extend(self, missed: Iterable[tuple[int, Position, Position]]) -> None:
        """Add ranges to fetch: (source, position held, position to reach) each."""
        self.ranges.extend([source, held, end] for source, held, end in missed)

    def done(self) -> bool:
        """Whether all ranges have been fetched."""
        return not self.ranges

    def fingerprints(self) -> PurgeSet:
        """Return what was fetched."""
        return PurgeSet(self.pieces)

    def tick(self, now: float) -> tuple[int, BackfillRequest | None]:
        """Return the machine to ask and the request that is due, or None."""
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

    def receive(self, now: float, message: Segment | Horizon) -> None:
        """Take an answer; one to an earlier request does not count."""
        if message.number != self.number or not self.ranges:
            return
        self.unanswered = 0
        if isinstance(message, Segment):
            self.take(message)
        else:
            self.refuse(now)

    def take(self, segment: Segment) -> None:
        """Take a segment of the first range."""
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

    def refuse(self, now: float) -> None:
        """Ask another machine: this one no longer holds the entries."""
        self.refusals.add(self.order[self.choice])
        self.ask_next()
        self.due_at = now
        self.lost = len(self.refusals) == len(self.order)

    def ask_next(self) -> None:
        """Turn to the next machine."""
        self.choice = (self.choice + 1) % len(self.order)
        self.unanswered = 0
