"""Schema of the operator's file: its blocks, and the keys, checks and defaults of each."""

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
"""The check and the default of each key."""

REQUIRED = object()  # in place of a default: the key is required
MIN_CONTROLS = 3  # with two, both are needed for a majority, so losing one would stop the log
MIN_SEGMENTS = 8  # of a disk tier
MIN_PURGE_S = 3.0  # the command channel is heard of once in up to 2 s without being silent
MAX_NAME_LENGTH = 64  # of a router, so that it fits into a datagram
OBSERVER_PREFIX = "?"  # reserved for the names of clients that send status queries

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
    "listen": (address, REQUIRED),
    "channel": (address, REQUIRED),
    "fills": (whole(1, 10000), 32),
    "fill_s": (number(0.01, 600), 2.0),
    "idle_s": (number(0.1, 86400), 30.0),
    "connect_s": (number(0.01, 60), 0.4),
    "drain_s": (number(0, 3600), 5.0),
    "purge_s": (number(MIN_PURGE_S, 3600), 6.0),
    "parent_kind": (text, "parent"),
    "origin_kind": (text, "origin"),
    "reports": (texts("util", "inflight", "queue", "x0", "x1"), ()),
}
TRACK = {"fresh_s": (number(0, 1e9), 0.0), "stale_s": (number(0, 1e9), 0.0)}
FLEET = {
    "listen": (address, REQUIRED),
    "advertise": (address, None),
    "join": (addresses, REQUIRED),
    "site": (text, REQUIRED),
    "key": (key, REQUIRED),
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
    "listen": (address, REQUIRED),
    "advertise": (address, None),
    "site": (text, REQUIRED),
    "key": (key, REQUIRED),
    "region": (path, ""),
    "serves": (names, ()),
    "proof_s": (number(1, 60), 3.0),
    "channel": (address, None),
    "metrics": (address, None),
}
# block type: (number of labels, keys, nested blocks)
BLOCKS: dict[str, tuple[int, dict, dict]] = {
    "box": (1, BOX, {"store": (0, STORE, {}), "track": (1, TRACK, {})}),
    "fleet": (1, FLEET, {}),
    "control": (1, CONTROL, {}),
    "log": (0, {"level": (one_of("debug", "info", "warning", "error"), "info")}, {}),
    "metrics": (0, {"listen": (address, REQUIRED)}, {}),
    "capacity": capacity_blocks(REQUIRED, number, whole, text, names, path, flag),
}


def read_values(block: Block, keys: Keys) -> dict[str, Any]:
    """Return the checked values of a block, with defaults for absent keys.

    Raises:
        OperatorError: A key is unknown, a required key is missing or a value is wrong.
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
        elif default is REQUIRED:
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
    """Check that each nested block is known, has the right number of labels, and appears only once.

    Raises:
        OperatorError: A block is unknown, duplicate or has the wrong number of labels.
    """
    titles = set()
    for inner in block.blocks:
        if inner.kind not in known:
            raise OperatorError(
                f"line {inner.line}: {inner.kind}: no such block, expected one of "
                f"{', '.join(sorted(known)) or 'none'}"
            )
        label_count, _, nested = known[inner.kind]
        if len(inner.labels) != label_count:
            raise OperatorError(
                f"line {inner.line}: {inner.kind}: expected {label_count} label"
                f"{'' if label_count == 1 else 's'}, got {len(inner.labels)}"
            )
        if inner.title() in titles:
            raise OperatorError(f"line {inner.line}: {inner.title()} appears twice")
        titles.add(inner.title())
        check_blocks(inner, nested)


def member_name(block: Block) -> str:
    """Return the name of a router or control machine, the label of its block.

    Raises:
        OperatorError: The name does not fit into a datagram, is not printable or is reserved.
    """
    name = block.labels[0]
    if not 0 < len(name) <= MAX_NAME_LENGTH or name.startswith(OBSERVER_PREFIX) or not name.isprintable():
        raise OperatorError(
            f"line {block.line}: {block.title()}: expected a name of 1 to {MAX_NAME_LENGTH} printable "
            f"characters without a leading '?', got {name!r:.80}"
        )
    return name


def read_text(source: str) -> OperatorSettings:
    """Read an operator's file from its text.

    Raises:
        OperatorError: The text can't be used; the message names block, key and line and what was expected.
    """
    top = parse(source)
    for name, line in top.lines.items():
        raise OperatorError(f"line {line}: {name}: expected a block, got a key outside all blocks")
    check_blocks(top, BLOCKS)
    settings = OperatorSettings({}, {}, {}, "info", None)
    for block in top.blocks:
        if block.kind == "capacity":
            settings = settings._replace(capacity=read_capacity(block, BLOCKS["capacity"], read_values))
            continue
        values = read_values(block, BLOCKS[block.kind][1])
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
    """Return the result of `read` for the text of a file.

    Raises:
        OperatorError: The file cannot be read, or `read` rejects its text.
    """
    try:
        with open(name, encoding="utf-8") as file:
            return read(file.read())
    except UnicodeDecodeError:
        raise OperatorError(f"{name}: expected UTF-8 text") from None
    except OSError as error:
        raise OperatorError(f"{name}: expected a file that can be read ({error.strerror})") from None


def _cache_server(block: Block, values: dict[str, Any]) -> CacheServerSettings:
    store_block = next((inner for inner in block.blocks if inner.kind == "store"), None)
    tracks = {
        inner.labels[0]: tuple(read_values(inner, TRACK).values())
        for inner in block.blocks
        if inner.kind == "track"
    }
    store = (
        read_values(store_block, STORE)
        if store_block
        else {name: default for name, (_, default) in STORE.items()}
    )
    if store_block and store["dir"] and store["disk_mb"] < MIN_SEGMENTS * store["segment_mb"]:
        raise OperatorError(
            f"line {store_block.line}: {block.title()}: store: disk_mb: expected at least {MIN_SEGMENTS} "
            f"times segment_mb ({store['segment_mb']:g}), got {store['disk_mb']:g}"
        )
    return CacheServerSettings(
        name=text(block.labels[0]), store=StoreSettings(**store), tracks=tracks, **values
    )


def _check_folders(cache_servers: dict[str, CacheServerSettings]) -> None:
    """Check that no two cache servers use the same folder."""
    owners: dict[str, str] = {}
    for name, settings in cache_servers.items():
        folder = settings.store.dir
        if folder and owners.setdefault(folder, name) != name:
            raise OperatorError(
                f'box "{name}": store: dir: {folder!r} is also used by box "{owners[folder]}"'
            )


def _check_purge_log(top: Block, settings: OperatorSettings) -> None:
    """Check that there are enough control machines and that they and their readers share site and key."""
    lines = {(block.kind, block.labels[0]): block.line for block in top.blocks if block.labels}
    first = next(iter(settings.control.values()), None)
    if first is not None and len(settings.control) < MIN_CONTROLS:
        raise OperatorError(
            f'line {lines["control", first.name]}: control "{first.name}": expected '
            f"at least {MIN_CONTROLS} control blocks, got {len(settings.control)}"
        )
    readers = [member for member in settings.fleet.values() if member.purge_log]
    for member in [*settings.control.values(), *readers]:
        kind = "control" if isinstance(member, Control) else "fleet"
        where = f'line {lines[kind, member.name]}: {kind} "{member.name}"'
        if first is None:
            raise OperatorError(f"{where}: purge_log: expected control blocks in this file, got none")
        if (member.site, member.key) != (first.site, first.key):
            raise OperatorError(f'{where}: site, key: expected those of control "{first.name}"')
