"""Progress of an entry: whether it is in force at every router, or what is missing. No I/O, no clock.

An entry is in force at a router that has applied it, or that can use no copy older than the entry because its
proof has expired. Such a router accepts copies in caches up to the age for which a proof is valid.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Sequence
from typing import NamedTuple

from brookhinge.purgelog.messages import Report
from brookhinge.purgelog.positions import Position, unflatten
from brookhinge.purgelog.replication import Replication

# Added to the validity of a proof: clock rates differ by up to 1%, and handling a message takes time.
MARGIN_S = 0.5
SILENT_AFTER_S = 1.0  # after such a silence, relayed reports of a machine are used
UNREACHABLE_RETENTION_S = 60.0  # a machine out of reach for longer is no longer listed
MAX_TRACKED_ENTRIES = 4096


class Outcome(enum.IntEnum):
    """Progress of an entry; the values are used on the wire."""

    PENDING = 0  # some router or machine has not acknowledged it yet
    IN_FORCE = 1  # at every router
    IN_FORCE_EXCEPT = 2  # at every router except those listed, whose leases have ended
    LOST = 3  # its source restarted before a majority held it; submit it again


class MissingReason(enum.StrEnum):
    """Why an entry waits for a router or machine; shown to operators."""

    NOT_ACCEPTED = "not held by a majority"
    BEHIND = "has not acknowledged it"
    SILENT = "its control machine has not reported"
    SETTLING = "its control machine has just started"
    LEASE_ENDED = "its lease has ended"
    OUT_OF_REACH = "control machine out of reach"


class Missing(NamedTuple):
    """A router or machine that an entry waits for."""

    name: str
    why: MissingReason


class Progress(NamedTuple):
    """Outcome of an entry so far, and the routers and machines that are missing."""

    outcome: Outcome
    missing: list[Missing]


class KnownReport(NamedTuple):
    """Latest report of a machine, and the time since which its process is known."""

    report: Report
    since: float


class Tracker:
    """Latest reports of all machines, evaluated for the own log of one machine."""

    def __init__(self, replication: Replication, names: Sequence[str], proof_s: float, now: float):
        """Create a tracker without reports.

        Args:
            replication: replication state of this control machine.
            names: names of all machines, by number.
            proof_s: time for which one proof lets a router use its own copies.
            now: seconds of the caller's steady clock.
        """
        self.replication = replication
        self.names = names
        self.settle_s = proof_s + MARGIN_S
        self.known = {}
        self.retired = set()
        self.submission_times = collections.OrderedDict()
        self.started_at = now

    def receive(self, now: float, report: Report, direct: bool) -> None:
        """Record a report unless a newer one is known.

        A direct report came from the machine itself and identifies its current process. A relayed report can
        introduce a new process only while the machine is silent.
        """
        if not 0 <= report.machine < len(self.names):
            return
        known = self.known.get(report.machine)
        if known is None:
            self.known[report.machine] = KnownReport(report, now)
        elif known.report.boot == report.boot:
            if report.number > known.report.number or direct:
                self.known[report.machine] = KnownReport(report, known.since)
        elif direct or (
            self.is_silent(now, report.machine) and (report.machine, report.boot) not in self.retired
        ):
            self.retired.add((report.machine, known.report.boot))
            self.known[report.machine] = KnownReport(report, now)

    def is_silent(self, now: float, machine: int) -> bool:
        """Whether no message came from a machine for more than SILENT_AFTER_S."""
        peer = self.replication.peers.get(machine)
        return peer is not None and now - peer.last_message_at > SILENT_AFTER_S

    def reports_to_send(self, now: float, own: Report) -> list[Report]:
        """Return the own report and, without router names, those of the machines that are not silent."""
        relayed = [
            known.report.__class__(
                report.machine,
                report.boot,
                report.number,
                report.floors,
                report.lost_floors,
                report.routers,
                [],
                [],
            )
            for machine, known in self.known.items()
            if machine != own.machine and not self.is_silent(now, machine)
            for report in [known.report]
        ]
        return [own, *relayed]

    def progress(self, now: float, position: Position) -> Progress:
        """Return the progress of an entry of the own log."""
        log = self.replication.logs[self.replication.machine]
        if position.index > log.origin.index and log.common_position(position) != position:
            return Progress(Outcome.LOST, [])
        if self.replication.accepted() < position:
            return Progress(
                Outcome.PENDING, [Missing(self.names[self.replication.machine], MissingReason.NOT_ACCEPTED)]
            )
        pending = []
        excused = []
        for machine, name in enumerate(self.names):
            self.classify_machine(now, machine, name, position, pending, excused)
        if pending or (excused and now - self.submitted_at(now, position) < self.settle_s):
            return Progress(Outcome.PENDING, pending + excused)
        return Progress(Outcome.IN_FORCE_EXCEPT if excused else Outcome.IN_FORCE, excused)

    def record_submission(self, now: float, position: Position) -> None:
        """Record when an entry was appended to the own log."""
        self.submission_times.pop(position, None)
        self.submission_times[position] = now
        if len(self.submission_times) > MAX_TRACKED_ENTRIES:
            self.submission_times.popitem(last=False)

    def submitted_at(self, now: float, position: Position) -> float:
        """Return when an entry was appended, or was first asked for if that is not known.

        A router without a proof accepts copies of up to the validity of a proof, so it uses none from before
        the entry once that time has passed since.
        """
        if position not in self.submission_times:
            self.record_submission(now, position)
        return self.submission_times[position]

    def classify_machine(
        self,
        now: float,
        machine: int,
        name: str,
        position: Position,
        pending: list[Missing],
        excused: list[Missing],
    ) -> None:
        """Add what is missing at one machine to `pending`, or to `excused` if it does not delay the entry."""
        known = self.known.get(machine)
        source = self.replication.machine
        lost_floors = known.report.lost_floors if known is not None else []
        if lost_floors and not self.reaches(lost_floors, source, position):
            excused += [Missing(router, MissingReason.LEASE_ENDED) for router in known.report.lost or [name]]
        if known is not None and self.reaches(known.report.floors, source, position):
            if now - max(known.since, self.started_at) < self.settle_s:
                pending.append(Missing(name, MissingReason.SETTLING))
            return
        silent_s = self.unreachable_s(now, machine)
        if silent_s >= self.settle_s:
            if silent_s < UNREACHABLE_RETENTION_S:
                excused.append(Missing(name, MissingReason.OUT_OF_REACH))
        elif known is None or silent_s > 1.0 or not known.report.behind:
            pending.append(Missing(name, MissingReason.SILENT))
        else:
            pending += [Missing(router, MissingReason.BEHIND) for router in known.report.behind]

    @staticmethod
    def reaches(numbers: list[int], source: int, position: Position) -> bool:
        """Whether a vector is at or after a position for one source."""
        return unflatten(numbers)[source] >= position

    def unreachable_s(self, now: float, machine: int) -> float:
        """Return for how many seconds a majority of the machines has received nothing from a machine."""
        replication = self.replication
        if machine == replication.machine:
            return 0.0
        silences = [min(now - replication.peers[machine].last_message_at, now - self.started_at)]
        silences += [peer.silence_s[machine] for m, peer in replication.peers.items() if m != machine]
        silences.sort(reverse=True)
        return silences[replication.majority - 1]
