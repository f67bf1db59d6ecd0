"""The one place where configuration is read, checked and given defaults, for the router on sockets and for the
simulator's wire. A fault is told by the key's path and what was expected there."""

import json
import math
from typing import NamedTuple

from brookhinge.decisions.settings import (
    DeduplicationScope,
    FillPolicy,
    Idempotency,
    Location,
    NoteDetail,
    RequestClass,
    RouterLimits,
    SiblingFills,
    SlowStart,
)
from brookhinge.engine.commands import read_commands

NS = 1e-9
EFFECTS = {
    "retryable": Idempotency.REPEATABLE,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.ONCE,
}
REPORT_FIELDS = {"cpu": "util", "active": "inflight", "waiting": "queue"}
GROUPS = {scope.value: scope for scope in DeduplicationScope}
SIBLINGS = {"silent": SiblingFills.NONE, "": SiblingFills.NONE, **{word.value: word for word in SiblingFills}}
TELLS = {"silent": NoteDetail.NONE, "": NoteDetail.NONE, **{word.value: word for word in NoteDetail}}

TEXT, NUMBER, WHOLE, FLAG, TABLE, ROWS = (
    ((str,), "a text"),
    ((int, float), "a number"),
    ((int,), "a whole number"),
    ((bool, int), "true or false"),
    ((dict,), "an object"),
    ((list,), "a list"),
)


class StartError(ValueError):
    """A configuration that can't be used; the message names the key and what was expected."""


class Table:
    """A JSON object that knows where it stands."""

    def __init__(self, values, path=""):
        self.values, self.path = values, path

    def name(self, key):
        return f"{self.path}.{key}" if self.path else key

    def take(self, key, form, *default):
        """The checked value under key; without a default it must be there."""
        kinds, what = form
        value = self.values.get(key)
        if value is None:
            if default:
                return default[0]
            raise StartError(f"{self.name(key)}: missing, expected {what}")
        return self.checked(self.name(key), value, kinds, what)

    @staticmethod
    def checked(name, value, kinds, what):
        if not isinstance(value, kinds) or isinstance(value, bool) and bool not in kinds:
            raise StartError(f"{name}: expected {what}, got {value!r:.60}")
        if isinstance(value, float) and not math.isfinite(value):
            raise StartError(f"{name}: expected {what}, got {value!r}")
        return value

    def between(self, key, least, most, *default, form=NUMBER):
        value = self.take(key, form, *default)
        if not least <= value <= most:
            bound = f"from {least} to {most}" if most < math.inf else f"of {least} or more"
            raise StartError(f"{self.name(key)}: expected {form[1]} {bound}, got {value!r}")
        return value

    def word(self, key, words, default):
        """The meaning of one of a few words."""
        value = self.take(key, TEXT, default)
        if value not in words:
            raise StartError(
                f"{self.name(key)}: expected one of {', '.join(filter(None, words))}, got {value!r:.60}"
            )
        return words[value]

    def span(self, key, *default):
        """Nanoseconds as seconds."""
        value = self.take(key, NUMBER, *default)
        if value < 0:
            raise StartError(f"{self.name(key)}: expected a time of 0 or more, got {value!r}")
        return value * NS

    def table(self, key, *default):
        return Table(self.take(key, TABLE, *default), self.name(key))

    def tables(self, key):
        rows = self.take(key, ROWS, [])
        return [
            Table(self.checked(f"{self.name(key)}[{i}]", row, *TABLE), f"{self.name(key)}[{i}]")
            for i, row in enumerate(rows)
        ]

    def names(self, key):
        return [
            self.checked(f"{self.name(key)}[{i}]", name, *TEXT)
            for i, name in enumerate(self.take(key, ROWS, []))
        ]

    def each(self, key, place, form, default):
        """One value of a list by place; the default past its end."""
        row = self.take(key, ROWS, [])
        return self.checked(f"{self.name(key)}[{place}]", row[place], *form) if place < len(row) else default


def read_load_columns(settings):
    """The columns of a load report, as the router calls them."""
    return [REPORT_FIELDS.get(c, c) for c in settings.table("Report", {}).names("Columns")]


def read_start(settings):
    """The settings of an instance as the small records of the interface, by the names of Router's arguments."""
    rules, limits = settings.table("Rules", {}), settings.table("Limits", {})
    fam, report = settings.table("Specifics", {}), settings.table("Report", {})
    zones, kinds = settings.names("Zones"), settings.names("MachineTypes")
    here = settings.take("Az", TEXT, "")
    if here and here not in zones:
        raise StartError(f"{settings.name('Az')}: expected one of Zones, got {here!r:.60}")
    zone = zones.index(here) if here else 0

    def kind(key):
        place = fam.between(key, -1, len(kinds) - 1, -1, form=WHOLE)
        return kinds[place] if place >= 0 else ""

    request_classes = [
        RequestClass(
            name=c.take("Name", TEXT),
            idempotency=c.word("Effect", EFFECTS, "fragile"),
            deduplication_scope=c.word("Group", GROUPS, "all"),
            deduplication_window_s=c.span("WindowNs", 0),
            latency_objective_s=c.span("AimNs"),
            objective_stretch=c.between("AimStretch", 0, math.inf, 0.0),
            timeout_s=more_than(0, c, "DeadlineNs", NUMBER) * NS,
            utility=c.between("Value", 0, math.inf, 1.0),
            late_share=c.between("LateWorth", 0, 1, 0.0),
            fresh_s=fam.each("GoodForNs", i, NUMBER, 0) * NS,
            stale_s=fam.each("OlderByNs", i, NUMBER, 0) * NS,
            stale_share=fam.each("WorthWhenOld", i, NUMBER, 0.0),
            uncacheable=bool(fam.each("GoesThrough", i, FLAG, False)),
        )
        for i, c in enumerate(settings.tables("Classes"))
    ]
    for i, t in enumerate(request_classes):
        if t.name in [other.name for other in request_classes[:i]]:
            raise StartError(
                f"{settings.name('Classes')}[{i}].Name: expected another name, {t.name!r:.60} stands there twice"
            )
    routers = settings.between("Instances", 1, math.inf, 1, form=WHOLE)
    advice = limits.span("MaxRetryAfterNs", 0) if limits.take("RetryAfter", FLAG, False) else 0.0
    cache_slow_start = SlowStart(
        rules.between("ColdFrom", 0, 1, 1.0),
        rules.span("WarmUpNs", 0),
        rules.between("FallMultiple", 0, math.inf, 0.0),
        rules.span("FallNs", 0),
    )
    parent_slow_start = SlowStart(
        fam.between("ParentColdFrom", 0, 1, 1.0),
        fam.span("UpperColdNs", 0),
        fam.between("ParentBreaksAt", 0, math.inf, 0.0),
        rules.span("FallNs", 0),
    )
    if (
        max(cache_slow_start.overload_multiple, parent_slow_start.overload_multiple) > 0
        and not cache_slow_start.window_s
    ):
        raise StartError(
            f"{rules.name('FallNs')}: expected more than 0 where cold servers fall at a multiple, got 0"
        )
    return {
        "request_classes": request_classes,
        "location": Location(
            zone,
            max(1, fam.each("ZoneBalancers", zone, WHOLE, routers)),
            routers,
            settings.take("MyNumber", WHOLE, 0),
            settings.take("WeightSource", TEXT, "silent") in ("nominal", "rough", "live"),
        ),
        "limits": RouterLimits(
            limits.between("MaxAttempts", 1, math.inf, 1, form=WHOLE),
            bool(limits.take("Probes", FLAG, False)),
            bool(limits.take("Cancel", FLAG, False)),
            advice,
        ),
        "fill_policy": FillPolicy(
            fam.word("PeersFill", SIBLINGS, "none"),
            bool(fam.take("Straight", FLAG, False)),
            bool(fam.take("SharesFills", FLAG, False)),
            fam.word("Says", TELLS, "none"),
            fam.take("OneFlowKbPerS", NUMBER, 0.0),
            fam.each("InletKbPerS", zone, NUMBER, 0.0),
        ),
        "cache_slow_start": cache_slow_start,
        "parent_slow_start": parent_slow_start,
        "purge_settled_s": fam.span("GoneEverywhereNs", 0),
        "server_kinds": (kind("UpperKind"), kind("MasterKind")),
    }


class Bounds(NamedTuple):
    """What the machine gives, and the pace of what a router sends from its own memory; 0: it sends none."""

    memory_mb: int
    sockets: int
    flow_bytes_s: float
    link_bytes_s: float


class Lines(NamedTuple):
    """Connections to cache servers."""

    connect_s: float
    idle_s: float
    multiplex: int


class Site(NamedTuple):
    """One router's place on the network, and what its parts are handed."""

    name: str
    listen: tuple
    channel: tuple
    seed: int
    known: dict
    bounds: Bounds
    lines: Lines
    zones: list
    columns: list  # of a load report, as cache servers name them
    decisions: dict  # the arguments of Router
    storm: bool  # whether retries are known as such and returns are planned (brookhinge/storm)


def address(table, key):
    text = table.take(key, TEXT)
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdigit() or not int(port) < 65536:
        raise StartError(f"{table.name(key)}: expected HOST:PORT, got {text!r:.60}")
    return host, int(port)


def more_than(least, table, key, form, *default):
    value = table.take(key, form, *default)
    if value <= least:
        raise StartError(f"{table.name(key)}: expected more than {least}, got {value!r}")
    return value


def read_site(environ):
    """The router's configuration, from the file that BALANCER_CONFIG names."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise StartError("BALANCER_CONFIG: missing, expected the path of the configuration")
    try:
        with open(path, "rb") as file:
            values = json.load(file)
    except OSError as fault:
        raise StartError(
            f"BALANCER_CONFIG: expected a file that can be read, got {path!r} ({fault.strerror})"
        ) from None
    except ValueError as fault:
        raise StartError(f"BALANCER_CONFIG: expected JSON, got {fault}") from None
    top = Table(Table.checked("BALANCER_CONFIG", values, *TABLE))
    settings, limits, known = top.table("settings"), top.table("limits", {}), top.table("known")
    known.take("cursor", WHOLE), known.take("cmds", ROWS)
    for i, (method, told) in enumerate(read_commands(known.values, 0.0)[1]):
        if method == "skipped":
            raise StartError(f"known.cmds[{i}]: expected a command, cannot read {told[1]}")
    seed = top.take("seed", TEXT)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise StartError(f"seed: expected hex digits, got {seed!r:.60}") from None
    decisions, calls = read_start(settings), settings.table("Limits", {})
    if not decisions["request_classes"]:
        raise StartError("settings.Classes: missing, expected one class at least")
    return Site(
        top.take("name", TEXT),
        address(top, "listen"),
        address(top, "channel"),
        seed,
        known.values,
        Bounds(
            more_than(0, limits, "memory_mb", NUMBER, 192),
            more_than(31, limits, "sockets", WHOLE, 1024),
            *(top.take(key, NUMBER, 0) for key in ("flow_bytes_per_s", "link_bytes_per_s")),
        ),
        Lines(
            more_than(0, calls, "ConnectTimeoutNs", NUMBER, 1e9) * NS,
            calls.span("IdleCloseNs", 30e9),
            more_than(0, calls, "Multiplex", WHOLE, 32),
        ),
        settings.names("Zones"),
        [c.encode() for c in read_load_columns(settings)],
        decisions,
        bool(top.take("storm", FLAG, False)),
    )
