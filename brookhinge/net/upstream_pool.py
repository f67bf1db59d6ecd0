"""Connection pool for all servers: chooses a connection for an attempt and opens new ones."""

from __future__ import annotations

import socket
from collections.abc import Callable

from brookhinge.engine.endpoints import ServerInstance
from brookhinge.net.stream import Stream
from brookhinge.net.upstream_connection import UpstreamConnection

MAX_CONNECTIONS_PER_SERVER = 8  # fewer if `max_connections` is reached
MIN_IDLE_CONNECTIONS = 2  # another connection is opened when fewer than this are idle


class UpstreamPool:
    """Chooses connections and opens them.

    Attributes:
        connections: All connections that are not closed.
        max_connections: Maximum number of open connections to all servers.
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
        """Create an empty pool.

        Args:
            now: Returns the router's time in seconds.
            report: Logs the reason for a failed connection to a server.
            max_load: Maximum number of concurrent attempts on one connection.
            max_connections: Maximum number of open connections to all servers.
            on_opened: Starts connecting a new connection.
            close_for_capacity: Closes an idle connection to free its descriptor for another.
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
        """Return the least loaded connection to a server, or None if no descriptor is left for one.

        Opens another connection in advance when fewer than MIN_IDLE_CONNECTIONS are idle, so that slow
        answers do not delay other attempts and attempts seldom wait for a connect.
        """
        connections = self._by_server.setdefault(server, [])
        usable = [
            connection for connection in connections if connection.accepts(client_request_id, self._max_load)
        ]
        if not usable and len(self.connections) >= self.max_connections:
            self._close_idle_connection()
        idle_count = sum(not connection.load for connection in usable)
        if (
            idle_count < MIN_IDLE_CONNECTIONS
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
        """Return an established connection to a server that accepts the attempt, or None."""
        for connection in self._by_server.get(server, ()):
            if connection.is_connected and connection.accepts(client_request_id, self._max_load):
                return connection
        return None

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        self.connections.discard(connection)
        same_server = self._by_server.get(connection.server, ())
        if connection in same_server:
            same_server.remove(connection)

    def remove_server(self, server: ServerInstance) -> list[UpstreamConnection]:
        """Stop choosing connections to a server, and return those that it had."""
        return self._by_server.pop(server, [])

    def _close_idle_connection(self) -> None:
        """Close the longest idle connection among the servers with the most connections.

        Every server must be able to get a connection.
        """
        idle = [
            connection for connection in self.connections if connection.is_connected and not connection.load
        ]
        if idle:
            victim = max(
                idle,
                key=lambda connection: (
                    len(self._by_server.get(connection.server, ())),
                    -connection.used_at,
                ),
            )
            self._close_for_capacity(victim)

    def _open(self, server: ServerInstance) -> UpstreamConnection | None:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no descriptor left
            self._report(server, f"{error.strerror}")
            return None
        stream = Stream(sock)
        stream.set_nodelay()
        connection = UpstreamConnection(server, stream, self._now())
        self._by_server[server].append(connection)
        self.connections.add(connection)
        self._on_opened(connection)
        return connection
