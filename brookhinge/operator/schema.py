"""The one schema of the operator's file: which blocks there are, their keys, checks and defaults."""

from collections.abc import Callable
from typing import Any, TypeVar

from brookhinge.operator.capacity import capacity_blocks, read_capacity
from brookhinge.operator.hcl import Block, OperatorError, parse
from brookhinge.operator.settings import (
    CacheServerSettings,
    Control,
    Fleet,
    OperatorSettings,
    StoreSettings,
)
from brookhinge.operator.value_checks import (
    Check,
    address,
    addresses,
    flag,
    key,
    names,
    number,
    one_of,
    path,
    text,
    texts,
    whole,
)

T = TypeVar("T")
Keys = dict[str, tuple[Check[Any], Any]]
"""Of each key its check and its default."""

MUST = object()  # no default
LEAST_CONTROLS = 3  # a majority of two is both: the loss of one machine would stop the log
LEAST_SEGMENTS = 8  # of a disk tier
LONGEST_NAME = 64  # of a router, to fit into a datagram
OBSERVER_PREFIX = "?"  # of names in status queries, which no router may have

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
# kind: (labels, keys, blocks within)
BLOCKS: dict[str, tuple[int, dict, dict]] = {
    "box": (1, BOX, {"store": (0, STORE, {}), "track": (1, TRACK, {})}),
    "fleet": (1, FLEET, {}),
    "control": (1, CONTROL, {}),
    "log": (0, {"level": (one_of("debug", "info", "warning", "error"), "info")}, {}),
    "metrics": (0, {"listen": (address, MUST)}, {}),
    "capacity": capacity_blocks(MUST, number, whole, text, names, path, flag),
}


def take(block: Block, keys: Keys) -> dict[str, Any]:
    """Return the checked values of a block, defaults filled in.

    Raises:
        OperatorError: a key is unknown, missing or wrong.
    """
    for name, line in block.lines.items():
        if name not in keys:
            raise OperatorError(
                f"line {line}: {block.title()}: {name}: no such key, "
                f"expected one of {', '.join(sorted(keys))}"
            )
    values = {}
    for name, (check, default) in keys.items():
        if name in block.values:
            values[name] = _checked(block, name, check)
        elif default is MUST:
            raise OperatorError(f"line {block.line}: {block.title()}: {name}: missing")
        else:
            values[name] = default
    return values


def _checked(block: Block, name: str, check: Check[T]) -> T:
    value = block.values[name]
    try:
        return check(value)
    except ValueError as error:
        raise OperatorError(
            f"line {block.lines[name]}: {block.title()}: {name}: expected {error}, got {value!r:.60}"
        ) from None


def check_blocks(block: Block, known: dict[str, tuple[int, dict, dict]]) -> None:
    """Check that every inner block is known, has its labels, and stands once.

    Raises:
        OperatorError: one does not.
    """
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


def member_name(block: Block) -> str:
    """Return a router's or control machine's name.

    Raises:
        OperatorError: it does not fit into a datagram or is reserved.
    """
    name = block.labels[0]
    if not 0 < len(name) <= LONGEST_NAME or name.startswith(OBSERVER_PREFIX) or not name.isprintable():
        raise OperatorError(
            f"line {block.line}: {block.title()}: expected a name of 1 to {LONGEST_NAME} letters, "
            f"got {name!r:.80}"
        )
    return name


def read_text(source: str) -> OperatorSettings:
    """Read an operator's file from its text.

    Raises:
        OperatorError: names block, key and line and what was expected.
    """
    top = parse(source)
    for name, line in top.lines.items():
        raise OperatorError(f"line {line}: {name}: expected a block, got a key outside of any")
    check_blocks(top, BLOCKS)
    settings = OperatorSettings({}, {}, {}, "info", None)
    for block in top.blocks:
        if block.kind == "capacity":
            settings = settings._replace(capacity=read_capacity(block, BLOCKS["capacity"], take))
            continue
        values = take(block, BLOCKS[block.kind][1])
        match block.kind:
            case "box":
                settings.box[block.labels[0]] = _cache_server(block, values)
            case "fleet":
                settings.fleet[block.labels[0]] = Fleet(name=member_name(block), **values)
            case "control":
                settings.control[block.labels[0]] = Control(name=member_name(block), **values)
            case "log":
                settings = settings._replace(log=values["level"])
            case "metrics":
                settings = settings._replace(metrics=values["listen"])
    _check_folders(settings.box)
    _check_purge_log(top, settings)
    return settings


def read_file(name: str, read: Callable[[str], T] = read_text) -> T:
    """Return what `read` makes of a file's text.

    Raises:
        OperatorError: the file cannot be read, or as `read`.
    """
    try:
        with open(name, encoding="utf-8") as file:
            return read(file.read())
    except UnicodeDecodeError:
        raise OperatorError(f"{name}: expected UTF-8 text") from None
    except OSError as error:
        raise OperatorError(f"{name}: expected a file that can be read ({error.strerror})") from None


def _cache_server(block: Block, values: dict[str, Any]) -> CacheServerSettings:
    inner = next((one for one in block.blocks if one.kind == "store"), None)
    tracks = {one.labels[0]: tuple(take(one, TRACK).values()) for one in block.blocks if one.kind == "track"}
    store = take(inner, STORE) if inner else {name: default for name, (_, default) in STORE.items()}
    if inner and store["dir"] and store["disk_mb"] < LEAST_SEGMENTS * store["segment_mb"]:
        raise OperatorError(
            f"line {inner.line}: {block.title()}: store: disk_mb: expected {LEAST_SEGMENTS} times segment_mb "
            f"({store['segment_mb']:g}) at least, got {store['disk_mb']:g}"
        )
    return CacheServerSettings(
        name=text(block.labels[0]), store=StoreSettings(**store), tracks=tracks, **values
    )


def _check_folders(cache_servers: dict[str, CacheServerSettings]) -> None:
    """Check that no two cache servers have one folder."""
    owners: dict[str, str] = {}
    for name, settings in cache_servers.items():
        folder = settings.store.dir
        if folder and owners.setdefault(folder, name) != name:
            raise OperatorError(f'box "{name}": store: dir: {folder!r} is that of box "{owners[folder]}" too')


def _check_purge_log(top: Block, settings: OperatorSettings) -> None:
    """Check that control machines can make a majority, and that readers are of their site and key."""
    lines = {(block.kind, block.labels[0]): block.line for block in top.blocks if block.labels}
    first = next(iter(settings.control.values()), None)
    if first is not None and len(settings.control) < LEAST_CONTROLS:
        raise OperatorError(
            f'line {lines["control", first.name]}: control "{first.name}": expected '
            f"{LEAST_CONTROLS} blocks control at least, got {len(settings.control)}"
        )
    readers = [member for member in settings.fleet.values() if member.purge_log]
    for member in [*settings.control.values(), *readers]:
        kind = "control" if isinstance(member, Control) else "fleet"
        where = f'line {lines[kind, member.name]}: {kind} "{member.name}"'
        if first is None:
            raise OperatorError(f"{where}: purge_log: expected blocks control in this file, got none")
        if (member.site, member.key) != (first.site, first.key):
            raise OperatorError(f'{where}: site, key: expected those of control "{first.name}"')
