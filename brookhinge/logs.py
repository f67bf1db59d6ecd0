"""Logs of all programs but the platform's router: structlog rendered by orjson, one JSON line an event.

The lines have the form that the router writes. The router keeps its own small writer (engine/log.py):
structlog would take 4.2 MB of its 32.
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
USUAL_LEVEL = "info"  # named in no line


def stamp(_logger: object, level: str, line: dict[str, Any]) -> dict[str, Any]:
    """Put time, program and event first, and the level only where it is not the usual one."""
    head = {"at": round(time.time(), 3), "router": line.pop("router", ""), "event": line.pop("event")}
    if level != USUAL_LEVEL:
        head["level"] = level
    return {**head, **line}


def render(line: dict[str, Any], default: Callable[[Any], Any] | None = None) -> bytes:
    """Render a line as JSON; a value that has no JSON is shown by its repr."""
    return orjson.dumps(line, default=default or repr)


def make(name: str, level: str = USUAL_LEVEL, sink: BinaryIO | None = None) -> structlog.BoundLogger:
    """Return a logger for one process, called as log.info("event", key=value)."""
    return structlog.wrap_logger(
        structlog.BytesLogger(sink or sys.stdout.buffer),
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        processors=[
            structlog.processors.format_exc_info,
            stamp,
            structlog.processors.JSONRenderer(serializer=render),
        ],
        cache_logger_on_first_use=True,
    ).bind(router=name)
