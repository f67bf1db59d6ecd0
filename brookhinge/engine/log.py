"""The log: one JSON line an event on standard output."""

import contextlib
import fcntl
import select
import sys
import termios
import time
from typing import BinaryIO

import orjson

LINES_PER_SECOND = 20  # of one event; the next line of the event says how many were left out


class Log:
    """Writes JSON lines without ever waiting for their reader.

    Lines that the pipe has no room for are dropped and counted: a reader that stops must not stop the router.
    """

    def __init__(self, name: str, sink: BinaryIO | None = None) -> None:
        """Log under the router's `name` to `sink`, by default standard output."""
        self.name = name
        self.sink = sink or sys.stdout.buffer
        self.poller = create_poller(self.sink)
        # of each event: the second of its last line, the lines in that second, the lines dropped since
        self.written: dict[str, tuple[int, int, int]] = {}

    def __call__(self, event: str, **values: object) -> None:
        """Write one event; lines over the rate limit of the event are counted instead."""
        now = int(time.monotonic())
        second, lines, dropped = self.written.get(event, (now, 0, 0))
        if second != now:
            second = now
            lines = 0
        if lines >= LINES_PER_SECOND:
            self.written[event] = second, lines, dropped + 1
            return
        line = {"at": round(time.time(), 3), "router": self.name, "event": event, **values}
        if dropped:
            line["unsaid"] = dropped
        is_written = self.write(encode(line))
        self.written[event] = second, lines + 1, 0 if is_written else dropped + 1

    def write(self, data: bytes) -> bool:
        """Write one line; false where the sink had no room.

        A reader that has gone is no reason to end: its lines count as written.
        """
        if not self.has_room(len(data)):
            return False
        with contextlib.suppress(OSError):
            self.sink.write(data)
            self.sink.flush()
        return True

    def has_room(self, size: int) -> bool:
        """Whether `size` bytes can be written without blocking."""
        if self.poller is None:
            return True
        if not any(event & select.POLLOUT for _, event in self.poller.poll(0)):
            return self.is_broken()
        return size <= select.PIPE_BUF or free_pipe_bytes(self.sink) >= size

    def is_broken(self) -> bool:
        """Whether the reader has gone: a write then fails at once instead of blocking."""
        return any(event & (select.POLLERR | select.POLLHUP) for _, event in self.poller.poll(0))


def encode(line: dict[str, object]) -> bytes:
    """One log line with its newline."""
    try:
        return orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE)
    except TypeError:  # lone surrogates: server ids are logged as the command channel sent them
        return ascii(line).encode() + b"\n"


def create_poller(sink: BinaryIO) -> "select.poll | None":
    """A poll object for room in a sink, or None where a write to it never blocks."""
    try:
        poller = select.poll()
        poller.register(sink.fileno(), select.POLLOUT)
        return poller
    except (OSError, AttributeError):
        return None


def free_pipe_bytes(sink: BinaryIO) -> float:
    """Bytes that a pipe is sure to take now; infinite for anything but a pipe.

    A pipe that holds anything counts as full: its free pages say nothing about bytes.
    """
    try:
        capacity = fcntl.fcntl(sink.fileno(), fcntl.F_GETPIPE_SZ)
        held = int.from_bytes(fcntl.ioctl(sink.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)
    except OSError:
        return float("inf")
    return capacity if not held else 0
