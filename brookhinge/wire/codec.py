"""Codec of the simulator's wire: decodes lines into calls on a router, encodes what it writes.

Clock times become seconds since the instance's start, query ids small serials; both are turned back here.
"""

from brookhinge.decisions.messages import (
    AttemptEnded,
    Endpoint,
    EndpointsListed,
    ObjectsPurged,
    RequestArrived,
    RequestWithdrawn,
)
from brookhinge.decisions.rules import AttemptResult
from brookhinge.settings_reader import NANOSECOND_S

RESULTS = {
    "OK": AttemptResult.SATISFIED,
    "INTERNAL": AttemptResult.ERRORED,
    "RESOURCE_EXHAUSTED": AttemptResult.FULL,
    "DEADLINE_EXCEEDED": AttemptResult.TIMEOUT,
    "UNAVAILABLE": AttemptResult.UNREACHABLE,
    "ABORTED": AttemptResult.BROKEN,
    "CANCELLED": AttemptResult.CANCELLED,
    "TOO_LATE": AttemptResult.MOOT,
    "NOT_FOUND": AttemptResult.MISS,
}
HEALTH = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
LISTS = {"INCREMENTAL", "FULL", "SAVED", "FAILED"}
COMPLETE_LISTS = {"FULL", "SAVED"}


class WireError(Exception):
    """A line that can't be read; the message names it and what was expected."""


def number(text, line, what, kind=int):
    try:
        return kind(text)
    except ValueError:
        raise WireError(f"line {line!r}: expected {what}, got {text!r}") from None


def optional(text, line, what, kind=int):
    return kind(0) if text in ("-", "") else number(text, line, what, kind)


def flag(text, line):
    if text not in ("0", "1", "-"):
        raise WireError(f"line {line!r}: expected 1 or 0, got {text!r}")
    return text == "1"


def parts(line, least, what):
    """The values of a line; optional ones left off its end read as absent."""
    values = line.split(" ")[1:]
    if len(values) < least:
        raise WireError(f"line {line!r}: expected {what}")
    return values + ["-"] * (12 - len(values))


class Instance:
    """One router on the wire: its clock, its query serials, and the writer its decisions go to."""

    def __init__(self, number_, base_ns):
        self.number, self.base, self.router = number_, base_ns, None
        self.tracks, self.zones = {}, {}
        self.tid, self.serial, self.out, self.next = {}, {}, {}, 0
        self.inbox, self.lines = [], []

    def seconds(self, ns):
        return (ns - self.base) * NANOSECOND_S

    def clock(self, seconds):
        return self.base + int(seconds / NANOSECOND_S + 0.5)

    def known(self, tid, line):
        serial = self.serial.get(tid)
        if serial is None and not tid:
            raise WireError(f"line {line!r}: expected a request id")
        return serial

    def settle(self, serial, pending):
        """Forget a query's id once it is answered and no push of it is out."""
        if serial in self.tid and pending <= 0:
            del self.serial[self.tid.pop(serial)]
            self.out.pop(serial, None)
        elif serial in self.tid:
            self.out[serial] = (pending, True)

    # the writer
    def forward(self, query, attempt):
        cache, until, source, rank, age_s, join, held_only, renew = attempt
        pending, over = self.out[query]
        self.out[query] = (pending + 1, over)
        bits = join + 2 * held_only + 8 * renew
        age = max(1, int(age_s / NANOSECOND_S)) if age_s > 0 else 0
        self.lines.append(
            f"FETCH_THROUGH {self.tid[query]} {cache} {self.clock(until)} {source} {int(rank)} {age} {bits}"
        )

    def reject(self, query, retry_after_s, reason=None):
        self.lines.append(f"DENY {self.tid[query]} {int(retry_after_s / NANOSECOND_S)}")
        self.settle(query, self.out[query][0])

    def fail(self, query, reason=None):
        self.lines.append(f"GIVE_UP {self.tid[query]}")
        self.settle(query, self.out[query][0])

    def log(self, text):
        self.lines.append("DEBUG " + text.replace("\n", " "))

    # decoding
    def check_load(self, text, line):
        """Load figures: the decisions use none, but they must be numbers."""
        if text not in ("-", ""):
            for figure in text.split(","):
                number(figure, line, "load figures", float)

    def decode(self, word, line, lists):
        add = self.inbox.append
        if word == "QUERY":
            v = parts(line, 10, "QUERY with ten values")
            if v[1 + 1] not in self.tracks:
                raise WireError(f"line {line!r}: expected a known class, got {v[2]!r}")
            serial, self.next = self.next, self.next + 1
            self.tid[serial], self.serial[v[0]], self.out[serial] = v[0], serial, (0, False)
            add(
                RequestArrived(
                    serial,
                    self.tracks[v[2]],
                    v[7],
                    optional(v[1], line, "a part"),
                    optional(v[6], line, "a group"),
                    optional(v[8], line, "a size", float),
                    v[5] == "1",
                    optional(v[9], line, "a time budget") * NANOSECOND_S,
                )
            )
        elif word == "OUTCOME":
            v = parts(line, 6, "OUTCOME with at least six values")
            serial = self.known(v[0], line)
            if v[3] not in RESULTS:
                raise WireError(f"line {line!r}: expected an outcome, got {v[3]!r}")
            if serial is None:
                return
            ended = flag(v[5], line)
            number(v[1], line, "a push")
            add(
                AttemptEnded(
                    serial,
                    number(v[2], line, "a cache server"),
                    RESULTS[v[3]],
                    number(v[4], line, "a duration") * NANOSECOND_S,
                    ended,
                    optional(v[6], line, "a note"),
                    optional(v[7], line, "a duration") * NANOSECOND_S,
                )
            )
            self.check_load(v[8], line)
            pending, over = self.out[serial]
            self.out[serial] = (pending - 1, over or ended)
        elif word == "CLIENT_LEFT":
            serial = self.known(parts(line, 1, "CLIENT_LEFT with a request id")[0], line)
            if serial is not None:
                add(RequestWithdrawn(serial))
                self.out[serial] = (self.out[serial][0], True)
        elif word == "TARGETS":
            v = parts(line, 3, "TARGETS with three values")
            if v[0] not in LISTS:
                raise WireError(f"line {line!r}: expected a kind of list, got {v[0]!r}")
            if v[0] != "FAILED":  # that tells nothing
                rows = lists.get(v[2])
                if rows is None:
                    raise WireError(f"line {line!r}: expected a list given by REGISTER, got {v[2]!r}")
                add(EndpointsListed(v[0] in COMPLETE_LISTS, [self.endpoint(r) for r in rows]))
        elif word == "PURGED":
            v = parts(line, 2, "PURGED with two values")
            add(
                ObjectsPurged(
                    optional(v[0], line, "a group"),
                    optional(v[1], line, "an age") * NANOSECOND_S,
                    "" if v[2] == "-" else v[2],
                )
            )
        elif word == "HEALTH_RESULT":  # no health check is ever asked for
            v = parts(line, 3, "HEALTH_RESULT with three values")
            number(v[2], line, "a cache server")
            number(v[1], line, "a duration")
            self.check_load(v[3], line)
        elif word == "FIRST":
            v = parts(line, 4, "FIRST with four values")
            self.known(v[0], line)
        elif word not in ("PEER", "RING"):
            raise WireError(f"line {line!r}: expected an event, got {word!r}")

    def endpoint(self, row):
        """One row of a list."""
        weight, born, cell, health, server, kind, zone = row
        return Endpoint(
            server,
            health,
            weight,
            self.seconds(born) if born else None,
            cell,
            kind,
            self.zones.get(zone, -1),
        )


def read_row(line):
    v = parts(line, 7, "ROW with seven values")
    if not line.startswith("ROW ") or v[3] not in HEALTH:
        raise WireError(f"line {line!r}: expected ROW with a state")
    return (
        optional(v[0], line, "a weight", float),
        optional(v[1], line, "a time"),
        optional(v[2], line, "a cell"),
        HEALTH[v[3]],
        number(v[4], line, "a cache server"),
        v[5],
        v[6],
    )
