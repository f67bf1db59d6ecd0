"""Decodes commands of the command channel to events. No I/O.

The names of the wire format (`cmds`, `nodes`, `drop` and the fields of a host) are used only here.
"""

import json
from collections.abc import Mapping

from brookhinge.engine.endpoints import ListedEndpoint
from brookhinge.engine.errors import EngineError
from brookhinge.engine.events import CommandSkipped, EndpointsListed, ObjectsPurged

Command = EndpointsListed | ObjectsPurged | CommandSkipped

HEALTH_STATES = {"up": "ready", "draining": "draining", "removed": "gone"}
MAX_SHOWN_CHARS = 120  # length to which an undecodable command is cut in the log


class CommandFormatError(EngineError, ValueError):
    """A response of the command channel is not a list of commands."""


def read_commands(body: str | bytes | Mapping, start: float) -> tuple[int, list[Command]]:
    """Decode a response of the command channel.

    Args:
        body: JSON text, or the decoded JSON object.
        start: Unix time at which the router's clock starts; times in commands are converted to seconds since
            then.

    Returns:
        The cursor for the next poll, and the commands in order.

    Raises:
        CommandFormatError: The body is not a list of commands. A single command that cannot be decoded does
            not raise, but is returned as a `CommandSkipped`.
    """
    try:
        response = body if isinstance(body, dict) else json.loads(body)
        cursor = response["cursor"]
        rows = response["cmds"]
        if not isinstance(rows, list) or not is_integer(cursor):
            raise ValueError
    except (ValueError, KeyError, TypeError):
        raise CommandFormatError("expected a JSON object with integer `cursor` and list `cmds`") from None
    return cursor, [read_command(row, start) for row in rows]


def is_integer(value: object) -> bool:
    """Return whether a JSON value is an integer; a Boolean is not."""
    return isinstance(value, int) and not isinstance(value, bool)


def read_command(row: object, start: float) -> Command:
    """Decode one command; return a `CommandSkipped` if that fails."""
    number = row.get("cursor") if isinstance(row, dict) else None
    if not is_integer(number):
        return CommandSkipped(0, f"no cursor: {row!r:.{MAX_SHOWN_CHARS}}")
    try:
        if "nodes" in row:
            return read_endpoints(number, row["nodes"], start)
        return read_purge(number, row["drop"], start)
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        return CommandSkipped(number, f"{type(error).__name__} {error}: {row!r:.{MAX_SHOWN_CHARS}}")


def read_endpoints(number: int, nodes: Mapping, start: float) -> EndpointsListed:
    """Decode a complete endpoint list or a list of changes."""
    is_complete = bool(nodes.get("whole"))
    return EndpointsListed(number, is_complete, [read_endpoint(host, start) for host in nodes["hosts"]])


def read_endpoint(host: Mapping, start: float) -> ListedEndpoint:
    """Decode one server of an endpoint list."""
    name, _, port = host["dial"].rpartition(":")
    born_ms = float(host.get("born_ms") or 0)
    return ListedEndpoint(
        server=host["host"],
        address=(name, int(port)),
        zone=host.get("site", ""),
        kind=host.get("class", ""),
        cell=int(host.get("block", 0)),
        health=HEALTH_STATES[host["health"]],
        weight=float(host.get("share", 0.0)),
        started_at=born_ms / 1000.0 - start if born_ms else None,
    )


def read_purge(number: int, drop: Mapping, start: float) -> ObjectsPurged:
    """Decode a purge of an object or of a purge group."""
    return ObjectsPurged(
        number=number,
        purge_group=int(drop.get("family", 0)),
        purged_at=float(drop["when"]) / 1000.0 - start,
        object_key=str(drop.get("id", "")),
    )
