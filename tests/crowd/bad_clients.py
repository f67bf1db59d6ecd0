"""A crowd of bad clients of one router: python -m tests.crowd.bad_clients KIND PORT COUNT SECONDS.

Each client sends what its kind says and reads what it gets. When its connection ends it comes again at once.
The last line of the output is one JSON object with what the crowd met.
"""

import functools
import json
import random
import selectors
import socket
import struct
import sys
import time

CALL, ONEWAY = 1, 4
BYTE, STRING, MAP, LIST = 3, 11, 13, 15
VERSION = 0x80010000
LARGE_CALL_BYTES = 255_000
SENT_BYTES = 252_000
BODY_BYTES = 230_000
PIPELINED_CALLS = 400
READ_BYTES = 65_536


def text(value):
    return struct.pack(">i", len(value)) + value


def frame(method, number, arguments, kind=CALL):
    return text(
        struct.pack(">I", VERSION | kind) + text(method) + struct.pack(">i", number) + arguments + b"\0"
    )


def fields_argument(fields):
    pairs = b"".join(text(name) + text(value) for name, value in fields)
    return struct.pack(">BhBBi", MAP, 1, STRING, STRING, len(fields)) + pairs


def request_fields(chance, key=None, allow=2500):
    return [
        (b"service", b"guide-items"),
        (b"ref", b"%016x" % chance.getrandbits(64)),
        (b"allow", b"%d" % allow),
        (b"lookup", b"%016x" % (chance.getrandbits(64) if key is None else key)),
        (b"piece", b"0"),
        (b"lot", b"%d" % chance.randrange(256)),
        (b"room", b"75"),
    ]


def serve(chance, number, body=b"", **fields):
    arguments = fields_argument(request_fields(chance, **fields))
    if body:
        arguments += struct.pack(">Bh", STRING, 2) + text(body)
    return frame(b"serve", number, arguments)


def half_call(_chance):
    """Most of a large call, then nothing."""
    call = frame(b"serve", 1, struct.pack(">Bh", STRING, 2) + text(b"x" * (LARGE_CALL_BYTES - 40)))
    yield call[:SENT_BYTES]


@functools.cache
def call_of_many_fields(number):
    return frame(b"serve", number, fields_argument([(b"%05d" % i, b"") for i in range(19_000)]))


def many_fields(_chance):
    """Calls with very many short fields."""
    for number in range(1, 9):
        yield call_of_many_fields(number)


@functools.cache
def call_of_many_lists(number):
    entries = b"".join(struct.pack(">Bi", BYTE, 1) + b"x" for _ in range(40_000))
    return frame(b"serve", number, struct.pack(">BhBi", LIST, 9, LIST, 40_000) + entries)


def skipped_arguments(_chance):
    """Calls with an unknown argument of very many values."""
    for number in range(1, 9):
        yield call_of_many_lists(number)


def health_checks(_chance):
    """Health checks without end."""
    number = 0
    while True:
        yield b"".join(frame(b"isWell", number + i, struct.pack(">BhB", 2, 1, 0)) for i in range(1, 1001))
        number += 1000


def unknown_methods(chance):
    """Calls of ever new methods without end."""
    number = 0
    while True:
        number += 1
        yield frame(b"m%016x" % chance.getrandbits(64), number, b"")


def new_objects(chance):
    """Sound requests for ever new objects as fast as answers come, 32 open at most."""
    for number in range(1, 100_000_000):
        yield serve(chance, number)


def unsound_requests(chance):
    """Requests that name ever new classes."""
    number = 0
    while True:
        number += 1
        fields = [(b"service", b"c%016x" % chance.getrandbits(64)), *request_fields(chance)[1:]]
        yield frame(b"serve", number, fields_argument(fields))


def cancels(_chance):
    """Cancels of requests that were never made, without end, after one unsound call."""
    yield frame(b"nothing", 1, b"")
    number = 1
    while True:
        yield b"".join(
            frame(b"forget", 0, struct.pack(">Bhi", 8, 1, number + i), ONEWAY) for i in range(1, 1001)
        )
        number += 1000


def large_bodies(chance):
    """Sound requests with large bodies, 32 at once."""
    for number in range(1, 33):
        yield serve(chance, number, body=b"b" * BODY_BYTES)


def unread_replies(chance):
    """Sound requests for large objects; the answers are not read."""
    for number in range(1, 33):
        yield serve(chance, number, key=number)


def many_requests(chance):
    """Hundreds of requests at once."""
    yield b"".join(serve(chance, number) for number in range(1, PIPELINED_CALLS))


def silent(_chance):
    """Nothing."""
    yield from ()


def trickled_call(chance):
    """A large call, a piece every few hundredths of a second."""
    call = serve(chance, 1, body=b"b" * BODY_BYTES)
    for start in range(0, len(call), 4000):
        yield call[start : start + 4000]
        yield None  # a pause


KINDS = {
    kind.__name__: kind
    for kind in (
        half_call,
        many_fields,
        skipped_arguments,
        health_checks,
        unknown_methods,
        unsound_requests,
        new_objects,
        cancels,
        large_bodies,
        unread_replies,
        many_requests,
        silent,
        trickled_call,
    )
}
PAUSE_S = 0.03


class BadClient:
    """One client; it connects again when its connection ends."""

    def __init__(self, kind, port, selector, chance, report):
        self.kind, self.port, self.selector, self.chance, self.report = kind, port, selector, chance, report
        self.socket = None
        self.paused_until = 0.0

    def connect(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", self.port))
        self.connected_at = time.monotonic()
        self.has_answer = False
        self.data, self.pieces = b"", KINDS[self.kind](self.chance)
        self.paused_until = 0.0
        self.has_sent_all = False
        self.selector.register(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)
        self.report["connections"] += 1

    def note_answer(self):
        if not self.has_answer:
            self.has_answer = True
            self.report["answered"] += 1
            waited_s = time.monotonic() - self.connected_at
            self.report["longest_wait_s"] = round(max(self.report["longest_wait_s"], waited_s), 3)

    def end(self):
        self.note_answer()
        self.selector.unregister(self.socket)
        self.socket.close()
        self.socket = None

    def on_ready(self, events):
        try:
            if events & selectors.EVENT_READ:
                if self.kind == "unread_replies" and not self.has_ended():
                    pass
                elif not self.socket.recv(READ_BYTES):
                    self.end()
                    return
                else:
                    self.note_answer()
            if events & selectors.EVENT_WRITE:
                self.write()
        except BlockingIOError:
            pass
        except OSError:
            self.end()

    def has_ended(self):
        """Whether the peer has reset the connection; unread replies hide its ordinary end."""
        return bool(self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def write(self):
        if not self.data:
            piece = next(self.pieces, b"")
            if piece is None:
                self.pause(time.monotonic() + PAUSE_S)
                return
            if not piece:
                self.has_sent_all = True
                self.selector.modify(self.socket, selectors.EVENT_READ, self)
                return
            self.data = memoryview(piece)
        self.data = self.data[self.socket.send(self.data) :]

    def pause(self, until):
        self.paused_until = until
        self.selector.modify(self.socket, selectors.EVENT_READ, self)

    def tick(self, now):
        if self.socket is None:
            self.connect()
        elif self.paused_until and now > self.paused_until:
            self.paused_until = 0.0
            self.selector.modify(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)
        elif self.kind == "unread_replies" and now - self.connected_at > 6.0:
            self.end()


def main(kind, port, count, seconds, seed=1):
    chance = random.Random(seed)
    report = {"kind": kind, "connections": 0, "answered": 0, "longest_wait_s": 0.0}
    selector = selectors.DefaultSelector()
    clients = [BadClient(kind, port, selector, chance, report) for _ in range(count)]
    until = time.monotonic() + seconds
    ticked_at = 0.0
    while (now := time.monotonic()) < until:
        if now - ticked_at > 0.01:
            ticked_at = now
            for client in clients:
                client.tick(now)
        for key, events in selector.select(0.01):
            key.data.on_ready(events)
    open_waits = [until - c.connected_at for c in clients if c.socket is not None and not c.has_answer]
    report["longest_open_s"] = round(max(open_waits, default=0.0), 3)
    print(json.dumps(report))


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
