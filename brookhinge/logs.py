"""Logs of all programs but the platform's router: structlog rendered by orjson, one JSON line an event in the form
that the router writes. The router keeps its own small writer (engine/log.py): structlog would take 4.2 MB of its 32."""

import logging
import sys
import time

import orjson
import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def stamp(_, level, line):
    """The order and names of the router's lines; the level only where it says more than usual."""
    head = {"at": round(time.time(), 3), "router": line.pop("router", ""), "event": line.pop("event")}
    if level != "info":
        head["level"] = level
    return {**head, **line}


def render(line, default=None):
    return orjson.dumps(line, default=default or repr)


def make(name, level="info", sink=None):
    """A logger for one process: log.info("event", key=value)."""
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
