"""The state of one client connection: pending calls, unanswered requests and buffered bytes."""

from __future__ import annotations

import asyncio
import collections
from typing import NamedTuple

from brookhinge.decisions.rules import CloseReason
from brookhinge.net import stream
from brookhinge.net.stream import Stream, Unread

# Cancelled sequence numbers kept per connection, since the reply to a request may cross its cancel.
MAX_REMEMBERED_CANCELS = 64


class ReceivedCall(NamedTuple):
    """A call that is queued for processing."""

    frame: bytes
    received_at: float


class CloseCause(NamedTuple):
    """Why a connection is closed."""

    reason: CloseReason
    detail: str


class MemoryUse:
    """Bytes buffered for all clients, and their limit.

    Attributes:
        limit_bytes: Limit on the sum of the other two.
        unsent_bytes: Bytes of replies that the kernel has not accepted yet because clients do not read.
        buffered_bytes: Bytes of received calls, complete or partial, that are not processed yet.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.unsent_bytes = 0
        self.buffered_bytes = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether the buffered bytes exceed the limit."""
        return self.unsent_bytes + self.buffered_bytes > self.limit_bytes


class ClientConnection:
    """The state of one connection.

    Once `close_cause` is set, no more data of the client is processed; requests accepted before are
    answered, then the connection is closed.

    Attributes:
        number: Connection id, by which the engine identifies the client.
        stream: The byte stream of the connection.
        network: The client's network, or None if overload control is off.
        used_at: Time of the last call received or the last reply written.
        has_called: Whether the client has made a call.
        partial_since: Time since which a call has been incomplete, or None if there is none.
        last_empty_at: Time of the last check that found no unread bytes.
        waiting_since: Earliest time at which the connection may have entered the backlog; None if it did
            not wait or once all bytes received while it waited have been read.
        pending_read: Result of the read in progress, or None.
        may_read: Cleared while too many bytes of calls are queued.
        calls: Received calls that are not processed yet.
        queued_bytes: Total size of `calls`.
        unanswered: Sequence numbers of requests without a final reply.
        cancelled: Sequence numbers of the latest requests that the client cancelled before their reply.
        invalid_calls: Number of invalid calls received.
        is_paused: Whether processing of calls is paused after an invalid call.
        close_cause: Why the connection is about to be closed, or None.
    """

    def __init__(self, number: int, connection: Stream, now: float, memory: MemoryUse) -> None:
        """Create the state of a connection that was just accepted.

        Args:
            number: Connection id.
            connection: The byte stream of the connection.
            now: Current time, in seconds of the router's clock.
            memory: Totals over all clients, which this connection updates.
        """
        self.number = number
        self.stream = connection
        self.network: str | None = None
        self.used_at = now
        self.has_called = False
        self.partial_since: float | None = None
        self.last_empty_at = now
        self.waiting_since: float | None = None
        self.pending_read: asyncio.Future[bytes] | None = None
        self.may_read = asyncio.Event()
        self.calls: collections.deque[ReceivedCall] = collections.deque()
        self.queued_bytes = 0
        self.unanswered: set[int] = set()
        self.cancelled: collections.deque[int] = collections.deque(maxlen=MAX_REMEMBERED_CANCELS)
        self.invalid_calls = 0
        self.is_paused = False
        self.close_cause: CloseCause | None = None
        self._memory = memory
        self._unsent_bytes = 0
        self._buffered_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes of replies that are not sent because the client does not read."""
        return self._unsent_bytes

    @property
    def buffered_bytes(self) -> int:
        """Bytes of calls that are queued or incomplete."""
        return self._buffered_bytes

    @property
    def held_bytes(self) -> int:
        """Total bytes buffered for this connection."""
        return self._unsent_bytes + self._buffered_bytes

    def add_unsent(self, size: int) -> None:
        """Add to the unsent bytes; a negative `size` subtracts bytes that were sent."""
        self._unsent_bytes += size
        self._memory.unsent_bytes += size

    def set_buffered(self, size: int) -> None:
        """Set the number of buffered bytes of calls."""
        self._memory.buffered_bytes += size - self._buffered_bytes
        self._buffered_bytes = size

    def add_calls(self, frames: list[bytes], received_at: float) -> None:
        """Queue calls; the caller accounts for their bytes with `set_buffered`."""
        self.calls.extend(ReceivedCall(frame, received_at) for frame in frames)
        self.queued_bytes += sum(map(len, frames))

    def next_call(self) -> ReceivedCall:
        """Remove the first call from the queue and return it."""
        call = self.calls.popleft()
        self._subtract_bytes(call)
        return call

    def remove_call(self, call: ReceivedCall) -> None:
        """Remove a call from the queue without processing it."""
        self.calls.remove(call)
        self._subtract_bytes(call)

    def clear_calls(self) -> None:
        """Discard all calls that are not processed yet."""
        self.calls.clear()
        self.queued_bytes = 0
        self.set_buffered(0)

    def _subtract_bytes(self, call: ReceivedCall) -> None:
        size = len(call.frame)
        self.queued_bytes -= size
        self.set_buffered(self._buffered_bytes - size)

    def is_idle(self) -> bool:
        """Return whether no call is pending and no reply is unsent."""
        is_read_done = self.pending_read is not None and self.pending_read.done()
        return not (self._unsent_bytes or self.calls or is_read_done)

    def has_no_unread_bytes(self) -> bool:
        """Return whether the kernel holds no unread bytes; a close would lose an unread call."""
        return stream.unread(self.stream.socket) in (Unread.NOTHING, Unread.END)

    def has_unread(self) -> bool:
        """Return whether unprocessed input has arrived, such as a cancel or the end of the connection."""
        is_read_done = self.pending_read is None or self.pending_read.done()
        return is_read_done or stream.unread(self.stream.socket) is not Unread.NOTHING
