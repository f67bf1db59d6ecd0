"""Logging for all programs except the platform's router: structlog and orjson, one JSON line per event.

The lines have the same form as the router's. The router has its own small log writer (engine/log.py) because
structlog would use 4.2 MB of its 32 MB of memory.
"""

import logging
import sys
import time
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson
import structlog

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
DEFAULT_LEVEL = "info"  # omitted from log lines


def add_header(_logger: object, level: str, line: dict[str, Any]) -> dict[str, Any]:
    """Put the time, the program and the event first, then the level unless it is the default."""
    head = {"at": round(time.time(), 3), "router": line.pop("router", ""), "event": line.pop("event")}
    if level != DEFAULT_LEVEL:
        head["level"] = level
    return {**head, **line}


def render(line: dict[str, Any], default: Callable[[Any], Any] | None = None) -> bytes:
    """Render a line as JSON; a value without a JSON form is written as its repr."""
    return orjson.dumps(line, default=default or repr)


def make_logger(name: str, level: str = DEFAULT_LEVEL, sink: BinaryIO | None = None) -> structlog.BoundLogger:
    """Return a logger of one process, to be called as `log.info("event", key=value)`.

    Args:
        name: Name of the program, the value of `router` in each line.
        level: Lowest level that is logged.
        sink: Binary stream for the lines; None is standard output.
    """
    return structlog.wrap_logger(
        structlog.BytesLogger(sink or sys.stdout.buffer),
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        processors=[
            structlog.processors.format_exc_info,
            add_header,
            structlog.processors.JSONRenderer(serializer=render),
        ],
        cache_logger_on_first_use=True,
    ).bind(router=name)
