"""Notices that the event loop stood still: the process was stopped, had no processor, or was busy for too long.

While it stands still, calls, cancels, answers and events of the command channel lie unread in the system, and deadlines run."""

import collections
import time
from typing import NamedTuple

# The loop is known to turn each 0.05 s. Longer than this between two turns, and it stood still.
STALL_S = 0.15
# The same for what may have come meanwhile: shorter gaps matter to nobody's deadline.
BLIND_S = 0.08
REMEMBERED = 64  # gaps


class Stall(NamedTuple):
    """A time during which the loop stood still, in seconds of the caller's clock."""

    began_at: float
    ended_at: float
    processor_s: float  # used by this process meanwhile: about as much as the stall if it was busy itself


class LoopWatch:
    """now(): seconds of a steady clock; processor_s(): seconds of processor time that this process has used.

    `tick` is called every few hundredths of a second by a timer, `turned` by whoever is about to rely on the present."""

    def __init__(self, now, processor_s=time.process_time, blind_s=BLIND_S):
        self.now, self.processor_s, self.blind_s = now, processor_s, blind_s
        self.turned_at, self.used_s = now(), processor_s()
        self.stalls, self.stalled_s = 0, 0.0  # since the start: how many, and their seconds
        self.last = None  # the latest Stall
        self.gaps = collections.deque(
            maxlen=REMEMBERED
        )  # (beginning, end) of the latest that count for arrivals
        self.listeners = []  # called with each Stall as it is noticed
        self.gap_listeners = []  # called with the end of each gap

    def begin(self):
        """The loop turns from now on: the time before, of the start, was no stall."""
        self.turned_at, self.used_s = self.now(), self.processor_s()

    def tick(self):
        self.turned()
        self.used_s = self.processor_s()

    def turned(self):
        """The loop turns now; a stall that ends with this is noticed."""
        before, self.turned_at = self.turned_at, self.now()
        if self.turned_at - before > self.blind_s:
            self.gaps.append((before, self.turned_at))
            for listener in self.gap_listeners:
                listener(self.turned_at)
        if self.turned_at - before > STALL_S:
            self.stalls += 1
            self.stalled_s += self.turned_at - before
            self.last = Stall(before, self.turned_at, self.processor_s() - self.used_s)
            for listener in self.listeners:
                listener(self.last)

    def stalled_since(self, at):
        """Whether the loop stood still at some time after that."""
        self.turned()
        return self.last is not None and self.last.ended_at > at

    def blind_from(self, at):
        """Since when something may have come that is read now, and was not there `at` that moment. None: just now."""
        self.turned()
        since = None
        for began, ended in reversed(self.gaps):
            if ended <= at:
                break
            since = max(at, began)
        return since
