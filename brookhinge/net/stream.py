"""Non-blocking TCP connections on the asyncio loop, tolerant of temporary memory shortages in the kernel.

Nothing is buffered for reading: bytes that nobody takes stay in the kernel, so that a connection that is not
read takes no memory of the process.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import errno
import socket
from collections.abc import Callable

READ_BYTES = 16 * 1024  # received at a time; all connections share one buffer of this size
# The kernel is temporarily out of memory: recv(2) and send(2) fail, but the connection stays intact.
SHORTAGES = frozenset((errno.ENOMEM, errno.ENOBUFS))
UNKNOWN_COUNT = -1
_CONNECTING = frozenset((errno.EINPROGRESS, errno.EINTR, errno.EWOULDBLOCK))

_received = memoryview(bytearray(READ_BYTES))


class StreamClosedError(ConnectionError):
    """The connection has ended or was closed."""


class Unread(enum.Enum):
    """What a connection holds in the kernel that this process has not read."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"  # the peer closed or reset it, or it is closed on this side
    UNKNOWN = "unknown"  # the check failed for lack of memory


def unread(connection: socket.socket | None) -> Unread:
    """Return what is unread on a non-blocking socket; pass None for a closed stream."""
    if connection is None:
        return Unread.END
    try:
        return Unread.BYTES if connection.recv(1, socket.MSG_PEEK) else Unread.END
    except BlockingIOError:
        return Unread.NOTHING
    except OSError as error:
        return Unread.UNKNOWN if error.errno in SHORTAGES else Unread.END


class Stream:
    """One connection, accepted or to be connected.

    A reader either calls `read`, or is told by `watch` when bytes can be received and calls `receive`.

    Attributes:
        socket: The socket; None once the stream is closed.
        unsent_bytes: Bytes written that the kernel has not accepted yet.
        on_sent: Called when the kernel has accepted some of the unsent bytes, or None.
        on_failed: Called soon after a write has failed, which closes the stream, or None.
    """

    __slots__ = (
        "_is_watched",
        "_unsent",
        "_waiter",
        "on_failed",
        "on_sent",
        "socket",
        "unsent_bytes",
    )

    def __init__(self, connection: socket.socket) -> None:
        """Take over a socket, which is closed with the stream."""
        connection.setblocking(False)
        self.socket: socket.socket | None = connection
        self.unsent_bytes = 0
        self.on_sent: Callable[[], None] | None = None
        self.on_failed: Callable[[], None] | None = None
        self._unsent: collections.deque[memoryview] | None = None
        self._waiter: asyncio.Future[None] | None = None  # of `connect` or `read`
        self._is_watched = False

    def set_nodelay(self) -> None:
        """Send small writes at once."""
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def closed(self) -> bool:
        """Return whether the stream is closed on this side."""
        return self.socket is None

    # Connecting.

    async def connect(self, address: tuple[str, int]) -> None:
        """Connect to an address.

        Raises:
            OSError: The connection could not be made, or `close` was called.
        """
        failure = self.socket.connect_ex(address)
        if failure in _CONNECTING:
            loop = asyncio.get_running_loop()
            connecting = self.socket
            self._waiter = loop.create_future()
            loop.add_writer(connecting, self._wake)
            try:
                await self._waiter
            finally:
                self._waiter = None
                if self.socket is not None:
                    loop.remove_writer(connecting)
            failure = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failure:
            raise OSError(failure, errno.errorcode.get(failure, "connect failed"))

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Reading.

    def receive_into(self, buffer: memoryview) -> int | None:
        """Receive into `buffer`; return the number of bytes, 0 at the end, None if there are none now.

        UNKNOWN_COUNT is returned if the kernel is out of memory: there may be bytes.

        Raises:
            OSError: The connection has failed.
        """
        try:
            return self.socket.recv_into(buffer)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            return UNKNOWN_COUNT

    def receive(self, limit: int = READ_BYTES) -> memoryview | None:
        """Return up to `limit` bytes, valid until the next call on any stream; None if there are none now.

        The bytes are empty if the kernel is out of memory: there may be some.

        Raises:
            OSError: The connection has failed or is closed.
            StreamClosedError: The peer has closed the connection.
        """
        if self.socket is None:
            raise StreamClosedError
        count = self.receive_into(_received[:limit])
        if count is None:
            return None
        if not count:
            raise StreamClosedError
        return _received[: max(0, count)]

    async def read(self) -> bytes:
        """Wait for bytes and return them.

        Raises:
            OSError: The connection has failed.
            StreamClosedError: The peer has closed the connection, or `close` was called.
        """
        while not (data := self.receive()):
            self._waiter = asyncio.get_running_loop().create_future()
            self.watch(self._wake)
            try:
                await self._waiter
            finally:
                self._waiter = None
                self.unwatch()
        return bytes(data)

    def watch(self, on_readable: Callable[[], None]) -> None:
        """Call `on_readable` in each iteration of the loop in which bytes, or the end, can be received."""
        if self.socket is not None:
            asyncio.get_running_loop().add_reader(self.socket, on_readable)
            self._is_watched = True

    def unwatch(self) -> None:
        """Stop calling the function passed to `watch`."""
        if self._is_watched and self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
        self._is_watched = False

    # Writing.

    def writing(self) -> bool:
        """Return whether the kernel has not accepted all written bytes."""
        return bool(self.unsent_bytes)

    def write(self, data: bytes) -> None:
        """Write without waiting; what the kernel does not accept now is sent as soon as it does.

        Raises:
            StreamClosedError: The stream is closed.
        """
        if self.socket is None:
            raise StreamClosedError
        if self.unsent_bytes:
            self._unsent.append(memoryview(data))
            self.unsent_bytes += len(data)
            return
        rest = memoryview(data)[self._send(data) :]
        if rest and self.socket is not None:
            self._unsent = collections.deque((rest,))
            self.unsent_bytes = len(rest)
            asyncio.get_running_loop().add_writer(self.socket, self._flush)

    def _send(self, data: bytes | memoryview) -> int:
        """Return how many bytes the kernel accepted; a failure closes the stream."""
        try:
            return self.socket.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            if error.errno not in SHORTAGES:
                self._fail()
            return 0

    def _flush(self) -> None:
        sent = self._send(self._unsent[0])
        if self.socket is None:
            return
        self.unsent_bytes -= sent
        self._unsent[0] = self._unsent[0][sent:]
        if not self._unsent[0]:
            self._unsent.popleft()
        if not self.unsent_bytes:
            asyncio.get_running_loop().remove_writer(self.socket)
            self._unsent = None
        if sent and self.on_sent is not None:
            self.on_sent()

    def _fail(self) -> None:
        on_failed = self.on_failed
        self.close()
        if on_failed is not None:
            asyncio.get_running_loop().call_soon(on_failed)

    # Closing.

    def close(self) -> None:
        """Close the connection and discard the unsent bytes; a pending `read` or `connect` fails."""
        if self.socket is None:
            return
        loop = asyncio.get_running_loop()
        self.unwatch()
        loop.remove_writer(self.socket)
        self.socket.close()
        self.socket = None
        self._unsent = None
        self.unsent_bytes = 0
        # They refer to the owner of the stream.
        self.on_sent = None
        self.on_failed = None
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(StreamClosedError())
