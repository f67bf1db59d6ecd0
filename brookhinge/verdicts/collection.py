"""The exchange of outlier evidence, and whose turn a trial of an ejected server is. No I/O, no clock.

Each server has a collector, chosen from the view, to whom who saw anything of it reports totals while any
router sees failures. The collector sends all totals to all, and says whose turn a trial is: one router's,
and twice as many each time that no trial came of it, for who has the turn may have no request for the
server. It decides nothing.
"""

from collections.abc import Iterable
from typing import NamedTuple

from brookhinge.membership.core import CoreContext, CoreWriter
from brookhinge.membership.messages import CoreMessage, EvidenceReport, EvidenceTable, Row
from brookhinge.verdicts.evidence import EVIDENCE_S, Counts, Evidence, Server

TURN_S = 0.6  # a turn to try an ejected server
ROWS_PER_DATAGRAM = 16
MAX_WITNESSES = 24  # of one server that are passed on: those with most attempts
TURN_STRIDE = 7919  # a prime, so that turns go round all members
NO_TURN = 0.0
NO_ROUTER = 0  # incarnation id of a table's row without totals


class ReportedTotals(NamedTuple):
    """A router's totals of one server, as its collector received them."""

    received_at: float
    number: int
    sent_at_ms: int
    attempts: int
    failures: int


class TrialTurns(NamedTuple):
    """Until when how many members have a turn at once, and the attempts of all when it was given."""

    until: float
    members: int
    attempts: int


class EvidenceCollection:
    """One router as witness, as collector, and as receiver of tables."""

    def __init__(self, context: CoreContext) -> None:
        self.context = context
        self.view = context.view
        self.incarnation_id = context.view.incarnation_ids[context.view.index[context.name]]
        self.evidence = Evidence()
        self.in_question: dict[Server, float] = {}  # until when, unless failures are seen again
        self.turns: dict[Server, float] = {}  # until when this router may try an ejected server
        self._number = 0
        self._reported: dict[Server, dict[int, ReportedTotals]] = {}  # what is collected here, by router
        self._trial_turns: dict[Server, TrialTurns] = {}

    def members(self) -> list[int]:
        """Positions of the members that stand in this zone and read what this router writes."""
        return self.context.alive_members(self.context.zone)

    def collector_of(self, server: Server) -> int | None:
        """The position of a server's collector, by rendezvous hashing."""
        name, started_at_ms = server
        return self.context.choose(f"{name} {started_at_ms}", self.members())

    # sending

    def take_own_totals(self, now: float, own_totals: dict[Server, Counts]) -> None:
        """Put the totals of this process into its own evidence, and drop what is old."""
        self._number += 1
        totals = [(server, *counts) for server, counts in own_totals.items()]
        self.evidence.receive(now, self.incarnation_id, self._number, now, totals)
        self.evidence.expire(now)

    def seen(self, now: float) -> dict[Server, dict[int, Counts]]:
        """What was seen of each server of late; those that any router saw fail come into question."""
        seen = {server: self.evidence.witnesses(server, now) for server in sorted(self.evidence.servers(now))}
        for server, witnesses in seen.items():
            if any(counts.failures for counts in witnesses.values()):
                self.in_question[server] = now + EVIDENCE_S
        self.in_question = {server: until for server, until in self.in_question.items() if until > now}
        return seen

    def report(self, now: float, own_totals: dict[Server, Counts], writer: CoreWriter) -> list[Server]:
        """Send own totals of servers in question to their collectors, and tables of what is collected here.

        Returns:
            The servers of which this router has a turn by its own table.
        """
        rows_of: dict[int, list[Row]] = {}
        collected = []
        for server in sorted(self.in_question):
            collector = self.collector_of(server)
            if collector is None:
                continue
            if self.context.is_self(collector):
                collected.append(server)
            elif server in own_totals:
                rows_of.setdefault(collector, []).append((*server, *own_totals[server]))
        for collector, rows in rows_of.items():
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
        """Send each router's totals of one server to all; whether this router itself has the turn."""
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
            (*server, router, one.number, one.sent_at_ms, one.attempts, one.failures)
            for router in witnesses
            for one in (totals[router],)
        ] or [(*server, NO_ROUTER, 0, 0, 0, 0)]
        members = self.members()
        turns = self._draw_turns(now, server, members, sum(one.attempts for one in totals.values()))
        for i in members:
            if self.context.is_self(i):
                continue
            for start in range(0, len(rows), ROWS_PER_DATAGRAM):
                self._number += 1
                table = EvidenceTable(int(i in turns), 0)
                writer.post_to(i, table, rows[start : start + ROWS_PER_DATAGRAM])
        return any(map(self.context.is_self, turns))

    def _draw_turns(self, now: float, server: Server, members: list[int], attempts: int) -> set[int]:
        """Positions of the members whose turn it is; twice as many if no attempt came of the last turn."""
        until, count, attempts_before = self._trial_turns.get(server, TrialTurns(NO_TURN, 0, -1))
        if now >= until:
            count = min(len(members), 2 * count) if count and attempts == attempts_before else 1
            self._trial_turns[server] = TrialTurns(now + TURN_S, count, attempts)
        first = int(now / TURN_S) * TURN_STRIDE
        return {members[(first + k) % len(members)] for k in range(count)}

    # receiving

    def receive_report(self, now: float, received: CoreMessage) -> None:
        """Take the totals of a router, as their collector."""
        number = received.message.number
        sent_at_ms = received.message.sent_at_ms
        router = received.sender_id
        totals = []
        for name, started_at_ms, attempts, failures in received.rows:
            server = Server(name, started_at_ms)
            self.in_question[server] = now + EVIDENCE_S
            reported = self._reported.setdefault(server, {})
            last_number = reported[router].number if router in reported else 0
            if number > last_number:
                reported[router] = ReportedTotals(now, number, sent_at_ms, attempts, failures)
            totals.append((server, attempts, failures))
        self.evidence.receive(now, router, number, sent_at_ms / 1000.0, totals)

    def receive_table(self, now: float, received: CoreMessage, ejected: Iterable[Server]) -> None:
        """Take a collector's totals, each by the number and the clock of the router that counted."""
        for name, started_at_ms, router, number, sent_at_ms, attempts, failures in received.rows:
            server = Server(name, started_at_ms)
            self.in_question[server] = now + EVIDENCE_S
            if router not in (NO_ROUTER, self.incarnation_id):
                totals = [(server, attempts, failures)]
                self.evidence.receive(now, router, number, sent_at_ms / 1000.0, totals)
            if received.message.has_trial_turn:
                self.take_turn(now, server, ejected)

    def take_turn(self, now: float, server: Server, ejected: Iterable[Server]) -> None:
        """Begin a turn to try a server, if it is ejected and there is none yet."""
        if server in ejected and server not in self.turns:
            self.turns[server] = now + TURN_S

    def expire_turns(self, now: float, ejected: Iterable[Server]) -> None:
        """Drop the turns that are over, or of servers that are back."""
        self.turns = {
            server: until for server, until in self.turns.items() if until > now and server in ejected
        }
