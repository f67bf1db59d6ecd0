"""Commands of the command channel, decoded to events. No I/O.

The one place that knows the words of the channel: `cmds`, `nodes`, `drop` and the fields of a host.
"""

import json
from collections.abc import Mapping

from brookhinge.engine.endpoints import ListedEndpoint
from brookhinge.engine.errors import EngineError
from brookhinge.engine.events import CommandSkipped, EndpointsListed, ObjectsPurged

Command = EndpointsListed | ObjectsPurged | CommandSkipped

HEALTH_OF = {"up": "ready", "draining": "draining", "removed": "gone"}
SHOWN_CHARS = 120  # of a command that cannot be read


class CommandFormatError(EngineError, ValueError):
    """A text that is no list of commands."""


def read_commands(body: str | bytes | Mapping, start: float) -> tuple[int, list[Command]]:
    """Decode an answer of the command channel.

    Args:
        body: JSON text, or the object that it stands for.
        start: Unix time at which the router's clock begins; times of commands become seconds since then.

    Returns:
        The cursor to poll with next, and the commands in their order.

    Raises:
        CommandFormatError: The body is no list of commands. One command that cannot be read is no error but a
            `CommandSkipped`.
    """
    try:
        answer = body if isinstance(body, dict) else json.loads(body)
        cursor = answer["cursor"]
        rows = answer["cmds"]
        if not isinstance(rows, list) or not is_whole_number(cursor):
            raise ValueError
    except (ValueError, KeyError, TypeError):
        raise CommandFormatError("expected a JSON object with `cursor` and `cmds`") from None
    return cursor, [read_command(row, start) for row in rows]


def is_whole_number(value: object) -> bool:
    """Whether a JSON value is an integer; `true` is none."""
    return isinstance(value, int) and not isinstance(value, bool)


def read_command(row: object, start: float) -> Command:
    """Decode one command; one that cannot be read becomes a `CommandSkipped`."""
    number = row.get("cursor") if isinstance(row, dict) else None
    if not is_whole_number(number):
        return CommandSkipped(0, f"no cursor: {row!r:.{SHOWN_CHARS}}")
    try:
        if "nodes" in row:
            return read_endpoints(number, row["nodes"], start)
        return read_purge(number, row["drop"], start)
    except (KeyError, ValueError, TypeError, AttributeError) as fault:
        return CommandSkipped(number, f"{type(fault).__name__} {fault}: {row!r:.{SHOWN_CHARS}}")


def read_endpoints(number: int, nodes: Mapping, start: float) -> EndpointsListed:
    """Decode a list of servers, or the changes of one."""
    is_complete = bool(nodes.get("whole"))
    return EndpointsListed(number, is_complete, [read_endpoint(host, start) for host in nodes["hosts"]])


def read_endpoint(host: Mapping, start: float) -> ListedEndpoint:
    """Decode one server."""
    name, _, port = host["dial"].rpartition(":")
    born_ms = float(host.get("born_ms") or 0)
    return ListedEndpoint(
        server=host["host"],
        address=(name, int(port)),
        zone=host.get("site", ""),
        kind=host.get("class", ""),
        cell=int(host.get("block", 0)),
        health=HEALTH_OF[host["health"]],
        weight=float(host.get("share", 0.0)),
        started_at=born_ms / 1000.0 - start if born_ms else None,
    )


def read_purge(number: int, drop: Mapping, start: float) -> ObjectsPurged:
    """Decode the purge of an object or of a group of objects."""
    return ObjectsPurged(
        number=number,
        purge_group=int(drop.get("family", 0)),
        purged_at=float(drop["when"]) / 1000.0 - start,
        object_key=str(drop.get("id", "")),
    )
