"""Estimates the earliest time at which a call may have been received; its deadline counts from there."""

import asyncio

from brookhinge.engine.loop_watch import LoopWatch

CATCH_UP_PASSES = 4  # event loop passes after a gap until each open connection with bytes has been read from


class ReceiveTimes:
    """Estimates when calls were received, erring on the early side.

    During a stall of the event loop, or while no connection can be accepted, calls wait in the kernel and
    their timeouts run. Bytes that are read now were received after the last check that found their
    connection empty; a connection that is accepted now arrived after the last check that found the backlog
    empty.
    """

    def __init__(self, watch: LoopWatch) -> None:
        """Start estimating from the event loop gaps that `watch` detects."""
        self._watch = watch
        self._accept_failing_since: float | None = None
        self._backlog_empty_at = watch.now()
        self._all_read_until = watch.now()  # bytes received on open connections by then have been read
        watch.gap_listeners.append(lambda ended_at: self._count_down(ended_at, CATCH_UP_PASSES))

    def _count_down(self, gap_ended_at: float, passes: int) -> None:
        """Count down event loop passes after a gap.

        Once they are over without another gap, all bytes that waited on open connections have been read.
        """
        if passes:
            asyncio.get_running_loop().call_soon(self._count_down, gap_ended_at, passes - 1)
            return
        _, latest_gap_ended_at = self._watch.gaps[-1]
        if latest_gap_ended_at == gap_ended_at:
            self._all_read_until = gap_ended_at

    def note_accept_failed(self) -> None:
        """Note that connections cannot be accepted for now."""
        if self._accept_failing_since is None:
            self._accept_failing_since = self._watch.last_iteration_at

    def note_backlog_empty(self) -> None:
        """Note that every connection that arrived until now is accepted."""
        self._accept_failing_since = None
        self._backlog_empty_at = self._watch.now()

    def waiting_since(self) -> float | None:
        """Return since when a connection accepted now may have waited in the backlog; None if it did not."""
        return earliest(self._accept_failing_since, self._watch.earliest_arrival(self._backlog_empty_at))

    def received_at(
        self, last_empty_at: float, waiting_since: float | None, *, had_more: bool = False
    ) -> float:
        """Return the earliest time at which bytes that are read now may have been received.

        Args:
            last_empty_at: Time of the last check that found their connection empty.
            had_more: Whether the connection may have had more bytes when it was last read; they may have
                waited for longer than it takes to read all others.
            waiting_since: `waiting_since()` of the connection if the bytes may have arrived before it was
                accepted, else None.
        """
        empty_at = last_empty_at if had_more else max(last_empty_at, self._all_read_until)
        blind_since = self._watch.earliest_arrival(empty_at)
        received_at = earliest(blind_since, waiting_since)
        return self._watch.now() if received_at is None else received_at


def earliest(*times: float | None) -> float | None:
    """Return the earliest of the times that are not None, or None if all are."""
    return min((at for at in times if at is not None), default=None)
