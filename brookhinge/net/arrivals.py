"""When what is read now came at the earliest: deadlines count from there."""

import asyncio

PASSES = 4  # of the loop, until what lay there after a stall has been read


class Arrivals:
    """While the loop stands still, or nothing can be accepted, calls lie in the system and their clients' time runs.

    watch: the LoopWatch of the loop."""

    def __init__(self, watch):
        self.watch, self.stalled_from, self.paused_at = watch, None, None
        watch.listeners.append(self.stalled)

    def stalled(self, stall):
        """What lay there as the loop went on may have come at the beginning of the stall."""
        if self.stalled_from is None:
            self.stalled_from = stall.began_at
        self.end_stall_after(PASSES)

    def end_stall_after(self, passes):
        """What lay there is read within so many passes of the loop; what is read later came later."""
        if passes:
            asyncio.get_running_loop().call_soon(self.end_stall_after, passes - 1)
        else:
            self.stalled_from = None

    def accept_failed(self):
        if self.paused_at is None:
            self.paused_at = self.watch.turned_at

    def accepted_all(self):
        self.paused_at = None

    def of_read(self, accepted_from):
        """accepted_from: since when the connection may have waited, where this is the first that is read of it."""
        self.watch.turned()
        known = [at for at in (self.stalled_from, accepted_from) if at is not None]
        return min(known, default=self.watch.now())
