"""One router as a control machine's reader: what it was sent and has acknowledged. No I/O, no clock."""

from __future__ import annotations

import math

from brookhinge.purgelog.interfaces import Address
from brookhinge.purgelog.messages import Batch
from brookhinge.purgelog.positions import Position
from brookhinge.purgelog.roundtrip import smoothed

# Until a push that is not acknowledged is sent again.
FIRST_RETRY_S = 0.3
SHORTEST_RETRY_S = 0.06
LONGEST_RETRY_S = 0.4
RTT_MARGIN = 1.15  # of the round trip
RETRY_SLACK_S = 0.02
BACKOFF = 1.5  # of the round trip, when a retry was due


class Reader:
    """One router that reads here, and what it was sent and has acknowledged.

    Attributes:
        positions: acknowledged, of each source.
        fresh: it has just started and needs the heads, no history.
        sent, sent_at, sent_again: the last positions sent, when, and whether they were sent before.
        waits_since: for each source, since when an acknowledgement is awaited.
        echo, owed: its last message's number, and whether that awaits an answer.
        rtt_s: round trip estimate.
    """

    def __init__(
        self,
        name: str,
        process: int,
        session: int,
        address: Address,
        positions: list[Position],
        fresh: bool,
        now: float,
    ):
        self.name = name
        self.process = process
        self.session = session
        self.address = address
        self.positions = positions  # acknowledged
        self.fresh = fresh  # it has just started: it needs the heads and no history
        self.sent = list(positions)
        self.sent_at = -math.inf
        self.sent_again = [False] * len(positions)
        self.waits_since = [None] * len(
            positions
        )  # for each source: since when an acknowledgement is waited for
        self.heard_at = now
        # its last message, and whether that waits for an answer
        self.echo = 0
        self.owed = False
        self.rtt_s = None
        self.caught_up = False

    def retry_s(self) -> float:
        """Return after how many seconds an unacknowledged push is sent again."""
        if self.rtt_s is None:
            return FIRST_RETRY_S
        return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, RTT_MARGIN * self.rtt_s + RETRY_SLACK_S))

    def acknowledge(self, now: float, positions: list[Position], gap: bool) -> None:
        """Take acknowledged positions; with `gap` the reader asks again for what follows them."""
        self.fresh = False
        for source, position in enumerate(positions):
            if position > self.positions[source]:
                self.progress(now, source, position)
        if gap:
            for source in range(len(self.sent)):
                self.send_again(source)

    def progress(self, now: float, source: int, position: Position) -> None:
        """Take a later acknowledged position of one source."""
        self.positions[source] = position
        if position < self.sent[source]:
            self.waits_since[source] = now
            return
        self.sent[source] = position
        waited = self.waits_since[source]
        self.waits_since[source] = None
        again = self.sent_again[source]
        self.sent_again[source] = False
        if waited is not None and not again and self.sent_at == waited:
            self.measure(now)

    def measure(self, now: float) -> None:
        """Sample the round trip of the last push; what was sent twice does not count (Karn's rule)."""
        self.rtt_s = smoothed(self.rtt_s, now - self.sent_at)

    def send_again(self, source: int) -> None:
        """Send from the last acknowledged position on."""
        if self.sent[source] > self.positions[source]:
            self.sent[source] = self.positions[source]
            self.sent_again[source] = True
        self.waits_since[source] = None

    def retry_late(self, now: float) -> None:
        """Send again what was not acknowledged in time.

        The second time in a row the round trip may have been underestimated, and the estimate grows.
        """
        if now - self.sent_at < SHORTEST_RETRY_S:
            return
        again = any(self.sent_again)
        late = [s for s, at in enumerate(self.waits_since) if at is not None and now - at >= self.retry_s()]
        for source in late:
            self.send_again(source)
        if late and again and self.rtt_s is not None:
            self.rtt_s = min(LONGEST_RETRY_S, self.rtt_s * BACKOFF)

    def sending(self, now: float, batches: list[Batch]) -> None:
        """These go out now."""
        self.sent_at = now
        for batch in batches:
            self.sent[batch.source] = max(self.sent[batch.source], batch.end)
            if self.waits_since[batch.source] is None:
                self.waits_since[batch.source] = now


class LostReader:
    """A reader whose lease ended."""

    def __init__(self, reader: Reader, now: float):
        self.process = reader.process
        self.positions = reader.positions
        self.at = now
