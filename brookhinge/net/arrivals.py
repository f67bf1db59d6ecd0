"""When what is read now came at the earliest: deadlines count from there."""

import asyncio

PASSES = 4  # of the loop, until what lay on open connections after a gap has been read


class Arrivals:
    """While the loop stands still, or nothing can be accepted, calls lie in the system and their clients' time runs. What is read
    came after the last look that found its connection empty; a connection that is accepted, after the last such look at the
    backlog.

    watch: the LoopWatch of the loop."""

    def __init__(self, watch):
        self.watch, self.paused_at, self.none_waited_at = watch, None, watch.now()
        self.read_until = watch.now()  # what came by then on open connections has been read
        watch.gap_listeners.append(lambda ended_at: self.reads_on(ended_at, PASSES))

    def reads_on(self, ended_at, passes):
        """So many passes after a gap, with none between them, all is read that lay on open connections at its end."""
        if passes:
            asyncio.get_running_loop().call_soon(self.reads_on, ended_at, passes - 1)
        elif self.watch.gaps[-1][1] == ended_at:
            self.read_until = ended_at

    def accept_failed(self):
        if self.paused_at is None:
            self.paused_at = self.watch.turned_at

    def accepted_all(self):
        self.paused_at, self.none_waited_at = None, self.watch.now()

    def of_accept(self):
        """Since when a connection that is accepted now may have waited, with a call on it; None: it did not wait."""
        return earliest(self.paused_at, self.watch.blind_from(self.none_waited_at))

    def of_read(self, emptied_at, accepted_from):
        """emptied_at: when its connection was last seen empty; accepted_from: of_accept(), where this lay there as it was
        accepted, else None."""
        came = earliest(self.watch.blind_from(max(emptied_at, self.read_until)), accepted_from)
        return self.watch.now() if came is None else came


def earliest(*moments):
    """The first of those that are known, or None."""
    return min((at for at in moments if at is not None), default=None)
