"""Reads clients' calls and turns them into engine events. Makes no routing decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from brookhinge.decisions.rules import CloseReason
from brookhinge.engine.events import Event, RequestCancelled
from brookhinge.net import client_protocol, thrift
from brookhinge.net.client_connection import ClientConnection, CloseCause, ReceivedCall
from brookhinge.net.errors import InvalidCallError, RefusedCallError, UnreadableError
from brookhinge.net.receive_times import ReceiveTimes
from brookhinge.net.request_validation import read_request

if TYPE_CHECKING:
    from brookhinge.net.client_connections import ClientConnections

READ_BYTES = 64 * 1024
MAX_QUEUED_BYTES = thrift.MAX_FRAME_BYTES  # calls queued per client before reading from it pauses
MAX_UNSENT_BYTES = thrift.MAX_FRAME_BYTES  # replies unsent per client before processing its calls pauses
MAX_INVALID_CALLS = 8  # per connection before it is closed
INVALID_CALL_PAUSE_S = 0.05  # after each invalid call, to slow down clients that resend it immediately


class ClientCalls:
    """Reads connections and passes their calls to the engine."""

    def __init__(
        self,
        connections: ClientConnections,
        receive_times: ReceiveTimes,
        *,
        post: Callable[[Event], None],
        log: Callable[..., None],
        is_ready: Callable[[], bool],
        max_timeout_s: Mapping[bytes, float],
    ) -> None:
        """Prepare to read the connections of `connections`.

        Args:
            connections: All client connections; writes replies and closes connections.
            receive_times: Returns the earliest time at which bytes read now may have been received.
            post: Called with each event for the engine.
            log: Called with (event, **values).
            is_ready: Returns whether the router accepts requests.
            max_timeout_s: Maximum request timeout by request class.
        """
        self._connections = connections
        self._receive_times = receive_times
        self.post = post
        self._log = log
        self._is_ready = is_ready
        self._max_timeout_s = max_timeout_s

    # Reading.

    async def read(self, client: ClientConnection) -> None:
        """Read a connection until its end."""
        splitter = thrift.FrameSplitter()
        failure = None
        try:
            self._start_read(client)
            while True:
                data = await client.pending_read
                received_at = self._receive_times.received_at(client.last_empty_at, client.waiting_since)
                data += self._read_available(client, thrift.MAX_FRAME_BYTES - len(data))
                if self._connections.is_open(client) and client.close_cause is None:
                    self._process_bytes(client, splitter, data, received_at)
                    while client.queued_bytes > MAX_QUEUED_BYTES:
                        client.may_read.clear()
                        await client.may_read.wait()
                # Yields to other tasks: a client that sends without pause would starve them otherwise.
                await asyncio.sleep(0)
        except (StreamClosedError, OSError):
            pass
        except Exception as error:
            failure = f"{type(error).__name__}: {error}"
        finally:
            client.pending_read = None  # its exception refers to this frame and thereby to the client
            if failure:
                self._log("client connection", why=failure)
            self._connections.drop(client, CloseReason.FAILED if failure else CloseReason.PEER)

    def _start_read(self, client: ClientConnection) -> None:
        """Start the next read; if it finds no bytes, note that the connection was empty."""
        checked_at = self._connections.now()
        client.pending_read = client.stream.read_bytes(READ_BYTES, partial=True)
        if not client.pending_read.done():
            client.last_empty_at = checked_at
            client.waiting_since = None

    def _read_available(self, client: ClientConnection, limit: int) -> bytes:
        """Read the bytes that have already arrived, up to about `limit` bytes.

        If the client has closed the connection, the read raises and its calls are not processed.
        """
        data = b""
        self._start_read(client)
        while client.pending_read.done() and len(data) < limit:
            data += client.pending_read.result()
            self._start_read(client)
        return data

    def _process_bytes(
        self, client: ClientConnection, splitter: thrift.FrameSplitter, data: bytes, received_at: float
    ) -> None:
        calls = splitter.feed(data)
        client.add_calls(calls, received_at)
        if not splitter.buffered:
            client.partial_since = None
        elif calls or client.partial_since is None:
            client.partial_since = received_at
        client.set_buffered(client.queued_bytes + len(splitter.buffered))
        if splitter.error:
            client.close_cause = CloseCause(CloseReason.UNREADABLE, f"unreadable: {splitter.error}")
        self.process_calls(client)
        self._apply_queued_cancels(client)
        self._connections.enforce_memory_limit()

    # Processing.

    def process_calls(self, client: ClientConnection) -> None:
        """Process queued calls, unless the client is paused or does not read its replies."""
        try:
            while (
                client.calls
                and client.unsent_bytes <= MAX_UNSENT_BYTES
                and not client.is_paused
                and self._connections.is_open(client)
            ):
                self._process_call(client, client.next_call())
        except UnreadableError as error:
            client.close_cause = CloseCause(CloseReason.UNREADABLE, f"unreadable: {error}")
            client.clear_calls()
        if client.queued_bytes <= MAX_QUEUED_BYTES:
            client.may_read.set()
        self._connections.close_if_finished(client)

    def _process_call(self, client: ClientConnection, received: ReceivedCall) -> None:
        try:
            call = client_protocol.read_call(received.frame)
        except RefusedCallError as error:
            self.refuse(client, error.reply)
            return
        match call.method:
            case client_protocol.CANCEL:
                self.cancel(client, call.arguments.get(client_protocol.CANCELLED_ARGUMENT))
                return
            case client_protocol.SERVE:
                try:
                    self._post_request(client, call, received.received_at)
                except InvalidCallError as error:
                    reply = client_protocol.invalid_call(call.method, call.sequence_number, error)
                    self.refuse(client, reply)
                    return
            case client_protocol.HEALTH_CHECK:
                reply = client_protocol.health(call.sequence_number, is_healthy=self._is_ready())
                self._connections.write(client, reply)
        client.has_called = True
        client.used_at = received.received_at

    def _post_request(self, client: ClientConnection, call: client_protocol.Call, received_at: float) -> None:
        event = read_request(client.number, call, received_at, self._max_timeout_s)
        client.unanswered.add(call.sequence_number)
        self.post(event)

    def _apply_queued_cancels(self, client: ClientConnection) -> None:
        """Apply the cancels that are queued.

        A cancel does not wait for the calls before it, so that no further attempt starts for its request.
        """
        for call in [call for call in client.calls if client_protocol.is_cancel(call.frame)]:
            number = client_protocol.cancelled_number(call.frame)
            if number is None:  # unreadable; reported when the call is processed
                continue
            cancelled = [
                queued
                for queued in client.calls
                if client_protocol.serve_sequence_number(queued.frame) == number
            ]
            for dropped in (call, *cancelled):
                client.remove_call(dropped)
            self.cancel(client, number)

    def cancel(self, client: ClientConnection, number: int | None) -> None:
        """Cancel a request: its client expects no reply."""
        if number in client.unanswered:
            client.unanswered.remove(number)
            client.cancelled.append(number)
        self.post(RequestCancelled(client.number, number))

    # Invalid calls.

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
