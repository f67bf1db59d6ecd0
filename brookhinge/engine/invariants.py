"""Runtime checks of what a router sends, responds and closes. No I/O, no clock.

The checks use a record that is built from the events alone, independently of the state of the decisions. Each
action is checked just before it is carried out. An action that would violate an invariant is prevented,
counted and logged, and its request fails. The rules are defined in `brookhinge/decisions/rules.py`.
"""

import collections
import enum
from collections.abc import Callable, Collection
from typing import NamedTuple

from brookhinge.decisions import rules
from brookhinge.decisions.retained_purges import RetainedPurges
from brookhinge.decisions.settings import RequestClass
from brookhinge.engine.errors import EngineError
from brookhinge.engine.open_requests import OpenRequest

MIN_PURGE_AGE_S = 1e-6  # a copy must be newer than the purge even if the purge is dated to this moment


class Invariant(enum.StrEnum):
    """A property that must hold for every action; the values appear in logs and metrics."""

    ONE_ANSWER = "one_answer"  # a request gets exactly one final response, and only while it is open
    AFTER_END = "after_end"  # no attempt is sent for a request that has ended, or after shutdown began
    ONE_ATTEMPT = "one_attempt"  # a request never has two outstanding attempts
    EFFECT_TWICE = "effect_twice"  # no attempt, and no invitation to retry, that could cause a second effect
    DEADLINE = "deadline"  # the deadline passed to the server is not later than the client's
    DRAIN = "drain"  # a server listed as draining or gone gets no new attempts and is no fill source
    PURGE = "purge"  # an attempt does not accept a copy from before a known purge
    SLOW_START = "slow_start"  # a router alone sends a warming server no more than all routers together may
    CLOSE = "close"  # a connection with an open request or an unread call is not closed


class Violation(NamedTuple):
    """A prevented action that would have violated an invariant."""

    invariant: Invariant
    detail: str


class InvariantError(EngineError):
    """An action would violate an invariant and was not carried out."""

    def __init__(self, violation: Violation) -> None:
        super().__init__(f"{violation.invariant}: {violation.detail}")
        self.violation = violation


class ServerRecord(NamedTuple):
    """State and location of a server as last listed."""

    state: str
    zone: int
    cell: int


class PlannedAttempt(NamedTuple):
    """An attempt that is about to be sent.

    Attributes:
        server: The server that the attempt is for.
        fill_from: The fill source of the attempt.
        left_s: Seconds until the client's deadline.
        timeout_s: Seconds that the decisions want to wait; at most `left_s` is passed on to the server.
        max_age_s: Maximum age of a copy; 0 for the freshness lifetime of the request class.
        work_s: Expected seconds of transfer for the server.
    """

    server: str
    fill_from: str
    left_s: float
    timeout_s: float
    max_age_s: float
    work_s: float


class KnownPurge(NamedTuple):
    """The latest purge of an object or a group."""

    purged_at: float
    known_at: float  # when this router learned of it


UNKNOWN_SERVER = ServerRecord("gone", -1, 0)


class RecentPurges:
    """Recent purges, keyed by object or by purge group."""

    def __init__(self, retention_s: float) -> None:
        """Keep purges for `retention_s` seconds after they became known."""
        self.retention_s = retention_s
        self.objects: dict[str, KnownPurge] = {}
        self.groups: dict[int, KnownPurge] = {}

    def add(self, now: float, group: int, key: str, purged_at: float) -> None:
        """Record a purge of an object, or of a group if `key` is empty; the latest `purged_at` is kept."""
        table = self.objects if key else self.groups
        name = key or group
        previous = table.pop(name, None)
        if previous is not None:
            purged_at = max(purged_at, previous.purged_at)
        table[name] = KnownPurge(purged_at, now)
        for purges in (self.objects, self.groups):
            while purges and now - next(iter(purges.values())).known_at > self.retention_s:
                del purges[next(iter(purges))]

    def last(self, group: int, key: str) -> KnownPurge | None:
        """Return the latest purge of an object or of its group, or None."""
        purges = (self.objects.get(key), self.groups.get(group))
        return max((purge for purge in purges if purge is not None), default=None)


class Invariants:
    """Checks actions against a record of servers, purges and recent attempts.

    Attributes:
        purges: Purges recent enough to matter.
        retained: Purges that caches are not told of.
        slow_start_bound: See `__init__`.
        servers: {server: its record}, of servers that are not gone.
        recent_attempts: {warming server: (sent at, seconds of work) of each attempt in its current window}.
        violations: Number of prevented violations by invariant.
    """

    def __init__(
        self, purge_retention_s: float, slow_start_bound: Callable[[str, float], tuple[float, float] | None]
    ) -> None:
        """Start with no servers and no purges.

        Args:
            purge_retention_s: Seconds after a purge for which servers may still hold an older copy.
            slow_start_bound: Called with (server, now); returns the seconds of transfer that all routers
                together may request from the server in one window, and the length of the window in seconds;
                None once the server is warm.
        """
        self.purges = RecentPurges(purge_retention_s)
        self.retained = RetainedPurges()
        self.slow_start_bound = slow_start_bound
        self.servers: dict[str, ServerRecord] = {}
        self.recent_attempts: dict[str, collections.deque[tuple[float, float]]] = {}
        self.violations: collections.Counter[Invariant] = collections.Counter()

    def record_server(self, server: str, state: str, zone: int, cell: int) -> None:
        """Record a server as currently listed."""
        if state == "gone":
            self.servers.pop(server, None)
            self.recent_attempts.pop(server, None)
        else:
            self.servers[server] = ServerRecord(state, zone, cell)

    def record_complete_list(self, present: Collection[str]) -> None:
        """Record a complete list of servers; all others are gone."""
        for server in [server for server in self.servers if server not in present]:
            self.record_server(server, "gone", -1, 0)

    def server_record(self, server: str) -> ServerRecord:
        """Return the record of a server; an unlisted server counts as gone."""
        return self.servers.get(server, UNKNOWN_SERVER)

    def may_send_to(self, server: str) -> bool:
        """Return whether a server may get new attempts or be a fill source."""
        return rules.may_send_to(self.server_record(server).state)

    def record_violation(self, invariant: Invariant, detail: str) -> Violation:
        """Count and return a violation."""
        self.violations[invariant] += 1
        return Violation(invariant, detail)

    def check_attempt(
        self, now: float, request: OpenRequest, request_class: RequestClass, attempt: PlannedAttempt
    ) -> Violation | None:
        """Return the violation that an attempt would cause, after counting it; None if it may be sent."""
        record = self.server_record(attempt.server)
        if request.has_attempt_out:
            return self.record_violation(
                Invariant.ONE_ATTEMPT, f"an attempt is outstanding at {request.server}"
            )
        for server in {attempt.server, attempt.fill_from}:
            if not self.may_send_to(server):
                return self.record_violation(
                    Invariant.DRAIN, f"{server} is {self.server_record(server).state}"
                )
        if not rules.may_repeat(request_class, request.first_ran, record.zone, record.cell, now):
            detail = f"{request_class.idempotency} request may already have run: {request.first_ran}"
            return self.record_violation(Invariant.EFFECT_TWICE, detail)
        if attempt.left_s <= 0.0 or not rules.may_pass_deadline(attempt.timeout_s, attempt.left_s):
            detail = f"timeout of {attempt.timeout_s:.3f} s with {attempt.left_s:.3f} s left to the client"
            return self.record_violation(Invariant.DEADLINE, detail)
        return self.check_copy(now, request, attempt) or self.check_slow_start(now, attempt)

    def check_copy(self, now: float, request: OpenRequest, attempt: PlannedAttempt) -> Violation | None:
        """Return a violation if the attempt would accept a copy from before a known purge, else None."""
        purge = self.purges.last(request.call.purge_group, request.key)
        purged_at = self.retained.last(request.key, request.call.purge_group)
        if purge is not None and now - purge.purged_at <= self.purges.retention_s:
            purged_at = max(purged_at, purge.purged_at)
        if purged_at == rules.NEVER:
            return None
        age_s = now - purged_at
        if 0.0 < attempt.max_age_s <= max(MIN_PURGE_AGE_S, age_s):
            return None
        return self.record_violation(
            Invariant.PURGE, f"maximum copy age {attempt.max_age_s:.3f} s, last purge {age_s:.3f} s ago"
        )

    def check_slow_start(self, now: float, attempt: PlannedAttempt) -> Violation | None:
        """Return a violation if this router alone would exceed a warming server's bound, else None.

        The bound is what all routers together may send to the server in a window.
        """
        bound = self.slow_start_bound(attempt.server, now)
        if bound is None:
            self.recent_attempts.pop(attempt.server, None)
            return None
        limit_s, window_s = bound
        recent = self.recent_attempts.setdefault(attempt.server, collections.deque())
        while recent and now - recent[0][0] > window_s:
            recent.popleft()
        total_s = attempt.work_s + sum(work_s for _, work_s in recent)
        if total_s <= limit_s:
            recent.append((now, attempt.work_s))
            return None
        detail = f"{total_s:.3f} s of work over a limit of {limit_s:.3f} s for {attempt.server}"
        return self.record_violation(Invariant.SLOW_START, detail)
