"""The servers in the endpoint list of the command channel, as a cache server uses them. No I/O."""

from brookhinge.cache_server.cache_policy import SERVER_READY
from brookhinge.engine.endpoints import ListedEndpoint, ServerInstance
from brookhinge.engine.events import EndpointsListed

_HEALTH_GONE = "gone"


class ServerList:
    """The listed servers by name, the origin, and the kind of this server.

    Attributes:
        servers: Listed servers by name, without those that are gone.
        origin: Name of an origin that is ready; None if there is none.
        is_parent: Whether this server is listed as a parent.
    """

    def __init__(self, own_name: str, parent_kind: str, origin_kind: str) -> None:
        self.servers: dict[str, ListedEndpoint] = {}
        self.origin: str | None = None
        self.is_parent = False
        self._own_name = own_name
        self._parent_kind = parent_kind
        self._origin_kind = origin_kind

    def apply(self, event: EndpointsListed) -> list[ServerInstance]:
        """Apply a complete list or changes; return the server instances that were replaced or are gone."""
        if event.is_complete:
            self.servers = {}
        retired = []
        for row in event.endpoints:
            endpoint = ListedEndpoint(*row)
            known = self.servers.get(endpoint.server)
            if known and instance_of(known) != instance_of(endpoint):
                retired.append(instance_of(known))
            if endpoint.health == _HEALTH_GONE:
                self.servers.pop(endpoint.server, None)
            else:
                self.servers[endpoint.server] = endpoint
        self.origin = self._find_origin()
        own = self.servers.get(self._own_name)
        self.is_parent = own is not None and own.kind == self._parent_kind
        return retired

    def _find_origin(self) -> str | None:
        for name, endpoint in sorted(self.servers.items()):
            if endpoint.kind == self._origin_kind and endpoint.health == SERVER_READY:
                return name
        return None

    def forget(self) -> None:
        """Forget all servers, because changes to the list may have been missed."""
        self.servers = {}

    def health_of(self, name: str) -> str | None:
        """Return the last listed health of a server; None if it is not listed."""
        endpoint = self.servers.get(name)
        return endpoint.health if endpoint else None

    def is_origin(self, endpoint: ListedEndpoint) -> bool:
        """Return whether a server is an origin."""
        return endpoint.kind == self._origin_kind


def instance_of(endpoint: ListedEndpoint) -> ServerInstance:
    """Return the server instance of a row of the list: name, address and start time."""
    return ServerInstance(endpoint.server, endpoint.address, endpoint.started_at)
