"""Connections to one router and the queries on them."""

import asyncio
import itertools
import random
import time
from typing import NamedTuple

from brookhinge.client import returns
from brookhinge.net import thrift

MOST_OPEN = 30  # the router takes 32 on a connection
SLACK_S = 0.2  # after a query's time, until its connection is taken for dead


class Answer(NamedTuple):
    kind: str  # 'satisfied', 'refused', 'failed' or 'gone'
    body: bytes
    unchanged: bool  # the copy that was named is the one: no bytes
    wait_s: float  # refused: when to come back, 0 if that was not told
    why: str  # failed: what the router says, if anything
    tries: int = 1


class Connection:
    """One connection: up to 30 queries at once, answers in any order."""

    def __init__(self, address):
        self.address, self.waiting, self.numbers, self.writer, self.reading = (
            address,
            {},
            itertools.count(1),
            None,
            None,
        )
        self.places = asyncio.Semaphore(MOST_OPEN)

    async def connect(self):
        reader, self.writer = await asyncio.open_connection(*self.address)
        self.reading = asyncio.ensure_future(self.read(reader))
        return self

    @property
    def open(self):
        return self.reading is not None and not self.reading.done()

    async def read(self, reader):
        try:
            while True:
                (size,) = thrift.INT32.unpack(await reader.readexactly(4))
                if not 0 < size <= 1 << 20:
                    raise thrift.UnreadableError(f"a frame of {size} bytes")
                frame = thrift.Reader(await reader.readexactly(size))
                _, kind, number = thrift.read_message_header(frame)
                future = self.waiting.pop(number, None)
                if future is not None and not future.done():
                    future.set_result(read_answer(frame, kind))
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            thrift.UnreadableError,
            thrift.InvalidCallError,
            StopIteration,
        ):
            pass
        finally:
            self.writer.close()
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(GONE)

    async def call(self, method, *args, within_s=10.0):
        """The answer to one call; GONE if the connection ends first or says nothing in time. Cancelled, the query is
        forgotten: no answer is owed then."""
        async with self.places:
            if not self.open:
                return GONE
            number = next(self.numbers)
            self.waiting[number] = future = asyncio.get_running_loop().create_future()
            self.writer.write(thrift.encode_message(method, thrift.CALL, number, *args, b"\0"))
            try:
                return await asyncio.wait_for(future, within_s)
            except TimeoutError:
                self.close()
                return GONE
            except asyncio.CancelledError:
                self.forget(number)
                raise

    def forget(self, number):
        self.waiting.pop(number, None)
        if self.open:
            self.writer.write(
                thrift.encode_message(
                    b"forget",
                    thrift.ONEWAY,
                    number,
                    thrift.FIELD_HEADER.pack(thrift.I32, 1),
                    thrift.INT32.pack(number),
                    b"\0",
                )
            )

    async def ask(self, fields, within_s):
        told = {key.encode(): str(value).encode() for key, value in fields.items()}
        return await self.call(
            b"serve",
            thrift.FIELD_HEADER.pack(thrift.MAP, 1),
            thrift.encode_string_map(told),
            within_s=within_s,
        )

    async def well(self):
        return (await self.call(b"isWell", within_s=2.0)).kind == "satisfied"

    def close(self):
        if self.reading is not None:
            self.reading.cancel()
            self.writer.close()


def read_answer(frame, kind):
    _, place = next(frame.read_fields())
    if kind == thrift.EXCEPTION:
        return Answer("failed", b"", False, 0.0, frame.read_string().decode("utf-8", "replace"))
    if place:
        fields = thrift.read_arguments(frame, {1: thrift.MAP}).get(1, {})
        told = fields.get(b"cooldown", b"0")
        wait = int(told) / 1000.0 if told.isdigit() and len(told) < 8 else 0.0
        return Answer("refused" if place == 1 else "failed", b"", False, wait if place == 1 else 0.0, "")
    args = thrift.read_arguments(frame, {1: thrift.STRING, 2: thrift.MAP})
    return Answer("satisfied", args.get(1, b""), args.get(2, {}).get(b"unchanged") == b"1", 0.0, "")


GONE = Answer("gone", b"", False, 0.0, "the connection ended")


class Client:
    """Queries to one router. tries: of one query at the most; replayable: whether a query that failed, and so may have
    run, is asked again. One connection is kept, another made when it has ended."""

    def __init__(self, address, tries=3, replayable=True, chance=None):
        self.address = address
        self.tries = tries
        self.replayable = replayable
        self.chance = chance or random.Random()
        self.connection = None
        self.making = asyncio.Lock()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        if self.connection is not None:
            self.connection.close()

    async def connected(self):
        async with self.making:
            if self.connection is None or not self.connection.open:
                self.connection = await Connection(self.address).connect()
            return self.connection

    async def fetch(self, object_, part=0, track="page", patience_s=2.9, group=0, size_kb=50.0, tag=None):
        """One part of an object. Comes back in patience_s, whatever happens; a retry has what is left of it."""
        first = time.monotonic()
        tries = 0
        answer = GONE
        while True:
            left = patience_s - (time.monotonic() - first)
            if left <= 0.001:
                return answer._replace(tries=tries)
            tries += 1
            answer = await self.one(object_, part, track, left, group, size_kb, tag)
            left = patience_s - (time.monotonic() - first)
            wait = (
                returns.pause(left, tries, self.tries, answer.wait_s, self.chance)
                if returns.may_repeat(answer.kind, self.replayable)
                else None
            )
            if wait is None:
                return answer._replace(tries=tries)
            await asyncio.sleep(wait)

    async def one(self, object_, part, track, left, group, size_kb, tag):
        fields = {
            "service": track,
            "ref": f"{self.chance.getrandbits(64):016x}",
            "allow": max(1, int(left * 1000)),
            "lookup": object_,
            "piece": part,
            "lot": group,
            "room": size_kb,
            **({"ver": tag} if tag else {}),
        }
        try:
            connection = await asyncio.wait_for(self.connected(), left)
        except (TimeoutError, OSError) as fault:
            return GONE._replace(why=f"no connection: {fault}")
        return await connection.ask(fields, left + SLACK_S)


def fetch(address, object_, **asked):
    """The same without a loop: one query over one connection."""

    async def run():
        async with Client(address) as client:
            return await client.fetch(object_, **asked)

    return asyncio.run(run())
