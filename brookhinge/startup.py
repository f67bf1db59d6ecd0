"""Reads and validates the configuration of the router on sockets, and applies defaults."""

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
    STRING,
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
    """Resource limits of the machine, and transfer rates of answers from the router's own memory.

    If `link_bytes_s` is 0, no request is answered from memory.
    """

    memory_mb: float
    sockets: int  # descriptors that the process may use
    flow_bytes_s: float  # rate of a single transfer
    link_bytes_s: float  # rate of the link, shared by all transfers


class UpstreamSettings(NamedTuple):
    """Timeouts and limits of connections to servers."""

    connect_timeout_s: float
    idle_timeout_s: float  # servers close a connection that is idle for this long
    multiplex: int  # maximum number of concurrent attempts on one connection


class Site(NamedTuple):
    """Configuration of one router: its addresses, and the settings of its components."""

    name: str
    listen: tuple[str, int]
    command_channel: tuple[str, int]
    seed: int
    initial_commands: dict  # command channel answer that was known before startup
    bounds: Bounds
    upstream: UpstreamSettings
    zones: list[str]
    load_columns: list[bytes]  # names of the values in a server's load report
    decisions: DecisionSettings
    detects_overload: bool  # whether overload is detected and client retries are scheduled


def read_site(environ: Mapping[str, str]) -> Site:
    """Read the router's configuration from the file named in BALANCER_CONFIG.

    Raises:
        StartError: The file cannot be read or has an invalid value; the message names the key.
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
        raise StartError("settings.Classes: missing, expected at least one class")
    return Site(
        name=config.get("name", STRING),
        listen=config.get_address("listen"),
        command_channel=config.get_address("channel"),
        seed=seed,
        initial_commands=known.values,
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
        zones=settings.get_strings("Zones"),
        load_columns=[column.encode() for column in read_report_columns(settings)],
        decisions=decisions,
        detects_overload=config.get_flag("storm"),
    )


def _read_config(environ: Mapping[str, str]) -> SettingsReader:
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise StartError("BALANCER_CONFIG: missing, expected the path of the configuration file")
    try:
        with open(path, "rb") as file:
            values = json.load(file)
    except OSError as error:
        raise StartError(
            f"BALANCER_CONFIG: expected a readable file, got {path!r} ({error.strerror})"
        ) from None
    except ValueError as error:
        raise StartError(f"BALANCER_CONFIG: expected JSON, got {error}") from None
    return SettingsReader(check("BALANCER_CONFIG", values, OBJECT))


def _check_known(known: SettingsReader) -> None:
    """Check that every command known before startup can be parsed."""
    known.get("cursor", INTEGER)
    known.get("cmds", LIST)
    _, commands = read_commands(known.values, 0.0)
    for index, command in enumerate(commands):
        if isinstance(command, CommandSkipped):
            raise StartError(f"known.cmds[{index}]: expected a valid command, got {command.reason}")


def _read_seed(config: SettingsReader) -> int:
    digits = config.get("seed", STRING)
    try:
        return int(digits, 16)
    except ValueError:
        raise StartError(f"seed: expected hexadecimal digits, got {digits!r:.{SHOWN_CHARACTERS}}") from None
