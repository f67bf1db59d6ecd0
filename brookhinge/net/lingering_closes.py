"""Closes connections some time after they were shut down for writing.

Closing a connection with unread bytes resets it, which loses the last replies on it.
"""

import asyncio
import socket
from collections.abc import Iterator

from brookhinge.net.client_connection import ClientConnection

LINGER_S = 0.2
MAX_LINGERING = 8  # when the connection limit is reached


class LingeringCloses:
    """Connections that are shut down for writing and close after a linger time."""

    def __init__(self) -> None:
        self._clients: dict[int, ClientConnection] = {}

    def __len__(self) -> int:
        return len(self._clients)

    def __iter__(self) -> Iterator[ClientConnection]:
        return iter(self._clients.values())

    def add(self, client: ClientConnection) -> None:
        """Shut down a connection for writing and close it after the linger time."""
        try:
            client.stream.socket.shutdown(socket.SHUT_WR)
        except (OSError, AttributeError):  # the kernel or the stream has already closed it
            self.close(client)
            return
        self._clients[client.number] = client
        asyncio.get_running_loop().call_later(LINGER_S, self.close, client)

    def close(self, client: ClientConnection) -> None:
        """Close a connection immediately, whether it is lingering or not."""
        self._clients.pop(client.number, None)
        client.stream.close()

    def trim(self) -> None:
        """Close the oldest connections until MAX_LINGERING are left, to free descriptors."""
        while len(self._clients) > MAX_LINGERING:
            self.close(next(iter(self._clients.values())))
