"""An origin whose bytes follow from name and version, so that any range that anybody serves can be checked."""

import asyncio
import random
import time

from brookhinge.cache_server import protocol
from brookhinge.cache_server.line_server import LineServer


def body_of(object_, part, version, sizes):
    """The bytes of a part in one version; its size lies in `sizes`, the same in all versions of the part."""
    size = random.Random(f"{object_}/{part}").randint(*sizes)
    return random.Random(f"{object_}/{part}/{version}").randbytes(size)


def group_of(object_):
    return int(object_[:4], 16) % 256


class Origin:
    """An answer is on its way for delay_s; `broken`: answers `failed`."""

    def __init__(self, sizes=(2_000, 60_000), delay_s=0.02, say=lambda event, **values: None, now=time.time):
        self.sizes, self.delay_s, self.now = sizes, delay_s, now
        self.changes, self.group_changes, self.broken = {}, {}, False
        self.counts = dict(queries=0, unchanged=0, bytes=0)
        self.lines = LineServer(self.serve, say, time.monotonic, 60.0)

    def listen(self, host="127.0.0.1", port=0):
        return self.lines.listen(host, port)

    def version(self, object_):
        return self.changes.get(object_, 0) + self.group_changes.get(group_of(object_), 0)

    def change(self, object_=None, group=None):
        """The object, or all of a group, has other bytes from now on. Returns the moment, for the purge."""
        known, name = (self.changes, object_) if object_ else (self.group_changes, group)
        known[name] = known.get(name, 0) + 1
        return self.now()

    async def serve(self, name, raw, body):
        pull = protocol.decode_request(raw)
        object_ = pull.object_key.decode()
        self.counts["queries"] += 1
        version, when = self.version(object_), self.now()  # given out now, on its way for a while
        await asyncio.sleep(self.delay_s)
        if self.broken:
            return protocol.encode_answer(name, b"failed")
        fields = [
            (b"n", b"hit"),
            (b"digest", b"v%d" % version),
            (b"dated", b"%d" % (when * 1000)),
            (b"lot", b"%d" % group_of(object_)),
        ]
        if pull.known_tag == b"v%d" % version:
            self.counts["unchanged"] += 1
            return protocol.encode_answer(name, b"unchanged", fields)
        body = body_of(object_, pull.part, version, self.sizes)
        self.counts["bytes"] += len(body)
        return protocol.encode_answer(name, b"data", fields, body)

    def end(self):
        self.lines.close()
