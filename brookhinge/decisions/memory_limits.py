"""How the router divides its memory: how much each kind of data may take, and what is given up first.

What the program itself takes is set aside, and the rest is divided. No share depends on what clients, servers
or the command channel send, so that the process stays within `limits.memory_mb` whatever they do.
"""

from typing import NamedTuple

BYTES_PER_MB = 1_000_000
PROGRAM_MB = 22.0  # the program and its libraries, at ready
MIN_AVAILABLE_MB = 6.0  # divided even if the limit is lower

# Shares of the memory that is available. The rest covers bytes in use for a moment and fragmentation.
CALL_SHARE = 0.08
REQUEST_SHARE = 0.15
REPLY_SHARE = 0.1
ANSWER_SHARE = 0.1
COPY_SHARE = 0.2
OBJECT_SHARE = 0.2
ID_SHARE = 0.04

# Shares of the whole limit that copies and objects take at most.
MAX_COPY_SHARE = 0.12
MAX_OBJECTS_PER_MB = 150

SHARED_PART = 0.5  # of the memory for open requests, for clients that have some already

OBJECT_BYTES = 800  # the state of one object with its place in the indexes
REQUEST_BYTES = 4096  # an open request without its body: records of the engine, the decisions and connections
REQUEST_ID_BYTES = 160  # the id of an ended request, in a map
BODY_COPIES = 2  # of the body of an open request: the one kept for retries, and the one being written


class MemoryLimits(NamedTuple):
    """The most bytes that each kind of data may take."""

    call_bytes: float  # received calls that are incomplete or wait to be processed
    request_bytes: float  # open requests and their bodies
    reply_bytes: float  # replies that clients do not read
    answer_bytes: float  # servers' answers that are incomplete or not passed on yet


def memory_limits(memory_mb: float) -> MemoryLimits:
    """Return the limits for a router with `memory_mb` MB of memory."""
    available_bytes = _available_mb(memory_mb) * BYTES_PER_MB
    return MemoryLimits(
        call_bytes=CALL_SHARE * available_bytes,
        request_bytes=REQUEST_SHARE * available_bytes,
        reply_bytes=REPLY_SHARE * available_bytes,
        answer_bytes=ANSWER_SHARE * available_bytes,
    )


def max_copy_bytes(memory_mb: float) -> float:
    """Return the bytes that copies in the router's own memory may take."""
    return BYTES_PER_MB * min(MAX_COPY_SHARE * memory_mb, COPY_SHARE * _available_mb(memory_mb))


def max_objects(memory_mb: float) -> int:
    """Return the number of objects whose state is kept."""
    object_mb = OBJECT_SHARE * _available_mb(memory_mb)
    return int(min(MAX_OBJECTS_PER_MB * memory_mb, object_mb * BYTES_PER_MB / OBJECT_BYTES))


def max_remembered_ids(memory_mb: float) -> int:
    """Return the number of ended requests whose ids are remembered because they may have been executed."""
    return int(ID_SHARE * _available_mb(memory_mb) * BYTES_PER_MB / REQUEST_ID_BYTES)


def request_bytes(body_bytes: int) -> int:
    """Return what an open request takes, by the size of its body."""
    return REQUEST_BYTES + BODY_COPIES * body_bytes


def may_open_request(held_bytes: int, size: int, limit_bytes: float, client_has_open: bool) -> bool:
    """Return whether a client may open a request of `size` bytes while open requests hold `held_bytes`.

    Half of the memory is kept for clients that have no open request. One request may always be open.
    """
    if not held_bytes:
        return True
    share = SHARED_PART if client_has_open else 1.0
    return held_bytes + size <= share * limit_bytes


def drop_priority(held_bytes: int, stalled_s: float) -> float:
    """Return the priority with which bytes held for a client are given up when a limit is exceeded.

    Much that has not moved for long goes first, so that a client that makes progress keeps its place beside
    clients that do not. `stalled_s` is the time since the client last sent or read some of these bytes.
    """
    return held_bytes * (MIN_STALL_S + stalled_s)


MIN_STALL_S = 0.01  # of clients that make progress the one with the most bytes goes first


def _available_mb(memory_mb: float) -> float:
    return max(MIN_AVAILABLE_MB, memory_mb - PROGRAM_MB)
