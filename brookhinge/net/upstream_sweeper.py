"""Periodic checks for idle, silent and stuck connections to servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from brookhinge.decisions.rules import CloseReason
from brookhinge.engine.endpoints import ServerInstance
from brookhinge.net import cachewire
from brookhinge.net.upstream_connection import UpstreamConnection
from brookhinge.net.upstream_pool import UpstreamPool

if TYPE_CHECKING:
    from brookhinge.startup import UpstreamSettings

ECHO_TAG = b"echo"  # differs from every request id: those are hex digits
# Sweeps between the detection of silence and the close: the router's own lag must not count as silence.
MIN_ECHO_CHECKS = 3
IDLE_TIMEOUT_FRACTION = 0.6  # of the servers' idle timeout, so that the router closes first


class UpstreamSweeper:
    """Closes connections that are idle, silent or stuck.

    A connection stays open after its machine vanishes, or after garbage that nothing readable follows.
    If attempts are in flight and nothing was received for half the connect timeout, a health check is sent,
    and its answer may take as long again. While an answer is partially received no health check is sent: more
    of the answer must arrive within that time. A partial answer that belongs to no attempt must be complete
    within that time.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        report: Callable[[ServerInstance, str], None],
        settings: UpstreamSettings,
        pool: UpstreamPool,
        write: Callable[[UpstreamConnection, bytes], None],
        close: Callable[[UpstreamConnection, CloseReason], None],
    ) -> None:
        self._now = now
        self._report = report
        self._idle_timeout_s = IDLE_TIMEOUT_FRACTION * settings.idle_timeout_s
        self._max_silence_s = settings.connect_timeout_s / 2
        self._pool = pool
        self._write = write
        self._close = close

    def sweep(self) -> None:
        """Check every established connection once."""
        now = self._now()
        connected = [c for c in self._pool.connections if c.is_connected and not c.is_closed]
        for connection in connected:
            if self._close_if_stuck(connection, now):
                continue
            if connection.in_flight:
                self._check_silence(connection, now)
            else:
                self._check_idle(connection, now)

    def _close_if_stuck(self, connection: UpstreamConnection, now: float) -> bool:
        if not connection.is_stuck():
            connection.stuck_since = None
            return False
        connection.stuck_since = connection.stuck_since or now
        if now - connection.stuck_since <= self._max_silence_s:
            return False
        self._report(connection.server, "incomplete answer that belongs to no attempt in flight")
        self._close(connection, CloseReason.SLOW)
        return True

    def _check_idle(self, connection: UpstreamConnection, now: float) -> None:
        connection.echo_sent_at = None
        if now - connection.used_at > self._idle_timeout_s:
            self._close(connection, CloseReason.IDLE)

    def _check_silence(self, connection: UpstreamConnection, now: float) -> None:
        if connection.is_waiting_for_memory:
            return
        oldest = next(iter(connection.in_flight.values()))
        silence_s = now - max(connection.received_at, connection.echo_sent_at or oldest.sent_at)
        if silence_s <= self._max_silence_s:
            connection.echo_checks = 0
        elif connection.echo_sent_at is None and not connection.answers.buffered:
            connection.echo_sent_at = now
            connection.echo_checks = 0
            self._write(connection, cachewire.encode_echo(ECHO_TAG))
        elif connection.echo_checks < MIN_ECHO_CHECKS:
            connection.echo_checks += 1
        else:
            self._report(connection.server, "nothing received in time")
            self._close(connection, CloseReason.SILENT)
