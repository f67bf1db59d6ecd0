"""Safety notices: reports by members of drains, removals and purges, which tighten a rule. No I/O, no clock.

A notice takes effect at once and is remembered until the router's own command channel has caught up. Notices
from members never loosen a rule.

A notice is ("draining" or "gone", server, start) or ("purge", group, object, time). Start and time are Unix
milliseconds as given by the command channel. The start is 0 for a server that was listed without one, and the
group is -1 when a single object is purged.
"""

from collections.abc import Container
from typing import NamedTuple

from brookhinge.decisions.messages import Endpoint

SEVERITY = {"ready": 0, "draining": 1, "gone": 2}
MAX_SERVERS_REMEMBERED = 4096
MAX_PURGES_REMEMBERED = 1024

ServerNotice = tuple[str, str, int]
"""The health of a server, the server, and its start time in Unix milliseconds."""


class ReportedHealth(NamedTuple):
    """The last reported start time and health of a server."""

    started_at_ms: int
    health: str


class SafetyNotices:
    """Combines members' notices with the endpoint list of the router's own command channel.

    Attributes:
        router_started_at: Start time of this router in Unix seconds.
        rows: The endpoints to use, by server.
    """

    def __init__(self, router_started_at: float) -> None:
        self.router_started_at = router_started_at
        self.rows: dict[str, Endpoint] = {}
        self._received: dict[str, ReportedHealth] = {}
        self._own: dict[str, ReportedHealth] = {}
        # Start times of servers whose drain began and ended on the own channel.
        self._ended_drains: dict[str, int] = {}
        self._purges: dict[tuple[int, str, int], None] = {}

    def unix_ms(self, started_at: float | None) -> int:
        """Convert seconds since this router's start to Unix milliseconds; None gives 0."""
        return round((started_at + self.router_started_at) * 1000) if started_at is not None else 0

    def receive_row(self, row: Endpoint) -> tuple[Endpoint, ServerNotice | None]:
        """Merge an endpoint from the own command channel with the notices received.

        Returns:
            The endpoint to use, and a notice for the members or None if nothing was tightened.
        """
        server = row.server
        health = row.state
        started_at_ms = self.unix_ms(row.started_at)
        previous = self.rows.get(server)
        received = self._received.get(server)
        if received is not None and (
            received.started_at_ms != started_at_ms or SEVERITY[received.health] <= SEVERITY[health]
        ):
            del self._received[server]
            received = None
        if health == "ready" and self._own.get(server) == (started_at_ms, "draining"):
            self._ended_drains[server] = started_at_ms
        self._own[server] = ReportedHealth(started_at_ms, health)
        is_tightened = health != "ready" and (
            previous is None or previous.state != health or self.unix_ms(previous.started_at) != started_at_ms
        )
        used = row._replace(state=received.health) if received is not None else row
        self.rows[server] = used
        if health == "gone":
            self._forget(server)
        return used, (health, server, started_at_ms) if is_tightened else None

    def remove_absent(self, present: Container[str]) -> list[ServerNotice]:
        """Remove the servers missing from a full list of the own channel; return a notice for each."""
        notices = []
        for server in [server for server in self.rows if server not in present]:
            notices.append(("gone", server, self.unix_ms(self.rows[server].started_at)))
            self._forget(server)
        return notices

    def _forget(self, server: str) -> None:
        for table in (self.rows, self._own, self._ended_drains):
            table.pop(server, None)

    def receive_notice(self, notice: tuple) -> Endpoint | None:
        """Apply a member's notice; return the changed endpoint, or None if nothing changed."""
        health, server, started_at_ms = notice
        if health not in ("draining", "gone") or not isinstance(server, str):
            return None
        if health == "draining" and self._ended_drains.get(server) == started_at_ms:
            return None  # nothing would ever revoke a late notice of a drain that has ended
        self._remember(server, ReportedHealth(started_at_ms, health))
        row = self.rows.get(server)
        if (
            row is None
            or self.unix_ms(row.started_at) != started_at_ms
            or SEVERITY[row.state] >= SEVERITY[health]
        ):
            return None
        self.rows[server] = row._replace(state=health)
        return self.rows[server]

    def _remember(self, server: str, report: ReportedHealth) -> None:
        """Keep the report with the latest start of a server, and of the same start the worse health."""
        received = self._received.get(server)
        if received is not None:
            if received.started_at_ms > report.started_at_ms:
                return
            is_same_start = received.started_at_ms == report.started_at_ms
            if is_same_start and SEVERITY[received.health] >= SEVERITY[report.health]:
                return
        self._received[server] = report
        if len(self._received) > MAX_SERVERS_REMEMBERED:
            del self._received[next(iter(self._received))]

    def purge_is_new(self, group: int, key: str, purged_at_ms: int) -> bool:
        """Record a purge; return whether it is new from both the own channel and the members."""
        purge = group, key, purged_at_ms
        if purge in self._purges:
            return False
        self._purges[purge] = None
        if len(self._purges) > MAX_PURGES_REMEMBERED:
            del self._purges[next(iter(self._purges))]
        return True
