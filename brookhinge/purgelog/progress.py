"""Whether an entry is in force at every router, or who is missing and why. No I/O, no clock.

In force at a router: it has applied the entry, or cannot use any copy from before it since its proof has
ended.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import NamedTuple

from brookhinge.purgelog.messages import Report
from brookhinge.purgelog.positions import Position, unflatten
from brookhinge.purgelog.replication import Replication

# Beyond the bound of a proof: clocks run at rates up to 1% apart, and a message takes time to handle.
MARGIN_S = 0.5
UNHEARD_S = 1.0  # a machine that has not been heard for so long is known by what others tell of it
FORGET_S = 60.0  # a machine out of reach for so long is no longer named


class Outcome(enum.IntEnum):
    """How far an entry has got; the values stand on the wire."""

    PENDING = 0  # somebody has not acknowledged it yet
    IN_FORCE = 1  # at every router
    IN_FORCE_EXCEPT = 2  # at every router but those named, whose leases have ended
    LOST = 3  # its source restarted before a majority held it: it is to be submitted again


class Why(enum.StrEnum):
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
    why: Why


class Progress(NamedTuple):
    """How far an entry has got, and who is missing."""

    outcome: Outcome
    missing: list[Missing]


class Known(NamedTuple):
    """The last report of a machine, and since when its process has been known."""

    report: Report
    since: float


class Tracker:
    """The latest reports of all machines, judged for one source."""

    def __init__(self, replication: Replication, names: Sequence[str], proof_s: float, now: float):
        """Start without reports.

        Args:
            replication: of this control machine.
            names: of all machines, by number.
            proof_s: how long a router may use copies on a proof.
            now: seconds of the caller's steady clock.
        """
        self.replication = replication
        self.names = names
        self.settle_s = proof_s + MARGIN_S
        self.known = {}
        self.retired = set()
        self.started_at = now

    def receive(self, now: float, report: Report, direct: bool) -> None:
        """Take the later report of a machine.

        A direct one came from that machine itself and so tells which process it is; a relayed one can do so
        only while the machine is not heard.
        """
        if not 0 <= report.machine < len(self.names):
            return
        known = self.known.get(report.machine)
        if known is None:
            self.known[report.machine] = Known(report, now)
        elif known.report.boot == report.boot:
            if report.number > known.report.number or direct:
                self.known[report.machine] = Known(report, known.since)
        elif direct or (
            self.unheard(now, report.machine) and (report.machine, report.boot) not in self.retired
        ):
            self.retired.add((report.machine, known.report.boot))
            self.known[report.machine] = Known(report, now)

    def unheard(self, now: float, machine: int) -> bool:
        """Whether a machine has not been heard for a while."""
        peer = self.replication.peers.get(machine)
        return peer is not None and now - peer.heard_at > UNHEARD_S

    def to_tell(self, now: float, own: Report) -> list[Report]:
        """Return reports for the other machines: the own one, and of machines heard lately without names."""
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
            if machine != own.machine and not self.unheard(now, machine)
            for report in [known.report]
        ]
        return [own, *relayed]

    def progress(self, now: float, position: Position) -> Progress:
        """Return the progress of an entry of the own log."""
        log = self.replication.logs[self.replication.machine]
        if position.index > log.origin.index and log.on_chain(position) != position:
            return Progress(Outcome.LOST, [])
        if self.replication.accepted() < position:
            return Progress(
                Outcome.PENDING, [Missing(self.names[self.replication.machine], Why.NOT_ACCEPTED)]
            )
        pending = []
        excused = []
        for machine, name in enumerate(self.names):
            self.look(now, machine, name, position, pending, excused)
        if pending:
            return Progress(Outcome.PENDING, pending + excused)
        return Progress(Outcome.IN_FORCE_EXCEPT if excused else Outcome.IN_FORCE, excused)

    def look(
        self,
        now: float,
        machine: int,
        name: str,
        position: Position,
        pending: list[Missing],
        excused: list[Missing],
    ) -> None:
        """Add to `pending` or `excused` whom an entry waits for at one machine."""
        known = self.known.get(machine)
        source = self.replication.machine
        lost_floors = known.report.lost_floors if known is not None else []
        if lost_floors and not self.at_least(lost_floors, source, position):
            excused += [Missing(router, Why.LEASE_ENDED) for router in known.report.lost or [name]]
        if known is not None and self.at_least(known.report.floors, source, position):
            if now - max(known.since, self.started_at) < self.settle_s:
                pending.append(Missing(name, Why.SETTLING))
            return
        silent_s = self.out_of_reach_s(now, machine)
        if silent_s >= self.settle_s:
            if silent_s < FORGET_S:
                excused.append(Missing(name, Why.OUT_OF_REACH))
        elif known is None or silent_s > 1.0 or not known.report.behind:
            pending.append(Missing(name, Why.SILENT))
        else:
            pending += [Missing(router, Why.BEHIND) for router in known.report.behind]

    @staticmethod
    def at_least(numbers: list[int], source: int, position: Position) -> bool:
        """Whether a vector reaches a position."""
        return unflatten(numbers)[source] >= position

    def out_of_reach_s(self, now: float, machine: int) -> float:
        """Return for how long no majority can have held with a machine: the majority-th longest silence."""
        replication = self.replication
        if machine == replication.machine:
            return 0.0
        silences = [min(now - replication.peers[machine].heard_at, now - self.started_at)]
        silences += [peer.silence_s[machine] for m, peer in replication.peers.items() if m != machine]
        silences.sort(reverse=True)
        return silences[replication.majority - 1]
