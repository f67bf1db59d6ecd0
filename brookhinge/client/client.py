"""A client of one router: its connection, requests and retries."""

import asyncio
import itertools
import random
import time
from types import TracebackType
from typing import Any, NamedTuple, Self

from brookhinge.client import backoff
from brookhinge.net import thrift
from brookhinge.net.errors import InvalidCallError, UnreadableError

MAX_OPEN_REQUESTS = 30  # the router accepts 32 per connection
RESPONSE_GRACE_S = 0.2  # after a request's timeout, until its connection is considered dead
DEFAULT_TIMEOUT_S = 10.0
HEALTH_CHECK_TIMEOUT_S = 2.0
MIN_TIMEOUT_S = 0.001
MAX_FRAME_BYTES = 1 << 20
MAX_RETRY_AFTER_DIGITS = 7

Address = tuple[str, int]


class Answer(NamedTuple):
    """The outcome of a request.

    Attributes:
        kind: 'satisfied', 'refused', 'failed' or 'gone' (the connection ended first).
        body: The bytes of the object; empty unless satisfied.
        unchanged: Whether the version that the client has is current; there is no body then.
        wait_s: Retry delay in seconds sent with a refusal, 0 if there is none.
        why: Error text of the router if failed, or the reason if gone; else empty.
        tries: Number of attempts made.
    """

    kind: str
    body: bytes
    unchanged: bool
    wait_s: float
    why: str
    tries: int = 1


GONE = Answer("gone", b"", False, 0.0, "the connection ended")


class Connection:
    """A connection that carries several requests at once; responses may arrive in any order."""

    def __init__(self, address: Address):
        self._address = address
        self._pending: dict[int, asyncio.Future[Answer]] = {}
        self._sequence_numbers = itertools.count(1)
        self._slots = asyncio.Semaphore(MAX_OPEN_REQUESTS)
        self._writer: asyncio.StreamWriter | None = None
        self._reader_task: asyncio.Task[None] | None = None

    @property
    def open(self) -> bool:
        """Whether requests can be sent."""
        return self._reader_task is not None and not self._reader_task.done()

    async def connect(self) -> Self:
        """Connect and start reading responses.

        Raises:
            OSError: The connection failed.
        """
        reader, self._writer = await asyncio.open_connection(*self._address)
        self._reader_task = asyncio.get_running_loop().create_task(self._read(reader, self._writer))
        return self

    async def call(self, method: bytes, *arguments: bytes, timeout_s: float = DEFAULT_TIMEOUT_S) -> Answer:
        """Return the answer to one call; GONE if the connection ends first or no response arrives in time.

        If the task is cancelled, a cancel is sent to the router.
        """
        async with self._slots:
            if not self.open:
                return GONE
            sequence_number = next(self._sequence_numbers)
            future = asyncio.get_running_loop().create_future()
            self._pending[sequence_number] = future
            self._write(thrift.encode_message(method, thrift.CALL, sequence_number, *arguments, b"\0"))
            try:
                return await asyncio.wait_for(future, timeout_s)
            except TimeoutError:
                self.close()
                return GONE
            except asyncio.CancelledError:
                self._cancel(sequence_number)
                raise

    async def ask(self, fields: dict[str, Any], timeout_s: float) -> Answer:
        """Send a request with the given protocol fields and return the answer."""
        encoded = {name.encode(): str(value).encode() for name, value in fields.items()}
        header = thrift.FIELD_HEADER.pack(thrift.MAP, 1)
        return await self.call(b"serve", header, thrift.encode_string_map(encoded), timeout_s=timeout_s)

    async def is_healthy(self) -> bool:
        """Return whether the router answers a health check."""
        answer = await self.call(b"isWell", timeout_s=HEALTH_CHECK_TIMEOUT_S)
        return answer.kind == "satisfied"

    def close(self) -> None:
        """Close the connection; pending calls return GONE."""
        if self._reader_task is not None and self._writer is not None:
            self._reader_task.cancel()
            self._writer.close()

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._read_response(reader)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            UnreadableError,
            InvalidCallError,
            StopIteration,
        ):
            pass  # the connection has ended; pending calls return GONE
        finally:
            writer.close()
            for future in self._pending.values():
                if not future.done():
                    future.set_result(GONE)

    async def _read_response(self, reader: asyncio.StreamReader) -> None:
        (size,) = thrift.INT32.unpack(await reader.readexactly(thrift.INT32.size))
        if not 0 < size <= MAX_FRAME_BYTES:
            raise UnreadableError(f"frame length {size} is out of range")
        frame = thrift.Reader(await reader.readexactly(size))
        _, message_type, sequence_number = thrift.read_message_header(frame)
        future = self._pending.pop(sequence_number, None)
        if future is not None and not future.done():
            future.set_result(_decode_answer(frame, message_type))

    def _cancel(self, sequence_number: int) -> None:
        self._pending.pop(sequence_number, None)
        if self.open:
            header = thrift.FIELD_HEADER.pack(thrift.I32, 1)
            argument = thrift.INT32.pack(sequence_number)
            self._write(
                thrift.encode_message(b"forget", thrift.ONEWAY, sequence_number, header, argument, b"\0")
            )

    def _write(self, data: bytes) -> None:
        if self._writer is not None:
            self._writer.write(data)


def _decode_answer(frame: thrift.Reader, message_type: int) -> Answer:
    """Decode a response into an answer."""
    _, field_number = next(frame.read_fields())
    if message_type == thrift.EXCEPTION:
        return Answer("failed", b"", False, 0.0, frame.read_string().decode("utf-8", "replace"))
    if field_number:
        arguments = thrift.read_arguments(frame, {1: thrift.MAP}).get(1, {})
        if field_number != 1:
            return Answer("failed", b"", False, 0.0, "")
        return Answer("refused", b"", False, _retry_after_s(arguments.get(b"cooldown", b"0")), "")
    arguments = thrift.read_arguments(frame, {1: thrift.STRING, 2: thrift.MAP})
    unchanged = arguments.get(2, {}).get(b"unchanged") == b"1"
    return Answer("satisfied", arguments.get(1, b""), unchanged, 0.0, "")


def _retry_after_s(milliseconds: bytes) -> float:
    """Return the `cooldown` field in seconds; 0 if it is not a plausible number."""
    if not milliseconds.isdigit() or len(milliseconds) > MAX_RETRY_AFTER_DIGITS:
        return 0.0
    return int(milliseconds) / 1000.0


class Client:
    """Sends requests to one router over one connection, and reconnects when it has ended."""

    def __init__(
        self,
        address: Address,
        tries: int = 3,
        replayable: bool = True,
        chance: random.Random | None = None,
    ):
        """Create a client that connects on the first request.

        Args:
            address: Host and port of the router.
            tries: Maximum number of attempts of one request.
            replayable: Whether to retry a request that failed and so may have been executed.
            chance: Random generator for request ids and jitter.
        """
        self._address = address
        self._max_attempts = tries
        self._is_repeatable = replayable
        self._rng = chance or random.Random()
        self._connection: Connection | None = None
        self._connecting = asyncio.Lock()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self._connection is not None:
            self._connection.close()

    async def fetch(
        self,
        object_: str,
        part: int = 0,
        track: str = "page",
        patience_s: float = 2.9,
        group: int = 0,
        size_kb: float = 50.0,
        tag: str | None = None,
    ) -> Answer:
        """Fetch one part of an object within `patience_s`, including all retries.

        Args:
            object_: Object id, 16 hex digits.
            part: Number of the part.
            track: Name of the request class.
            patience_s: Timeout of the request, including all retries.
            group: Purge group of the object.
            size_kb: Expected size in kilobytes.
            tag: Version of the copy that the client has, or None.
        """
        started_at = time.monotonic()
        attempts = 0
        answer = GONE
        while True:
            time_left_s = patience_s - (time.monotonic() - started_at)
            if time_left_s <= MIN_TIMEOUT_S:
                return answer._replace(tries=attempts)
            attempts += 1
            fields = {
                "service": track,
                "ref": f"{self._rng.getrandbits(64):016x}",
                "allow": max(1, int(time_left_s * 1000)),
                "lookup": object_,
                "piece": part,
                "lot": group,
                "room": size_kb,
                **({"ver": tag} if tag else {}),
            }
            answer = await self._attempt(fields, time_left_s)
            delay_s = self._retry_delay_s(answer, attempts, patience_s - (time.monotonic() - started_at))
            if delay_s is None:
                return answer._replace(tries=attempts)
            await asyncio.sleep(delay_s)

    def _retry_delay_s(self, answer: Answer, attempts: int, time_left_s: float) -> float | None:
        if not backoff.may_retry(answer.kind, self._is_repeatable):
            return None
        return backoff.retry_delay_s(
            time_left_s=time_left_s,
            attempts=attempts,
            max_attempts=self._max_attempts,
            retry_after_s=answer.wait_s,
            rng=self._rng,
        )

    async def _attempt(self, fields: dict[str, Any], time_left_s: float) -> Answer:
        try:
            connection = await asyncio.wait_for(self._ensure_connected(), time_left_s)
        except (TimeoutError, OSError) as error:
            return GONE._replace(why=f"no connection: {error}")
        return await connection.ask(fields, time_left_s + RESPONSE_GRACE_S)

    async def _ensure_connected(self) -> Connection:
        async with self._connecting:
            if self._connection is None or not self._connection.open:
                self._connection = await Connection(self._address).connect()
            return self._connection


def fetch(address: Address, object_: str, **request: Any) -> Answer:  # noqa: ANN401 - as Client.fetch
    """Fetch without an event loop, over a new connection; arguments as for Client.fetch."""

    async def run() -> Answer:
        async with Client(address) as client:
            return await client.fetch(object_, **request)

    return asyncio.run(run())
