"""Clients' calls: bytes read from connections to events of the engine. Decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from brookhinge.decisions.rules import CloseReason
from brookhinge.engine.events import Event, RequestCancelled
from brookhinge.net import client_protocol, thrift
from brookhinge.net.client_connection import ClientConnection, Ending, ReceivedCall
from brookhinge.net.errors import InvalidCallError, RefusedCallError, UnreadableError
from brookhinge.net.receive_times import ReceiveTimes
from brookhinge.net.request_validation import read_request

if TYPE_CHECKING:
    from brookhinge.net.client_connections import ClientConnections

READ_BYTES = 64 * 1024
MAX_QUEUED_BYTES = thrift.MAX_FRAME_BYTES  # of a client's calls; past it no more is read of it
MAX_UNSENT_BYTES = thrift.MAX_FRAME_BYTES  # of a client's replies; past it no more is handed on of it
MAX_INVALID_CALLS = 8  # on one connection, then it is closed
INVALID_CALL_PAUSE_S = 0.05  # after each: who sends the same again at once waits for so long


class ClientCalls:
    """Reads connections and hands their calls on to the engine."""

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
            connections: All connections, by which a connection is written and closed.
            receive_times: Tells when what is read now was received at the earliest.
            post: Takes the events.
            log: Takes (event, **values).
            is_ready: Whether the router takes requests.
            max_timeout_s: The longest time that clients may wait, by request class.
        """
        self._connections = connections
        self._receive_times = receive_times
        self.post = post
        self._log = log
        self._is_ready = is_ready
        self._max_timeout_s = max_timeout_s

    # reading

    async def read(self, client: ClientConnection) -> None:
        """Read a connection until its end."""
        frames = thrift.FrameSplitter()
        fault = None
        try:
            self._begin_read(client)
            while True:
                data = await client.pending_read
                received_at = self._receive_times.received_at(client.emptied_at, client.waiting_since)
                data += self._read_available(client, thrift.MAX_FRAME_BYTES - len(data))
                if self._connections.is_open(client) and client.ending is None:
                    self._take_bytes(client, frames, data, received_at)
                    while client.queued_bytes > MAX_QUEUED_BYTES:
                        client.may_read.clear()
                        await client.may_read.wait()
                # Others' turn: a client that sends without a pause would be read without one.
                await asyncio.sleep(0)
        except (StreamClosedError, OSError):
            pass
        except Exception as error:
            fault = f"{type(error).__name__}: {error}"
        finally:
            client.pending_read = None  # its error holds this frame, which holds the client
            if fault:
                self._log("client connection", why=fault)
            self._connections.drop(client, CloseReason.FAILED if fault else CloseReason.PEER)

    def _begin_read(self, client: ClientConnection) -> None:
        """Begin the next read; where that finds nothing, everything that came has been read."""
        looked_at = self._connections.now()
        client.pending_read = client.stream.read_bytes(READ_BYTES, partial=True)
        if not client.pending_read.done():
            client.emptied_at = looked_at
            client.waiting_since = None

    def _read_available(self, client: ClientConnection, limit: int) -> bytes:
        """Read what stands behind, up to about `limit` bytes.

        The client's end may be there: then no call of it is taken.
        """
        data = b""
        self._begin_read(client)
        while client.pending_read.done() and len(data) < limit:
            data += client.pending_read.result()
            self._begin_read(client)
        return data

    def _take_bytes(
        self, client: ClientConnection, frames: thrift.FrameSplitter, data: bytes, received_at: float
    ) -> None:
        calls = frames.feed(data)
        client.add_calls(calls, received_at)
        if not frames.buffered:
            client.partial_since = None
        elif calls or client.partial_since is None:
            client.partial_since = received_at
        client.set_buffered(client.queued_bytes + len(frames.buffered))
        if frames.error:
            client.ending = Ending(CloseReason.UNREADABLE, f"unreadable: {frames.error}")
        self.hand_on(client)
        self._take_cancels(client)
        self._connections.enforce_memory_limit()

    # handing on

    def hand_on(self, client: ClientConnection) -> None:
        """Hand calls on, but of a client that reads no replies or is paused."""
        try:
            while (
                client.calls
                and client.unsent_bytes <= MAX_UNSENT_BYTES
                and not client.is_paused
                and self._connections.is_open(client)
            ):
                self._carry_out(client, client.next_call())
        except UnreadableError as error:
            client.ending = Ending(CloseReason.UNREADABLE, f"unreadable: {error}")
            client.clear_calls()
        if client.queued_bytes <= MAX_QUEUED_BYTES:
            client.may_read.set()
        self._connections.close_if_ended(client)

    def _carry_out(self, client: ClientConnection, received: ReceivedCall) -> None:
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
            case client_protocol.IS_WELL:
                reply = client_protocol.health(call.sequence_number, is_well=self._is_ready())
                self._connections.write(client, reply)
        client.has_called = True
        client.used_at = received.received_at

    def _post_request(self, client: ClientConnection, call: client_protocol.Call, received_at: float) -> None:
        event = read_request(client.number, call, received_at, self._max_timeout_s)
        client.unanswered.add(call.sequence_number)
        self.post(event)

    def _take_cancels(self, client: ClientConnection) -> None:
        """Carry out the cancels that are queued.

        A cancel does not wait behind calls that have to: no attempt may begin for its request any more.
        """
        for call in [call for call in client.calls if client_protocol.is_cancel(call.frame)]:
            number = client_protocol.cancelled_number(call.frame)
            if number is None:  # it cannot be read: that is found out in its turn
                continue
            cancelled = [
                other for other in client.calls if client_protocol.serve_number(other.frame) == number
            ]
            for done in (call, *cancelled):
                client.remove_call(done)
            self.cancel(client, number)

    def cancel(self, client: ClientConnection, number: int | None) -> None:
        """Note that no answer is owed to a request any more."""
        if number in client.unanswered:
            client.unanswered.remove(number)
            client.cancelled.append(number)
        self.post(RequestCancelled(client.number, number))

    # calls that cannot be carried out

    def refuse(self, client: ClientConnection, reply: bytes) -> None:
        """Reply that a call cannot be carried out; who goes on sending such is closed."""
        client.invalid_calls += 1
        self._connections.write(client, reply)
        if client.invalid_calls >= MAX_INVALID_CALLS:
            breach = Ending(CloseReason.BREACH, f"{MAX_INVALID_CALLS} calls that cannot be taken")
            self._connections.close_for(client, breach)
        elif not client.is_paused:
            client.is_paused = True
            asyncio.get_running_loop().call_later(INVALID_CALL_PAUSE_S, self._resume, client)

    def _resume(self, client: ClientConnection) -> None:
        client.is_paused = False
        self.hand_on(client)
