"""Checks at run time of what a router sends, answers and closes. No I/O, no clock.

The record here is kept from the events themselves, beside what the decisions remember, and is asked about each act just before
it happens. An act that would break a rule does not happen: it is counted, said in the log, and its query gets an error.
The rules themselves are those of `brookhinge/decisions/rules.py`."""

import collections
import enum
from typing import NamedTuple

from brookhinge.decisions import rules


class Invariant(enum.StrEnum):
    """What must hold of every act."""

    ONE_ANSWER = "one_answer"  # one final answer, to a query that is owed one
    AFTER_END = "after_end"  # nothing is sent for a query that is over, nor after the process began to end
    ONE_ATTEMPT = "one_attempt"  # never two attempts of a query at once
    EFFECT_TWICE = "effect_twice"  # no attempt that could be a second effect, no invitation to one
    DEADLINE = "deadline"  # the deadline passed on is what the client has left
    DRAIN = "drain"  # no new work, nor fill, from a server told draining or gone
    PURGE = "purge"  # no copy from before a known purge is asked for
    SLOW_START = "slow_start"  # one router alone stays under what all may send to a cold server
    CLOSE = "close"  # no connection with an open query or an unread call is closed


class Violation(NamedTuple):
    """An act that was about to break a rule."""

    invariant: Invariant
    detail: str


class RuleBroken(RuntimeError):
    """Raised in place of an act that would break a rule."""

    def __init__(self, violation):
        super().__init__(f"{violation.invariant}: {violation.detail}")
        self.violation = violation


class ServerFacts(NamedTuple):
    """A server as it was last told."""

    state: str
    zone: int
    cell: int


class Attempt(NamedTuple):
    """What is about to be sent for a query. Times are seconds."""

    server: str
    source: str
    left_s: float  # until the client's deadline
    patience_s: float  # for which the decisions want to wait; never more than left_s is told to the server
    oldest_s: float  # the oldest copy that will do; 0: the fresh time of the class
    work: float  # seconds of sending that it asks of the server


UNKNOWN = ServerFacts("gone", -1, 0)


class Purges:
    """Purges of the last while, each under its object or its group. moment: when it took place, told_at: when that was
    known here."""

    def __init__(self, kept_s):
        self.kept_s, self.objects, self.groups = kept_s, {}, {}

    def add(self, now, group, key, moment):
        names = self.objects if key else self.groups
        name = key or group
        before = names.pop(name, (moment, now))[0]
        names[name] = max(moment, before), now
        for table in (self.objects, self.groups):
            while table and now - next(iter(table.values()))[1] > self.kept_s:
                del table[next(iter(table))]

    def last(self, group, key):
        """(moment, told_at) of the last purge of an object, by itself or with its group, or None."""
        hits = [hit for hit in (self.objects.get(key), self.groups.get(group)) if hit is not None]
        return max(hits, default=None)


class Invariants:
    """purge_kept_s: for how long an old copy may still be met after a purge; bound(server, now): the work in seconds of
    sending that all routers together may send to it in a window, and the window, or None while it is warm."""

    def __init__(self, purge_kept_s, bound):
        self.purges = Purges(purge_kept_s)
        self.bound, self.servers = bound, {}
        self.sent = {}  # of each cold server: (when, work) of the attempts in its window
        self.violations = collections.Counter()

    def listed(self, server, state, zone, cell):
        if state == "gone":
            self.servers.pop(server, None)
            self.sent.pop(server, None)
        else:
            self.servers[server] = ServerFacts(state, zone, cell)

    def absent(self, present):
        """A complete list leaves servers out: they are gone."""
        for server in [server for server in self.servers if server not in present]:
            self.listed(server, "gone", -1, 0)

    def facts(self, server):
        return self.servers.get(server, UNKNOWN)

    def may_send_to(self, server):
        return rules.may_send_to(self.facts(server).state)

    def violated(self, invariant, detail):
        """Counts an act that must not happen."""
        self.violations[invariant] += 1
        return Violation(invariant, detail)

    def of_attempt(self, now, query, track, attempt):
        """The violation that an attempt would be, or None; counts it. query: the engine's record of an open query."""
        facts = self.facts(attempt.server)
        if query.out:
            return self.violated(Invariant.ONE_ATTEMPT, f"a second one beside that at {query.server}")
        for server in {attempt.server, attempt.source}:
            if not self.may_send_to(server):
                return self.violated(Invariant.DRAIN, f"{server} is {self.facts(server).state}")
        if not rules.may_repeat(track, query.ran, facts.zone, facts.cell, now):
            return self.violated(
                Invariant.EFFECT_TWICE, f"{track.idempotency}, it may have run at {query.ran}"
            )
        if attempt.left_s <= 0.0 or not rules.deadline_is_honest(attempt.patience_s, attempt.left_s):
            return self.violated(Invariant.DEADLINE, f"{attempt.patience_s:.3f} of {attempt.left_s:.3f} s")
        return self.of_copy(now, query, attempt) or self.of_slow_start(now, attempt)

    def of_copy(self, now, query, attempt):
        """Whether a copy from before a known purge would do."""
        purge = self.purges.last(query.group, query.text_key)
        if purge is None or now - purge[0] > self.purges.kept_s:
            return None
        if 0.0 < attempt.oldest_s <= max(1e-6, now - purge[0]):
            return None
        return self.violated(
            Invariant.PURGE, f"a copy of {attempt.oldest_s:.3f} s, {now - purge[0]:.3f} s after it"
        )

    def of_slow_start(self, now, attempt):
        """Whether this router alone would send a cold server more than all may."""
        bound = self.bound(attempt.server, now)
        if bound is None:
            self.sent.pop(attempt.server, None)
            return None
        most, window_s = bound
        sent = self.sent.setdefault(attempt.server, collections.deque())
        while sent and now - sent[0][0] > window_s:
            sent.popleft()
        total = attempt.work + sum(work for _, work in sent)
        if total <= most:
            sent.append((now, attempt.work))
            return None
        return self.violated(Invariant.SLOW_START, f"{total:.3f} of {most:.3f} s of work to {attempt.server}")
