"""Outlier evidence: attempts and failures of servers, as counted by each router. No I/O, no clock.

What goes over the wire are totals since a router's process began, with a number that rises: a datagram that
comes twice, late or out of order changes nothing. What acts is the growth of a total within the last
EVIDENCE_S; what came before the first total that was received is nobody's evidence, for its age is not known.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

EVIDENCE_S = 4.0  # no older evidence acts
SLOT_S = 0.5  # one total is kept for so long a stretch
MAX_EXTRA_DELAY_S = 1.0  # over the quickest report of a router; a later one is ignored
FORGET_AFTER_S = 2 * EVIDENCE_S
LONG_AGO = -1e9


class Server(NamedTuple):
    """One start of a server."""

    name: str
    started_at_ms: int


class Counts(NamedTuple):
    """Attempts, and how many of them failed."""

    attempts: int
    failures: int


class Total(NamedTuple):
    """A router's counts since its process began, as received at a moment."""

    received_at: float
    attempts: int
    failures: int


class ReporterLog:
    """Totals received of one router by server, and the number of the last of them."""

    __slots__ = ("last_numbers", "quickest_delay_s", "received_at", "totals")

    def __init__(self) -> None:
        self.last_numbers: dict[Server, int] = {}
        self.quickest_delay_s: float | None = None  # of two clocks: only differences of it mean anything
        self.totals: dict[Server, deque[Total]] = {}
        self.received_at = LONG_AGO


class Evidence:
    """What was received of all routers, by their incarnation ids."""

    def __init__(self) -> None:
        self.reporters: dict[int, ReporterLog] = {}

    def receive(
        self, now: float, router: int, number: int, sent_at: float, totals: Iterable[tuple[Server, int, int]]
    ) -> None:
        """Take a report.

        Args:
            now: seconds.
            router: who counted.
            number: of the report; it rises.
            sent_at: seconds of the sender's clock.
            totals: (server, attempts, failures) each.
        """
        log = self.reporters.setdefault(router, ReporterLog())
        delay_s = now - sent_at
        if log.quickest_delay_s is None or delay_s < log.quickest_delay_s:
            log.quickest_delay_s = delay_s
        if delay_s - log.quickest_delay_s > MAX_EXTRA_DELAY_S:
            return
        log.received_at = now
        for server, attempts, failures in totals:
            if number > log.last_numbers.get(server, 0):
                log.last_numbers[server] = number
                _append(log.totals.setdefault(server, deque()), Total(now, attempts, failures))

    def witnesses(self, server: Server, now: float) -> dict[int, Counts]:
        """What each router that tried a server of late saw of it."""
        return {
            router: counts
            for router, log in self.reporters.items()
            if server in log.totals and (counts := _growth(log.totals[server], now)).attempts > 0
        }

    def servers(self, now: float) -> set[Server]:
        """All that any router tried of late."""
        return {
            server
            for log in self.reporters.values()
            for server, totals in log.totals.items()
            if _growth(totals, now).attempts > 0
        }

    def expire(self, now: float) -> None:
        """Drop what is too old to act."""
        for router, log in list(self.reporters.items()):
            if now - log.received_at > FORGET_AFTER_S:
                del self.reporters[router]
                continue
            for server, totals in list(log.totals.items()):
                while len(totals) > 1 and now - totals[1].received_at > EVIDENCE_S:
                    totals.popleft()
                if now - totals[-1].received_at > FORGET_AFTER_S:
                    del log.totals[server]
                    del log.last_numbers[server]


def _append(totals: deque[Total], total: Total) -> None:
    """Keep a total, one a slot. What grew in a gap has no age; totals never fall within one process."""
    now = total.received_at
    if totals and now - totals[-1].received_at > EVIDENCE_S:
        totals.clear()
    if totals and (total.attempts < totals[-1].attempts or total.failures < totals[-1].failures):
        return
    if len(totals) > 1 and now - totals[-2].received_at < SLOT_S:
        totals[-1] = total
    else:
        totals.append(total)


def _growth(totals: deque[Total], now: float) -> Counts:
    """By how much the totals grew within the last EVIDENCE_S."""
    if not totals or now - totals[-1].received_at > EVIDENCE_S:
        return Counts(0, 0)
    first = next(total for total in totals if now - total.received_at <= EVIDENCE_S)
    last = totals[-1]
    return Counts(last.attempts - first.attempts, last.failures - first.failures)
