"""A client of a router: framed Thrift, strict binary protocol, several requests on one connection."""

import asyncio
import itertools
import random
import struct
import time
from typing import NamedTuple

CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4
BOOL = 2
I32 = 8
STRING = 11
STRUCT = 12
MAP = 13
VERSION = 0x80010000
SUCCESS = 0
REFUSED = 1
WAIT_LONGER_S = 3.0  # than the time of a request, to see an answer that comes too late


class Answer(NamedTuple):
    """The end of one request.

    Attributes:
        kind: `served`, `refused`, `failed`, or `lost` if the connection ended or nothing came in time.
        body: The bytes, if served.
        fields: The fields of the answer.
        sent_at: When the last byte of the request was written, by the monotonic clock; 0 if it was not.
    """

    kind: str
    body: bytes = b""
    fields: dict[str, str] | None = None
    sent_at: float = 0.0


def _text(value: bytes) -> bytes:
    return struct.pack(">i", len(value)) + value


def _message(kind: int, method: bytes, number: int, arguments: bytes) -> bytes:
    payload = struct.pack(">I", VERSION | kind) + _text(method) + struct.pack(">i", number) + arguments
    return _text(payload)


def _map_argument(fields: dict[str, str]) -> bytes:
    pairs = b"".join(_text(name.encode()) + _text(value.encode()) for name, value in fields.items())
    return struct.pack(">BhBBi", MAP, 1, STRING, STRING, len(fields)) + pairs


class _Reader:
    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0

    def unpack(self, form: str) -> tuple:
        values = struct.unpack_from(form, self._data, self._at)
        self._at += struct.calcsize(form)
        return values

    def text(self) -> bytes:
        (size,) = self.unpack(">i")
        value = self._data[self._at : self._at + size]
        self._at += size
        return value

    def fields(self) -> dict[int, object]:
        """Read a struct of strings, booleans, numbers, maps of strings and structs."""
        values: dict[int, object] = {}
        while True:
            (kind,) = self.unpack(">B")
            if not kind:
                return values
            (number,) = self.unpack(">h")
            values[number] = self._value(kind)

    def _value(self, kind: int) -> object:
        match kind:
            case 2:
                return bool(self.unpack(">B")[0])
            case 8:
                return self.unpack(">i")[0]
            case 11:
                return self.text()
            case 12:
                return self.fields()
            case 13:
                _, _, size = self.unpack(">BBi")
                return {self.text().decode(): self.text().decode() for _ in range(size)}
        raise ValueError(f"unexpected type {kind}")


def _body_argument(body: bytes) -> bytes:
    return struct.pack(">Bh", STRING, 2) + _text(body) if body else b""


class Client:
    """One connection to a router.

    Attributes:
        ended_at: When the connection was found to have ended, by the monotonic clock; None while it is open.
    """

    def __init__(self, address: tuple[str, int], seed: int) -> None:
        self._address = address
        self.ended_at: float | None = None
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._open: dict[int, asyncio.Future[Answer]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task | None = None

    @property
    def open_requests(self) -> int:
        """Number of requests that wait for their answer."""
        return len(self._open)

    async def connect(self) -> None:
        """Open the connection.

        Raises:
            OSError: The router is not reachable.
        """
        reader, self._writer = await asyncio.open_connection(*self._address)
        self._reading = asyncio.get_running_loop().create_task(self._read(reader))

    async def is_well(self) -> bool:
        """Return whether the router says that it serves."""
        answer = await self._call(b"isWell", struct.pack(">BhBB", BOOL, 1, 0, 0), 2.0)
        return answer.kind == "served"

    async def serve(
        self, timeout_s: float, *, body: bytes = b"", pieces: int = 1, every_s: float = 0.0, **fields: object
    ) -> Answer:
        """Send a request with these protocol fields; `ref` and `allow` are added.

        Args:
            timeout_s: How long the client waits, from its last byte.
            body: The body of the request.
            pieces: Number of pieces in which it is written.
            every_s: Pause between two pieces.
            fields: Fields of the request.
        """
        texts = {name: str(value) for name, value in fields.items()}
        texts.setdefault("ref", f"{self._rng.getrandbits(64):016x}")
        texts["allow"] = str(int(timeout_s * 1000))
        arguments = _map_argument(texts) + _body_argument(body) + b"\0"
        return await self._call(b"serve", arguments, timeout_s + WAIT_LONGER_S, pieces, every_s)

    async def _call(
        self, method: bytes, arguments: bytes, wait_s: float, pieces: int = 1, every_s: float = 0.0
    ) -> Answer:
        number = next(self._numbers)
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._open[number] = future
        sent_at = await self._write(_message(CALL, method, number, arguments), pieces, every_s)
        if not sent_at:
            self._open.pop(number, None)
            return Answer("lost")
        try:
            answer = await asyncio.wait_for(future, wait_s)
        except TimeoutError:
            answer = Answer("lost")
        self._open.pop(number, None)
        return answer._replace(sent_at=sent_at)

    async def _write(self, data: bytes, pieces: int, every_s: float) -> float:
        """Write a message; return when its last byte was written, 0 if the connection ended before."""
        size = -(-len(data) // pieces)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(every_s)
            if self._writer is None or self.ended_at is not None:
                return 0.0
            self._writer.write(data[start : start + size])
        return time.monotonic()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                (size,) = struct.unpack(">i", await reader.readexactly(4))
                self._receive(await reader.readexactly(size))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended_at = time.monotonic()
            for future in self._open.values():
                if not future.done():
                    future.set_result(Answer("lost"))

    def _receive(self, frame: bytes) -> None:
        reader = _Reader(frame)
        (word,) = reader.unpack(">I")
        reader.text()
        (number,) = reader.unpack(">i")
        future = self._open.get(number)
        if future is None or future.done():
            return
        if word & 0xFF != REPLY:
            future.set_result(Answer("failed"))
            return
        result = reader.fields()
        if SUCCESS in result:
            values = result[SUCCESS]
            future.set_result(Answer("served", values.get(1, b""), values.get(2, {})))
        elif REFUSED in result:
            future.set_result(Answer("refused", b"", result[REFUSED].get(1, {})))
        else:
            future.set_result(Answer("failed"))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        if self._reading is not None:
            self._reading.cancel()
