"""The commands of the command channel, as events of the reducer. No I/O."""

import json

STATES = {"up": "ready", "draining": "draining", "removed": "gone"}


class NoCommands(ValueError):
    """A text that is no list of commands."""


def read_commands(body, start):
    """(cursor, commands) of an answer, each an event of the reducer: (method, values), the number first.
    Their Unix times become seconds since `start`."""
    try:
        told = body if isinstance(body, dict) else json.loads(body)
        cursor, rows = told["cursor"], told["cmds"]
        if not isinstance(rows, list) or not whole(cursor):
            raise ValueError
    except (ValueError, KeyError, TypeError):
        raise NoCommands("expected a JSON object with `cursor` and `cmds`") from None
    return cursor, [read_command(row, start) for row in rows]


def whole(value):
    return isinstance(value, int) and not isinstance(value, bool)


def read_command(row, start):
    number = row.get("cursor") if isinstance(row, dict) else None
    if not whole(number):
        return "skipped", (0, f"no cursor: {row!r:.120}")
    try:
        if "nodes" in row:
            nodes = row["nodes"]
            return "listed", (
                number,
                bool(nodes.get("whole")),
                [read_host(host, start) for host in nodes["hosts"]],
            )
        drop = row["drop"]
        return "purged", (
            number,
            int(drop.get("family", 0)),
            float(drop["when"]) / 1000.0 - start,
            str(drop.get("id", "")),
        )
    except (KeyError, ValueError, TypeError, AttributeError) as fault:
        return "skipped", (number, f"{type(fault).__name__} {fault}: {row!r:.120}")


def read_host(host, start):
    """(id, address, zone, kind, cell, health, weight, a late start or None)"""
    place, _, port = host["dial"].rpartition(":")
    born = float(host.get("born_ms") or 0)
    return (
        host["host"],
        (place, int(port)),
        host.get("site", ""),
        host.get("class", ""),
        int(host.get("block", 0)),
        STATES[host["health"]],
        float(host.get("share", 0.0)),
        born / 1000.0 - start if born else None,
    )
