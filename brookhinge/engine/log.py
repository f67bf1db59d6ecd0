"""The log: one JSON line an event on standard output."""

import fcntl
import select
import sys
import termios
import time

import orjson

MOST = 20  # lines of one event in a second; of the rest the next one tells how many there were


class Log:
    """Never waits for its reader: lines that the pipe has no room for are left out and counted, or a reader that stops would
    stop the router."""

    def __init__(self, name, sink=None):
        self.name, self.sink, self.said = name, sink or sys.stdout.buffer, {}
        self.poll = poll_of(self.sink)

    def __call__(self, event, **values):
        now = int(time.monotonic())
        second, lines, unsaid = self.said.get(event, (now, 0, 0))
        if second != now:
            second, lines = now, 0
        if lines >= MOST:
            self.said[event] = second, lines, unsaid + 1
            return
        line = {"at": round(time.time(), 3), "router": self.name, "event": event, **values}
        if unsaid:
            line["unsaid"] = unsaid
        is_written = self.write(encode(line))
        self.said[event] = second, lines + 1, 0 if is_written else unsaid + 1

    def write(self, text):
        """Whether the line was written, or nobody reads it any more: no reason to end."""
        if not self.has_room(len(text)):
            return False
        try:
            self.sink.write(text)
            self.sink.flush()
        except OSError:
            pass
        return True

    def has_room(self, size):
        """Whether so many bytes can be written without waiting."""
        if self.poll is None:
            return True
        if not any(event & select.POLLOUT for _, event in self.poll.poll(0)):
            return self.is_broken()
        return size <= select.PIPE_BUF or room_in_pipe(self.sink) >= size

    def is_broken(self):
        """Whether the reader has gone: a write fails at once then."""
        return any(event & (select.POLLERR | select.POLLHUP) for _, event in self.poll.poll(0))


def encode(line):
    try:
        return orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE)
    except TypeError:  # a text that is no Unicode: ids of servers come as they were told
        return ascii(line).encode() + b"\n"


def poll_of(sink):
    """A poll for room in a sink, or None where that is no descriptor that a write could wait at."""
    try:
        poll = select.poll()
        poll.register(sink.fileno(), select.POLLOUT)
        return poll
    except (OSError, AttributeError):
        return None


def room_in_pipe(sink):
    """Bytes that a pipe surely takes now; whatever else it is takes any number."""
    try:
        capacity = fcntl.fcntl(sink.fileno(), fcntl.F_GETPIPE_SZ)
        held = int.from_bytes(fcntl.ioctl(sink.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)
    except OSError:
        return float("inf")
    return capacity if not held else 0
