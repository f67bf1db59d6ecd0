"""The connections to all servers: which one takes an attempt, and when one more is opened."""

from __future__ import annotations

import socket
from collections.abc import Callable

from brookhinge.engine.endpoints import ServerInstance
from brookhinge.net.stream import Stream
from brookhinge.net.upstream_connection import UpstreamConnection

READ_BYTES = 64 * 1024
MAX_BUFFER_BYTES = 4 * 1024 * 1024
MAX_CONNECTIONS_PER_SERVER = 8  # as far as the share of descriptors reaches
SPARE_CONNECTIONS = 2  # one more is opened where fewer are without load


class UpstreamPool:
    """Chooses connections and opens them.

    Attributes:
        connections: All that are not closed.
        max_connections: How many may be open.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        report: Callable[[ServerInstance, str], None],
        max_load: int,
        max_connections: int,
        on_opened: Callable[[UpstreamConnection], None],
        close_for_capacity: Callable[[UpstreamConnection], None],
    ) -> None:
        """Begin without connections.

        Args:
            now: The clock of the router.
            report: Logs what went wrong with a connection to a server.
            max_load: How many attempts one connection carries at once.
            max_connections: How many connections may be open.
            on_opened: Begins the connect of a new connection.
            close_for_capacity: Closes an idle connection because another needs its descriptor.
        """
        self.connections: set[UpstreamConnection] = set()
        self.max_connections = max_connections
        self._now = now
        self._report = report
        self._max_load = max_load
        self._on_opened = on_opened
        self._close_for_capacity = close_for_capacity
        self._by_server: dict[ServerInstance, list[UpstreamConnection]] = {}

    def choose(self, server: ServerInstance, client_request_id: bytes) -> UpstreamConnection | None:
        """Return the connection to a server that carries least; None where no descriptor is left for one.

        One more is opened ahead where less than two are without load: answers that take long do not hold up
        the rest, and a connect is seldom waited for.
        """
        connections = self._by_server.setdefault(server, [])
        usable = [
            connection for connection in connections if connection.accepts(client_request_id, self._max_load)
        ]
        if not usable and len(self.connections) >= self.max_connections:
            self._make_capacity()
        spare = sum(not connection.load for connection in usable)
        if (
            spare < SPARE_CONNECTIONS
            and len(connections) < MAX_CONNECTIONS_PER_SERVER
            and len(self.connections) < self.max_connections
        ):
            opened = self._open(server)
            if opened is not None:
                usable.append(opened)
        return min(
            usable, key=lambda connection: (connection.load, not connection.is_connected), default=None
        )

    def connected(self, server: ServerInstance, client_request_id: bytes) -> UpstreamConnection | None:
        """Return a connection to a server that can be written on at once, or None."""
        for connection in self._by_server.get(server, ()):
            if connection.is_connected and connection.accepts(client_request_id, self._max_load):
                return connection
        return None

    def remove(self, connection: UpstreamConnection) -> None:
        """Forget a connection that is closed."""
        self.connections.discard(connection)
        siblings = self._by_server.get(connection.server, ())
        if connection in siblings:
            siblings.remove(connection)

    def remove_server(self, server: ServerInstance) -> list[UpstreamConnection]:
        """Choose no connection to a server any more, and return those that it had."""
        return self._by_server.pop(server, [])

    def _make_capacity(self) -> None:
        """Close the connection that is idle longest, of a server that has most: each server must get one."""
        idle = [
            connection for connection in self.connections if connection.is_connected and not connection.load
        ]
        if idle:
            longest = max(
                idle,
                key=lambda connection: (
                    len(self._by_server.get(connection.server, ())),
                    -connection.used_at,
                ),
            )
            self._close_for_capacity(longest)

    def _open(self, server: ServerInstance) -> UpstreamConnection | None:
        try:
            made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no descriptor
            self._report(server, f"{error.strerror}")
            return None
        stream = Stream(
            made,
            max_buffer_size=MAX_BUFFER_BYTES,
            read_chunk_size=READ_BYTES,
            max_write_buffer_size=MAX_BUFFER_BYTES,
        )
        stream.set_nodelay(True)
        connection = UpstreamConnection(server, stream, self._now())
        self._by_server[server].append(connection)
        self.connections.add(connection)
        self._on_opened(connection)
        return connection
