"""The configuration of the router on sockets: read once, checked and given defaults."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import NamedTuple

from brookhinge.decision_settings import DecisionSettings, read_decision_settings, read_report_columns
from brookhinge.engine.commands import read_commands
from brookhinge.engine.events import CommandSkipped
from brookhinge.settings_reader import (
    INTEGER,
    LIST,
    NANOSECOND_S,
    NUMBER,
    OBJECT,
    SHOWN_CHARACTERS,
    TEXT,
    SettingsReader,
    StartError,
    check,
)

DEFAULT_MEMORY_MB = 192
DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 32
DEFAULT_CONNECT_TIMEOUT_NS = 1e9
DEFAULT_IDLE_TIMEOUT_NS = 30e9
DEFAULT_MULTIPLEX = 32


class Bounds(NamedTuple):
    """What the machine gives, and the pace of what a router sends from its own memory; 0: it sends none."""

    memory_mb: float
    sockets: int
    flow_bytes_s: float
    link_bytes_s: float


class UpstreamSettings(NamedTuple):
    """How connections to servers are used."""

    connect_timeout_s: float
    idle_timeout_s: float  # after which servers close
    multiplex: int  # attempts on one connection at once


class Site(NamedTuple):
    """One router's place on the network, and what its parts are handed."""

    name: str
    listen: tuple[str, int]
    channel: tuple[str, int]
    seed: int
    known: dict  # an answer of the command channel that was known before the start
    bounds: Bounds
    upstream: UpstreamSettings
    zones: list[str]
    columns: list[bytes]  # of a load report, as servers name them
    decisions: DecisionSettings
    storm: bool  # whether overload is watched and returns are planned


def read_site(environ: Mapping[str, str]) -> Site:
    """Return the router's configuration, from the file that BALANCER_CONFIG names.

    Raises:
        StartError: The file cannot be read or used; the message names the key.
    """
    config = _read_config(environ)
    settings = config.get_object("settings")
    bounds = config.get_object("limits", {})
    known = config.get_object("known")
    _check_known(known)
    seed = _read_seed(config)
    decisions = read_decision_settings(settings)
    limits = settings.get_object("Limits", {})
    if not decisions.request_classes:
        raise StartError("settings.Classes: missing, expected one class at least")
    return Site(
        name=config.get("name", TEXT),
        listen=config.get_address("listen"),
        channel=config.get_address("channel"),
        seed=seed,
        known=known.values,
        bounds=Bounds(
            memory_mb=bounds.get_above("memory_mb", 0, NUMBER, DEFAULT_MEMORY_MB),
            sockets=bounds.get_above("sockets", MIN_DESCRIPTORS - 1, INTEGER, DEFAULT_DESCRIPTORS),
            flow_bytes_s=config.get("flow_bytes_per_s", NUMBER, 0),
            link_bytes_s=config.get("link_bytes_per_s", NUMBER, 0),
        ),
        upstream=UpstreamSettings(
            connect_timeout_s=limits.get_above("ConnectTimeoutNs", 0, NUMBER, DEFAULT_CONNECT_TIMEOUT_NS)
            * NANOSECOND_S,
            idle_timeout_s=limits.get_duration_s("IdleCloseNs", DEFAULT_IDLE_TIMEOUT_NS),
            multiplex=limits.get_above("Multiplex", 0, INTEGER, DEFAULT_MULTIPLEX),
        ),
        zones=settings.get_texts("Zones"),
        columns=[column.encode() for column in read_report_columns(settings)],
        decisions=decisions,
        storm=config.get_flag("storm"),
    )


def _read_config(environ: Mapping[str, str]) -> SettingsReader:
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise StartError("BALANCER_CONFIG: missing, expected the path of the configuration")
    try:
        with open(path, "rb") as file:
            values = json.load(file)
    except OSError as error:
        raise StartError(
            f"BALANCER_CONFIG: expected a file that can be read, got {path!r} ({error.strerror})"
        ) from None
    except ValueError as error:
        raise StartError(f"BALANCER_CONFIG: expected JSON, got {error}") from None
    return SettingsReader(check("BALANCER_CONFIG", values, OBJECT))


def _check_known(known: SettingsReader) -> None:
    """Check that every command that was known before the start can be read."""
    known.get("cursor", INTEGER)
    known.get("cmds", LIST)
    _, commands = read_commands(known.values, 0.0)
    for index, command in enumerate(commands):
        if isinstance(command, CommandSkipped):
            raise StartError(f"known.cmds[{index}]: expected a command, cannot read {command.reason}")


def _read_seed(config: SettingsReader) -> int:
    digits = config.get("seed", TEXT)
    try:
        return int(digits, 16)
    except ValueError:
        raise StartError(f"seed: expected hex digits, got {digits!r:.{SHOWN_CHARACTERS}}") from None
