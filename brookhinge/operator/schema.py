"""The one schema of the operator's file: which blocks there are, their keys, what each may be and its default."""

from typing import NamedTuple

from brookhinge.operator.capacity import Capacity, capacity_blocks, read_capacity
from brookhinge.operator.hcl import OperatorError, parse

MUST = object()  # no default


class Tier(NamedTuple):
    """A two-tier store: see brookhinge/store."""

    dir: str  # "" : memory alone
    memory_mb: float
    disk_mb: float
    segment_mb: float
    sync_s: float  # between two syncs of what was appended
    snapshot_s: float  # between two pictures of the index
    stall_s: float  # a read that takes longer is a miss, and the disk suspect


class Stand(NamedTuple):
    """A cache box: see brookhinge/cache_server."""

    name: str
    listen: tuple
    channel: tuple
    fills: int  # at once
    fill_s: float  # a fill is given up if nothing has come after so long
    idle_s: float  # an idle connection is closed after so long
    connect_s: float
    drain_s: float  # what is open at the word to end has so long
    parent_kind: str  # `class` of parents and of the origin in the list
    origin_kind: str
    reports: tuple  # fields of the load report in answers
    tracks: (
        dict  # name -> (seconds a copy is fresh, how much older it may be); of others it is good until purged
    )
    store: Tier


class Fleet(NamedTuple):
    """One router among its peers: see brookhinge/membership."""

    name: str
    listen: tuple  # UDP
    advertise: tuple  # where peers reach it, if that is elsewhere; else None
    join: tuple  # addresses of peers, any of which will do
    site: str  # peers of another site are not listened to
    key: bytes  # of the checksums of all datagrams; the same for the whole fleet
    zone: str  # where it stands
    lease_s: float  # how long a router that was lost still counts
    metrics: tuple  # HOST:PORT on which its figures are served, or None
    share_limits: bool  # parts of limits move to where the queries are: see brookhinge/limits
    share_memory: (
        bool  # who starts is told by a peer what that one knows: see brookhinge/membership/memory.py
    )
    share_verdicts: bool  # what all saw of a server counts: see brookhinge/verdicts
    region: str  # control machines of the same region are read at first
    purge_log: bool  # purges come from the control machines: see brookhinge/purgelog
    purge_notices: (
        bool  # purges are told to peers though the log tells them: for those that do not read it yet
    )
    log_listen: tuple  # UDP for the purge log; None: the host of `listen`, any port
    log_advertise: tuple  # where control machines reach that, if elsewhere; else None


class Control(NamedTuple):
    """One control machine of the purge log: see brookhinge/purgelog."""

    name: str
    listen: tuple  # UDP
    advertise: tuple  # where routers and other control machines reach it, if that is elsewhere; else None
    site: str  # routers and control machines of another site are not listened to
    key: bytes  # of the checksums of all datagrams; the same for the whole fleet
    region: str  # routers of the same region read here first,
    serves: tuple  # and those of these regions
    proof_s: float  # how long a router uses its own copies on one proof that it knows all purges
    channel: tuple  # the command channel whose purges it appends, or None
    metrics: tuple  # HOST:PORT on which its figures are served, or None


class Told(NamedTuple):
    """What a file turns on."""

    box: dict  # name -> Stand
    fleet: dict  # name -> Fleet
    control: dict  # name -> Control
    log: str  # least level that is logged
    metrics: tuple  # HOST:PORT on which figures are served, or None
    capacity: Capacity | None = None  # the layout of a modelled fleet


def number(least, most):
    def check(value):
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value <= most:
            raise ValueError(f"a number from {least:g} to {most:g}")
        return value

    return check


def whole(least, most):
    def check(value):
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise ValueError(f"a whole number from {least} to {most}")
        return value

    return check


def flag(value):
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def text(value):
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError("a text")
    return value


def path(value):
    if not isinstance(value, str) or "\0" in value:
        raise ValueError("a path")
    return value


def one_of(*words):
    def check(value):
        if value not in words:
            raise ValueError("one of " + ", ".join(words))
        return value

    return check


def texts(*words):
    def check(value):
        if not isinstance(value, list) or not all(one in words for one in value):
            raise ValueError("a list of " + ", ".join(words))
        return tuple(value)

    return check


def address(value):
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not colon or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError("HOST:PORT")
    return host, int(port)


def addresses(value):
    if not isinstance(value, list) or not value:
        raise ValueError("a list of HOST:PORT")
    try:
        return tuple(address(one) for one in value)
    except ValueError:
        raise ValueError("a list of HOST:PORT") from None


def names(value):
    if not isinstance(value, list) or not all(
        isinstance(one, str) and one and one.isprintable() for one in value
    ):
        raise ValueError("a list of texts")
    return tuple(value)


def key(value):
    if (
        not isinstance(value, str)
        or not 32 <= len(value) <= 128
        or len(value) % 2
        or set(value) - set("0123456789abcdef")
    ):
        raise ValueError("32 to 128 hex digits")
    return bytes.fromhex(value)


STORE = {
    "dir": (path, ""),
    "memory_mb": (number(1, 1 << 20), 64),
    "disk_mb": (number(1, 1 << 24), 1024),
    "segment_mb": (number(0.25, 1024), 16),
    "sync_s": (number(0, 3600), 0.5),
    "snapshot_s": (number(0.1, 86400), 30.0),
    "stall_s": (number(0.001, 60), 0.25),
}
BOX = {
    "listen": (address, MUST),
    "channel": (address, MUST),
    "fills": (whole(1, 10000), 32),
    "fill_s": (number(0.01, 600), 2.0),
    "idle_s": (number(0.1, 86400), 30.0),
    "connect_s": (number(0.01, 60), 0.4),
    "drain_s": (number(0, 3600), 5.0),
    "parent_kind": (text, "parent"),
    "origin_kind": (text, "origin"),
    "reports": (texts("util", "inflight", "queue", "x0", "x1"), ()),
}
TRACK = {"fresh_s": (number(0, 1e9), 0.0), "stale_s": (number(0, 1e9), 0.0)}
FLEET = {
    "listen": (address, MUST),
    "advertise": (address, None),
    "join": (addresses, MUST),
    "site": (text, MUST),
    "key": (key, MUST),
    "zone": (path, ""),
    "lease_s": (number(0, 3600), 10.0),
    "metrics": (address, None),
    "share_limits": (flag, False),
    "share_verdicts": (flag, False),
    "share_memory": (flag, False),
    "region": (path, ""),
    "purge_log": (flag, False),
    "purge_notices": (flag, True),
    "log_listen": (address, None),
    "log_advertise": (address, None),
}
CONTROL = {
    "listen": (address, MUST),
    "advertise": (address, None),
    "site": (text, MUST),
    "key": (key, MUST),
    "region": (path, ""),
    "serves": (names, ()),
    "proof_s": (number(1, 60), 3.0),
    "channel": (address, None),
    "metrics": (address, None),
}
BLOCKS = {  # kind: (labels, keys, blocks within)
    "box": (1, BOX, {"store": (0, STORE, {}), "track": (1, TRACK, {})}),
    "fleet": (1, FLEET, {}),
    "control": (1, CONTROL, {}),
    "log": (0, {"level": (one_of("debug", "info", "warning", "error"), "info")}, {}),
    "metrics": (0, {"listen": (address, MUST)}, {}),
    "capacity": capacity_blocks(MUST, number, whole, text, names, path, flag),
}


def take(block, keys):
    """The checked values of a block, defaults filled in."""
    for key, line in block.lines.items():
        if key not in keys:
            raise OperatorError(
                f"line {line}: {block.title()}: {key}: no such key, expected one of {', '.join(sorted(keys))}"
            )
    values = {}
    for key, (check, default) in keys.items():
        if key not in block.values:
            if default is MUST:
                raise OperatorError(f"line {block.line}: {block.title()}: {key}: missing")
            values[key] = default
            continue
        try:
            values[key] = check(block.values[key])
        except ValueError as fault:
            raise OperatorError(
                f"line {block.lines[key]}: {block.title()}: {key}: expected {fault}, got "
                f"{block.values[key]!r:.60}"
            ) from None
    return values


def check_blocks(block, known):
    """Every block is known, has its labels, and stands once."""
    seen = set()
    for inner in block.blocks:
        if inner.kind not in known:
            raise OperatorError(
                f"line {inner.line}: {inner.kind}: no such block, expected one of "
                f"{', '.join(sorted(known)) or 'none'}"
            )
        labels, _, within = known[inner.kind]
        if len(inner.labels) != labels:
            raise OperatorError(
                f"line {inner.line}: {inner.kind}: expected {labels} label"
                f"{'' if labels == 1 else 's'}, got {len(inner.labels)}"
            )
        if inner.title() in seen:
            raise OperatorError(f"line {inner.line}: {inner.title()} stands twice")
        seen.add(inner.title())
        check_blocks(inner, within)


def short(block):
    """A router's name, short enough for a datagram and not that of an onlooker."""
    name = block.labels[0]
    if not 0 < len(name) <= 64 or name.startswith("?") or not name.isprintable():
        raise OperatorError(
            f"line {block.line}: {block.title()}: expected a name of 1 to 64 letters, got {name!r:.80}"
        )
    return name


def read_text(source):
    top = parse(source)
    for key, line in top.lines.items():
        raise OperatorError(f"line {line}: {key}: expected a block, got a key outside of any")
    check_blocks(top, BLOCKS)
    boxes = {}
    fleet = {}
    control = {}
    level = "info"
    metrics = None
    capacity = None
    for block in top.blocks:
        if block.kind == "capacity":
            capacity = read_capacity(block, BLOCKS["capacity"], take)
            continue
        values = take(block, BLOCKS[block.kind][1])
        if block.kind == "box":
            inner = next((b for b in block.blocks if b.kind == "store"), None)
            tracks = {b.labels[0]: tuple(take(b, TRACK).values()) for b in block.blocks if b.kind == "track"}
            store = take(inner, STORE) if inner else {key: default for key, (_, default) in STORE.items()}
            if store["dir"] and store["disk_mb"] < 8 * store["segment_mb"]:
                raise OperatorError(
                    f"line {inner.line}: {block.title()}: store: disk_mb: expected 8 times segment_mb "
                    f"({store['segment_mb']:g}) at least, got {store['disk_mb']:g}"
                )
            boxes[block.labels[0]] = Stand(
                name=text(block.labels[0]), store=Tier(**store), tracks=tracks, **values
            )
        elif block.kind == "fleet":
            fleet[block.labels[0]] = Fleet(name=short(block), **values)
        elif block.kind == "control":
            control[block.labels[0]] = Control(name=short(block), **values)
        elif block.kind == "log":
            level = values["level"]
        else:
            metrics = values["listen"]
    dirs = {}
    for name, stand in boxes.items():
        if stand.store.dir and dirs.setdefault(stand.store.dir, name) != name:
            raise OperatorError(
                f'box "{name}": store: dir: {stand.store.dir!r} is that of box "{dirs[stand.store.dir]}" too'
            )
    check_purge_log(top, fleet, control)
    return Told(boxes, fleet, control, level, metrics, capacity)


LEAST_CONTROLS = 3  # a majority of two is both: the loss of one machine would stop the log


def check_purge_log(top, fleet, control):
    """Control machines make a majority, and who reads the log reads one of its own site and key."""
    lines = {(block.kind, block.labels[0]): block.line for block in top.blocks if block.labels}
    one = next(iter(control.values()), None)
    if control and len(control) < LEAST_CONTROLS:
        raise OperatorError(
            f'line {lines["control", one.name]}: control "{one.name}": expected {LEAST_CONTROLS} blocks control at '
            f"least, got {len(control)}"
        )
    readers = [member for member in fleet.values() if member.purge_log]
    for member in [*control.values(), *readers]:
        kind = "control" if isinstance(member, Control) else "fleet"
        where = f'line {lines[kind, member.name]}: {kind} "{member.name}"'
        if one is None:
            raise OperatorError(f"{where}: purge_log: expected blocks control in this file, got none")
        if (member.site, member.key) != (one.site, one.key):
            raise OperatorError(f'{where}: site, key: expected those of control "{one.name}"')


def read_file(name, read=read_text):
    """What `read` makes of a file's text."""
    try:
        with open(name, encoding="utf-8") as file:
            return read(file.read())
    except UnicodeDecodeError:
        raise OperatorError(f"{name}: expected UTF-8 text") from None
    except OSError as fault:
        raise OperatorError(f"{name}: expected a file that can be read ({fault.strerror})") from None
