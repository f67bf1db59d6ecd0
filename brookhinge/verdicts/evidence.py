"""Outlier evidence: attempts and failures of servers, as counted by each router. No I/O, no clock.

Routers send totals since their process started, with increasing report numbers, so a datagram that arrives
twice, late or out of order has no effect. The evidence is the growth of a total within the last EVIDENCE_S.
Attempts counted in the first total received from a router are not evidence, since their age is unknown.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

EVIDENCE_S = 4.0  # maximum age of evidence
SLOT_S = 0.5  # one total is kept per slot
MAX_EXTRA_DELAY_S = 1.0  # above the fastest report of a router; slower reports are ignored
FORGET_AFTER_S = 2 * EVIDENCE_S
LONG_AGO = -1e9


class Server(NamedTuple):
    """Identifies one start of a server; `started_at_ms` is in Unix milliseconds."""

    name: str
    started_at_ms: int


class Counts(NamedTuple):
    """A number of attempts, and how many of them failed."""

    attempts: int
    failures: int


class Total(NamedTuple):
    """A router's counts since its process started, and when they were received."""

    received_at: float
    attempts: int
    failures: int


class ReporterLog:
    """Totals received from one router, and the number of the last report, by server."""

    __slots__ = ("last_numbers", "quickest_delay_s", "received_at", "totals")

    def __init__(self) -> None:
        self.last_numbers: dict[Server, int] = {}
        # Measured between two clocks: only differences between delays are meaningful.
        self.quickest_delay_s: float | None = None
        self.totals: dict[Server, deque[Total]] = {}
        self.received_at = LONG_AGO


class Evidence:
    """Holds the totals received from all routers, by their incarnation ids."""

    def __init__(self) -> None:
        self.reporters: dict[int, ReporterLog] = {}

    def receive(
        self, now: float, router: int, number: int, sent_at: float, totals: Iterable[tuple[Server, int, int]]
    ) -> None:
        """Record a report, unless it was delayed too long.

        Args:
            now: Current time.
            router: Incarnation id of the router that counted.
            number: Number of the report; increases with each report of the router.
            sent_at: Time of sending, by the sender's clock.
            totals: Rows (server, attempts, failures).
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
        """Return the recent counts of each router that recently tried a server."""
        return {
            router: counts
            for router, log in self.reporters.items()
            if server in log.totals and (counts := _growth(log.totals[server], now)).attempts > 0
        }

    def servers(self, now: float) -> set[Server]:
        """Return the servers that any router recently tried."""
        return {
            server
            for log in self.reporters.values()
            for server, totals in log.totals.items()
            if _growth(totals, now).attempts > 0
        }

    def expire(self, now: float) -> None:
        """Drop totals that are too old to be evidence."""
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
    """Append a total, keeping one per slot.

    Earlier totals are dropped after a gap, since growth during the gap has no known age. A total that is
    lower than the last one is ignored, since totals never decrease within one process.
    """
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
    """Return the growth of the totals within the last EVIDENCE_S."""
    if not totals or now - totals[-1].received_at > EVIDENCE_S:
        return Counts(0, 0)
    first = next(total for total in totals if now - total.received_at <= EVIDENCE_S)
    last = totals[-1]
    return Counts(last.attempts - first.attempts, last.failures - first.failures)
