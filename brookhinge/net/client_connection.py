"""The state of one client connection: pending calls, unanswered requests and buffered bytes."""

from __future__ import annotations

from typing import NamedTuple

from brookhinge.decisions import memory_limits
from brookhinge.decisions.rules import CloseReason
from brookhinge.net import stream
from brookhinge.net.call_buffer import CallBuffer
from brookhinge.net.memory_use import MemoryUse
from brookhinge.net.stream import Stream, Unread

# Cancelled sequence numbers kept per connection, since the reply to a request may cross its cancel.
MAX_REMEMBERED_CANCELS = 64
STALLED_CALL_S = 0.25  # without a byte of an incomplete call, until its connection may be closed for another
MAX_UNSENT_BYTES = 256 * 1024  # replies unsent to a client before processing its calls pauses


class CloseCause(NamedTuple):
    """Why a connection is closed."""

    reason: CloseReason
    detail: str


class ClientConnection:
    """The state of one connection.

    Once `close_cause` is set, no more data of the client is processed; requests accepted before are
    answered, then the connection is closed.

    Attributes:
        number: Connection id, by which the engine identifies the client.
        stream: The byte stream of the connection.
        network: The client's network, or None if overload control is off.
        used_at: Time of the last call received or the last reply written.
        moved_at: Time at which bytes were last received, or unsent bytes accepted by the kernel.
        has_called: Whether the client has made a call.
        partial_since: Time since which a call has been incomplete, or None if there is none.
        last_empty_at: Time of the last check that found no unread bytes, at first that of its acceptance.
        was_empty: Whether a check has found no unread bytes since the connection was accepted.
        has_more: Whether the kernel may hold more bytes since the connection was last read.
        waiting_since: Earliest time at which the connection may have entered the backlog; None if it did
            not wait or once all bytes received while it waited have been read.
        calls: Received bytes of calls that are not processed yet.
        unanswered: Bytes counted for each request without a final reply, by sequence number.
        cancelled: Sequence numbers of the latest requests that the client cancelled before their reply.
        cancelled_early: Sequence numbers of queued calls that a cancel behind them has withdrawn.
        invalid_calls: Number of invalid calls received.
        is_reading: Whether bytes are received as they arrive.
        is_paused: Whether processing of calls is paused after an invalid call.
        is_queued: Whether the connection waits for its turn to have a call processed.
        close_cause: Why the connection is about to be closed, or None.
    """

    __slots__ = (
        "_held_calls",
        "_held_replies",
        "_memory",
        "calls",
        "cancelled",
        "cancelled_early",
        "close_cause",
        "has_called",
        "has_more",
        "invalid_calls",
        "is_paused",
        "is_queued",
        "is_reading",
        "last_empty_at",
        "moved_at",
        "network",
        "number",
        "partial_since",
        "stream",
        "unanswered",
        "used_at",
        "waiting_since",
        "was_empty",
    )

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
        self.moved_at = now
        self.has_called = False
        self.partial_since: float | None = None
        self.last_empty_at = now
        self.was_empty = False
        self.has_more = False
        self.waiting_since: float | None = None
        self.calls = CallBuffer()
        self.unanswered: dict[int, int] = {}
        self.cancelled: list[int] = []
        self.cancelled_early: set[int] | None = None
        self.invalid_calls = 0
        self.is_reading = False
        self.is_paused = False
        self.is_queued = False
        self.close_cause: CloseCause | None = None
        self._memory = memory
        self._held_calls = 0
        self._held_replies = 0

    # Memory.

    @property
    def held_bytes(self) -> int:
        """Bytes of calls that are not processed and of replies that are not read."""
        return self._held_calls + self._held_replies

    def drop_priority(self, held_bytes: int, now: float) -> float:
        """Return the priority with which bytes held for this client are given up."""
        return memory_limits.drop_priority(held_bytes, now - self.moved_at)

    def count_calls(self) -> None:
        """Update the total of bytes held for calls."""
        held = len(self.calls)
        self._memory.call_bytes += held - self._held_calls
        self._held_calls = held

    def count_replies(self) -> None:
        """Update the total of bytes held for unsent replies."""
        held = self.stream.unsent_bytes
        self._memory.reply_bytes += held - self._held_replies
        self._held_replies = held

    # Requests.

    def open_request(self, number: int, size: int) -> None:
        """Count a request, which takes `size` bytes, until `end_request`."""
        self._memory.request_bytes += size - self.unanswered.get(number, 0)
        self.unanswered[number] = size

    def end_request(self, number: int) -> bool:
        """Stop counting a request; return False if it was not open."""
        size = self.unanswered.pop(number, None)
        if size is None:
            return False
        self._memory.request_bytes -= size
        return True

    def remember_cancel(self, number: int) -> None:
        """Remember that a request was cancelled, since its reply may be on its way to this object."""
        self.cancelled.append(number)
        del self.cancelled[:-MAX_REMEMBERED_CANCELS]

    def release(self) -> None:
        """Discard all that is held for a connection that is no longer served."""
        self.calls.clear()
        self.cancelled_early = None
        self.count_calls()
        for number in list(self.unanswered):
            self.end_request(number)

    # State.

    def peer(self) -> str:
        """Return the client's address for logs, empty if the connection has ended."""
        try:
            host, port = self.stream.socket.getpeername()
        except (OSError, AttributeError):
            return ""
        return f"{host}:{port}"

    def is_stalled_in_call(self, now: float) -> bool:
        """Return whether the rest of an incomplete call is overdue and nothing else is open."""
        is_overdue = self.partial_since is not None and now - self.moved_at > STALLED_CALL_S
        return is_overdue and self.is_idle() and not self.unanswered

    @property
    def may_process(self) -> bool:
        """Whether the next call may be processed: the client is not paused and reads its replies."""
        return not self.is_paused and self.stream.unsent_bytes <= MAX_UNSENT_BYTES

    def note_empty(self, checked_at: float) -> None:
        """Note that the kernel held no unread bytes; while the connection is not read, more may come."""
        self.last_empty_at = checked_at
        self.was_empty = True
        self.waiting_since = None
        self.has_more = not self.is_reading

    def is_idle(self) -> bool:
        """Return whether no call is pending and no reply is unsent."""
        return not (self.stream.unsent_bytes or self.calls.whole_calls)

    def has_no_unread_bytes(self) -> bool:
        """Return whether the kernel holds no unread bytes; a close would lose an unread call."""
        return stream.unread(self.stream.socket) in (Unread.NOTHING, Unread.END)

    def has_unread(self) -> bool:
        """Return whether unprocessed input has arrived, such as a cancel or the end of the connection."""
        return stream.unread(self.stream.socket) is not Unread.NOTHING
