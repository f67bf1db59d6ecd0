"""Callers of a cache server (line protocol) and of a router (Thrift); each multiplexes many requests."""

import asyncio
import itertools
import random

from brookhinge.client.client import Connection
from brookhinge.net import cachewire
from brookhinge.net.errors import UnreadableError


class LineCaller:
    """Calls a cache server over one connection of the line protocol."""

    def __init__(self, address):
        self.address, self.waiting, self.numbers, self.writer = address, {}, itertools.count(1), None

    async def connect(self):
        """Opens the connection; returns this caller."""
        reader, self.writer = await asyncio.open_connection(*self.address)
        self.reading = asyncio.ensure_future(self.read(reader))
        return self

    async def read(self, reader):
        """Delivers answers to their requests until the connection ends."""
        answers = cachewire.AnswerSplitter()
        try:
            while data := await reader.read(65536):
                for name, word, fields, body in answers.feed(data):
                    if name in self.waiting and not self.waiting[name].done():
                        self.waiting.pop(name).set_result((word.decode(), fields, body))
        except (ConnectionError, UnreadableError):
            pass
        finally:
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(None)

    async def ask(self, object_, part=0, sort="page", patience_ms=2000, **fields):
        """Returns (word, fields, body) of the answer, or None if the connection ends first."""
        name = b"%016x" % next(self.numbers)
        request_fields = {"sort": sort, "asset": object_, "slice": part, "patience": patience_ms, **fields}
        self.waiting[name] = future = asyncio.get_running_loop().create_future()
        if self.reading.done():
            return None
        self.writer.write(
            b"PULL %b %b 0\r\n\r\n" % (name, ",".join(f"{k}={v}" for k, v in request_fields.items()).encode())
        )
        return await asyncio.wait_for(future, 10)

    def close(self):
        """Closes the connection."""
        self.writer.close()
        self.reading.cancel()


class ThriftCaller:
    """Calls a router over one Thrift connection; never retries by itself."""

    OUTCOMES = {"satisfied": "satisfied", "refused": "nacked", "failed": "errored", "gone": "lost"}

    def __init__(self, address):
        self.connection = Connection(address)

    async def connect(self):
        """Opens the connection; returns this caller."""
        await self.connection.connect()
        return self

    async def ask(self, object_, part=0, ref=None, track="page", patience_ms=2900, lot=0, size_kb=50.0):
        """Sends a request and returns its outcome with a detail.

        Returns:
            ('satisfied', body), ('nacked', milliseconds to wait or 0), ('errored', reason) or ('lost',
            reason).
        """
        fields = {
            "service": track,
            "ref": ref or f"{random.getrandbits(64):016x}",
            "allow": patience_ms,
            "lookup": object_,
            "piece": part,
            "lot": lot,
            "room": size_kb,
        }
        answer = await self.connection.ask(fields, 10.0)
        details = {"satisfied": answer.body, "refused": round(answer.wait_s * 1000)}
        return self.OUTCOMES[answer.kind], details.get(answer.kind, answer.why)

    def close(self):
        """Closes the connection."""
        self.connection.close()
