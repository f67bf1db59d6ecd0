"""One client's connection: what has come on it and what is owed to it."""

from __future__ import annotations

import asyncio
import collections
from typing import NamedTuple

from brookhinge.decisions.rules import CloseReason
from brookhinge.net import stream
from brookhinge.net.stream import Stream, Unread

# Sequence numbers of cancelled requests that are remembered: their answers may cross the cancel.
MAX_REMEMBERED_CANCELS = 64


class ReceivedCall(NamedTuple):
    """A call that waits to be handed on."""

    frame: bytes
    received_at: float


class Ending(NamedTuple):
    """Why nothing more is taken of a client."""

    reason: CloseReason
    detail: str


class MemoryUse:
    """Bytes that are held for all clients, and their bound.

    Attributes:
        limit_bytes: The bound on the sum of the other two.
        unsent_bytes: Of replies that clients have not read.
        buffered_bytes: Of calls that have come, whole or in part, and are not handed on.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.unsent_bytes = 0
        self.buffered_bytes = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the bound allows."""
        return self.unsent_bytes + self.buffered_bytes > self.limit_bytes


class ClientConnection:
    """The state of one connection.

    What was taken of a client before its `ending` is answered, then it is closed.

    Attributes:
        number: Of the connection, by which the engine knows the client.
        stream: The connection itself.
        network: The client's network, where overload is watched.
        used_at: When the last call came or the last answer was written.
        has_called: Whether a call has come.
        partial_since: Since when a part of a call has been waiting for its rest; None if there is none.
        emptied_at: Everything that came until then has been read.
        waiting_since: Since when it may have waited to be accepted; None once it was seen empty.
        pending_read: What the read that is under way comes to.
        may_read: Cleared while too many bytes of its calls are queued.
        calls: What has come and is not handed on.
        queued_bytes: Of `calls`.
        unanswered: Sequence numbers of its requests that have no final answer yet.
        cancelled: The last requests that it gave up before their answer.
        invalid_calls: How many calls could not be carried out.
        is_paused: Whether nothing of it is handed on for a moment, after such a call.
        ending: Why nothing more is taken of it, or None.
    """

    def __init__(self, number: int, connection: Stream, now: float, memory: MemoryUse) -> None:
        """Begin with a connection that was just accepted.

        Args:
            number: Of the connection.
            connection: The stream.
            now: The present, in seconds of the router's clock.
            memory: The sums over all clients, kept up to date by this one.
        """
        self.number = number
        self.stream = connection
        self.network: str | None = None
        self.used_at = now
        self.has_called = False
        self.partial_since: float | None = None
        self.emptied_at = now
        self.waiting_since: float | None = None
        self.pending_read: asyncio.Future[bytes] | None = None
        self.may_read = asyncio.Event()
        self.calls: collections.deque[ReceivedCall] = collections.deque()
        self.queued_bytes = 0
        self.unanswered: set[int] = set()
        self.cancelled: collections.deque[int] = collections.deque(maxlen=MAX_REMEMBERED_CANCELS)
        self.invalid_calls = 0
        self.is_paused = False
        self.ending: Ending | None = None
        self._memory = memory
        self._unsent_bytes = 0
        self._buffered_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """How many bytes of replies the client has not read."""
        return self._unsent_bytes

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of its calls are held, queued or unfinished."""
        return self._buffered_bytes

    @property
    def held_bytes(self) -> int:
        """How many bytes are held for it."""
        return self._unsent_bytes + self._buffered_bytes

    def add_unsent(self, size: int) -> None:
        """Count bytes of replies as not read, or as read where `size` is negative."""
        self._unsent_bytes += size
        self._memory.unsent_bytes += size

    def set_buffered(self, size: int) -> None:
        """Set how many bytes of its calls are held."""
        self._memory.buffered_bytes += size - self._buffered_bytes
        self._buffered_bytes = size

    def add_calls(self, frames: list[bytes], received_at: float) -> None:
        """Queue calls; their bytes are counted by `set_buffered`."""
        self.calls.extend(ReceivedCall(frame, received_at) for frame in frames)
        self.queued_bytes += sum(map(len, frames))

    def next_call(self) -> ReceivedCall:
        """Take the first call off the queue."""
        call = self.calls.popleft()
        self._forget_bytes(call)
        return call

    def remove_call(self, call: ReceivedCall) -> None:
        """Take a call off the queue that shall not be handed on."""
        self.calls.remove(call)
        self._forget_bytes(call)

    def clear_calls(self) -> None:
        """Forget all that has come and is not handed on."""
        self.calls.clear()
        self.queued_bytes = 0
        self.set_buffered(0)

    def _forget_bytes(self, call: ReceivedCall) -> None:
        size = len(call.frame)
        self.queued_bytes -= size
        self.set_buffered(self._buffered_bytes - size)

    def is_idle(self) -> bool:
        """Return whether no call has come that is not handed on, and no reply is on its way."""
        has_read = self.pending_read is not None and self.pending_read.done()
        return not (self._unsent_bytes or self.calls or has_read)

    def is_silent(self) -> bool:
        """Return whether nothing lies unread in the system: a call that crosses a close would be lost."""
        return stream.unread(self.stream.socket) in (Unread.NOTHING, Unread.END)

    def has_unread(self) -> bool:
        """Return whether something of it has come that was not taken, such as its end or a cancel."""
        has_read = self.pending_read is None or self.pending_read.done()
        return has_read or stream.unread(self.stream.socket) is not Unread.NOTHING
