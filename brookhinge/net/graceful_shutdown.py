"""The way of the process from SIGTERM to its end, with every request answered."""

import asyncio
from collections.abc import Callable

from brookhinge.engine.lifecycle import Lifecycle, Phase
from brookhinge.net.client_connections import ClientConnections
from brookhinge.net.lingering_closes import LINGER_S

DRAIN_S = 0.7  # connections and requests are still accepted for so long after SIGTERM
MAX_FINISH_S = 3.0  # then open requests have their deadline, but no longer than this, less CLOSE_RESERVE_S
CLOSE_RESERVE_S = 0.25  # kept for failing what is still open and for sending those answers
CHECK_INTERVAL_S = 0.005  # between two checks whether everything is answered
EXIT_MARGIN_S = 0.02  # kept between the last read and the time at which the process may be killed
MIN_LAST_READ_S = 0.03  # what lies in the system is read for so long at least, even after a stall


class GracefulShutdown:
    """Drains and finishes the router once it was asked to end.

    The process may be killed once the longest deadline and DRAIN_S have passed: what is open then is failed
    before.

    Attributes:
        is_requested: Whether the end was asked for, also before the router was ready.
        deadline: When whatever is still open is failed, in seconds of `now`.
        done: Set once nothing is open any more, or when the time is over.
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
            now: The clock of the router, in seconds since its start.
            lifecycle: The lifecycle of the program.
            has_open_work: Whether events, requests or connections in the backlog are left.
            fail_open_requests: Answers every open request with an error, and rejects those that follow.
            client_connections: The connections on which clients are still read.
            longest_deadline_s: The longest time that any request class gives a request.
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
        """Begin to drain; before the router is ready this is only noted."""
        self.is_requested = True
        if not self._lifecycle.is_ready:
            return
        self._lifecycle.advance(Phase.DRAINING)
        finish_s = min(MAX_FINISH_S, self._longest_deadline_s) - CLOSE_RESERVE_S
        self.deadline = self._now() + DRAIN_S + finish_s
        asyncio.get_running_loop().call_later(DRAIN_S, self._finish)

    def last_read_at(self) -> float:
        """Return until when connections that clients leave open are read on.

        After a stall the deadline may have passed: what came meanwhile is read and rejected all the same.
        """
        at = self._now() + LINGER_S
        if self._lifecycle.phase is not Phase.FINISHING:
            return at
        latest = self.deadline + CLOSE_RESERVE_S - EXIT_MARGIN_S
        return max(self._now() + MIN_LAST_READ_S, min(at, latest))

    def _finish(self) -> None:
        self._lifecycle.advance(Phase.FINISHING)
        # Scheduled first: the process has to end even if the listener fails as it closes.
        asyncio.get_running_loop().call_soon(self.check_done)
        self._client_connections.stop()

    def check_done(self) -> None:
        """Set `done` once everything is answered and sent or the time is over, else check again soon."""
        has_open_work = self._has_open_work()
        if not has_open_work or self._now() >= self.deadline:
            self._fail_open_requests()
        is_pending = has_open_work or self._client_connections.memory.unsent_bytes
        if is_pending and self._now() < self.deadline + CLOSE_RESERVE_S / 2:
            asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self.check_done)
        else:
            self.done.set()
