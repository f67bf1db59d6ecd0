"""Detects stalls of the event loop: the process was stopped, got no CPU time or was busy for too long.

During a stall, requests, cancels, responses and commands remain unread in socket buffers while deadlines keep
running.
"""

import collections
import time
from collections.abc import Callable
from typing import NamedTuple

# The service's sweep timer wakes the loop every 0.05 s; a gap longer than this is a stall.
STALL_S = 0.15
# Shortest gap that is considered in estimates of receive times; shorter gaps do not affect deadlines.
MIN_GAP_S = 0.08
MAX_GAPS = 64


class Stall(NamedTuple):
    """A period in which the loop did not run. Times are seconds of the clock passed to `LoopWatch`."""

    began_at: float
    ended_at: float
    processor_s: float  # CPU time used by this process; near the length of the stall if it was busy itself


class LoopWatch:
    """Measures the gaps between iterations of the event loop.

    `tick` is called by a timer every few hundredths of a second, `record_iteration` by code that is about to
    depend on the current time.

    Attributes:
        last_iteration_at: Time of the last recorded iteration.
        stalls: Number of stalls since the start.
        stalled_s: Total seconds of the stalls.
        last_stall: The latest stall, or None.
        gaps: (start, end) of the latest gaps that are considered in estimates of receive times.
        stall_listeners: Called with each stall when it is detected.
        gap_listeners: Called with the end of each gap.
    """

    def __init__(
        self,
        now: Callable[[], float],
        processor_s: Callable[[], float] = time.process_time,
        min_gap_s: float = MIN_GAP_S,
    ) -> None:
        """Start watching.

        Args:
            now: Returns seconds of a steady clock.
            processor_s: Returns the seconds of CPU time that this process has used.
            min_gap_s: Shortest gap in seconds that is considered in estimates of receive times.
        """
        self.now = now
        self.processor_s = processor_s
        self.min_gap_s = min_gap_s
        self.last_iteration_at = now()
        self.processor_used_s = processor_s()
        self.stalls = 0
        self.stalled_s = 0.0
        self.last_stall: Stall | None = None
        self.gaps: collections.deque[tuple[float, float]] = collections.deque(maxlen=MAX_GAPS)
        self.stall_listeners: list[Callable[[Stall], None]] = []
        self.gap_listeners: list[Callable[[float], None]] = []

    def begin(self) -> None:
        """Restart the measurement, so that the startup of the process does not count as a stall."""
        self.last_iteration_at = self.now()
        self.processor_used_s = self.processor_s()

    def tick(self) -> None:
        """Record an iteration of the loop, and the CPU time used so far."""
        self.record_iteration()
        self.processor_used_s = self.processor_s()

    def record_iteration(self) -> None:
        """Record an iteration of the loop, and report a stall that ends with it to the listeners."""
        before = self.last_iteration_at
        self.last_iteration_at = self.now()
        if self.last_iteration_at - before > self.min_gap_s:
            self.gaps.append((before, self.last_iteration_at))
            for listener in self.gap_listeners:
                listener(self.last_iteration_at)
        if self.last_iteration_at - before > STALL_S:
            self.stalls += 1
            self.stalled_s += self.last_iteration_at - before
            self.last_stall = Stall(
                before, self.last_iteration_at, self.processor_s() - self.processor_used_s
            )
            for listener in self.stall_listeners:
                listener(self.last_stall)

    def stalled_since(self, at: float) -> bool:
        """Return whether a stall ended after time `at`."""
        self.record_iteration()
        return self.last_stall is not None and self.last_stall.ended_at > at

    def earliest_arrival(self, at: float) -> float | None:
        """Return the earliest possible arrival time of data that is read now and had not arrived at `at`.

        None if there was no gap since `at`, so that the data has just arrived.
        """
        self.record_iteration()
        since = None
        for began_at, ended_at in reversed(self.gaps):
            if ended_at <= at:
                break
            since = max(at, began_at)
        return since
