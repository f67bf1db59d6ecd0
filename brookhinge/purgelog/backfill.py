"""Backfill of the purges that a router missed while it was cut off. No I/O, no clock.

They are fetched as fingerprints, one datagram at a time.
"""

from collections import deque
from collections.abc import Iterable

from brookhinge.purgelog.log import FINGERPRINT_BYTES, group_fingerprint, object_fingerprint
from brookhinge.purgelog.messages import BackfillRequest, Horizon, Segment
from brookhinge.purgelog.positions import Position

REQUEST_INTERVAL_S = 1.0  # between two requests; a segment of 256 entries takes 1.1 KB
MAX_UNANSWERED = 2  # consecutive requests without an answer before the next machine is asked


class PurgeSet:
    """Fingerprints of purged objects and groups.

    There are no false negatives. The probability of a false positive is 1 in 4 billion per fingerprint.
    """

    def __init__(self, pieces: list[bytes]):
        joined = b"".join(pieces)
        self.fingerprints = {
            joined[k : k + FINGERPRINT_BYTES] for k in range(0, len(joined), FINGERPRINT_BYTES)
        }

    def covers(self, key: str, group: int) -> bool:
        """Whether an object may have been purged, by its key or its group."""
        return any(
            value.to_bytes(FINGERPRINT_BYTES, "big") in self.fingerprints
            for value in (object_fingerprint(key), group_fingerprint(group))
        )


class Backfill:
    """Fetches the missed ranges of all sources from one control machine after another.

    Attributes:
        order: numbers of the control machines by preference.
        choice: index in `order` of the current machine.
        due_at: time of the next request.
        ranges: ranges still to fetch, as [source, position reached, end].
        pieces: fingerprints fetched so far.
        unanswered: number of consecutive requests without an answer.
        refusals: numbers of the machines that no longer hold the next entries.
        lost: whether no machine holds the missing entries any more.
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
        """Add ranges to fetch, as (source, position held, position to reach)."""
        self.ranges.extend([source, held, end] for source, held, end in missed)

    def done(self) -> bool:
        """Whether all ranges have been fetched."""
        return not self.ranges

    def fingerprints(self) -> PurgeSet:
        """Return the fingerprints fetched so far."""
        return PurgeSet(self.pieces)

    def tick(self, now: float) -> tuple[int, BackfillRequest | None]:
        """Return the current machine and the request to send to it, or None if none is due."""
        if now < self.due_at or not self.ranges:
            return self.order[self.choice], None
        if self.unanswered == MAX_UNANSWERED:
            self.select_next_machine()
        machine = self.order[self.choice]
        self.due_at = now + REQUEST_INTERVAL_S
        self.unanswered += 1
        self.number += 1
        source, held, _ = self.ranges[0]
        return machine, BackfillRequest(self.number, source, *held)

    def receive(self, now: float, message: Segment | Horizon) -> None:
        """Handle an answer; answers to earlier requests are ignored."""
        if message.number != self.number or not self.ranges:
            return
        self.unanswered = 0
        if isinstance(message, Segment):
            self.receive_segment(message)
        else:
            self.receive_horizon(now)

    def receive_segment(self, segment: Segment) -> None:
        """Store a segment of the first range."""
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

    def receive_horizon(self, now: float) -> None:
        """Ask the next machine, since this one no longer holds the entries."""
        self.refusals.add(self.order[self.choice])
        self.select_next_machine()
        self.due_at = now
        self.lost = len(self.refusals) == len(self.order)

    def select_next_machine(self) -> None:
        """Make the next machine in the order the current one."""
        self.choice = (self.choice + 1) % len(self.order)
        self.unanswered = 0
