"""A listening socket on the asyncio loop that keeps working when descriptors or memory run short.

Before it stops, it accepts every connection that is still in the backlog.
"""

import asyncio
import contextlib
import enum
import errno
import socket
from collections.abc import Callable

from brookhinge.net import stream

BACKLOG = 1024  # connections that the kernel queues until they are accepted
MAX_ACCEPTS_PER_PASS = 64  # per event loop pass, so that other tasks can run in between
RETRY_ACCEPT_S = 0.05
RETRY_STOP_S = 0.02
SHORTAGES = stream.SHORTAGES | {errno.EMFILE, errno.ENFILE}  # plus running out of descriptors


class Outcome(enum.Enum):
    """Why an accept pass ended."""

    EMPTY = "empty"  # the backlog is empty
    MORE = "more"  # the limit was reached; more connections may be waiting
    SHORTAGE = "shortage"  # no connection can be accepted for now


def bind(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an address; if that fails, the socket is closed.

    Raises:
        OSError: The address cannot be bound.
    """
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening


class Listener:
    """Accepts connections and hands each to a callback.

    Attributes:
        socket: The listening socket; None before `listen` and once closed.
        on_shortage: Called when no connection can be accepted for now.
        on_empty: Called when the backlog was found empty.
    """

    def __init__(
        self,
        on_connection: Callable[[socket.socket, str], None],
        log: Callable[..., None],
        has_capacity: Callable[[], bool] = lambda: True,
        max_accepts: Callable[[], int] = lambda: MAX_ACCEPTS_PER_PASS,
    ) -> None:
        """Create a listener without a socket; `listen` starts accepting.

        Args:
            on_connection: Called with each accepted socket and the host of its peer.
            log: Called with (event, **values).
            has_capacity: Returns whether one more connection may be accepted.
            max_accepts: Returns the maximum number of connections to accept in one event loop pass.
        """
        self._on_connection = on_connection
        self._log = log
        self._has_capacity = has_capacity
        self._max_accepts = max_accepts
        self._is_stopping = False
        self._is_paused = False
        self.socket: socket.socket | None = None
        self.on_shortage: Callable[[], None] = lambda: None
        self.on_empty: Callable[[], None] = lambda: None

    @property
    def open(self) -> bool:
        """Whether the socket is listening."""
        return self.socket is not None

    def listen(self, host: str, port: int, listener_fd: int | None = None) -> tuple[str, int]:
        """Start accepting connections and return the bound address.

        Args:
            host: Host to listen on.
            port: Port to listen on; 0 picks a free one.
            listener_fd: Descriptor of a socket that is already listening and outlives this process; if
                given, `host` and `port` are ignored.

        Raises:
            OSError: The address cannot be bound.
        """
        self.socket = bind(host, port) if listener_fd is None else socket.socket(fileno=listener_fd)
        self.socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self.socket, self._accept_pass)
        return self.socket.getsockname()

    def _accept_pass(self) -> None:
        outcome, shortage = self.accept_some(self._max_accepts())
        if outcome is Outcome.SHORTAGE:
            self._pause(shortage)

    def accept_some(self, limit: int) -> tuple[Outcome, str | None]:
        """Accept up to `limit` connections; return why the pass ended and the shortage, if any."""
        for _ in range(limit):
            if not self._has_capacity():
                return Outcome.SHORTAGE, "maximum number of connections reached"
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                self.on_empty()
                return Outcome.EMPTY, None
            except OSError as error:
                if error.errno in SHORTAGES:
                    return Outcome.SHORTAGE, f"accept failed: {error.strerror}"
                continue  # the connection ended before it was accepted
            self._is_paused = False
            with contextlib.suppress(OSError):  # without it, small replies are slightly delayed
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._on_connection(accepted, address[0])
        return Outcome.MORE, None

    def _pause(self, shortage: str) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        if not self._is_paused:  # logs once per shortage, not once per retry
            self._log("not accepting", why=shortage)
        self._is_paused = True
        self.on_shortage()
        loop.call_later(RETRY_ACCEPT_S, self._resume)

    def _resume(self) -> None:
        if self.open and not self._is_stopping:
            asyncio.get_running_loop().add_reader(self.socket, self._accept_pass)

    def stop(self) -> None:
        """Close the socket once all connections in the backlog are accepted.

        Closing it earlier would reset the connections in the backlog and lose their requests. If they
        cannot be accepted now, this is retried until `close` is called.
        """
        if not self.open:
            return
        self._is_stopping = True
        asyncio.get_running_loop().remove_reader(self.socket)
        outcome, _ = self.accept_some(BACKLOG)
        if outcome is Outcome.EMPTY:
            self.close()
        else:
            asyncio.get_running_loop().call_later(RETRY_STOP_S, self.stop)

    def close(self) -> None:
        """Close the socket immediately, even if connections in the backlog are lost."""
        if self.open:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None
