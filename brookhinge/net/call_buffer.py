"""Received bytes of one client that are not processed yet, split into calls one at a time. No I/O.

The bytes stay as received until a call is taken: decoded or split calls would take several times as much. A
large call can be dropped before it has arrived as a whole; its remaining bytes are then discarded as they
arrive, and only its header is kept, so that the call can still be answered.
"""

from __future__ import annotations

from collections.abc import Iterator

from brookhinge.net import thrift

MIN_FRAME_BYTES = 12  # version, an empty method name and the sequence number
HEADER_BYTES = 64  # kept of a dropped call: enough for the header of every method of the protocol
MAX_WHOLE_CALLS = 64  # received and not taken yet, until reading pauses; 32 requests may be open
MAX_WHOLE_BYTES = 4096  # the same in bytes; a larger call can be dropped
MAX_CANCEL_BYTES = 128  # a larger cancel takes effect in its turn, not before the calls that precede it

_LENGTH_BYTES = thrift.INT32.size


class CallBuffer:
    """The bytes of a client's calls, in order.

    Attributes:
        error: Why the stream cannot be read any further, or None.
        received_at: Earliest time at which the next whole call may have been received.
        whole_calls: Number of calls that are whole and not taken.
    """

    __slots__ = (
        "_bytes",
        "_dropped_header",
        "_later_bytes",
        "_later_received_at",
        "_remaining_dropped",
        "_whole_bytes",
        "error",
        "received_at",
        "whole_calls",
    )

    def __init__(self) -> None:
        self.error: str | None = None
        self.received_at = 0.0
        self.whole_calls = 0
        self._bytes = bytearray()
        self._whole_bytes = 0  # of `_bytes`, the part that consists of whole calls
        # While a dropped call is being discarded: its header and the number of its bytes still to come.
        self._dropped_header = b""
        self._remaining_dropped = 0
        # Calls from this position on were received later than `received_at`.
        self._later_bytes = 0
        self._later_received_at: float | None = None

    def __len__(self) -> int:
        """Return the number of bytes held."""
        return len(self._bytes)

    @property
    def partial_bytes(self) -> int:
        """Bytes held of a call that is incomplete; if it is being discarded, none are held."""
        return len(self._bytes) - self._whole_bytes

    @property
    def whole_bytes(self) -> int:
        """Bytes held of whole calls."""
        return self._whole_bytes

    @property
    def expects_large_call(self) -> bool:
        """Whether the bytes that come next belong to a call that can be dropped, or is dropped already."""
        if self._remaining_dropped:
            return True
        end = self._call_end(self._whole_bytes)
        return end is not None and end - self._whole_bytes > MAX_WHOLE_BYTES

    @property
    def has_partial_call(self) -> bool:
        """Whether a call is incomplete, also one that is being discarded."""
        return bool(self.partial_bytes or self._remaining_dropped)

    @property
    def is_full(self) -> bool:
        """Whether no more bytes should be received until calls are taken."""
        return self.whole_calls >= MAX_WHOLE_CALLS or self._whole_bytes > MAX_WHOLE_BYTES

    def add(self, data: memoryview, received_at: float) -> bytes | None:
        """Add received bytes; return the header of a dropped call whose last byte is among them, or None."""
        dropped = None
        if self._remaining_dropped:
            count = min(len(data), self._remaining_dropped)
            self._remaining_dropped -= count
            data = data[count:]
            if not self._remaining_dropped:
                dropped = self._dropped_header
                self._dropped_header = b""
        if data and self.error is None:
            self._note_received(received_at)
            self._bytes += data
            self._find_whole_calls()
        return dropped

    def _note_received(self, received_at: float) -> None:
        if not self.whole_calls:
            self.received_at = received_at
            self._later_received_at = None
        elif self._later_received_at is None:
            self._later_bytes = len(self._bytes)
            self._later_received_at = received_at

    def _find_whole_calls(self) -> None:
        while self.whole_calls < MAX_WHOLE_CALLS:
            end = self._call_end(self._whole_bytes)
            if end is None or end > len(self._bytes):
                return
            self._whole_bytes = end
            self.whole_calls += 1

    def _call_end(self, start: int) -> int | None:
        """Return the position after the call that begins at `start`, None if its length is not known yet."""
        if len(self._bytes) - start < _LENGTH_BYTES:
            return None
        (size,) = thrift.INT32.unpack_from(self._bytes, start)
        if not MIN_FRAME_BYTES <= size <= thrift.MAX_FRAME_BYTES:
            self.error = f"frame length {size} is out of range"
            del self._bytes[start:]
            return None
        return start + _LENGTH_BYTES + size

    def take(self) -> bytes | None:
        """Remove the next whole call and return its frame without the length, None if there is none."""
        if not self.whole_calls:
            return None
        end = self._call_end(0)
        frame = bytes(memoryview(self._bytes)[_LENGTH_BYTES:end])
        self._remove_first(end)
        return frame

    def drop_first(self) -> bytes:
        """Remove the next whole call, of which there must be one; return its header."""
        end = self._call_end(0)
        header = bytes(self._bytes[_LENGTH_BYTES : min(end, _LENGTH_BYTES + HEADER_BYTES)])
        self._remove_first(end)
        return header

    def _remove_first(self, end: int) -> None:
        del self._bytes[:end]
        self._whole_bytes -= end
        self.whole_calls -= 1
        if self._later_received_at is not None:
            self._later_bytes -= end
            if self._later_bytes <= 0:
                self.received_at = self._later_received_at
                self._later_received_at = None
        if self._whole_bytes < len(self._bytes) and self.error is None:
            self._find_whole_calls()

    def drop_partial(self) -> bool:
        """Discard the incomplete call, now and as it arrives; return False if nothing worth it is held."""
        end = self._call_end(self._whole_bytes)
        held = self.partial_bytes
        if end is None or end <= len(self._bytes) or held < _LENGTH_BYTES + HEADER_BYTES:
            return False
        start = self._whole_bytes + _LENGTH_BYTES
        self._dropped_header = bytes(self._bytes[start : start + HEADER_BYTES])
        self._remaining_dropped = end - len(self._bytes)
        del self._bytes[self._whole_bytes :]
        return True

    def short_frames(self, first: int) -> Iterator[bytes]:
        """Yield the frames of the whole calls from index `first` on that may be cancels; none is removed."""
        start = 0
        for index in range(self.whole_calls):
            end = self._call_end(start)
            if index >= first and end - start <= MAX_CANCEL_BYTES:
                yield bytes(self._bytes[start + _LENGTH_BYTES : end])
            start = end

    def clear(self) -> None:
        """Discard everything; later bytes are ignored."""
        self._bytes = bytearray()
        self._whole_bytes = 0
        self.whole_calls = 0
        self._remaining_dropped = 0
        self.error = self.error or "connection is being closed"
