"""Reads clients' calls and turns them into engine events. Makes no routing decisions.

Clients take turns: a pass of the event loop processes a bounded number of calls, one of each client in turn,
so that a client that sends without pause delays the others by no more than its turn.
"""

from __future__ import annotations

import asyncio
import collections
import functools
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from brookhinge.decisions import memory_limits
from brookhinge.decisions.rules import CloseReason
from brookhinge.engine.events import Event, RequestCancelled
from brookhinge.net import client_protocol
from brookhinge.net.call_buffer import MAX_WHOLE_BYTES
from brookhinge.net.client_connection import ClientConnection, CloseCause
from brookhinge.net.errors import InvalidCallError, RefusedCallError, UnreadableError
from brookhinge.net.memory_use import MemoryUse, Shed
from brookhinge.net.receive_times import ReceiveTimes
from brookhinge.net.request_validation import read_request
from brookhinge.net.stream import READ_BYTES

if TYPE_CHECKING:
    from brookhinge.net.client_connections import ClientConnections

READS_PER_TURN = 4  # of one connection, each of READ_BYTES at most for a large call
SMALL_READ_BYTES = 2048  # instead of READ_BYTES for calls that are not large
SCARCE_READ_BYTES = 1024  # the same while memory is short
CALLS_PER_PASS = 32  # of all clients, in one pass of the event loop
MAX_INVALID_CALLS = 8  # per connection before it is closed
INVALID_CALL_PAUSE_S = 0.05  # after each invalid call, to slow down clients that resend it immediately


class ClientCalls:
    """Reads connections and passes their calls to the engine."""

    def __init__(
        self,
        connections: ClientConnections,
        receive_times: ReceiveTimes,
        memory: MemoryUse,
        *,
        post: Callable[[Event], None],
        log: Callable[..., None],
        is_ready: Callable[[], bool],
        count_shed: Callable[[], None],
        max_timeout_s: Mapping[bytes, float],
    ) -> None:
        """Prepare to read the connections of `connections`.

        Args:
            connections: All client connections; writes replies and closes connections.
            receive_times: Returns the earliest time at which bytes read now may have been received.
            memory: Bytes held for all clients.
            post: Called with each event for the engine.
            log: Called with (event, **values).
            is_ready: Returns whether the router accepts requests.
            count_shed: Called for each request that is rejected for lack of memory.
            max_timeout_s: Maximum request timeout by request class.
        """
        self._connections = connections
        self._receive_times = receive_times
        self._memory = memory
        self.post = post
        self._log = log
        self._is_ready = is_ready
        self._count_shed = count_shed
        self._max_timeout_s = max_timeout_s
        self._queue: collections.deque[ClientConnection] = collections.deque()
        self._is_pass_due = False

    # Reading.

    def start(self, client: ClientConnection) -> None:
        """Read a connection from now on, until it is closed."""
        client.is_reading = True
        client.stream.watch(functools.partial(self._on_readable, client))

    def _pause_reading(self, client: ClientConnection) -> None:
        client.is_reading = False
        client.stream.unwatch()

    def _on_readable(self, client: ClientConnection) -> None:
        try:
            self._receive(client)
        except OSError:
            self._connections.drop(client, CloseReason.PEER)
        except Exception as error:
            self._connections.log_connection(client, f"{type(error).__name__}: {error}")
            self._connections.drop(client, CloseReason.FAILED)

    def _receive(self, client: ClientConnection) -> None:
        """Receive what has arrived, up to the bound for one turn.

        If the client has closed the connection, this raises and its calls are not processed.
        """
        received_at = self._receive_times.received_at(
            client.last_empty_at, client.waiting_since, had_more=client.has_more
        )
        client.has_more = True
        for turn_reads in range(READS_PER_TURN):
            checked_at = self._connections.now()
            data = client.stream.receive(self._read_size(client))
            if not data:
                # The first read of a readable connection finds nothing only if it has failed.
                if data is None and turn_reads:
                    client.note_empty(checked_at)
                return
            if self._connections.is_open(client) and client.close_cause is None:
                self._take(client, data, received_at)
            if not client.is_reading or client.stream.closed():
                break
        self._check_empty(client)

    def _check_empty(self, client: ClientConnection) -> None:
        checked_at = self._connections.now()
        if not client.has_unread():
            client.note_empty(checked_at)

    def _read_size(self, client: ClientConnection) -> int:
        """Return how much to read at once: small calls cannot be given up, parts of large ones can."""
        is_discarded = client.close_cause is not None or not self._connections.is_open(client)
        if is_discarded or client.calls.expects_large_call:
            return READ_BYTES
        return SCARCE_READ_BYTES if self._memory.is_short_for_calls else SMALL_READ_BYTES

    def _take(self, client: ClientConnection, data: memoryview, received_at: float) -> None:
        calls = client.calls
        client.moved_at = received_at
        whole_before = calls.whole_calls
        dropped = calls.add(data, received_at)
        client.count_calls()
        if not calls.has_partial_call:
            client.partial_since = None
        elif calls.whole_calls > whole_before or dropped or client.partial_since is None:
            client.partial_since = received_at
        if dropped:
            self._reject_dropped(client, dropped)
        if calls.error and client.close_cause is None:
            client.close_cause = CloseCause(CloseReason.UNREADABLE, f"unreadable: {calls.error}")
        if calls.whole_calls > whole_before:
            self._apply_queued_cancels(client, whole_before)
            self._enqueue(client)
        self._connections.enforce_memory_limits()
        if calls.is_full or (calls.whole_calls and self._memory.is_short_for_calls):
            self._pause_reading(client)
        self._connections.close_if_finished(client)

    # Processing.

    def process_calls(self, client: ClientConnection) -> None:
        """Let a client take its turn, if it has calls and is neither paused nor leaves its replies unread."""
        if client.calls.whole_calls:
            self._enqueue(client)
        else:
            self._resume_or_finish(client)

    def _enqueue(self, client: ClientConnection) -> None:
        if client.is_queued or not client.may_process:
            return
        client.is_queued = True
        self._queue.append(client)
        self._schedule_pass()

    def _schedule_pass(self) -> None:
        if not self._is_pass_due:
            self._is_pass_due = True
            asyncio.get_running_loop().call_soon(self._run_pass)

    def _run_pass(self) -> None:
        self._is_pass_due = False
        for _ in range(CALLS_PER_PASS):
            if not self._queue:
                return
            client = self._queue.popleft()
            client.is_queued = False
            self._process_next_call(client)
        if self._queue:
            self._schedule_pass()

    def _process_next_call(self, client: ClientConnection) -> None:
        """Process one call of a client."""
        if not (client.may_process and self._connections.is_open(client)):
            return
        received_at = client.calls.received_at
        frame = client.calls.take()
        client.count_calls()
        try:
            if frame is not None:
                self._process_call(client, frame, received_at)
        except UnreadableError as error:
            client.close_cause = CloseCause(CloseReason.UNREADABLE, f"unreadable: {error}")
            client.calls.clear()
            client.count_calls()
        except Exception as error:
            self._connections.log_connection(client, f"{type(error).__name__}: {error}")
            self._connections.drop(client, CloseReason.FAILED)
            return
        self._resume_or_finish(client)

    def _resume_or_finish(self, client: ClientConnection) -> None:
        if not self._connections.is_open(client):
            return
        if client.calls.whole_calls:
            self._enqueue(client)
        if not client.is_reading and not client.calls.is_full:
            self.start(client)
            self._check_empty(client)
        self._connections.close_if_finished(client)

    def _process_call(self, client: ClientConnection, frame: bytes, received_at: float) -> None:
        try:
            call = client_protocol.read_call(frame)
        except RefusedCallError as error:
            self.refuse(client, error.reply)
            return
        match call.method:
            case client_protocol.CANCEL:
                self._process_cancel(client, call.arguments.get(client_protocol.CANCELLED_ARGUMENT))
                return
            case client_protocol.SERVE:
                try:
                    self._process_request(client, call, received_at)
                except InvalidCallError as error:
                    reply = client_protocol.invalid_call(call.method, call.sequence_number, error)
                    self.refuse(client, reply)
                    return
            case client_protocol.HEALTH_CHECK:
                reply = client_protocol.health(call.sequence_number, is_healthy=self._is_ready())
                self._connections.write(client, reply)
        client.has_called = True
        client.used_at = received_at

    def _process_request(
        self, client: ClientConnection, call: client_protocol.Call, received_at: float
    ) -> None:
        event = read_request(client.number, call, received_at, self._max_timeout_s)
        number = call.sequence_number
        if client.cancelled_early and number in client.cancelled_early:
            return
        size = memory_limits.request_bytes(len(event.body))
        if not self._memory.may_open_request(size, client_has_open=bool(client.unanswered)):
            self._note_shed(client, Shed.REQUEST, size)
            self._reject(client, number)
            return
        client.open_request(number, size)
        self.post(event)

    # Cancels.

    def _apply_queued_cancels(self, client: ClientConnection, first: int) -> None:
        """Apply the cancels among the queued calls from index `first` on.

        A cancel does not wait for the calls before it, so that no further attempt starts for its request.
        """
        for frame in client.calls.short_frames(first):
            if not client_protocol.is_cancel(frame):
                continue
            number = client_protocol.cancelled_number(frame)
            if number is None:  # unreadable; reported when the call is processed
                continue
            if client.cancelled_early is None:
                client.cancelled_early = set()
            client.cancelled_early.add(number)
            self.cancel(client, number)

    def _process_cancel(self, client: ClientConnection, number: int | None) -> None:
        if client.cancelled_early:
            client.cancelled_early.discard(number)
        self.cancel(client, number)

    def cancel(self, client: ClientConnection, number: int | None) -> None:
        """Cancel a request: its client expects no reply."""
        if client.end_request(number):
            client.remember_cancel(number)
            self.post(RequestCancelled(client.number, number))

    # Calls that are not processed.

    def refuse(self, client: ClientConnection, reply: bytes) -> None:
        """Reply that a call is invalid; close the connection after too many invalid calls."""
        client.invalid_calls += 1
        self._connections.write(client, reply)
        if client.invalid_calls >= MAX_INVALID_CALLS:
            cause = CloseCause(CloseReason.BREACH, f"{MAX_INVALID_CALLS} invalid calls on one connection")
            self._connections.close_with_cause(client, cause)
        elif not client.is_paused:
            client.is_paused = True
            asyncio.get_running_loop().call_later(INVALID_CALL_PAUSE_S, self._resume, client)

    def _resume(self, client: ClientConnection) -> None:
        client.is_paused = False
        self.process_calls(client)

    def drop_call(self, client: ClientConnection) -> bool:
        """Give up the largest call held for a client; return False if nothing worth it is held.

        An incomplete call is rejected once its last byte has arrived, a whole one at once.
        """
        calls = client.calls
        held = len(calls)
        if calls.partial_bytes >= calls.whole_bytes and calls.drop_partial():
            self._note_shed(client, Shed.PARTIAL_CALL, held)
        elif calls.whole_calls and calls.whole_bytes > MAX_WHOLE_BYTES:
            self._note_shed(client, Shed.WHOLE_CALL, held)
            self._reject_dropped(client, calls.drop_first())
        else:
            return False
        client.count_calls()
        return True

    def _reject_dropped(self, client: ClientConnection, header: bytes) -> None:
        """Reject a call of which only the first bytes are left."""
        try:
            number = client_protocol.rejectable_number(header)
        except UnreadableError as error:
            client.close_cause = client.close_cause or CloseCause(
                CloseReason.UNREADABLE, f"unreadable: {error}"
            )
            return
        client.has_called = True
        self._reject(client, number)

    def _reject(self, client: ClientConnection, number: int) -> None:
        """Reject a request that the engine has not seen."""
        self._count_shed()
        self._connections.write(client, client_protocol.rejection(number, 0.0))

    def _note_shed(self, client: ClientConnection, what: Shed, size: int) -> None:
        self._memory.shed[what] += 1
        self._log("shed", what=what, client=client.number, peer=client.peer(), bytes=size)
