"""Detects stalls of the event loop: the process was stopped, had no processor, or was busy for too long.

During a stall, calls, cancels, responses and events of the command channel lie unread in the system, and
deadlines run on.
"""

import collections
import time
from collections.abc import Callable
from typing import NamedTuple

# A sweep turns the loop every 0.05 s; a longer gap than this between two turns is a stall.
STALL_S = 0.15
# A gap that counts for receive times; shorter ones matter to nobody's deadline.
BLIND_S = 0.08
GAPS_KEPT = 64


class Stall(NamedTuple):
    """A time during which the loop stood still, in seconds of the caller's clock."""

    began_at: float
    ended_at: float
    processor_s: float  # used by this process meanwhile: near the length of the stall if it was busy itself


class LoopWatch:
    """Measures the gaps between turns of the loop.

    `tick` is called by a timer every few hundredths of a second, `turned` by whoever is about to rely on the
    present.

    Attributes:
        stalls: How many stalls there were since the start.
        stalled_s: Their seconds in all.
        last: The latest stall, or None.
        gaps: (beginning, end) of the latest gaps that count for receive times.
        listeners: Called with each stall as it is noticed.
        gap_listeners: Called with the end of each gap.
    """

    def __init__(
        self,
        now: Callable[[], float],
        processor_s: Callable[[], float] = time.process_time,
        blind_s: float = BLIND_S,
    ) -> None:
        """Watch from now on.

        Args:
            now: Seconds of a steady clock.
            processor_s: Seconds of processor time that this process has used.
            blind_s: The least gap that counts for receive times.
        """
        self.now = now
        self.processor_s = processor_s
        self.blind_s = blind_s
        self.turned_at = now()
        self.processor_used_s = processor_s()
        self.stalls = 0
        self.stalled_s = 0.0
        self.last: Stall | None = None
        self.gaps: collections.deque[tuple[float, float]] = collections.deque(maxlen=GAPS_KEPT)
        self.listeners: list[Callable[[Stall], None]] = []
        self.gap_listeners: list[Callable[[float], None]] = []

    def begin(self) -> None:
        """Count from now on: the time that the start took was no stall."""
        self.turned_at = self.now()
        self.processor_used_s = self.processor_s()

    def tick(self) -> None:
        """Note a turn of the loop, and the processor time used by then."""
        self.turned()
        self.processor_used_s = self.processor_s()

    def turned(self) -> None:
        """Note a turn of the loop; a stall that ends with it is reported to the listeners."""
        before = self.turned_at
        self.turned_at = self.now()
        if self.turned_at - before > self.blind_s:
            self.gaps.append((before, self.turned_at))
            for listener in self.gap_listeners:
                listener(self.turned_at)
        if self.turned_at - before > STALL_S:
            self.stalls += 1
            self.stalled_s += self.turned_at - before
            self.last = Stall(before, self.turned_at, self.processor_s() - self.processor_used_s)
            for listener in self.listeners:
                listener(self.last)

    def stalled_since(self, at: float) -> bool:
        """Whether a stall ended after that moment."""
        self.turned()
        return self.last is not None and self.last.ended_at > at

    def blind_from(self, at: float) -> float | None:
        """The earliest time at which something that is read now, and was not there at `at`, may have come.

        None: just now.
        """
        self.turned()
        since = None
        for began_at, ended_at in reversed(self.gaps):
            if ended_at <= at:
                break
            since = max(at, began_at)
        return since
