"""Callers: one that asks a cache server in lines, one that asks a router in Thrift. Each carries many queries at once."""
import asyncio
import itertools
import random

from brookhinge.net import cachewire, thrift


class LineCaller:
    """await ask(object, part, **fields) -> (word, fields, body); None if the connection ends first."""

    def __init__(self, address):
        self.address, self.waiting, self.numbers, self.writer = address, {}, itertools.count(1), None

    async def connect(self):
        reader, self.writer = await asyncio.open_connection(*self.address)
        self.reading = asyncio.ensure_future(self.read(reader))
        return self

    async def read(self, reader):
        answers = cachewire.Answers()
        try:
            while data := await reader.read(65536):
                for name, word, fields, body in answers.feed(data):
                    if name in self.waiting and not self.waiting[name].done():
                        self.waiting.pop(name).set_result((word.decode(), fields, body))
        except (ConnectionError, cachewire.Unreadable):
            pass
        finally:
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(None)

    async def ask(self, object_, part=0, sort="page", patience_ms=2000, **fields):
        name = b"%016x" % next(self.numbers)
        told = {"sort": sort, "asset": object_, "slice": part, "patience": patience_ms, **fields}
        self.waiting[name] = future = asyncio.get_running_loop().create_future()
        if self.reading.done():
            return None
        self.writer.write(b"PULL %b %b 0\r\n\r\n" % (name, ",".join(f"{k}={v}" for k, v in told.items()).encode()))
        return await asyncio.wait_for(future, 10)

    def close(self):
        self.writer.close()
        self.reading.cancel()


class ThriftCaller:
    """await ask(object, part) -> ('satisfied', body), ('nacked', wait_ms or 0), ('errored', text) or ('lost', '')."""

    def __init__(self, address):
        self.address, self.waiting, self.numbers, self.writer = address, {}, itertools.count(1), None
        self.places = asyncio.Semaphore(30)     # 32 may be open on a connection

    async def connect(self):
        reader, self.writer = await asyncio.open_connection(*self.address)
        self.reading = asyncio.ensure_future(self.read(reader))
        return self

    async def read(self, reader):
        try:
            while True:
                size, = thrift.INT.unpack(await reader.readexactly(4))
                frame = thrift.Reader(await reader.readexactly(size))
                _, kind, number = thrift.read_head(frame)
                if number in self.waiting:
                    self.waiting.pop(number).set_result(self.told(frame, kind))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(("lost", ""))

    @staticmethod
    def told(frame, kind):
        _, place = next(frame.fields())
        if kind == thrift.EXCEPTION:
            return "errored", frame.text().decode()
        if place:
            fields = thrift.read_args(frame, {1: thrift.MAP})[1]
            return ("nacked", int(fields.get(b"cooldown", 0))) if place == 1 else ("errored", "")
        return "satisfied", thrift.read_args(frame, {1: thrift.STRING, 2: thrift.MAP}).get(1, b"")

    async def ask(self, object_, part=0, ref=None, track="page", patience_ms=2900, lot=0, size_kb=50.0):
        fields = {"service": track, "ref": ref or f"{random.getrandbits(64):016x}", "allow": patience_ms,
                  "lookup": object_, "piece": part, "lot": lot, "room": size_kb}
        async with self.places:
            if self.reading.done():
                return "lost", ""
            number = next(self.numbers)
            self.waiting[number] = future = asyncio.get_running_loop().create_future()
            told = {k.encode(): str(v).encode() for k, v in fields.items()}
            self.writer.write(thrift.message(b"serve", thrift.CALL, number, thrift.HEAD.pack(thrift.MAP, 1),
                                             thrift.words(told), b"\0"))
            return await asyncio.wait_for(future, 10)

    async def well(self):
        number = next(self.numbers)
        self.waiting[number] = future = asyncio.get_running_loop().create_future()
        self.writer.write(thrift.message(b"isWell", thrift.CALL, number, b"\0"))
        return (await asyncio.wait_for(future, 2))[0] == "satisfied"

    def close(self):
        self.writer.close()
        self.reading.cancel()
