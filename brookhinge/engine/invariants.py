"""Checks at run time of what a router sends, responds and closes. No I/O, no clock.

The record here is kept from the events themselves, beside what the decisions remember, and is asked about
each act just before it happens. An act that would break a rule does not happen: it is counted and logged, and
its request fails. The rules themselves are those of `brookhinge/decisions/rules.py`.
"""

import collections
import enum
from collections.abc import Callable, Collection
from typing import NamedTuple

from brookhinge.decisions import rules
from brookhinge.decisions.settings import RequestClass
from brookhinge.engine.errors import EngineError
from brookhinge.engine.open_requests import OpenRequest

LEAST_PURGE_AGE_S = 1e-6  # a copy must be younger than its purge, also where both are of this moment


class Invariant(enum.StrEnum):
    """What must hold of every act."""

    ONE_ANSWER = "one_answer"  # one final response, to a request that is owed one
    AFTER_END = "after_end"  # nothing is sent for a request that is over, nor after the process began to end
    ONE_ATTEMPT = "one_attempt"  # never two attempts of a request at once
    EFFECT_TWICE = "effect_twice"  # no attempt that could be a second effect, no invitation to one
    DEADLINE = "deadline"  # the deadline passed on is what the client has left
    DRAIN = "drain"  # no new work for, nor fill from, a server listed as draining or gone
    PURGE = "purge"  # no copy from before a known purge is asked for
    SLOW_START = "slow_start"  # one router alone stays under what all may send to a server that warms up
    CLOSE = "close"  # no connection with an open request or an unread call is closed


class Violation(NamedTuple):
    """An act that was about to break a rule."""

    invariant: Invariant
    detail: str


class InvariantError(EngineError):
    """Raised in place of an act that would break a rule."""

    def __init__(self, violation: Violation) -> None:
        super().__init__(f"{violation.invariant}: {violation.detail}")
        self.violation = violation


class ServerFacts(NamedTuple):
    """A server as it was last listed."""

    state: str
    zone: int
    cell: int


class PlannedAttempt(NamedTuple):
    """What is about to be sent for a request. Times are seconds."""

    server: str
    fill_from: str
    left_s: float  # until the client's deadline
    timeout_s: (
        float  # for which the decisions want to wait; never more than left_s is passed on to the server
    )
    max_age_s: float  # the oldest copy that will do; 0: the fresh time of the class
    work_s: float  # of sending that it asks of the server


class KnownPurge(NamedTuple):
    """The last purge of an object or a group."""

    purged_at: float
    known_at: float  # when this router came to know of it


UNKNOWN_SERVER = ServerFacts("gone", -1, 0)


class RecentPurges:
    """Purges of the last while, each under its object or its group."""

    def __init__(self, kept_s: float) -> None:
        """Keep purges for `kept_s` seconds after they became known."""
        self.kept_s = kept_s
        self.objects: dict[str, KnownPurge] = {}
        self.groups: dict[int, KnownPurge] = {}

    def add(self, now: float, group: int, key: str, purged_at: float) -> None:
        """Record a purge of an object, or of a group where `key` is empty; of two the later one holds."""
        table = self.objects if key else self.groups
        name = key or group
        before = table.pop(name, None)
        if before is not None:
            purged_at = max(purged_at, before.purged_at)
        table[name] = KnownPurge(purged_at, now)
        for purges in (self.objects, self.groups):
            while purges and now - next(iter(purges.values())).known_at > self.kept_s:
                del purges[next(iter(purges))]

    def last(self, group: int, key: str) -> KnownPurge | None:
        """The last purge of an object, by itself or with its group."""
        purges = (self.objects.get(key), self.groups.get(group))
        return max((purge for purge in purges if purge is not None), default=None)


class Invariants:
    """The record that acts are checked against.

    Attributes:
        purges: The purges that still matter.
        violations: How often each invariant was about to be broken.
    """

    def __init__(
        self, purge_kept_s: float, slow_start_bound: Callable[[str, float], tuple[float, float] | None]
    ) -> None:
        """Start with no servers and no purges.

        Args:
            purge_kept_s: For how long an old copy may still be met after a purge.
            slow_start_bound: Called with (server, now); the seconds of sending that all routers together may
                send to the server in a window, and the window in seconds; None once the server is warm.
        """
        self.purges = RecentPurges(purge_kept_s)
        self.slow_start_bound = slow_start_bound
        self.servers: dict[str, ServerFacts] = {}
        # of each server that warms up: (sent at, seconds of work) of the attempts in its window
        self.sent: dict[str, collections.deque[tuple[float, float]]] = {}
        self.violations: collections.Counter[Invariant] = collections.Counter()

    def note_server(self, server: str, state: str, zone: int, cell: int) -> None:
        """Record a server as it is listed now."""
        if state == "gone":
            self.servers.pop(server, None)
            self.sent.pop(server, None)
        else:
            self.servers[server] = ServerFacts(state, zone, cell)

    def note_complete_list(self, present: Collection[str]) -> None:
        """Record that a complete list has only these servers: the others are gone."""
        for server in [server for server in self.servers if server not in present]:
            self.note_server(server, "gone", -1, 0)

    def facts(self, server: str) -> ServerFacts:
        """The server as last listed; one that is not listed counts as gone."""
        return self.servers.get(server, UNKNOWN_SERVER)

    def may_send_to(self, server: str) -> bool:
        """Whether the server takes new work or may be a fill source."""
        return rules.may_send_to(self.facts(server).state)

    def violated(self, invariant: Invariant, detail: str) -> Violation:
        """Count an act that must not happen."""
        self.violations[invariant] += 1
        return Violation(invariant, detail)

    def check_attempt(
        self, now: float, request: OpenRequest, request_class: RequestClass, attempt: PlannedAttempt
    ) -> Violation | None:
        """The violation that an attempt would be, counted; None: it may be sent."""
        facts = self.facts(attempt.server)
        if request.has_attempt_out:
            return self.violated(Invariant.ONE_ATTEMPT, f"a second one beside that at {request.server}")
        for server in {attempt.server, attempt.fill_from}:
            if not self.may_send_to(server):
                return self.violated(Invariant.DRAIN, f"{server} is {self.facts(server).state}")
        if not rules.may_repeat(request_class, request.first_ran, facts.zone, facts.cell, now):
            detail = f"{request_class.idempotency}, it may have run at {request.first_ran}"
            return self.violated(Invariant.EFFECT_TWICE, detail)
        if attempt.left_s <= 0.0 or not rules.may_pass_deadline(attempt.timeout_s, attempt.left_s):
            detail = f"{attempt.timeout_s:.3f} of {attempt.left_s:.3f} s"
            return self.violated(Invariant.DEADLINE, detail)
        return self.check_copy(now, request, attempt) or self.check_slow_start(now, attempt)

    def check_copy(self, now: float, request: OpenRequest, attempt: PlannedAttempt) -> Violation | None:
        """The violation where a copy from before a known purge would do."""
        purge = self.purges.last(request.call.purge_group, request.key)
        if purge is None:
            return None
        age_s = now - purge.purged_at
        if age_s > self.purges.kept_s or 0.0 < attempt.max_age_s <= max(LEAST_PURGE_AGE_S, age_s):
            return None
        return self.violated(Invariant.PURGE, f"a copy of {attempt.max_age_s:.3f} s, {age_s:.3f} s after it")

    def check_slow_start(self, now: float, attempt: PlannedAttempt) -> Violation | None:
        """The violation where this router alone would send a server that warms up more than all may."""
        bound = self.slow_start_bound(attempt.server, now)
        if bound is None:
            self.sent.pop(attempt.server, None)
            return None
        most_s, window_s = bound
        sent = self.sent.setdefault(attempt.server, collections.deque())
        while sent and now - sent[0][0] > window_s:
            sent.popleft()
        total_s = attempt.work_s + sum(work_s for _, work_s in sent)
        if total_s <= most_s:
            sent.append((now, attempt.work_s))
            return None
        detail = f"{total_s:.3f} of {most_s:.3f} s of work to {attempt.server}"
        return self.violated(Invariant.SLOW_START, detail)
