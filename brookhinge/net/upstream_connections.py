"""Connections to cache servers, parents and the origin. Decides nothing."""

from __future__ import annotations

import asyncio
import collections
import math
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple

from tornado.iostream import StreamClosedError

from brookhinge.decisions.rules import UNREAD_INPUT, AttemptResult, CloseReason, HeldBack
from brookhinge.engine.effects import CancelAttempt, RetireServer, SendAttempt
from brookhinge.engine.endpoints import ServerInstance
from brookhinge.engine.events import AttemptEnded, Event
from brookhinge.engine.loop_watch import LoopWatch
from brookhinge.net import cachewire
from brookhinge.net.errors import UnreadableError
from brookhinge.net.timeouts import within
from brookhinge.net.upstream_connection import PendingAttempt, SentAttempt, UpstreamConnection
from brookhinge.net.upstream_pool import READ_BYTES, UpstreamPool
from brookhinge.net.upstream_sweeper import ECHO_TAG, UpstreamSweeper

if TYPE_CHECKING:
    from brookhinge.startup import UpstreamSettings

# An attempt that is held back so long, what was to be read having been read meanwhile, is decided anew.
MAX_HOLD_S = 0.25
HOLD_CHECK_INTERVAL_S = 0.002


class Placement(NamedTuple):
    """Where an attempt is written, or waits to be."""

    connection: UpstreamConnection
    client_request_id: bytes


class UpstreamConnections:
    """Writes attempts, reads answers, and closes connections.

    Attributes:
        pool: The connections.
        placements: Where each attempt is that is not over, by the numbers of request and attempt.
        closes: Counts of closes by reason.
        holds: Counts of attempts that were not written when they could be, by reason.
        log: Takes (event, **values).
        trace: Takes (step, request id, **values) of each attempt and connection, or None.
    """

    def __init__(
        self,
        *,
        post: Callable[[Event], None],
        log: Callable[..., None],
        now: Callable[[], float],
        started_at: float,
        settings: UpstreamSettings,
        max_connections: int,
        load_columns: Sequence[bytes] = (),
        max_wait_s: float = math.inf,
        hold_reason: Callable[[SendAttempt], HeldBack | None] = lambda _: None,
        trace: Callable[..., None] | None = None,
        watch: LoopWatch | None = None,
    ) -> None:
        """Begin without connections.

        Args:
            post: Takes the events.
            log: Takes (event, **values).
            now: The clock of the router.
            started_at: When that clock began, in Unix seconds.
            settings: How connections are used.
            max_connections: How many may be open.
            load_columns: Names of the values of a load report.
            max_wait_s: An attempt that waited longer for its connection is not written but ends as unsent,
                to be
                decided anew: what was known when it was decided, drains, purges and slow starts, may hold
                no more.
            hold_reason: Why an attempt may not be written now, or None.
            trace: Takes (step, request id, **values) of each attempt and connection, or None.
            watch: The watch of the loop, or None.
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
        self._sweeper = UpstreamSweeper(
            now=now,
            report=self._report,
            settings=settings,
            pool=self.pool,
            write=self.write,
            close=self.close,
        )
        self._post = post
        self._started_at = started_at
        self._settings = settings
        self._load_columns = load_columns
        self._max_wait_s = max_wait_s
        self._hold_reason = hold_reason
        self._watch = watch
        self._tasks: set[asyncio.Task] = set()

    # effects

    def send_attempt(self, effect: SendAttempt) -> None:
        """Write an attempt, on a connection that has not carried its id before, or on a new one."""
        connection = self.choose(effect)
        if connection is None:  # no descriptor left for one more: nothing was sent
            self._end(effect.request_id, effect.attempt, AttemptResult.UNREACHABLE)
            return
        self.place(connection, PendingAttempt(effect, self.now()))

    def end_stale(self, effect: SendAttempt) -> bool:
        """End an attempt that comes long after its decision: what was known then may hold no more."""
        self._end(effect.request_id, effect.attempt, AttemptResult.UNSENT)
        return True

    def end_failed(self, effect: SendAttempt) -> None:
        """End an attempt that could not be written."""
        self._end(effect.request_id, effect.attempt, AttemptResult.BROKEN)

    def cancel_attempt(self, effect: CancelAttempt) -> None:
        """Give an attempt up.

        Its id is not used again on its connection: an answer may be under way and must not pass for that of
        a later attempt. A connection with a health check that is not answered then is suspect.
        """
        placement = self.placements.pop((effect.request_id, effect.attempt), None)
        if placement is None:
            return
        connection, client_request_id = placement
        if connection.waiting.pop(client_request_id, None) is None:
            self._withdraw(connection, client_request_id)
        self._close_if_unused(connection)

    def _withdraw(self, connection: UpstreamConnection, client_request_id: bytes) -> None:
        del connection.in_flight[client_request_id]
        if connection.echo_sent_at is not None:
            connection.is_retired = True
        connection.cancelled_ids.add(client_request_id)
        connection.retire_id(client_request_id)
        self.write(connection, cachewire.encode_kill(client_request_id))
        if connection.stream.writing():  # it may not arrive: closing gives the attempt up for sure
            self.close(connection, CloseReason.UNSENT)

    def retire_server(self, effect: RetireServer) -> None:
        """Take nothing new on the connections to a server that is gone or another process now."""
        for connection in self.pool.remove_server(effect.server):
            connection.is_retired = True
            self._close_if_unused(connection)

    # writing

    def choose(self, effect: SendAttempt) -> UpstreamConnection | None:
        """Return the connection for an attempt, or None."""
        return self.pool.choose(effect.server, effect.client_request_id)

    def place(
        self, connection: UpstreamConnection, pending: PendingAttempt, max_wait_s: float | None = None
    ) -> None:
        """Write an attempt, if nothing forbids it at this moment.

        Between the decision and this line the process may have stood still: what clients and the command
        channel sent meanwhile counts.

        Args:
            connection: Where to write it.
            pending: The attempt.
            max_wait_s: How long it may have waited, where that is not what connections may take.
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
            self._note_hold(effect, reason)
            connection.waiting[client_request_id] = pending
            asyncio.get_running_loop().call_later(
                HOLD_CHECK_INTERVAL_S, self._place_again, connection, client_request_id
            )
        else:
            self._take_back(effect, reason)

    def _write_attempt(self, connection: UpstreamConnection, effect: SendAttempt, now: float) -> None:
        """Write an attempt at once: the trace comes after the system call."""
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

    def _place_again(self, connection: UpstreamConnection, client_request_id: bytes) -> None:
        """Write an attempt that was held back, or decide it anew."""
        pending = connection.waiting.pop(client_request_id, None)
        if pending is not None:  # else it was given up, or went to another connection
            self.place(connection, pending, MAX_HOLD_S)
            self._close_if_unused(connection)

    def _take_back(self, effect: SendAttempt, reason: HeldBack) -> None:
        """End an attempt of which nothing was sent: it is decided anew, if it is still wanted."""
        self._note_hold(effect, reason)
        del self.placements[effect.request_id, effect.attempt]
        self._end(effect.request_id, effect.attempt, AttemptResult.UNSENT)

    def _note_hold(self, effect: SendAttempt, reason: HeldBack) -> None:
        self.holds[reason] += 1
        if self.trace is not None:
            self.trace(
                "attempt held back",
                effect.client_request_id.decode(),
                attempt=effect.attempt,
                reason=reason,
            )

    def write(self, connection: UpstreamConnection, line: bytes) -> None:
        """Write without waiting; a connection that takes nothing any more is closed."""
        try:
            connection.stream.write(line)
        except Exception:  # closed, or its buffer is full: what is in flight on it is broken
            self.close(connection, CloseReason.FAILED)

    # reading

    def _start(self, connection: UpstreamConnection) -> None:
        task = asyncio.get_running_loop().create_task(self._run(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, connection: UpstreamConnection) -> None:
        """Serve one connection from the connect to its end."""
        fault = None
        reason = CloseReason.PEER
        try:
            connect = connection.stream.connect(connection.server.address)
            await within(connect, self._settings.connect_timeout_s, self._watch)
            connection.is_connected = True
            connection.received_at = self.now()
            self._place_waiting(connection)
            while True:
                data = await connection.stream.read_bytes(READ_BYTES, partial=True)
                received_at = connection.received_at = self.now()
                for item in connection.answers.feed(data):
                    self._take_answer(connection, received_at, cachewire.AnswerLine(*item))
        except (StreamClosedError, OSError):
            pass
        except TimeoutError:
            fault = "no connection in time"
        except UnreadableError as error:
            fault = f"unreadable: {error}"
            reason = CloseReason.UNREADABLE
        except Exception as error:
            fault = f"{type(error).__name__}: {error}"
            reason = CloseReason.FAILED
        finally:
            if fault:
                self._report(connection.server, fault)
            self.close(connection, reason if connection.is_connected else CloseReason.NO_CONNECTION)

    def _place_waiting(self, connection: UpstreamConnection) -> None:
        waiting = connection.waiting
        connection.waiting = {}
        for pending in waiting.values():
            self.place(connection, pending)

    def _take_answer(
        self, connection: UpstreamConnection, received_at: float, answer: cachewire.AnswerLine
    ) -> None:
        client_request_id = answer.request_id
        if client_request_id == ECHO_TAG:
            connection.echo_sent_at = None
            return
        if client_request_id in connection.cancelled_ids:  # it crossed the cancel
            connection.cancelled_ids.remove(client_request_id)
            return
        if client_request_id not in connection.in_flight:
            # A second answer, or one that nobody asked for: the connection is not to be trusted further.
            connection.is_retired = True
            self._close_if_unused(connection)
            return
        result = cachewire.read_result(answer.word, answer.fields, self._load_columns)
        connection.used_at = received_at
        sent = connection.in_flight.pop(client_request_id)
        if result.result is not AttemptResult.SATISFIED:
            # A further attempt may follow on it, and a second copy of this answer.
            connection.retire_id(client_request_id)
        del self.placements[sent.request_id, sent.attempt]
        event = AttemptEnded(
            request_id=sent.request_id,
            attempt=sent.attempt,
            result=result.result,
            note=result.note,
            source_wait_s=result.source_wait_s,
            load_report=result.load_report,
            body=answer.body,
            is_unchanged=answer.word == cachewire.UNCHANGED,
            received_at=received_at,
            dated_at=None if result.dated_at is None else result.dated_at - self._started_at,
            version=result.version,
            purge_group=result.purge_group,
        )
        self._post(event)
        self._close_if_unused(connection)

    def _report(self, server: ServerInstance, why: str) -> None:
        self.log("cache connection", server=server.server, why=why)

    def _end(self, request_id: int, attempt: int, result: AttemptResult) -> None:
        """Report an attempt that ended without an answer."""
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

    def _close_if_unused(self, connection: UpstreamConnection) -> None:
        if connection.is_retired and not connection.load:
            self.close(connection, CloseReason.RETIRED)

    def close(self, connection: UpstreamConnection, reason: CloseReason) -> None:
        """Close a connection.

        What is in flight on it is broken. What was never written goes to another connection that is
        connected; without one the refusal proves that nothing ran.
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
        other = self.pool.connected(effect.server, effect.client_request_id)
        if other is not None:
            self.place(other, pending)
            return
        del self.placements[effect.request_id, effect.attempt]
        self._end(effect.request_id, effect.attempt, AttemptResult.UNREACHABLE)

    def sweep(self) -> None:
        """Close connections that are idle, silent or stuck."""
        self._sweeper.sweep()

    def close_all(self) -> None:
        """Close every connection: the process ends."""
        for connection in list(self.pool.connections):
            self.close(connection, CloseReason.STOPPING)
