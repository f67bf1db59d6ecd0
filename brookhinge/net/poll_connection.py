"""A connection to the command channel, with at most one outstanding long poll."""

from __future__ import annotations

import socket
from collections.abc import Callable

from brookhinge.net import http
from brookhinge.net.stream import Stream, StreamClosedError, Unread, unread


class PollConnection:
    """Sends polls to one address, one after another. Times are seconds of the caller's clock.

    Attributes:
        polled_at: Send time of the last poll; `-inf` before the first one.
        cursor: Number after which the last poll asked for commands.
        stream: The connection, or None before the first poll.
        is_closed: Whether `close` was called or the channel closed the connection; it is not opened again.
    """

    def __init__(self, address: tuple[str, int], now: Callable[[], float]) -> None:
        """Create a connection that the first poll opens.

        Args:
            address: Host and port of the command channel.
            now: Returns seconds of a steady clock.
        """
        self.polled_at = float("-inf")
        self.cursor = 0
        self.stream: Stream | None = None
        self._address = address
        self._now = now
        self._was_closed = False
        # Time by which the channel answers the outstanding poll; None if no poll is outstanding.
        self._response_due_at: float | None = None

    @property
    def is_closed(self) -> bool:
        """See the class."""
        return self._was_closed or (self.stream is not None and self.stream.closed())

    async def poll(self, cursor: int, wait_s: float) -> http.Response:
        """Poll for the commands after `cursor`, which the channel waits for up to `wait_s` seconds.

        Raises:
            OSError: The address cannot be reached.
            StreamClosedError: The connection ended, or `close` was called.
            UnreadableError: The response is not valid HTTP.
        """
        if self.is_closed:
            raise StreamClosedError
        if self.stream is None:
            await self._connect()
        stream = self.stream
        parser = http.ResponseParser()
        self.polled_at = self._now()
        self.cursor = cursor
        self._response_due_at = self.polled_at + wait_s
        host, port = self._address
        stream.write(http.encode_poll(f"{host}:{port}", cursor, int(wait_s * 1000)))
        while True:
            try:
                response = parser.feed(await stream.read())
            except StreamClosedError:
                response = parser.end()
            if response is not None:
                self._response_due_at = None
                return response

    async def _connect(self) -> None:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.stream = Stream(connection)
        self.stream.set_nodelay()
        await self.stream.connect(self._address)

    def is_polling(self) -> bool:
        """Return whether a poll is outstanding."""
        return self._response_due_at is not None

    def has_waiting_poll(self) -> bool:
        """Return whether a poll is outstanding that the channel would only answer now if it had a command."""
        return self.is_polling() and self._now() < self._response_due_at

    def has_unread(self) -> bool:
        """Return whether the connection of the outstanding poll has unread bytes or has ended."""
        return unread(self.stream.socket) is not Unread.NOTHING

    def close(self) -> None:
        """Close the connection; an outstanding poll ends with StreamClosedError."""
        self._was_closed = True
        self._response_due_at = None
        if self.stream is not None:
            self.stream.close()
