"""Graceful shutdown: from SIGTERM to exit, with an answer to every request."""

import asyncio
from collections.abc import Callable

from brookhinge.engine.lifecycle import Lifecycle, Phase
from brookhinge.net.client_connections import ClientConnections
from brookhinge.net.lingering_closes import LINGER_S

DRAIN_S = 0.7  # connections and requests are still accepted for this long after SIGTERM
# After DRAIN_S open requests may run to their deadline, but at most this long; includes CLOSE_RESERVE_S.
MAX_FINISH_S = 3.0
CLOSE_RESERVE_S = 0.25  # time reserved to fail the remaining requests and send those answers
CHECK_INTERVAL_S = 0.005  # interval of the checks for remaining work
EXIT_MARGIN_S = 0.02  # between the last read and the earliest time at which the process may be killed
MIN_FINAL_READ_S = 0.03  # input buffered by the kernel is read for at least this long, even after a stall


class GracefulShutdown:
    """Drains the router and finishes its open requests once a shutdown is requested.

    The process may be killed when DRAIN_S plus the longest request timeout have passed. Requests that are
    still open shortly before that are failed.

    Attributes:
        is_requested: Whether a shutdown was requested, possibly before the router was ready.
        deadline: Time by `now` at which requests that are still open are failed.
        done: Set once no work is left or the deadline has passed.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        lifecycle: Lifecycle,
        has_open_work: Callable[[], bool],
        fail_open_requests: Callable[[], None],
        client_connections: ClientConnections,
        longest_deadline_s: float,
    ) -> None:
        """Prepare for a shutdown that may be requested at any time.

        Args:
            now: Returns the seconds since the router started.
            lifecycle: Lifecycle of the process.
            has_open_work: Returns whether events, open requests or connections in the backlog are left.
            fail_open_requests: Answers every open request with an error, and rejects later requests.
            client_connections: Client connections, which are still read during the shutdown.
            longest_deadline_s: Longest request timeout of all request classes.
        """
        self.is_requested = False
        self.deadline = float("inf")
        self.done = asyncio.Event()
        self._now = now
        self._lifecycle = lifecycle
        self._has_open_work = has_open_work
        self._fail_open_requests = fail_open_requests
        self._client_connections = client_connections
        self._longest_deadline_s = longest_deadline_s

    def request(self) -> None:
        """Start draining; before the router is ready, only record the request."""
        self.is_requested = True
        if not self._lifecycle.is_ready:
            return
        self._lifecycle.advance(Phase.DRAINING)
        finish_s = min(MAX_FINISH_S, self._longest_deadline_s) - CLOSE_RESERVE_S
        self.deadline = self._now() + DRAIN_S + finish_s
        asyncio.get_running_loop().call_later(DRAIN_S, self._finish)

    def read_deadline(self) -> float:
        """Return the time until which connections that clients leave open are still read.

        After a stall the deadline may have passed already. Requests that arrived meanwhile are read and
        rejected nevertheless.
        """
        linger_end = self._now() + LINGER_S
        if self._lifecycle.phase is not Phase.FINISHING:
            return linger_end
        latest = self.deadline + CLOSE_RESERVE_S - EXIT_MARGIN_S
        return max(self._now() + MIN_FINAL_READ_S, min(linger_end, latest))

    def _finish(self) -> None:
        self._lifecycle.advance(Phase.FINISHING)
        # Scheduled first so that the process ends even if closing the listener raises an exception.
        asyncio.get_running_loop().call_soon(self.check_done)
        self._client_connections.stop()

    def check_done(self) -> None:
        """Set `done` once all answers are sent or the time is up, otherwise schedule another check."""
        has_open_work = self._has_open_work()
        if not has_open_work or self._now() >= self.deadline:
            self._fail_open_requests()
        is_pending = has_open_work or self._client_connections.memory.reply_bytes
        if is_pending and self._now() < self.deadline + CLOSE_RESERVE_S / 2:
            asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self.check_done)
        else:
            self.done.set()
