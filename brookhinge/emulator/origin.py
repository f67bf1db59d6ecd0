"""Emulated origin whose bodies are a function of object and version, so served ranges can be verified."""

import asyncio
import random
import time

from brookhinge.cache_server import protocol
from brookhinge.cache_server.line_server import LineServer


def body_of(object_, part, version, sizes):
    """Returns the body of a part in one version.

    The size lies within `sizes` (least, most; bytes) and is the same in all versions of the part.
    """
    size = random.Random(f"{object_}/{part}").randint(*sizes)
    return random.Random(f"{object_}/{part}/{version}").randbytes(size)


def group_of(object_):
    """Returns the purge group of an object, taken from the first four hex digits of its key."""
    return int(object_[:4], 16) % 256


class Origin:
    """Serves versioned objects over the line protocol.

    Attributes:
        sizes: Least and most bytes of a part.
        delay_s: Delay between reading the current version and sending the answer.
        broken: Whether every request is answered with `failed`.
        changes: Number of changes by object.
        group_changes: Number of changes by group.
        counts: Counters of requests, `unchanged` answers and body bytes sent.
    """

    def __init__(self, sizes=(2_000, 60_000), delay_s=0.02, say=lambda event, **values: None, now=time.time):
        self.sizes, self.delay_s, self.now = sizes, delay_s, now
        self.changes, self.group_changes, self.broken = {}, {}, False
        self.counts = dict(queries=0, unchanged=0, bytes=0)
        self.lines = LineServer(self.serve, say, time.monotonic, 60.0)

    def listen(self, host="127.0.0.1", port=0):
        """Starts listening; returns the bound address."""
        return self.lines.listen(host, port)

    def version(self, object_):
        """Returns the current version of an object: its own changes plus those of its group."""
        return self.changes.get(object_, 0) + self.group_changes.get(group_of(object_), 0)

    def change(self, object_=None, group=None):
        """Changes the body of an object or of a whole group; returns the time of the change."""
        versions, key = (self.changes, object_) if object_ else (self.group_changes, group)
        versions[key] = versions.get(key, 0) + 1
        return self.now()

    async def serve(self, name, raw, body):
        """Answers one request."""
        request = protocol.decode_request(raw)
        object_ = request.object_key.decode()
        self.counts["queries"] += 1
        version, when = (
            self.version(object_),
            self.now(),
        )  # a change during the delay does not alter this answer
        await asyncio.sleep(self.delay_s)
        if self.broken:
            return protocol.encode_answer(name, b"failed")
        fields = [
            (b"n", b"hit"),
            (b"digest", b"v%d" % version),
            (b"dated", b"%d" % (when * 1000)),
            (b"lot", b"%d" % group_of(object_)),
        ]
        if request.known_tag == b"v%d" % version:
            self.counts["unchanged"] += 1
            return protocol.encode_answer(name, b"unchanged", fields)
        body = body_of(object_, request.part, version, self.sizes)
        self.counts["bytes"] += len(body)
        return protocol.encode_answer(name, b"data", fields, body)

    def end(self):
        """Closes the listening socket and all connections."""
        self.lines.close()
