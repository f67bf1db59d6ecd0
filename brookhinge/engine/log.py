"""Writes the log: one JSON line for each event, by default on standard output."""

import contextlib
import fcntl
import select
import sys
import termios
import time
from typing import BinaryIO

import orjson

# Rate limit for each event name; the next line of the event has the number of lines dropped.
LINES_PER_SECOND = 20


class Log:
    """Writes JSON lines without blocking on their reader.

    Lines that do not fit into the pipe are dropped and counted, so that a stalled reader cannot block the
    router.
    """

    def __init__(self, name: str, sink: BinaryIO | None = None) -> None:
        """Log under the router's `name` to `sink`, by default standard output."""
        self.name = name
        self.sink = sink or sys.stdout.buffer
        self.poller = create_poller(self.sink)
        # {event: (second of its last line, lines in that second, lines dropped since the last one written)}
        self.line_counts: dict[str, tuple[int, int, int]] = {}

    def __call__(self, event: str, **values: object) -> None:
        """Write one event; lines above the event's rate limit are dropped and counted."""
        now = int(time.monotonic())
        second, lines, dropped = self.line_counts.get(event, (now, 0, 0))
        if second != now:
            second = now
            lines = 0
        if lines >= LINES_PER_SECOND:
            self.line_counts[event] = second, lines, dropped + 1
            return
        line = {"at": round(time.time(), 3), "router": self.name, "event": event, **values}
        if dropped:
            line["unsaid"] = dropped
        is_written = self.write(encode(line))
        self.line_counts[event] = second, lines + 1, 0 if is_written else dropped + 1

    def write(self, data: bytes) -> bool:
        """Write one line; return False if the sink has no room.

        If the reader has closed the pipe, the router continues and the line counts as written.
        """
        if not self.has_room(len(data)):
            return False
        with contextlib.suppress(OSError):
            self.sink.write(data)
            self.sink.flush()
        return True

    def has_room(self, size: int) -> bool:
        """Return whether `size` bytes can be written without blocking."""
        if self.poller is None:
            return True
        if not any(event & select.POLLOUT for _, event in self.poller.poll(0)):
            return self.is_broken()
        return size <= select.PIPE_BUF or free_pipe_bytes(self.sink) >= size

    def is_broken(self) -> bool:
        """Return whether the reader has closed the pipe; a write then fails at once instead of blocking."""
        return any(event & (select.POLLERR | select.POLLHUP) for _, event in self.poller.poll(0))


def encode(line: dict[str, object]) -> bytes:
    """Encode one log line, with its newline."""
    try:
        return orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE)
    except TypeError:  # lone surrogates, in server ids that are logged as the command channel sent them
        return ascii(line).encode() + b"\n"


def create_poller(sink: BinaryIO) -> "select.poll | None":
    """Return a poll object for a sink, or None if it cannot be polled; writes to it then never block."""
    try:
        poller = select.poll()
        poller.register(sink.fileno(), select.POLLOUT)
        return poller
    except (OSError, AttributeError):
        return None


def free_pipe_bytes(sink: BinaryIO) -> float:
    """Return the bytes that a pipe is certain to accept now; infinity if the sink is not a pipe.

    A pipe with unread bytes counts as full, because its space is allocated in pages, not bytes.
    """
    try:
        capacity = fcntl.fcntl(sink.fileno(), fcntl.F_GETPIPE_SZ)
        unread_bytes = int.from_bytes(fcntl.ioctl(sink.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)
    except OSError:
        return float("inf")
    return capacity if not unread_bytes else 0
