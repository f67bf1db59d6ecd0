"""Connections whose writing side is shut and that are read on for a moment.

A close over unread bytes resets the connection, and the last answers on it are lost.
"""

import asyncio
import socket
from collections.abc import Iterator

from brookhinge.net.client_connection import ClientConnection

LINGER_S = 0.2
MAX_LINGERING = 8  # where others need descriptors


class LingeringCloses:
    """Closes connections a while after their writing side was shut."""

    def __init__(self) -> None:
        self._clients: dict[int, ClientConnection] = {}

    def __len__(self) -> int:
        return len(self._clients)

    def __iter__(self) -> Iterator[ClientConnection]:
        return iter(self._clients.values())

    def add(self, client: ClientConnection) -> None:
        """Shut the writing side of a connection, and close it later."""
        try:
            client.stream.socket.shutdown(socket.SHUT_WR)
        except (OSError, AttributeError):  # the system, or the stream, has closed it already
            self.close(client)
            return
        self._clients[client.number] = client
        asyncio.get_running_loop().call_later(LINGER_S, self.close, client)

    def close(self, client: ClientConnection) -> None:
        """Close a connection at once, whether it lingers or not."""
        self._clients.pop(client.number, None)
        client.stream.close()

    def trim(self) -> None:
        """Close the oldest at once, but for a few: others need their descriptors."""
        while len(self._clients) > MAX_LINGERING:
            self.close(next(iter(self._clients.values())))
