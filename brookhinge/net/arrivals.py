"""When what is read now came at the earliest: deadlines count from there."""

import asyncio

STALL_S = 0.15  # between two turns of the loop, past which it stood still
PASSES = 4  # of the loop, until what lay there after a stall has been read


class Arrivals:
    """While the loop stands still, or nothing can be accepted, calls lie in the system and their clients' time runs.

    now(): seconds of a steady clock."""

    def __init__(self, now):
        self.now, self.turned_at, self.stalled_from, self.paused_at = now, now(), None, None

    def loop_turned(self):
        """Called every few hundredths of a second while the loop turns."""
        self.look_for_stall()
        self.turned_at = self.now()

    def look_for_stall(self):
        if self.now() - self.turned_at > STALL_S:
            self.stalled_from = self.turned_at
            self.turned_at = self.now()
            self.end_stall_after(PASSES)

    def end_stall_after(self, passes):
        """What lay there is read within so many passes of the loop; what is read later came later."""
        if passes:
            asyncio.get_running_loop().call_soon(self.end_stall_after, passes - 1)
        else:
            self.stalled_from = None

    def accept_failed(self):
        if self.paused_at is None:
            self.paused_at = self.turned_at

    def accepted_all(self):
        self.paused_at = None

    def of_read(self, accepted_from):
        """accepted_from: since when the connection may have waited, where this is the first that is read of it."""
        self.look_for_stall()
        known = [at for at in (self.stalled_from, accepted_from) if at is not None]
        return min(known, default=self.now())
