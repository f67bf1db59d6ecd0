"""Accepts client connections, writes replies to them and closes them. Makes no routing decisions."""

from __future__ import annotations

import asyncio
import collections
import functools
import heapq
import socket
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

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
from brookhinge.net import client_protocol
from brookhinge.net.call_buffer import MAX_WHOLE_BYTES
from brookhinge.net.client_calls import ClientCalls
from brookhinge.net.client_connection import ClientConnection, CloseCause
from brookhinge.net.lingering_closes import LingeringCloses
from brookhinge.net.listener import MAX_ACCEPTS_PER_PASS, Listener
from brookhinge.net.memory_use import MemoryUse, Shed
from brookhinge.net.receive_times import ReceiveTimes
from brookhinge.net.stream import Stream, StreamClosedError

if TYPE_CHECKING:
    from brookhinge.overload.ingress import Ingress

CALL_TIMEOUT_S = 2.2  # from accept to the first call, and from a call's first byte to its last
IDLE_TIMEOUT_S = 10.0  # after the first call; clients usually close idle connections earlier
MAX_CLOSED_FOR_CAPACITY = 16  # idle connections closed at a time when the connection limit is reached
DROP_STEP_BYTES = 32 * 1024  # more must be held than when calls were last given up, until that is tried again
EMPTY_CHECK_TTL_S = 0.03  # how long a check that found a connection without unread bytes stays valid
CLOSE_CHECK_INTERVAL_S = 0.005  # polling interval for open connections while the process stops


class ClientConnections:
    """Accepts clients, carries out the effects addressed to them, and closes connections.

    Attributes:
        clients: Open connections by connection id, without the lingering ones.
        lingering: Connections that are shut down for writing but not closed yet.
        calls: Reads the connections and passes the calls to the engine.
        memory: Bytes held for all clients.
        max_connections: Maximum number of open connections.
        closes: Number of closed connections by reason.
        listener: Accepts the connections.
        trace: Called with (step, **values) for each connection that opens or closes; None if tracing is off.
    """

    def __init__(
        self,
        *,
        post: Callable[[Event], None],
        log: Callable[..., None],
        is_ready: Callable[[], bool],
        count_shed: Callable[[], None],
        record_violation: Callable[[Invariant, str], None],
        watch: LoopWatch,
        max_timeout_s: Mapping[bytes, float],
        max_connections: int,
        memory: MemoryUse,
        ingress: Ingress | None = None,
        trace: Callable[..., None] | None = None,
    ) -> None:
        """Create the connections without accepting any; `listen` starts accepting.

        Args:
            post: Called with each event for the engine.
            log: Called with (event, **values).
            is_ready: Returns whether the router accepts requests.
            count_shed: Called for each request that is rejected for lack of memory.
            record_violation: Called with the violated invariant and the details.
            watch: Detects stalls of the event loop.
            max_timeout_s: Maximum request timeout by request class.
            max_connections: Maximum number of open connections.
            memory: Bytes held for all clients, and their limits.
            ingress: Decides which connections to admit, and how many per pass; None if overload control
                is off.
            trace: Called with (step, **values) for each connection that opens or closes, or None.
        """
        self.now = watch.now
        self.clients: dict[int, ClientConnection] = {}
        self.memory = memory
        self.max_connections = max_connections
        self.closes: collections.Counter[CloseReason] = collections.Counter()
        self.lingering = LingeringCloses()
        self.trace = trace
        self._post = post
        self._log = log
        self._record_violation = record_violation
        self._ingress = ingress
        self._last_number = 0
        self._next_drop_bytes = 0
        self._receive_times = ReceiveTimes(watch)
        self.calls = ClientCalls(
            self,
            self._receive_times,
            memory,
            post=post,
            log=log,
            is_ready=is_ready,
            count_shed=count_shed,
            max_timeout_s=max_timeout_s,
        )
        max_accepts = (lambda: MAX_ACCEPTS_PER_PASS) if ingress is None else ingress.max_accepts
        self.listener = Listener(self._open, log, self._has_capacity, max_accepts)
        self.listener.on_shortage = self._receive_times.note_accept_failed
        self.listener.on_empty = self._receive_times.note_backlog_empty

    # Accepting.

    def listen(self, host: str, port: int, listener_fd: int | None = None) -> tuple[str, int]:
        """Start accepting connections and return the bound address; see `Listener.listen`."""
        return self.listener.listen(host, port, listener_fd)

    def stop(self) -> None:
        """Stop listening; connections already in the backlog are still accepted."""
        self.listener.stop()

    def _open(self, accepted: socket.socket, address: str) -> None:
        """Register an accepted connection and start reading it, unless ingress rejects it."""
        network = None
        if self._ingress is not None:
            network, is_admitted = self._ingress.admit(self.now(), address)
            if not is_admitted:
                accepted.close()
                return
        self._last_number += 1
        client = ClientConnection(self._last_number, Stream(accepted), self.now(), self.memory)
        client.stream.on_sent = functools.partial(self._note_sent, client)
        client.stream.on_failed = functools.partial(self.drop, client, CloseReason.PEER)
        client.waiting_since = self._receive_times.waiting_since()
        self.clients[client.number] = client
        if self.trace is not None:
            self.trace("client connected", client=client.number)
        if network is not None:
            client.network = network
            self._post(ClientConnected(client.number, address))
        self.calls.start(client)

    def _has_capacity(self) -> bool:
        return self._open_connections() < self.max_connections or self.make_capacity()

    def _open_connections(self) -> int:
        return len(self.clients) + len(self.lingering)

    def make_capacity(self) -> bool:
        """Close the connections that are needed least; return whether any was closed.

        Those on which an incomplete call has stalled go first, then those that have been idle longest. A
        connection with a complete call is never closed for capacity.
        """
        now = self.now()
        unused = [client for client in self.clients.values() if client.is_stalled_in_call(now)]
        if not unused:
            unused = [
                client
                for client in self.clients.values()
                if client.partial_since is None and client.is_idle() and not client.unanswered
            ]
        count_before = self._open_connections()
        for client in heapq.nsmallest(MAX_CLOSED_FOR_CAPACITY, unused, key=lambda client: client.used_at):
            self.close_gracefully(client, CloseReason.ROOM)
        self.lingering.trim()
        return self._open_connections() < count_before

    # Effects.

    def respond(self, effect: Respond) -> None:
        """Write the response to a successful request."""
        reply = client_protocol.response(effect.number, effect.body, is_unchanged=effect.is_unchanged)
        self.reply(effect.client, effect.number, reply)

    def reject(self, effect: RejectRequest) -> None:
        """Write a rejection: the request was not executed and may be retried."""
        reply = client_protocol.rejection(effect.number, effect.retry_after_s)
        self.reply(effect.client, effect.number, reply)

    def fail(self, effect: FailRequest) -> None:
        """Write that a request failed."""
        self.reply(effect.client, effect.number, client_protocol.failure(effect.number))

    def refuse_call(self, effect: RefuseCall) -> None:
        """Write a protocol error for a request that is invalid."""
        client = self.clients.get(effect.client)
        if client is not None:
            client.end_request(effect.number)
            self.calls.refuse(client, client_protocol.invalid_request(effect.number, effect.reason))

    def close_client(self, effect: CloseClient) -> None:
        """Close the connection of a client that violated the protocol."""
        client = self.clients.get(effect.client)
        if client is not None:
            self.close_with_cause(client, CloseCause(CloseReason.BREACH, effect.reason))

    def drop_after_failure(self, effect: Effect) -> None:
        """Close the connection of a client whose effect raised an exception."""
        client = self.clients.get(effect.client)
        if client is not None:
            self.drop(client, CloseReason.FAILED)

    def hold_reason(self, client_number: int, number: int) -> HeldBack | None:
        """Return the reason to hold back an attempt because of the state of its client, or None."""
        client = self.clients.get(client_number)
        now = self.now()
        if client is None or number not in client.unanswered:
            return HeldBack.CLIENT_GONE
        if client.was_empty and now - client.last_empty_at <= EMPTY_CHECK_TTL_S:
            return None
        if client.has_unread():
            return HeldBack.CLIENT_UNREAD
        client.last_empty_at = now
        client.was_empty = True
        return None

    # Writing.

    def reply(self, client_number: int, number: int, reply: bytes) -> None:
        """Write the final reply to a request; a second reply is recorded as a violation and not sent."""
        client = self.clients.get(client_number)
        if client is None:
            return
        if number in client.cancelled:  # the reply and the cancel crossed
            client.cancelled.remove(number)
            return
        if not client.end_request(number):
            self._record_violation(Invariant.ONE_ANSWER, f"second reply to request number {number}")
            return
        client.used_at = self.now()
        self.write(client, reply)
        if client.close_cause:  # deferred until all replies of this round are written
            asyncio.get_running_loop().call_soon(self.close_if_finished, client)

    def write(self, client: ClientConnection, reply: bytes) -> None:
        """Write without waiting; bytes the kernel does not accept are held within the memory limit."""
        try:
            client.stream.write(reply)
        except StreamClosedError:
            return
        if client.stream.unsent_bytes:
            client.count_replies()
            self.enforce_memory_limits()

    def _note_sent(self, client: ClientConnection) -> None:
        client.moved_at = self.now()
        client.count_replies()
        self.calls.process_calls(client)

    def enforce_memory_limits(self) -> None:
        """Give up what is held for clients while it exceeds the limits."""
        memory = self.memory
        if memory.call_bytes <= memory.limits.call_bytes:
            self._next_drop_bytes = 0
        elif memory.call_bytes > self._next_drop_bytes:
            self._drop_calls()
            self._next_drop_bytes = memory.call_bytes + DROP_STEP_BYTES
        if memory.reply_bytes > memory.limits.reply_bytes:
            self._close_unread_clients()

    def _drop_calls(self) -> None:
        """Give up large calls of clients until half of the memory for calls is free."""
        now = self.now()
        memory = self.memory
        by_priority = sorted(
            (client for client in self.clients.values() if len(client.calls) > MAX_WHOLE_BYTES),
            key=lambda client: client.drop_priority(len(client.calls), now),
            reverse=True,
        )
        for client in by_priority:
            if memory.call_bytes <= memory.limits.call_bytes / 2:
                return
            self.calls.drop_call(client)

    def _close_unread_clients(self) -> None:
        """Close connections of clients that do not read until their replies are within the limit."""
        unread = [client for client in self.clients.values() if client.stream.unsent_bytes]
        for client in sorted(unread, key=self._reply_drop_priority, reverse=True):
            if self.memory.reply_bytes <= self.memory.limits.reply_bytes:
                return
            self._close_unread(client)

    def _reply_drop_priority(self, client: ClientConnection) -> float:
        return client.drop_priority(client.stream.unsent_bytes, self.now())

    def _close_unread(self, client: ClientConnection) -> None:
        """Close the connection of a client that does not read its replies."""
        self.memory.shed[Shed.UNREAD_REPLIES] += 1
        detail = f"{client.stream.unsent_bytes} reply bytes not read, {len(client.calls)} call bytes pending"
        self.close_with_cause(client, CloseCause(CloseReason.MEMORY, detail))

    # Closing.

    def is_open(self, client: ClientConnection) -> bool:
        """Return whether calls are still accepted on a connection."""
        return client.number in self.clients

    def sweep(self) -> None:
        """Close connections whose partial call timed out and connections that have been idle too long."""
        now = self.now()
        for client in list(self.clients.values()):
            if client.partial_since is not None:
                if now - client.partial_since > CALL_TIMEOUT_S and not client.has_unread():
                    self._end_partial_call(client)
            elif now - client.used_at > (IDLE_TIMEOUT_S if client.has_called else CALL_TIMEOUT_S):
                self._close_idle(client)

    def _end_partial_call(self, client: ClientConnection) -> None:
        """Stop reading a client whose call is incomplete; close it once its earlier requests are answered."""
        client.partial_since = None
        client.close_cause = client.close_cause or CloseCause(
            CloseReason.SLOW, "incomplete call: the rest did not arrive in time"
        )
        self.close_if_finished(client)

    def _close_idle(self, client: ClientConnection) -> None:
        if client.unanswered:
            return
        if client.is_idle():
            self.close_gracefully(client, CloseReason.IDLE if client.has_called else CloseReason.NO_CALL)
        elif client.close_cause or self.now() - client.moved_at > IDLE_TIMEOUT_S:
            # The client does not read its replies.
            self.drop(client, CloseReason.UNREAD)

    def close_if_finished(self, client: ClientConnection) -> None:
        """Close a connection that has a close cause, once all its requests are answered."""
        if client.close_cause and client.is_idle() and not client.unanswered:
            self.close_with_cause(client, client.close_cause)

    def close_with_cause(self, client: ClientConnection, cause: CloseCause) -> None:
        """Close a connection even if calls on it are unread, and log the cause."""
        if self.is_open(client):
            self.log_connection(client, cause.detail)
            self.close_gracefully(client, cause.reason, is_forced=True)

    def log_connection(self, client: ClientConnection, why: str) -> None:
        """Log what ends a connection."""
        self._log(
            "client connection",
            why=why,
            client=client.number,
            peer=client.peer(),
            open=len(client.unanswered),
        )

    def close_gracefully(
        self, client: ClientConnection, reason: CloseReason, *, is_forced: bool = False
    ) -> None:
        """Shut down a connection for writing and close it after a linger time.

        An immediate close could reset the connection and lose replies in transit. A connection with an
        unread call stays open, unless the close is forced.
        """
        if not (is_forced or client.has_no_unread_bytes()):
            return
        self._remove(client, reason)
        if client.stream.unsent_bytes:  # the client does not read: its replies are discarded
            self._close_stream(client)
            return
        self.lingering.add(client)
        if not client.is_reading:  # what still arrives is discarded
            self.calls.start(client)

    def drop(self, client: ClientConnection, reason: CloseReason) -> None:
        """Close a connection immediately, also one that is lingering."""
        self._close_stream(client)
        self._remove(client, reason)

    def _close_stream(self, client: ClientConnection) -> None:
        self.lingering.close(client)
        client.count_replies()

    def _remove(self, client: ClientConnection, reason: CloseReason) -> None:
        """Remove a connection with its pending calls and report the disconnect to the engine."""
        if self.clients.pop(client.number, None) is None:
            return
        self._record_close(client, reason)
        client.release()
        if client.network is not None:
            self._ingress.release(client.network)
        self._post(ClientDisconnected(client.number))

    def _record_close(self, client: ClientConnection, reason: CloseReason) -> None:
        self.closes[reason] += 1
        if self.trace is not None:
            self.trace("client closed", client=client.number, reason=reason, owed=len(client.unanswered))
        if not rules.may_close(reason, bool(client.unanswered), bool(client.calls.whole_calls)):
            detail = (
                f"{reason}: {len(client.unanswered)} requests open, {client.calls.whole_calls} calls pending"
            )
            self._record_violation(Invariant.CLOSE, detail)

    async def end(self, until: float) -> None:
        """Close all connections; complete calls that arrive before the deadline are still answered.

        Args:
            until: Time at which the remaining connections are dropped, in seconds of the router's clock.
        """
        while (self.clients or self.lingering) and self.now() < until:
            for client in list(self.clients.values()):
                if client.is_idle() and not client.unanswered:
                    self.close_gracefully(client, CloseReason.STOPPING)
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        for client in [*self.clients.values(), *self.lingering]:
            self.drop(client, CloseReason.STOPPING)
