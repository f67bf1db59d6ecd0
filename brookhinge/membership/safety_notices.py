"""Safety notices: what members tell of servers and purges that tightens a rule. No I/O, no clock.

It binds at once and is remembered until the router's own command channel has caught up. Nothing a member says
loosens anything.

A notice is ("draining" or "gone", server, start) or ("purge", group, object, moment). Start and moment are
milliseconds of the Unix clock as the command channel tells them; start 0 for a server that was there from the
first, group -1 with an object.
"""

from collections.abc import Container
from typing import NamedTuple

from brookhinge.decisions.messages import Endpoint

SEVERITY = {"ready": 0, "draining": 1, "gone": 2}
MAX_SERVERS_REMEMBERED = 4096
MAX_PURGES_REMEMBERED = 1024

ServerNotice = tuple[str, str, int]
"""Health, server, and its start in milliseconds of the Unix clock."""


class ReportedHealth(NamedTuple):
    """What was last told of a server: its start, and its health."""

    started_at_ms: int
    health: str


class SafetyNotices:
    """What members told, beside what the router's own channel says.

    Attributes:
        start: this router's, in seconds of the Unix clock.
        rows: the endpoints as they are to be used, by server.
    """

    def __init__(self, start: float) -> None:
        self.start = start
        self.rows: dict[str, Endpoint] = {}
        self._received: dict[str, ReportedHealth] = {}
        self._own: dict[str, ReportedHealth] = {}
        self._ended_drains: dict[str, int] = {}  # starts whose drain the own channel saw begin and end
        self._purges: dict[tuple[int, str, int], None] = {}

    def stamp(self, started_at: float | None) -> int:
        """A server's start in milliseconds of the Unix clock; `started_at` in seconds since this router's."""
        return round((started_at + self.start) * 1000) if started_at is not None else 0

    def receive_row(self, row: Endpoint) -> tuple[Endpoint, ServerNotice | None]:
        """Take an endpoint of the own channel; as it is to be used, and a notice if it tightens."""
        server = row.server
        health = row.state
        started_at_ms = self.stamp(row.started_at)
        before = self.rows.get(server)
        received = self._received.get(server)
        if received is not None and (
            received.started_at_ms != started_at_ms or SEVERITY[received.health] <= SEVERITY[health]
        ):
            del self._received[server]
            received = None
        if health == "ready" and self._own.get(server) == (started_at_ms, "draining"):
            self._ended_drains[server] = started_at_ms
        self._own[server] = ReportedHealth(started_at_ms, health)
        is_news = health != "ready" and (
            before is None or before.state != health or self.stamp(before.started_at) != started_at_ms
        )
        used = row._replace(state=received.health) if received is not None else row
        self.rows[server] = used
        if health == "gone":
            self._forget(server)
        return used, (health, server, started_at_ms) if is_news else None

    def absent(self, present: Container[str]) -> list[ServerNotice]:
        """Drop the servers that a whole list of the own channel leaves out; their notices."""
        notices = []
        for server in [server for server in self.rows if server not in present]:
            notices.append(("gone", server, self.stamp(self.rows[server].started_at)))
            self._forget(server)
        return notices

    def _forget(self, server: str) -> None:
        for kept in (self.rows, self._own, self._ended_drains):
            kept.pop(server, None)

    def receive_notice(self, notice: tuple) -> Endpoint | None:
        """Take a member's notice: the endpoint that now holds, or None if it changes nothing here."""
        health, server, started_at_ms = notice
        if health not in ("draining", "gone") or not isinstance(server, str):
            return None
        if health == "draining" and self._ended_drains.get(server) == started_at_ms:
            return None  # a late notice of a drain that is over would hold for good
        self._remember(server, ReportedHealth(started_at_ms, health))
        row = self.rows.get(server)
        if (
            row is None
            or self.stamp(row.started_at) != started_at_ms
            or SEVERITY[row.state] >= SEVERITY[health]
        ):
            return None
        self.rows[server] = row._replace(state=health)
        return self.rows[server]

    def _remember(self, server: str, told: ReportedHealth) -> None:
        """Keep what was told last of a server: of the later start, and within one the worse."""
        received = self._received.get(server)
        if received is not None:
            if received.started_at_ms > told.started_at_ms:
                return
            is_same_start = received.started_at_ms == told.started_at_ms
            if is_same_start and SEVERITY[received.health] >= SEVERITY[told.health]:
                return
        self._received[server] = told
        if len(self._received) > MAX_SERVERS_REMEMBERED:
            del self._received[next(iter(self._received))]

    def purge_is_new(self, group: int, key: str, moment_ms: int) -> bool:
        """Whether a purge was received neither from the own channel nor from a member yet."""
        purge = group, key, moment_ms
        if purge in self._purges:
            return False
        self._purges[purge] = None
        if len(self._purges) > MAX_PURGES_REMEMBERED:
            del self._purges[next(iter(self._purges))]
        return True
