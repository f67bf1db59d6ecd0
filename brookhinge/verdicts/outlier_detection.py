"""The core of fleet outlier detection of one router: rounds, ejections, reports to the engine. No I/O."""

import enum
import math
from collections.abc import Callable, Mapping, Sequence

from brookhinge.engine.events import OutlierVerdictsChanged
from brookhinge.membership.core import CoreContext, CoreWriter
from brookhinge.membership.messages import CoreMessage, EvidenceReport, EvidenceTable, Row, StatusTopic
from brookhinge.verdicts import detector
from brookhinge.verdicts.collection import EvidenceCollection
from brookhinge.verdicts.evidence import EVIDENCE_S, Counts, Server

REPORT_INTERVAL_S = 0.5
RAMP_S = 3.0  # over which requests come back after an ejection

Seen = Mapping[Server, Mapping[int, Counts]]


class Verdict(enum.StrEnum):
    """What a row of OutlierVerdictsChanged says of a server, for so many seconds."""

    EJECTED = "rest"
    TRIAL = "trial"
    RAMP = "ramp"
    NO_EVIDENCE = "alone"  # not ejected any more, for there is no evidence of any router
    HEALTHY = "well"


class Ejection:
    """A server that is ejected by the fleet's evidence: since when and why, and when its ramp began."""

    __slots__ = ("ramp_began_at", "reason", "since")

    def __init__(self, since: float, reason: str) -> None:
        self.since = since
        self.reason = reason
        self.ramp_began_at: float | None = None

    @property
    def is_ramping(self) -> bool:
        """Whether trials went well and requests come back."""
        return self.ramp_began_at is not None


class OutlierDetection:
    """Decides by the evidence of all routers which servers this one leaves alone.

    OutlierVerdictsChanged has rows (server, start, verdict, seconds): see Verdict.
    """

    message_types = (EvidenceReport, EvidenceTable)
    status_topic = StatusTopic.VERDICTS
    next_expiry_at = math.inf  # what is said to the engine has its end with it

    def __init__(
        self,
        context: CoreContext,
        *,
        routers: Callable[[], int],
        own_totals: Callable[[], Mapping[Server, tuple[int, int]]],
        servers: Callable[[], int],
        now: float,
    ) -> None:
        """Start.

        Args:
            context: this router and the fleet.
            routers: how many stand in the zone.
            own_totals: (attempts, failures) of this process by server and start.
            servers: how many there are to choose from.
            now: seconds.
        """
        self.collection = EvidenceCollection(context)
        self.routers = routers
        self.own_totals = own_totals
        self.servers = servers
        self.ejections: dict[Server, Ejection] = {}
        self.own_trouble: set[Server] = set()
        self._next_report_at = now
        self._posted: set[Server] = set()

    def next_at(self) -> float:
        """When the next report is due."""
        return self._next_report_at

    def round(self, now: float, inbox: Sequence[CoreMessage], writer: CoreWriter) -> None:
        """Take what was received, then report and decide if it is due."""
        for received in inbox:
            if isinstance(received.message, EvidenceReport):
                self.collection.receive_report(now, received)
            else:
                self.collection.receive_table(now, received, self.ejections)
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            self._report(now, writer)

    def _report(self, now: float, writer: CoreWriter) -> None:
        own_totals = {Server(*server): Counts(*counts) for server, counts in self.own_totals().items()}
        self.collection.take_own_totals(now, own_totals)
        seen = self.collection.seen(now)
        for server in self.collection.report(now, own_totals, writer):
            self.collection.take_turn(now, server, self.ejections)
        self._decide(now, seen, writer)

    def _decide(self, now: float, seen: Seen, writer: CoreWriter) -> None:
        """Eject and take back by the evidence as it is now."""
        ejected = [server for server, ejection in self.ejections.items() if not ejection.is_ramping]
        outliers = detector.find_outliers(seen, self.routers(), self.servers(), ejected)
        self.own_trouble = set(detector.own_trouble(seen, self.collection.incarnation_id))
        for server, rate in outliers.items():
            ejection = self.ejections.get(server)
            if ejection is None or ejection.is_ramping:
                attempts = detector.pool(seen[server]).attempts
                self.ejections[server] = Ejection(now, f"{rate:.2f} of {attempts} failed")
        without_evidence = self._take_back(now, seen, outliers)
        self.collection.expire_turns(now, self.ejections)
        self._post(now, seen, without_evidence, writer)

    def _take_back(self, now: float, seen: Seen, outliers: Mapping[Server, float]) -> list[Server]:
        """End ejections by a ramp when trials went well, at once without evidence; return the latter."""
        without_evidence = []
        for server, ejection in list(self.ejections.items()):
            pooled = detector.pool(seen.get(server, {}))
            if not ejection.is_ramping and not pooled.attempts:
                without_evidence.append(server)
                del self.ejections[server]
                continue
            if (
                not ejection.is_ramping
                and server not in outliers
                and pooled.attempts >= detector.HEALTHY_TRIALS
                and pooled.failure_rate < detector.HEALTHY_FAILURE_RATE
            ):
                ejection.ramp_began_at = now
            if ejection.is_ramping and now - ejection.ramp_began_at >= RAMP_S:
                del self.ejections[server]
        return without_evidence

    def _post(self, now: float, seen: Seen, without_evidence: list[Server], writer: CoreWriter) -> None:
        """Post all verdicts in force to the engine, and which are over."""
        rows: list[Row] = []
        for server, ejection in self.ejections.items():
            own = seen.get(server, {}).get(self.collection.incarnation_id, Counts(0, 0))
            if not detector.outweighs(own):
                verdict, until = self._verdict(now, server, ejection)
                rows.append((*server, verdict, round(until - now, 3)))
        posting = {Server(*row[:2]) for row in rows}
        for server in sorted(self._posted - posting):
            verdict = Verdict.NO_EVIDENCE if server in without_evidence else Verdict.HEALTHY
            rows.append((*server, verdict, 0.0))
        self._posted = posting
        if rows:
            writer.post_event(OutlierVerdictsChanged(rows))

    def _verdict(self, now: float, server: Server, ejection: Ejection) -> tuple[Verdict, float]:
        """What is said of a server, and until when it holds."""
        if ejection.is_ramping:
            return Verdict.RAMP, ejection.ramp_began_at + RAMP_S
        if server in self.collection.turns:
            return Verdict.TRIAL, self.collection.turns[server]
        return Verdict.EJECTED, now + EVIDENCE_S

    def publish(self, now: float, writer: CoreWriter) -> None:
        """Post nothing: nothing here ends by itself."""

    def status_rows(self, now: float) -> list[Row]:
        """Rows of server, state, seconds in it, why, witnesses, attempts, failures, own trouble."""
        rows = []
        for server in sorted(self.collection.in_question.keys() | self.ejections.keys()):
            witnesses = self.collection.evidence.witnesses(server, now)
            ejection = self.ejections.get(server)
            rows.append(
                (
                    server.name,
                    _state_label(ejection),
                    round(now - ejection.since, 1) if ejection else 0.0,
                    ejection.reason if ejection else "",
                    len(witnesses),
                    sum(counts.attempts for counts in witnesses.values()),
                    sum(counts.failures for counts in witnesses.values()),
                    int(server in self.own_trouble),
                )
            )
        return rows


def _state_label(ejection: Ejection | None) -> str:
    if ejection is None:
        return "well"
    return "coming back" if ejection.is_ramping else "resting"
