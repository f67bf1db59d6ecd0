"""Connections to cache servers, parents and the origin. Makes no routing decisions."""

from __future__ import annotations

import asyncio
import collections
import math
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple

from brookhinge.decisions.rules import UNREAD_INPUT, AttemptResult, CloseReason, HeldBack
from brookhinge.engine.effects import CancelAttempt, RetireServer, SendAttempt
from brookhinge.engine.endpoints import ServerInstance
from brookhinge.engine.events import AttemptEnded, Event
from brookhinge.engine.loop_watch import LoopWatch
from brookhinge.net import cachewire
from brookhinge.net.answer_reader import AnswerReader
from brookhinge.net.errors import UnreadableError
from brookhinge.net.memory_use import MemoryUse
from brookhinge.net.timeouts import within
from brookhinge.net.upstream_connection import PendingAttempt, SentAttempt, UpstreamConnection
from brookhinge.net.upstream_pool import UpstreamPool
from brookhinge.net.upstream_sweeper import UpstreamSweeper

if TYPE_CHECKING:
    from brookhinge.startup import UpstreamSettings

# An attempt held back for longer than this is decided again, with the input that was read meanwhile.
MAX_HOLD_S = 0.25
HOLD_CHECK_INTERVAL_S = 0.002


class Placement(NamedTuple):
    """The connection on which an attempt is written or waits to be written."""

    connection: UpstreamConnection
    client_request_id: bytes


class UpstreamConnections:
    """Writes attempts, reads answers, and closes connections.

    Attributes:
        pool: Pool of the open connections.
        answers: Reads the connections.
        placements: Placement of each attempt that has not ended, by request id and attempt number.
        closes: Number of closed connections by reason.
        holds: Number of times that an attempt was held back, by reason.
        log: Called as log(event, **values).
        trace: Called as trace(step, request id, **values) for each attempt and connection, or None.
    """

    def __init__(
        self,
        *,
        post: Callable[[Event], None],
        log: Callable[..., None],
        now: Callable[[], float],
        since_start: Callable[[float], float],
        settings: UpstreamSettings,
        max_connections: int,
        memory: MemoryUse,
        load_columns: Sequence[bytes] = (),
        max_wait_s: float = math.inf,
        hold_reason: Callable[[SendAttempt], HeldBack | None] = lambda _: None,
        trace: Callable[..., None] | None = None,
        watch: LoopWatch | None = None,
    ) -> None:
        """Start with an empty pool.

        Args:
            post: Called with each event.
            log: Called as log(event, **values).
            now: Returns the router's time in seconds.
            since_start: Converts a Unix time that a server sent to seconds since the start.
            settings: Timeouts and limits of the connections.
            max_connections: Maximum number of open connections.
            memory: Bytes held for answers, and their limit.
            load_columns: Names of the values in a load report.
            max_wait_s: Maximum time that an attempt waits for its connection. After a longer wait the attempt
                ends as unsent and is decided again, because the drains, purges and slow starts that the
                decision was based on may have changed.
            hold_reason: Returns why an attempt must not be written now, or None.
            trace: Called as trace(step, request id, **values) for each attempt and connection, or None.
            watch: Monitor of stalls of the event loop, or None.
        """
        self.now = now
        self.log = log
        self.trace = trace
        self.closes: collections.Counter[CloseReason] = collections.Counter()
        self.holds: collections.Counter[HeldBack] = collections.Counter()
        self.placements: dict[tuple[int, int], Placement] = {}
        self.pool = UpstreamPool(
            now=now,
            report=self._report,
            max_load=max(1, settings.multiplex),
            max_connections=max_connections,
            on_opened=self._start,
            close_for_capacity=lambda connection: self.close(connection, CloseReason.ROOM),
        )
        self.answers = AnswerReader(
            self, memory, post=post, since_start=since_start, load_columns=load_columns
        )
        self._sweeper = UpstreamSweeper(
            now=now,
            report=self._report,
            settings=settings,
            pool=self.pool,
            write=self.write,
            close=self.close,
        )
        self._post = post
        self._settings = settings
        self._max_wait_s = max_wait_s
        self._hold_reason = hold_reason
        self._watch = watch
        self._tasks: set[asyncio.Task] = set()

    # effects

    def send_attempt(self, effect: SendAttempt) -> None:
        """Write an attempt on a pooled connection that may carry its request id, or on a new one."""
        connection = self.choose(effect)
        if connection is None:  # no descriptor left for a new connection; nothing was sent
            self._end(effect.request_id, effect.attempt, AttemptResult.UNREACHABLE)
            return
        self.place(connection, PendingAttempt(effect, self.now()))

    def end_stale(self, effect: SendAttempt) -> bool:
        """End an attempt as unsent because it comes long after its decision, which may be outdated.

        Returns True: the effect needs no further handling.
        """
        self._end(effect.request_id, effect.attempt, AttemptResult.UNSENT)
        return True

    def end_failed(self, effect: SendAttempt) -> None:
        """End an attempt whose write raised an exception."""
        self._end(effect.request_id, effect.attempt, AttemptResult.BROKEN)

    def cancel_attempt(self, effect: CancelAttempt) -> None:
        """Cancel an attempt.

        Its id is not reused on the connection, because an answer that is already on its way could be mistaken
        for the answer to a later attempt. A connection with an unanswered health check is retired.
        """
        placement = self.placements.pop((effect.request_id, effect.attempt), None)
        if placement is None:
            return
        connection, client_request_id = placement
        if connection.waiting.pop(client_request_id, None) is None:
            self._cancel_written(connection, client_request_id)
        self.close_if_unused(connection)

    def _cancel_written(self, connection: UpstreamConnection, client_request_id: bytes) -> None:
        del connection.in_flight[client_request_id]
        if connection.echo_sent_at is not None:
            connection.is_retired = True
        connection.cancelled_ids.add(client_request_id)
        connection.retire_id(client_request_id)
        self.write(connection, cachewire.encode_kill(client_request_id))
        if connection.stream.writing():  # the cancel may not arrive; closing the connection is certain
            self.close(connection, CloseReason.UNSENT)

    def retire_server(self, effect: RetireServer) -> None:
        """Retire the connections to a server that is gone or has been restarted."""
        for connection in self.pool.remove_server(effect.server):
            connection.is_retired = True
            self.close_if_unused(connection)

    # writing

    def choose(self, effect: SendAttempt) -> UpstreamConnection | None:
        """Return a connection for an attempt, or None if there is none and none can be opened."""
        return self.pool.choose(effect.server, effect.client_request_id)

    def place(
        self, connection: UpstreamConnection, pending: PendingAttempt, max_wait_s: float | None = None
    ) -> None:
        """Write an attempt, unless it has to wait or there is a reason to hold it back.

        The process may have stalled since the decision. Input from clients and from the command channel that
        arrived meanwhile has to be taken into account.

        Args:
            connection: Connection to write on.
            pending: Attempt to write.
            max_wait_s: Maximum time since the attempt was queued; None for the limit of this object.
        """
        effect = pending.effect
        client_request_id = effect.client_request_id
        self.placements[effect.request_id, effect.attempt] = Placement(connection, client_request_id)
        now = self.now()
        connection.used_at = now
        if not connection.is_connected:
            connection.waiting[client_request_id] = pending
            return
        limit_s = self._max_wait_s if max_wait_s is None else max_wait_s
        is_late = now - pending.queued_at > limit_s
        reason = HeldBack.LATE if is_late else self._hold_reason(effect)
        if reason is None:
            self._write_attempt(connection, effect, now)
        elif reason in UNREAD_INPUT:
            self._record_hold(effect, reason)
            connection.waiting[client_request_id] = pending
            asyncio.get_running_loop().call_later(
                HOLD_CHECK_INTERVAL_S, self._retry_place, connection, client_request_id
            )
        else:
            self._end_unsent(effect, reason)

    def _write_attempt(self, connection: UpstreamConnection, effect: SendAttempt, now: float) -> None:
        """Write an attempt now; the trace entry follows the system call."""
        client_request_id = effect.client_request_id
        connection.in_flight[client_request_id] = SentAttempt(effect.request_id, effect.attempt, now)
        self.write(connection, cachewire.encode_pull(effect, effect.deadline - now))
        if self.trace is not None:
            self.trace(
                "attempt written",
                client_request_id.decode(),
                server=connection.server.server,
                attempt=effect.attempt,
            )

    def _retry_place(self, connection: UpstreamConnection, client_request_id: bytes) -> None:
        """Try again to write an attempt that was held back."""
        pending = connection.waiting.pop(client_request_id, None)
        if pending is not None:  # None if it was cancelled or moved to another connection
            self.place(connection, pending, MAX_HOLD_S)
            self.close_if_unused(connection)

    def _end_unsent(self, effect: SendAttempt, reason: HeldBack) -> None:
        """End an attempt before any of it was sent; it is decided again if it is still needed."""
        self._record_hold(effect, reason)
        del self.placements[effect.request_id, effect.attempt]
        self._end(effect.request_id, effect.attempt, AttemptResult.UNSENT)

    def _record_hold(self, effect: SendAttempt, reason: HeldBack) -> None:
        self.holds[reason] += 1
        if self.trace is not None:
            self.trace(
                "attempt held back",
                effect.client_request_id.decode(),
                attempt=effect.attempt,
                reason=reason,
            )

    def write(self, connection: UpstreamConnection, line: bytes) -> None:
        """Write without waiting; a connection that does not accept the bytes is closed."""
        try:
            connection.stream.write(line)
        except Exception:  # closing ends the attempts in flight as broken
            self.close(connection, CloseReason.FAILED)

    # reading

    def _start(self, connection: UpstreamConnection) -> None:
        task = asyncio.get_running_loop().create_task(self._run(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, connection: UpstreamConnection) -> None:
        """Connect, then read answers until the connection ends."""
        failure = None
        reason = CloseReason.PEER
        try:
            connect = connection.stream.connect(connection.server.address)
            await within(connect, self._settings.connect_timeout_s, self._watch)
            connection.is_connected = True
            connection.received_at = self.now()
            self._place_waiting(connection)
            await self.answers.read(connection)
        except TimeoutError:
            failure = None if connection.is_connected else "connect timed out"
        except OSError:
            pass
        except UnreadableError as error:
            failure = f"unreadable: {error}"
            reason = CloseReason.UNREADABLE
        except Exception as error:
            failure = f"{type(error).__name__}: {error}"
            reason = CloseReason.FAILED
        finally:
            if failure:
                self._report(connection.server, failure)
            self.close(connection, reason if connection.is_connected else CloseReason.NO_CONNECTION)

    def _place_waiting(self, connection: UpstreamConnection) -> None:
        waiting = connection.waiting
        connection.waiting = {}
        for pending in waiting.values():
            self.place(connection, pending)

    def _report(self, server: ServerInstance, why: str) -> None:
        self.log("cache connection", server=server.server, why=why)

    def _end(self, request_id: int, attempt: int, result: AttemptResult) -> None:
        """Post the end of an attempt that received no answer."""
        event = AttemptEnded(
            request_id=request_id,
            attempt=attempt,
            result=result,
            note=0,
            source_wait_s=0.0,
            load_report=None,
            body=b"",
            is_unchanged=False,
            received_at=self.now(),
        )
        self._post(event)

    # closing

    def close_if_unused(self, connection: UpstreamConnection) -> None:
        """Close a retired connection without attempts."""
        if connection.is_retired and not connection.load:
            self.close(connection, CloseReason.RETIRED)

    def close(self, connection: UpstreamConnection, reason: CloseReason) -> None:
        """Close a connection.

        Attempts in flight end as broken. Attempts that were not written move to another established
        connection to the same server. If there is none, they end as unreachable, which proves that they never
        ran.
        """
        if connection.is_closed:
            return
        connection.is_closed = True
        self.closes[reason] += 1
        if self.trace is not None:
            broken = [client_request_id.decode() for client_request_id in connection.in_flight]
            self.trace("server closed", server=connection.server.server, reason=reason, broken=broken)
        connection.stream.close()
        self.pool.remove(connection)
        for sent in connection.in_flight.values():
            del self.placements[sent.request_id, sent.attempt]
            self._end(sent.request_id, sent.attempt, AttemptResult.BROKEN)
        for pending in connection.waiting.values():
            self._place_elsewhere(pending)
        connection.in_flight = {}
        connection.waiting = {}

    def _place_elsewhere(self, pending: PendingAttempt) -> None:
        effect = pending.effect
        substitute = self.pool.connected(effect.server, effect.client_request_id)
        if substitute is not None:
            self.place(substitute, pending)
            return
        del self.placements[effect.request_id, effect.attempt]
        self._end(effect.request_id, effect.attempt, AttemptResult.UNREACHABLE)

    def sweep(self) -> None:
        """Close connections that are idle, silent or stuck, and send health checks."""
        self._sweeper.sweep()

    def close_all(self) -> None:
        """Close every connection because the process is ending."""
        for connection in list(self.pool.connections):
            self.close(connection, CloseReason.STOPPING)
