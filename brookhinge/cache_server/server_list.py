"""The servers that the command channel lists, as a cache server sees them. No I/O."""

from brookhinge.cache_server.cache_policy import SERVER_READY
from brookhinge.engine.endpoints import ListedEndpoint, ServerInstance
from brookhinge.engine.events import EndpointsListed

_HEALTH_GONE = "gone"


class ServerList:
    """Servers by name, the origin among them, and the kind of this server.

    Attributes:
        servers: All that are listed and have not gone.
        origin: Name of an origin that is ready, or None.
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
        """Take a list or its changes; return the instances that were replaced or have gone."""
        if event.is_complete:
            self.servers = {}
        ended = []
        for row in event.endpoints:
            endpoint = ListedEndpoint(*row)
            known = self.servers.get(endpoint.server)
            if known and instance_of(known) != instance_of(endpoint):
                ended.append(instance_of(known))
            if endpoint.health == _HEALTH_GONE:
                self.servers.pop(endpoint.server, None)
            else:
                self.servers[endpoint.server] = endpoint
        self.origin = self._find_origin()
        own = self.servers.get(self._own_name)
        self.is_parent = own is not None and own.kind == self._parent_kind
        return ended

    def _find_origin(self) -> str | None:
        for name, endpoint in sorted(self.servers.items()):
            if endpoint.kind == self._origin_kind and endpoint.health == SERVER_READY:
                return name
        return None

    def forget(self) -> None:
        """Forget all servers, because changes of the list may have been missed."""
        self.servers = {}

    def health_of(self, name: str) -> str | None:
        """The health of a server as last told; None if it is not listed."""
        endpoint = self.servers.get(name)
        return endpoint.health if endpoint else None

    def is_origin(self, endpoint: ListedEndpoint) -> bool:
        """Whether a server is an origin."""
        return endpoint.kind == self._origin_kind


def instance_of(endpoint: ListedEndpoint) -> ServerInstance:
    """The start of a server that a row of the list names."""
    return ServerInstance(endpoint.server, endpoint.address, endpoint.started_at)
