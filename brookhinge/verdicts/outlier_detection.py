"""The outlier detection core of one router: rounds, ejections, events for the engine. No I/O."""

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
RAMP_S = 3.0  # duration of the increase from few requests to all after an ejection

Observations = Mapping[Server, Mapping[int, Counts]]


class Verdict(enum.StrEnum):
    """The verdict on a server in a row of OutlierVerdictsChanged."""

    EJECTED = "rest"
    TRIAL = "trial"
    RAMP = "ramp"
    NO_EVIDENCE = "alone"  # no longer ejected, since no router has recent evidence
    HEALTHY = "well"


class Ejection:
    """The ejection of a server: start time, reason, and the start of its ramp; None before the ramp."""

    __slots__ = ("ramp_began_at", "reason", "since")

    def __init__(self, since: float, reason: str) -> None:
        self.since = since
        self.reason = reason
        self.ramp_began_at: float | None = None

    @property
    def is_ramping(self) -> bool:
        """Whether trials succeeded and requests are being increased again."""
        return self.ramp_began_at is not None


class OutlierDetection:
    """Decides which servers this router ejects, by the evidence of all routers.

    Posts OutlierVerdictsChanged with rows (server, start, verdict, seconds that the verdict holds).
    """

    message_types = (EvidenceReport, EvidenceTable)
    status_topic = StatusTopic.VERDICTS
    next_expiry_at = math.inf  # verdicts are posted with their duration

    def __init__(
        self,
        context: CoreContext,
        *,
        routers: Callable[[], int],
        own_totals: Callable[[], Mapping[Server, tuple[int, int]]],
        servers: Callable[[], int],
        now: float,
    ) -> None:
        """Initialize the core.

        Args:
            context: This router and the view of its fleet.
            routers: Returns the number of routers in the zone.
            own_totals: Returns (attempts, failures) of this process by server and start.
            servers: Returns the number of servers to choose from.
            now: Current time.
        """
        self.collection = EvidenceCollection(context)
        self.routers = routers
        self.own_totals = own_totals
        self.servers = servers
        self.ejections: dict[Server, Ejection] = {}
        self.local_failures: set[Server] = set()
        self._next_report_at = now
        self._posted: set[Server] = set()

    def next_at(self) -> float:
        """Return when the next report is due."""
        return self._next_report_at

    def round(self, now: float, inbox: Sequence[CoreMessage], writer: CoreWriter) -> None:
        """Process received messages, then report and decide if a report is due."""
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
        observations = self.collection.observations(now)
        for server in self.collection.report(now, own_totals, writer):
            self.collection.take_turn(now, server, self.ejections)
        self._decide(now, observations, writer)

    def _decide(self, now: float, observations: Observations, writer: CoreWriter) -> None:
        """Eject and readmit servers by the current evidence."""
        ejected = [server for server, ejection in self.ejections.items() if not ejection.is_ramping]
        outliers = detector.find_outliers(observations, self.routers(), self.servers(), ejected)
        self.local_failures = set(detector.local_failures(observations, self.collection.incarnation_id))
        for server, rate in outliers.items():
            ejection = self.ejections.get(server)
            if ejection is None or ejection.is_ramping:
                attempts = detector.pool(observations[server]).attempts
                self.ejections[server] = Ejection(now, f"{rate:.2f} of {attempts} failed")
        without_evidence = self._readmit(now, observations, outliers)
        self.collection.expire_turns(now, self.ejections)
        self._post(now, observations, without_evidence, writer)

    def _readmit(
        self, now: float, observations: Observations, outliers: Mapping[Server, float]
    ) -> list[Server]:
        """Start ramps after healthy trials; end ejections without evidence and return their servers."""
        without_evidence = []
        for server, ejection in list(self.ejections.items()):
            pooled = detector.pool(observations.get(server, {}))
            if not ejection.is_ramping and not pooled.attempts:
                without_evidence.append(server)
                del self.ejections[server]
                continue
            if (
                not ejection.is_ramping
                and server not in outliers
                and pooled.attempts >= detector.MIN_HEALTHY_TRIALS
                and pooled.failure_rate < detector.HEALTHY_FAILURE_RATE
            ):
                ejection.ramp_began_at = now
            if ejection.is_ramping and now - ejection.ramp_began_at >= RAMP_S:
                del self.ejections[server]
        return without_evidence

    def _post(
        self, now: float, observations: Observations, without_evidence: list[Server], writer: CoreWriter
    ) -> None:
        """Post all verdicts in force to the engine, and the end of those no longer in force."""
        rows: list[Row] = []
        for server, ejection in self.ejections.items():
            own = observations.get(server, {}).get(self.collection.incarnation_id, Counts(0, 0))
            if not detector.outweighs_fleet(own):
                verdict, until = self._verdict(now, server, ejection)
                rows.append((*server, verdict, round(until - now, 3)))
        in_force = {Server(*row[:2]) for row in rows}
        for server in sorted(self._posted - in_force):
            verdict = Verdict.NO_EVIDENCE if server in without_evidence else Verdict.HEALTHY
            rows.append((*server, verdict, 0.0))
        self._posted = in_force
        if rows:
            writer.post_event(OutlierVerdictsChanged(rows))

    def _verdict(self, now: float, server: Server, ejection: Ejection) -> tuple[Verdict, float]:
        """Return the verdict on a server, and until when it holds."""
        if ejection.is_ramping:
            return Verdict.RAMP, ejection.ramp_began_at + RAMP_S
        if server in self.collection.turns:
            return Verdict.TRIAL, self.collection.turns[server]
        return Verdict.EJECTED, now + EVIDENCE_S

    def publish(self, now: float, writer: CoreWriter) -> None:
        """Do nothing, since verdicts are posted with their duration."""

    def status_rows(self, now: float) -> list[Row]:
        """Return rows (server, state, seconds ejected, reason, witnesses, attempts, failures, is local)."""
        rows = []
        for server in sorted(self.collection.suspected_until.keys() | self.ejections.keys()):
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
                    int(server in self.local_failures),
                )
            )
        return rows


def _state_label(ejection: Ejection | None) -> str:
    if ejection is None:
        return "well"
    return "coming back" if ejection.is_ramping else "resting"
