"""State of one router that reads at a control machine. No I/O, no clock."""

from __future__ import annotations

import math

from brookhinge.purgelog.interfaces import Address
from brookhinge.purgelog.messages import Batch
from brookhinge.purgelog.positions import Position
from brookhinge.purgelog.roundtrip import smoothed

# Time until an unacknowledged push is sent again.
FIRST_RETRY_S = 0.3
MIN_RETRY_S = 0.06
MAX_RETRY_S = 0.4
RTT_MARGIN = 1.15  # factor applied to the round trip
RETRY_SLACK_S = 0.02
BACKOFF = 1.5  # growth factor of the round trip estimate after repeated retries


class Reader:
    """One router that reads here, and what it was sent and has acknowledged.

    Attributes:
        positions: acknowledged position of each source.
        fresh: whether the router has just started and needs the heads without history.
        is_foreign: whether its positions in this session are in logs that are gone.
        has_history: whether it had positions when it subscribed.
        sent: last position sent of each source.
        sent_at: time of the last push.
        resent: for each source, whether entries sent since the last full acknowledgement were sent again.
        unacked_since: for each source, the time since which an acknowledgement is awaited, or None.
        echo: number of the router's last message.
        answer_due: whether that message is still to be answered.
        rtt_s: round trip estimate, or None before the first sample.
        caught_up: whether the router has acknowledged all heads once since it subscribed.
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
        self.positions = positions
        self.fresh = fresh
        self.is_foreign = False
        self.has_history = not fresh
        self.sent = list(positions)
        self.sent_at = -math.inf
        self.resent = [False] * len(positions)
        self.unacked_since = [None] * len(positions)
        self.last_message_at = now
        self.echo = 0
        self.answer_due = False
        self.rtt_s = None
        self.caught_up = False

    def retry_s(self) -> float:
        """Return the time in seconds after which an unacknowledged push is sent again."""
        if self.rtt_s is None:
            return FIRST_RETRY_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, RTT_MARGIN * self.rtt_s + RETRY_SLACK_S))

    def acknowledge(self, now: float, positions: list[Position], gap: bool) -> None:
        """Record acknowledged positions; with `gap`, entries after them are sent again."""
        self.fresh = False
        for source, position in enumerate(positions):
            if position > self.positions[source]:
                self.progress(now, source, position)
        if gap:
            for source in range(len(self.sent)):
                self.rewind(source)

    def progress(self, now: float, source: int, position: Position) -> None:
        """Record a later acknowledged position of one source."""
        self.positions[source] = position
        if position < self.sent[source]:
            self.unacked_since[source] = now
            return
        self.sent[source] = position
        waited = self.unacked_since[source]
        self.unacked_since[source] = None
        again = self.resent[source]
        self.resent[source] = False
        if waited is not None and not again and self.sent_at == waited:
            self.sample_rtt(now)

    def sample_rtt(self, now: float) -> None:
        """Add the round trip of the last push to the estimate.

        The caller leaves out entries that were sent twice (Karn's algorithm).
        """
        self.rtt_s = smoothed(self.rtt_s, now - self.sent_at)

    def rewind(self, source: int) -> None:
        """Send again all entries after the last acknowledged position."""
        if self.sent[source] > self.positions[source]:
            self.sent[source] = self.positions[source]
            self.resent[source] = True
        self.unacked_since[source] = None

    def resend_overdue(self, now: float) -> None:
        """Send again entries that were not acknowledged in time.

        At a second retry in a row the round trip may be underestimated, so the estimate grows.
        """
        if now - self.sent_at < MIN_RETRY_S:
            return
        again = any(self.resent)
        late = [s for s, at in enumerate(self.unacked_since) if at is not None and now - at >= self.retry_s()]
        for source in late:
            self.rewind(source)
        if late and again and self.rtt_s is not None:
            self.rtt_s = min(MAX_RETRY_S, self.rtt_s * BACKOFF)

    def record_sent(self, now: float, batches: list[Batch]) -> None:
        """Record that batches are sent now."""
        self.sent_at = now
        for batch in batches:
            self.sent[batch.source] = max(self.sent[batch.source], batch.end)
            if self.unacked_since[batch.source] is None:
                self.unacked_since[batch.source] = now


class LostReader:
    """A reader whose lease ended."""

    def __init__(self, reader: Reader, now: float):
        self.process = reader.process
        self.positions = reader.positions
        self.at = now
