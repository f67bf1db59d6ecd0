"""Serves connections of routers and other cache servers: passes on their requests and writes the answers."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable, Coroutine

from brookhinge.cache_server import protocol
from brookhinge.cache_server.protocol import CommandKind, CommandSplitter, UnusableRequestError
from brookhinge.net.errors import UnreadableError
from brookhinge.net.listener import Listener
from brookhinge.net.stream import Stream, StreamClosedError

_MAX_UNREAD_BYTES = 8 * 1024 * 1024  # above this, a client that does not read its answers is not read from
_MAX_OPEN_REQUESTS = 512  # per connection
_SWEEP_INTERVAL_S = 0.2
_DRAIN_POLL_S = 0.01

LogEvent = Callable[..., None]
RequestHandler = Callable[[bytes, bytes, bytes], Awaitable[bytes]]  # (request id, fields, body) -> answer


class ClientConnection:
    """A client connection and its open requests.

    Attributes:
        stream: The connection's stream.
        used_at: Time of the last command or answer.
        open_requests: Tasks of the open requests by request id.
        may_read: Cleared while too many bytes of answers are unread.
    """

    def __init__(self, stream: Stream, now: float) -> None:
        self.stream = stream
        self.used_at = now
        self.open_requests: dict[bytes, asyncio.Task] = {}
        self.may_read = asyncio.Event()
        self.may_read.set()
        stream.on_sent = self._on_sent

    @property
    def unread_bytes(self) -> int:
        """Bytes of answers that the kernel has not accepted yet."""
        return self.stream.unsent_bytes

    def write(self, data: bytes) -> None:
        """Send bytes, and stop reading from the client while it does not read its answers."""
        try:
            self.stream.write(data)
        except StreamClosedError:
            return
        if self.unread_bytes > _MAX_UNREAD_BYTES:
            self.may_read.clear()

    def _on_sent(self) -> None:
        if self.unread_bytes <= _MAX_UNREAD_BYTES // 2:
            self.may_read.set()


class LineServer:
    """Listens for routers and runs a handler for each of their requests.

    The handler returns the encoded answer. It is cancelled by a KILL and when its connection closes.
    """

    def __init__(
        self, handle: RequestHandler, log_event: LogEvent, now: Callable[[], float], idle_s: float
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            handle: Returns the encoded answer to one request.
            log_event: Called with the name of an event and its values as keyword arguments.
            now: Returns the seconds of a monotonic clock.
            idle_s: Time after which a connection without requests is closed.
        """
        self._handle = handle
        self._log_event = log_event
        self._now = now
        self._idle_s = idle_s
        self._connections: set[ClientConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._sweep_task: asyncio.Task | None = None
        self._listener = Listener(self._accept, log_event)

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Begin accepting connections and return the bound address.

        Raises:
            OSError: The address can't be bound.
        """
        address = self._listener.listen(host, port)
        self._sweep_task = asyncio.ensure_future(self._sweep())
        return address

    def open_requests(self) -> int:
        """Return the number of requests that wait for their answer."""
        return sum(len(connection.open_requests) for connection in self._connections)

    def stop(self) -> None:
        """Accept no further connections except those already established by their clients."""
        self._listener.stop()

    async def drain(self, timeout_s: float) -> None:
        """Wait until no request is open, at most for `timeout_s` seconds."""
        deadline = time.monotonic() + timeout_s
        while self.open_requests() and time.monotonic() < deadline:
            tasks = [task for connection in self._connections for task in connection.open_requests.values()]
            await asyncio.wait(tasks, timeout=_DRAIN_POLL_S)
            await asyncio.sleep(_DRAIN_POLL_S)  # the last answers are still being sent

    def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        if self._sweep_task:
            self._sweep_task.cancel()
        for connection in list(self._connections):
            self._close_connection(connection)

    def _start(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task:
        """Run a coroutine as a task; the server keeps a reference until it ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _accept(self, accepted: socket.socket, _host: str) -> None:
        connection = ClientConnection(Stream(accepted), self._now())
        self._connections.add(connection)
        self._start(self._read(connection))

    async def _read(self, connection: ClientConnection) -> None:
        commands = CommandSplitter()
        try:
            while True:
                await connection.may_read.wait()
                data = await connection.stream.read()
                for kind, request_id, *rest in commands.feed(data):
                    self._handle_command(connection, kind, request_id, *rest)
        except OSError:
            pass
        except UnreadableError as error:
            self._log_event("peer", why=f"unreadable: {error}")
        except Exception as error:  # an internal error closes only this connection
            self._log_event("fault", where="peer", why=f"{type(error).__name__}: {error}")
        finally:
            self._close_connection(connection)

    def _handle_command(
        self,
        connection: ClientConnection,
        kind: CommandKind,
        request_id: bytes,
        fields: bytes = b"",
        body: bytes = b"",
    ) -> None:
        connection.used_at = self._now()
        open_requests = connection.open_requests
        if kind is CommandKind.ECHO:
            connection.write(protocol.encode_answer(request_id, protocol.ALIVE))
        elif kind is CommandKind.KILL:
            if request_id in open_requests:
                open_requests.pop(request_id).cancel()
        elif request_id in open_requests:
            raise UnreadableError(f"expected a new request id, got {request_id[:40]!r} of an open request")
        elif len(open_requests) >= _MAX_OPEN_REQUESTS:
            connection.write(protocol.encode_answer(request_id, protocol.FULL))
        else:
            open_requests[request_id] = self._start(self._answer(connection, request_id, fields, body))

    async def _answer(
        self, connection: ClientConnection, request_id: bytes, fields: bytes, body: bytes
    ) -> None:
        task = asyncio.current_task()
        try:
            answer = await self._handle(request_id, fields, body)
        except UnusableRequestError as error:
            self._log_event("query", why=f"unusable: {error}")
            answer = protocol.encode_answer(request_id, protocol.FAILED)
        except asyncio.CancelledError:
            return
        except Exception as error:  # an internal error fails only this request
            self._log_event("fault", where="query", why=f"{type(error).__name__}: {error}")
            answer = protocol.encode_answer(request_id, protocol.FAILED)
        if connection.open_requests.get(request_id) is task:  # else the request was cancelled by a KILL
            del connection.open_requests[request_id]
            connection.used_at = self._now()
            connection.write(answer)

    def _close_connection(self, connection: ClientConnection) -> None:
        connection.stream.close()
        connection.may_read.set()
        self._connections.discard(connection)
        for task in connection.open_requests.values():
            task.cancel()
        connection.open_requests.clear()

    async def _sweep(self) -> None:
        """Close connections that have been idle for too long, or whose last use lies in the future."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = self._now()
            for connection in list(self._connections):
                is_idle = not connection.open_requests and not connection.unread_bytes
                if is_idle and not 0 <= now - connection.used_at <= self._idle_s:
                    self._close_connection(connection)
