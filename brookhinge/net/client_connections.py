"""The connections of all clients: accepted, swept, answered and closed. Decides nothing."""

from __future__ import annotations

import asyncio
import collections
import heapq
import socket
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from brookhinge.decisions import rules
from brookhinge.decisions.rules import CloseReason, HeldBack
from brookhinge.engine.effects import (
    CloseClient,
    Effect,
    FailRequest,
    RefuseCall,
    RejectRequest,
    Respond,
)
from brookhinge.engine.events import ClientConnected, ClientDisconnected, Event
from brookhinge.engine.invariants import Invariant
from brookhinge.engine.loop_watch import LoopWatch
from brookhinge.net import client_protocol, thrift
from brookhinge.net.client_calls import READ_BYTES, ClientCalls
from brookhinge.net.client_connection import ClientConnection, Ending, MemoryUse
from brookhinge.net.lingering_closes import LingeringCloses
from brookhinge.net.listener import MAX_ACCEPTS_PER_PASS, Listener
from brookhinge.net.receive_times import ReceiveTimes
from brookhinge.net.stream import Stream

if TYPE_CHECKING:
    from brookhinge.overload.ingress import Ingress

CALL_TIMEOUT_S = 2.2  # from the connect to the first call, and from a call's first byte to its last
IDLE_TIMEOUT_S = 10.0  # of a connection that has called; usual clients close theirs before
CLOSED_FOR_CAPACITY = 16  # connections closed at once when all descriptors are taken
EMPTY_CHECK_TTL_S = 0.03  # a connection that was read empty counts as empty for so long
CLOSE_CHECK_INTERVAL_S = 0.005  # between two looks at what is still open as the process ends


class ClientConnections:
    """Accepts clients, writes what the engine decided, and closes connections.

    Attributes:
        clients: All connections by number, but those that are lingering.
        lingering: Connections whose writing side is shut.
        calls: Reads the connections and hands on what clients call.
        memory: Bytes held for all clients.
        max_connections: How many connections may be open.
        closes: Counts of closes by reason.
        listener: The listening socket.
        trace: Takes (step, **values) of each connection, or None.
    """

    def __init__(
        self,
        *,
        post: Callable[[Event], None],
        log: Callable[..., None],
        is_ready: Callable[[], bool],
        has_open_requests: Callable[[int], bool],
        record_violation: Callable[[Invariant, str], None],
        watch: LoopWatch,
        max_timeout_s: Mapping[bytes, float],
        max_connections: int,
        memory_limit_bytes: int,
        ingress: Ingress | None = None,
        trace: Callable[..., None] | None = None,
    ) -> None:
        """Prepare to accept; `listen` begins.

        Args:
            post: Takes the events.
            log: Takes (event, **values).
            is_ready: Whether the router takes requests.
            has_open_requests: Whether a client, by its number, has requests that are not answered.
            record_violation: Counts a rule that was broken.
            watch: The watch of the loop.
            max_timeout_s: The longest time that clients may wait, by request class.
            max_connections: How many connections may be open.
            memory_limit_bytes: How many bytes may be held for all clients.
            ingress: How many connections to accept and whose, where overload is watched.
            trace: Takes (step, **values) of each connection, or None.
        """
        self.now = watch.now
        self.clients: dict[int, ClientConnection] = {}
        self.memory = MemoryUse(memory_limit_bytes)
        self.max_connections = max_connections
        self.closes: collections.Counter[CloseReason] = collections.Counter()
        self.lingering = LingeringCloses()
        self.trace = trace
        self._post = post
        self._log = log
        self._has_open_requests = has_open_requests
        self._record_violation = record_violation
        self._ingress = ingress
        self._last_number = 0
        self._readers: set[asyncio.Task] = set()
        self._receive_times = ReceiveTimes(watch)
        self.calls = ClientCalls(
            self,
            self._receive_times,
            post=post,
            log=log,
            is_ready=is_ready,
            max_timeout_s=max_timeout_s,
        )
        max_accepts = (lambda: MAX_ACCEPTS_PER_PASS) if ingress is None else ingress.max_accepts
        self.listener = Listener(self._open, log, self._has_capacity, max_accepts)
        self.listener.on_shortage = self._receive_times.note_accept_failed
        self.listener.on_empty = self._receive_times.note_backlog_empty

    # accepting

    def listen(self, host: str, port: int, listener_fd: int | None = None) -> tuple[str, int]:
        """Begin to accept and return the address; see `Listener.listen`."""
        return self.listener.listen(host, port, listener_fd)

    def stop(self) -> None:
        """Accept no more; connections that have come before are still accepted."""
        self.listener.stop()

    def _open(self, accepted: socket.socket, address: str) -> None:
        """Begin to read a connection that was accepted."""
        network = None
        if self._ingress is not None:
            network, is_kept = self._ingress.admit(self.now(), address)
            if not is_kept:
                accepted.close()
                return
        connection = Stream(accepted, max_buffer_size=2 * thrift.MAX_FRAME_BYTES, read_chunk_size=READ_BYTES)
        self._last_number += 1
        client = ClientConnection(self._last_number, connection, self.now(), self.memory)
        client.waiting_since = self._receive_times.waiting_since()
        self.clients[client.number] = client
        if self.trace is not None:
            self.trace("client connected", client=client.number)
        if network is not None:
            client.network = network
            self._post(ClientConnected(client.number, address))
        reader = asyncio.get_running_loop().create_task(self.calls.read(client))
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)

    def _has_capacity(self) -> bool:
        return len(self.clients) < self.max_connections or self.make_capacity()

    def make_capacity(self) -> bool:
        """Close the connections that have been idle longest; return whether any was closed.

        A connection on which a call has come, whole or in part, is never closed for this.
        """
        idle = [
            client
            for client in self.clients.values()
            if client.partial_since is None
            and client.is_idle()
            and not self._has_open_requests(client.number)
        ]
        count_before = len(self.clients)
        for client in heapq.nsmallest(CLOSED_FOR_CAPACITY, idle, key=lambda client: client.used_at):
            self.release(client, CloseReason.ROOM)
        self.lingering.trim()
        return len(self.clients) < count_before

    # effects

    def respond(self, effect: Respond) -> None:
        """Write the answer to a request that succeeded."""
        reply = client_protocol.response(effect.number, effect.body, is_unchanged=effect.is_unchanged)
        self.reply(effect.client, effect.number, reply)

    def reject(self, effect: RejectRequest) -> None:
        """Write that a request was not carried out and may be sent again."""
        reply = client_protocol.rejection(effect.number, effect.retry_after_s)
        self.reply(effect.client, effect.number, reply)

    def fail(self, effect: FailRequest) -> None:
        """Write that a request failed."""
        self.reply(effect.client, effect.number, client_protocol.failure(effect.number))

    def refuse_call(self, effect: RefuseCall) -> None:
        """Write that a request broke the protocol."""
        client = self.clients.get(effect.client)
        if client is not None:
            client.unanswered.discard(effect.number)
            self.calls.refuse(client, client_protocol.invalid_request(effect.number, effect.reason))

    def close_client(self, effect: CloseClient) -> None:
        """Close the connection of a client that broke the protocol."""
        client = self.clients.get(effect.client)
        if client is not None:
            self.close_for(client, Ending(CloseReason.BREACH, effect.reason))

    def drop_after_failure(self, effect: Effect) -> None:
        """Close the connection whose effect could not be carried out."""
        client = self.clients.get(effect.client)
        if client is not None:
            self.drop(client, CloseReason.FAILED)

    def hold_reason(self, client_number: int, number: int) -> HeldBack | None:
        """Return why no attempt may be made now for a request, by what its client did, or None."""
        client = self.clients.get(client_number)
        now = self.now()
        if client is None or number not in client.unanswered:
            return HeldBack.CLIENT_GONE
        if now - client.emptied_at <= EMPTY_CHECK_TTL_S:
            return None
        if client.has_unread():
            return HeldBack.CLIENT_UNREAD
        client.emptied_at = now
        return None

    # writing

    def reply(self, client_number: int, number: int, reply: bytes) -> None:
        """Write the final answer to a request, once."""
        client = self.clients.get(client_number)
        if client is None:
            return
        if number in client.cancelled:  # the answer and the cancel crossed
            client.cancelled.remove(number)
            return
        if number not in client.unanswered:
            self._record_violation(Invariant.ONE_ANSWER, f"a second one under number {number}")
            return
        client.unanswered.remove(number)
        client.used_at = self.now()
        self.write(client, reply)
        if client.ending:  # once the answers of this round are all written
            asyncio.get_running_loop().call_soon(self.close_if_ended, client)

    def write(self, client: ClientConnection, reply: bytes) -> None:
        """Write without waiting; what the system does not take is held within the memory limit."""
        try:
            flushed = client.stream.write(reply)
        except StreamClosedError:
            return
        if flushed.done():
            return
        size = len(reply)
        client.add_unsent(size)
        flushed.add_done_callback(lambda done: self._note_flushed(client, size, done))
        self.enforce_memory_limit()

    def _note_flushed(self, client: ClientConnection, size: int, flushed: asyncio.Future[None]) -> None:
        if not flushed.cancelled():
            flushed.exception()  # looked at, or asyncio would log it
        client.add_unsent(-size)
        self.calls.hand_on(client)

    def enforce_memory_limit(self) -> None:
        """Give up the client with most bytes held, once there are too many in all."""
        if not self.memory.is_exceeded:
            return
        worst = max(self.clients.values(), key=lambda client: client.held_bytes, default=None)
        if worst is not None:
            detail = f"{worst.unsent_bytes} bytes not read, {worst.buffered_bytes} of its calls held"
            self.close_for(worst, Ending(CloseReason.MEMORY, detail))

    # closing

    def is_open(self, client: ClientConnection) -> bool:
        """Return whether a connection is still taken calls of."""
        return client.number in self.clients

    def sweep(self) -> None:
        """Close who brings no whole call in time, and who has been idle for long."""
        now = self.now()
        for client in list(self.clients.values()):
            if client.partial_since is not None:
                if now - client.partial_since > CALL_TIMEOUT_S and not client.has_unread():
                    self._end_partial(client)
            elif now - client.used_at > (IDLE_TIMEOUT_S if client.has_called else CALL_TIMEOUT_S):
                self._close_unused(client)

    def _end_partial(self, client: ClientConnection) -> None:
        """Take no more of a client whose call has no end; what came before is answered first."""
        client.partial_since = None
        client.ending = client.ending or Ending(CloseReason.SLOW, "half a call and not its rest")
        self.close_if_ended(client)

    def _close_unused(self, client: ClientConnection) -> None:
        if self._has_open_requests(client.number):
            return
        if client.is_idle():
            self.release(client, CloseReason.IDLE if client.has_called else CloseReason.NO_CALL)
        elif client.ending:  # it does not read its last answers
            self.drop(client, CloseReason.UNREAD)

    def close_if_ended(self, client: ClientConnection) -> None:
        """Close a connection of which nothing more is taken, once all that was taken is answered."""
        is_answered = not client.calls and not client.unsent_bytes
        if client.ending and is_answered and not self._has_open_requests(client.number):
            self.close_for(client, client.ending)

    def close_for(self, client: ClientConnection, ending: Ending) -> None:
        """Close a connection, whatever lies unread on it, and log why."""
        if self.is_open(client):
            self._log("client connection", why=ending.detail)
            self.release(client, ending.reason, is_forced=True)

    def release(self, client: ClientConnection, reason: CloseReason, *, is_forced: bool = False) -> None:
        """Shut the writing side of a connection and read on for a while.

        Answers that are still on their way would be lost with a reset. A connection on which a call lies
        unread is left open, unless the close is forced.
        """
        if not (is_forced or client.is_silent()):
            return
        self._forget(client, reason)
        if client.unsent_bytes:  # it reads nothing: its answers are given up
            self.lingering.close(client)
        else:
            self.lingering.add(client)

    def drop(self, client: ClientConnection, reason: CloseReason) -> None:
        """Close a connection at once; its writing side may have been shut before."""
        self.lingering.close(client)
        self._forget(client, reason)

    def _forget(self, client: ClientConnection, reason: CloseReason) -> None:
        """Take nothing more of a client, and forget what waits of it."""
        if self.clients.pop(client.number, None) is None:
            return
        self._note_close(client, reason)
        client.clear_calls()
        client.may_read.set()
        if client.network is not None:
            self._ingress.release(client.network)
        self._post(ClientDisconnected(client.number))

    def _note_close(self, client: ClientConnection, reason: CloseReason) -> None:
        self.closes[reason] += 1
        if self.trace is not None:
            self.trace("client closed", client=client.number, reason=reason, owed=len(client.unanswered))
        if not rules.may_close(reason, bool(client.unanswered), bool(client.calls)):
            detail = f"{reason}: {len(client.unanswered)} queries open, {len(client.calls)} calls read"
            self._record_violation(Invariant.CLOSE, detail)

    async def end(self, until: float) -> None:
        """Close all connections; what comes whole by then is still answered.

        Args:
            until: When the rest is dropped, in seconds of the router's clock.
        """
        while (self.clients or self.lingering) and self.now() < until:
            for client in list(self.clients.values()):
                if client.is_idle() and not self._has_open_requests(client.number):
                    self.release(client, CloseReason.STOPPING)
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        for client in [*self.clients.values(), *self.lingering]:
            self.drop(client, CloseReason.STOPPING)
