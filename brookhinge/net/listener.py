"""A listening socket on an asyncio loop that survives shortages.

When it stops, it first accepts every connection that came before.
"""

import asyncio
import contextlib
import enum
import errno
import socket
from collections.abc import Callable

from brookhinge.net import stream

BACKLOG = 1024  # connections that the system keeps until they are accepted
MAX_ACCEPTS_PER_PASS = 64  # accepted in one pass of the loop: others must have their turn
RETRY_ACCEPT_S = 0.05
RETRY_STOP_S = 0.02
SHORTAGES = stream.SHORTAGES | {errno.EMFILE, errno.ENFILE}  # here descriptors as well


class Outcome(enum.Enum):
    """How a pass of accepting ended."""

    EMPTY = "empty"  # the system says that nothing is left
    MORE = "more"  # as many as were to be accepted
    SHORTAGE = "shortage"  # nothing can be accepted now


def bind(host: str, port: int) -> socket.socket:
    """Return a socket that listens there; where that fails nothing is left open.

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
        on_shortage: Called when nothing can be accepted for a while.
        on_empty: Called when the backlog was seen empty.
    """

    def __init__(
        self,
        on_connection: Callable[[socket.socket, str], None],
        log: Callable[..., None],
        has_capacity: Callable[[], bool] = lambda: True,
        max_accepts: Callable[[], int] = lambda: MAX_ACCEPTS_PER_PASS,
    ) -> None:
        """Prepare to accept; `listen` begins.

        Args:
            on_connection: Takes each socket and the host of its other end.
            log: Takes (event, **values).
            has_capacity: Whether one more connection may be accepted.
            max_accepts: How many connections one pass of the loop may accept.
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
        """Whether the socket still listens."""
        return self.socket is not None

    def listen(self, host: str, port: int, listener_fd: int | None = None) -> tuple[str, int]:
        """Begin to accept and return the address.

        Args:
            host: Where to listen.
            port: Where to listen; 0 takes a free one.
            listener_fd: Descriptor of a socket that listens already and outlives this process, in place of
                an address.

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
        """Accept up to `limit` connections; return how it ended, and what is short if anything."""
        for _ in range(limit):
            if not self._has_capacity():
                return Outcome.SHORTAGE, "connections hold their share of descriptors"
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                self.on_empty()
                return Outcome.EMPTY, None
            except OSError as error:
                if error.errno in SHORTAGES:
                    return Outcome.SHORTAGE, f"no descriptor: {error.strerror}"
                continue  # that connection ended before it was accepted
            self._is_paused = False
            with contextlib.suppress(OSError):  # without it small answers come a little later
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._on_connection(accepted, address[0])
        return Outcome.MORE, None

    def _pause(self, shortage: str) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        if not self._is_paused:  # one line for each shortage, not for each retry
            self._log("not accepting", why=shortage)
        self._is_paused = True
        self.on_shortage()
        loop.call_later(RETRY_ACCEPT_S, self._resume)

    def _resume(self) -> None:
        if self.open and not self._is_stopping:
            asyncio.get_running_loop().add_reader(self.socket, self._accept_pass)

    def stop(self) -> None:
        """Close once all connections that came before are accepted.

        A close over connections that were not accepted resets them, with the requests on them. Where none
        can be accepted now, this is tried again until `close`.
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
        """Close at once, whatever was not accepted."""
        if self.open:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None
