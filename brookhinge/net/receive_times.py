"""The earliest time at which what is read now may have been received: deadlines count from there."""

import asyncio

from brookhinge.engine.loop_watch import LoopWatch

SETTLING_PASSES = 4  # of the loop, until what lay on open connections after a gap has been read


class ReceiveTimes:
    """Estimates when calls were received, to the safe side.

    While the loop stands still, or nothing can be accepted, calls lie in the system and their clients' time
    runs. What is read was received after the last look that found its connection empty; a connection that
    is accepted, after the last look that found the backlog empty.
    """

    def __init__(self, watch: LoopWatch) -> None:
        """Follow the gaps that `watch` notices of the loop."""
        self._watch = watch
        self._accept_failing_since: float | None = None
        self._backlog_empty_at = watch.now()
        self._all_read_until = watch.now()  # what came by then on open connections has been read
        watch.gap_listeners.append(lambda ended_at: self._settle(ended_at, SETTLING_PASSES))

    def _settle(self, gap_ended_at: float, passes: int) -> None:
        """Count passes after a gap.

        With no other gap between them, all that lay on open connections has been read then.
        """
        if passes:
            asyncio.get_running_loop().call_soon(self._settle, gap_ended_at, passes - 1)
            return
        _, latest_gap_ended_at = self._watch.gaps[-1]
        if latest_gap_ended_at == gap_ended_at:
            self._all_read_until = gap_ended_at

    def note_accept_failed(self) -> None:
        """Note that nothing can be accepted for a while."""
        if self._accept_failing_since is None:
            self._accept_failing_since = self._watch.last_iteration_at

    def note_backlog_empty(self) -> None:
        """Note that every connection that came until now is accepted."""
        self._accept_failing_since = None
        self._backlog_empty_at = self._watch.now()

    def waiting_since(self) -> float | None:
        """Return since when a connection accepted now may have waited; None if it did not."""
        return earliest(self._accept_failing_since, self._watch.earliest_arrival(self._backlog_empty_at))

    def received_at(self, emptied_at: float, accepted_from: float | None) -> float:
        """Return when what is read now was received at the earliest.

        Args:
            emptied_at: When its connection was last seen empty.
            accepted_from: `waiting_since()` of its connection, if the bytes lay there as it was accepted,
                else None.
        """
        blind_since = self._watch.earliest_arrival(max(emptied_at, self._all_read_until))
        received_at = earliest(blind_since, accepted_from)
        return self._watch.now() if received_at is None else received_at


def earliest(*times: float | None) -> float | None:
    """Return the first of those times that are known, or None."""
    return min((at for at in times if at is not None), default=None)
