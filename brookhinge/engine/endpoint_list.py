"""Keeps the endpoint list: the listed servers and the instance of each that attempts are sent to."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from brookhinge.decisions import messages
from brookhinge.engine.effects import NotifyPeers, RetireServer
from brookhinge.engine.endpoints import ListedEndpoint, ServerInstance
from brookhinge.engine.records import Records

if TYPE_CHECKING:
    from brookhinge.membership.safety_notices import SafetyNotices

UNKNOWN_ZONE = -1


class EndpointList:
    """Applies endpoint lists and notices of peers about servers.

    Attributes:
        zones: {zone name: index}.
        instances: {server: the instance that attempts are sent to}.
    """

    def __init__(
        self, records: Records, *, zones: Sequence[str], safety_notices: SafetyNotices | None
    ) -> None:
        self.context = records.context
        self.invariants = records.invariants
        self.zones = {name: i for i, name in enumerate(zones)}
        self.safety_notices = safety_notices
        self.instances: dict[str, ServerInstance] = {}

    def apply(self, endpoints: Sequence[ListedEndpoint], *, is_complete: bool) -> None:
        """Apply a list from the command channel; a complete list removes the servers that it omits."""
        rows = [self.apply_endpoint(endpoint) for endpoint in endpoints]
        if is_complete:
            self.remove_absent({endpoint.server for endpoint in endpoints})
        self.context.state_updates.append(messages.EndpointsListed(is_complete, rows))

    def apply_endpoint(self, endpoint: ListedEndpoint) -> messages.Endpoint:
        """Apply one row; return the row to use, which peers' notices may have tightened."""
        row = messages.Endpoint(
            server=endpoint.server,
            state=endpoint.health,
            weight=endpoint.weight,
            started_at=endpoint.started_at,
            cell=endpoint.cell,
            kind=endpoint.kind,
            zone=self.zones.get(endpoint.zone, UNKNOWN_ZONE),
        )
        if self.safety_notices is not None:
            row, notice = self.safety_notices.receive_row(row)
            if notice is not None:
                self.notify_peers(notice)
        self.invariants.record_server(row.server, row.state, row.zone, row.cell)
        if row.state == "gone":
            self.set_instance(row.server, None)
        else:
            instance = ServerInstance(endpoint.server, endpoint.address, endpoint.started_at)
            self.set_instance(row.server, instance)
        return row

    def remove_absent(self, present: set[str]) -> None:
        """Remove servers that a complete list omits."""
        for server in [server for server in self.instances if server not in present]:
            self.set_instance(server, None)
        self.invariants.record_complete_list(present)
        if self.safety_notices is not None:
            for notice in self.safety_notices.remove_absent(present):
                self.notify_peers(notice)

    def apply_notice(self, row: messages.Endpoint) -> None:
        """Apply a row that was tightened by a peer's notice."""
        self.invariants.record_server(row.server, row.state, row.zone, row.cell)
        if row.state == "gone":
            self.set_instance(row.server, None)
        self.context.state_updates.append(messages.EndpointsListed(False, [row]))
        self.context.log("notice", server=row.server, health=row.state)

    def set_instance(self, server: str, instance: ServerInstance | None) -> None:
        """Set or remove the instance of a server; connections to a previous, different one are retired."""
        previous = self.instances.get(server)
        if previous is not None and previous != instance:
            self.context.emit(RetireServer(previous))
        if instance is None:
            self.instances.pop(server, None)
        else:
            self.instances[server] = instance

    def notify_peers(self, notice: tuple) -> None:
        """Notify the peers that a server is draining or gone."""
        kind, *values = notice
        self.context.emit(NotifyPeers(kind, tuple(values)))
