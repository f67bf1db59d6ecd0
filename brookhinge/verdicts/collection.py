"""Exchanges outlier evidence, and assigns turns to try an ejected server. No I/O, no clock.

Each server has a collector, a router chosen from the view. While any router sees failures of the server, all
routers that tried it report their totals to the collector, which sends all totals to all members of the zone.
It also assigns the turns: first to one router, then to twice as many each time that no attempt followed,
since a router with the turn may have no request for the server. It does not decide on ejections.
"""

from collections.abc import Iterable
from typing import NamedTuple

from brookhinge.membership.core import CoreContext, CoreWriter
from brookhinge.membership.messages import CoreMessage, EvidenceReport, EvidenceTable, Row
from brookhinge.verdicts.evidence import EVIDENCE_S, Counts, Evidence, Server

TRIAL_TURN_S = 0.6  # duration of a turn to try an ejected server
ROWS_PER_DATAGRAM = 16
MAX_WITNESSES = 24  # in a table of one server: those with the most attempts
TURN_STRIDE = 7919  # a prime, so that turns visit all members
NO_TURN = 0.0
NO_ROUTER = 0  # incarnation id in the row of a table without totals


class ReportedTotals(NamedTuple):
    """A router's totals of one server, as its collector received them."""

    received_at: float
    number: int
    sent_at_ms: int
    attempts: int
    failures: int


class TrialTurns(NamedTuple):
    """The turns now assigned: end time, number of members, and the sum of attempts at their start."""

    until: float
    members: int
    attempts: int


class EvidenceCollection:
    """The roles of one router in the exchange: witness, collector, and receiver of tables."""

    def __init__(self, context: CoreContext) -> None:
        self.context = context
        self.view = context.view
        self.incarnation_id = context.view.incarnation_ids[context.view.index[context.name]]
        self.evidence = Evidence()
        # Until when a server is suspected, unless failures are seen again.
        self.suspected_until: dict[Server, float] = {}
        self.turns: dict[Server, float] = {}  # until when this router may try an ejected server
        self._number = 0
        self._reported: dict[Server, dict[int, ReportedTotals]] = {}  # by router, as collector
        self._trial_turns: dict[Server, TrialTurns] = {}

    def members(self) -> list[int]:
        """Return the positions of the alive members of this zone and protocol version."""
        return self.context.alive_members(self.context.zone)

    def collector_of(self, server: Server) -> int | None:
        """Return the position of a server's collector, by rendezvous hashing."""
        name, started_at_ms = server
        return self.context.choose(f"{name} {started_at_ms}", self.members())

    # sending

    def take_own_totals(self, now: float, own_totals: dict[Server, Counts]) -> None:
        """Add the totals of this process to its evidence, and drop old evidence."""
        self._number += 1
        totals = [(server, *counts) for server, counts in own_totals.items()]
        self.evidence.receive(now, self.incarnation_id, self._number, now, totals)
        self.evidence.expire(now)

    def observations(self, now: float) -> dict[Server, dict[int, Counts]]:
        """Return the recent witnesses of each server; mark servers that any of them saw fail as suspected."""
        observations = {
            server: self.evidence.witnesses(server, now) for server in sorted(self.evidence.servers(now))
        }
        for server, witnesses in observations.items():
            if any(counts.failures for counts in witnesses.values()):
                self.suspected_until[server] = now + EVIDENCE_S
        self.suspected_until = {
            server: until for server, until in self.suspected_until.items() if until > now
        }
        return observations

    def report(self, now: float, own_totals: dict[Server, Counts], writer: CoreWriter) -> list[Server]:
        """Send own totals of suspected servers to their collectors, and tables of the servers collected here.

        Returns:
            The servers collected here that this router has a turn to try.
        """
        rows_by_collector: dict[int, list[Row]] = {}
        collected = []
        for server in sorted(self.suspected_until):
            collector = self.collector_of(server)
            if collector is None:
                continue
            if self.context.is_self(collector):
                collected.append(server)
            elif server in own_totals:
                rows_by_collector.setdefault(collector, []).append((*server, *own_totals[server]))
        for collector, rows in rows_by_collector.items():
            for start in range(0, len(rows), ROWS_PER_DATAGRAM):
                report = EvidenceReport(self._next_number(), round(now * 1000))
                writer.post_to(collector, report, rows[start : start + ROWS_PER_DATAGRAM])
        return [server for server in collected if self._send_tables(now, server, own_totals, writer)]

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _send_tables(
        self, now: float, server: Server, own_totals: dict[Server, Counts], writer: CoreWriter
    ) -> bool:
        """Send each router's totals of one server to all members; return whether this router has a turn."""
        totals = {
            router: reported
            for router, reported in self._reported.get(server, {}).items()
            if now - reported.received_at <= EVIDENCE_S
        }
        if server in own_totals:
            own = ReportedTotals(now, self._number, round(now * 1000), *own_totals[server])
            totals[self.incarnation_id] = own
        self._reported[server] = totals
        witnesses = sorted(totals, key=lambda router: (-totals[router].attempts, router))[:MAX_WITNESSES]
        rows = [
            (*server, router, reported.number, reported.sent_at_ms, reported.attempts, reported.failures)
            for router in witnesses
            for reported in (totals[router],)
        ] or [(*server, NO_ROUTER, 0, 0, 0, 0)]
        members = self.members()
        turns = self._assign_turns(
            now, server, members, sum(reported.attempts for reported in totals.values())
        )
        for i in members:
            if self.context.is_self(i):
                continue
            for start in range(0, len(rows), ROWS_PER_DATAGRAM):
                self._number += 1
                table = EvidenceTable(int(i in turns), 0)
                writer.post_to(i, table, rows[start : start + ROWS_PER_DATAGRAM])
        return any(map(self.context.is_self, turns))

    def _assign_turns(self, now: float, server: Server, members: list[int], attempts: int) -> set[int]:
        """Return the members with a turn, by position: twice as many if no attempt followed the last one."""
        until, count, attempts_before = self._trial_turns.get(server, TrialTurns(NO_TURN, 0, -1))
        if now >= until:
            count = min(len(members), 2 * count) if count and attempts == attempts_before else 1
            self._trial_turns[server] = TrialTurns(now + TRIAL_TURN_S, count, attempts)
        first = int(now / TRIAL_TURN_S) * TURN_STRIDE
        return {members[(first + k) % len(members)] for k in range(count)}

    # receiving

    def receive_report(self, now: float, received: CoreMessage) -> None:
        """Record the totals of a router, as their collector."""
        number = received.message.number
        sent_at_ms = received.message.sent_at_ms
        router = received.sender_id
        totals = []
        for name, started_at_ms, attempts, failures in received.rows:
            server = Server(name, started_at_ms)
            self.suspected_until[server] = now + EVIDENCE_S
            reported = self._reported.setdefault(server, {})
            last_number = reported[router].number if router in reported else 0
            if number > last_number:
                reported[router] = ReportedTotals(now, number, sent_at_ms, attempts, failures)
            totals.append((server, attempts, failures))
        self.evidence.receive(now, router, number, sent_at_ms / 1000.0, totals)

    def receive_table(self, now: float, received: CoreMessage, ejected: Iterable[Server]) -> None:
        """Record a table of totals; numbers and times of sending are those of the routers that counted."""
        for name, started_at_ms, router, number, sent_at_ms, attempts, failures in received.rows:
            server = Server(name, started_at_ms)
            self.suspected_until[server] = now + EVIDENCE_S
            if router not in (NO_ROUTER, self.incarnation_id):
                totals = [(server, attempts, failures)]
                self.evidence.receive(now, router, number, sent_at_ms / 1000.0, totals)
            if received.message.has_trial_turn:
                self.take_turn(now, server, ejected)

    def take_turn(self, now: float, server: Server, ejected: Iterable[Server]) -> None:
        """Start a turn to try a server, if it is ejected and has no turn yet."""
        if server in ejected and server not in self.turns:
            self.turns[server] = now + TRIAL_TURN_S

    def expire_turns(self, now: float, ejected: Iterable[Server]) -> None:
        """Drop turns that have ended or whose servers are no longer ejected."""
        self.turns = {
            server: until for server, until in self.turns.items() if until > now and server in ejected
        }
