"""Protocol rules for routing: when a request may be sent, retried or rejected, and a connection closed.

The decisions check these rules before they act. The engine checks them again, against its own record of the
facts, when it carries out a decision, and counts violations (`brookhinge/engine/invariants.py`). All
functions are pure: no I/O and no clock. Times are seconds on the caller's monotonic clock unless a name says
otherwise.
"""

import enum
from typing import NamedTuple

from brookhinge.decisions.settings import DeduplicationScope, Idempotency, RequestClass

NEVER = -1e9  # earlier than any real time
READY_STATE = "ready"  # the only state in which a server accepts new requests or acts as a fill source
# An attempt may wait this long for its connection, so an idempotency key is relied on for this much less than
# the deduplication window.
CONNECT_MARGIN_S = 0.1
DEADLINE_SLACK_S = 0.15  # the deadline passed to a server may exceed the client's remaining time by this much
# How far in the past the timestamp of a newly received event may lie. Endpoint lists and purges may arrive
# later than that; the time of receipt is then used instead. It is later than the event and so makes every
# rule stricter. A wall clock set back by more than this cannot relax a rule.
PLAUSIBLE_DELAY_S = 1.0
# An event of the command channel counts as known this long after the channel has it, received or not.
TOLD_WITHIN_S = 7.0
STAMP_SLACK_S = 1.0  # allowed clock difference between two machines whose clocks were not set
SMALL_REQUEST_COUNT = 30  # below this, the slow-start bound allows for more random variation


class Refusal(enum.StrEnum):
    """Why a request got a final response other than 'satisfied'."""

    NO_TIME = "no_time"  # too little time is left before its deadline for an attempt
    ATTEMPTS_USED = "attempts_used"  # the maximum number of attempts has been made
    NO_SERVER = "no_server"  # no server is listed, healthy, warm enough and allowed
    CROWDED = "crowded"  # the eligible servers have no capacity left
    LINK_CROWDED = "link_crowded"  # the lookup missed, and the uplink or its fill sources are at their limits
    ORIGIN_FAILING = "origin_failing"  # the origin's circuit breaker did not admit the fill
    NOT_HELD = "not_held"  # a cache lookup without a fill missed
    RETRY_BUDGET = "retry_budget"  # recent requests have not earned another retry
    MAY_HAVE_RUN = "may_have_run"  # a retry could execute the request twice
    EARLY = "early"  # the client retried before its reserved time in the retry schedule
    MEMORY = "memory"  # too much is held already for clients' calls or open requests
    STOPPING = "stopping"  # received after shutdown began, or still open when the process exits
    FAULT = "fault"  # an exception in the router, or a failed runtime check


class Withdrawal(enum.StrEnum):
    """Why a request without a final response no longer needs one."""

    CANCELLED = "cancelled"  # the client cancelled it
    CLIENT_GONE = "client_gone"  # the client's connection ended


class HeldBack(enum.StrEnum):
    """Why an attempt was not written at the time, or in the form, in which it was decided."""

    CLIENT_GONE = "client_gone"  # the client has cancelled the request or disconnected
    CLIENT_UNREAD = "client_unread"  # unread bytes from the client may contain a cancel
    LIST_UNREAD = "list_unread"  # unread bytes on the command channel may contain a drain or a purge
    STALLED = "stalled"  # the event loop has stalled since, and not all pending input has been read
    CHANGED = "changed"  # a drain, a purge or shutdown happened in the meantime
    LATE = "late"  # it waited too long for its connection or for one of the conditions above
    NO_TIME = "no_time"  # the deadline was reached first


# Reasons that cease to apply once all pending input has been read.
UNREAD_INPUT = frozenset((HeldBack.CLIENT_UNREAD, HeldBack.LIST_UNREAD, HeldBack.STALLED))


class CloseReason(enum.StrEnum):
    """Why a connection was closed, by this process or by the peer."""

    PEER = "peer"  # closed or reset by the peer
    IDLE = "idle"
    NO_CALL = "no_call"  # a client that has never sent a call
    ROOM = "room"  # its file descriptor is needed for another connection
    SLOW = "slow"  # a message was started but not completed in time
    UNREADABLE = "unreadable"
    BREACH = "breach"  # the client violated the protocol's sequence numbers, ids or limits
    MEMORY = "memory"  # a client that does not read, while unread replies exceeded their limit
    UNREAD = "unread"  # the client did not read its last responses
    FAILED = "failed"  # a read or write failed, or the router raised an exception
    STOPPING = "stopping"
    SILENT = "silent"  # a server: nothing was received in time, not even a reply to an ECHO
    NO_CONNECTION = "no_connection"  # a server: the connect failed or timed out
    RETIRED = "retired"  # a server: it accepts no new requests and none is outstanding
    UNSENT = "unsent"  # a server: closing guarantees that an attempt not yet written is never sent


# Reasons that may close a client connection with open requests or unread calls: the client disconnected or
# broke the protocol, or the process is shutting down.
FORCED_CLOSES = frozenset(
    (
        CloseReason.PEER,
        CloseReason.BREACH,
        CloseReason.MEMORY,
        CloseReason.UNREAD,
        CloseReason.STOPPING,
    )
)


class AttemptResult(enum.StrEnum):
    """How an attempt ended."""

    SATISFIED = "satisfied"
    ERRORED = "errored"  # the server responded with an error
    FULL = "full"  # the server, or the source of its fill, shed the request
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection could be made
    BROKEN = "broken"  # the connection ended before the response
    CANCELLED = "cancelled"
    MOOT = "moot"  # the deadline had passed when the server read the request
    MISS = "miss"  # the object was not cached and the server was not to fill it
    UNSENT = "unsent"  # withdrawn before it was written


class Ran(NamedTuple):
    """Where and when the first attempt of a request that may have been executed was sent."""

    zone: int
    cell: int
    at: float


# Results that prove that the server did not execute the request.
NEVER_RAN = frozenset(
    (
        AttemptResult.FULL,
        AttemptResult.UNREACHABLE,
        AttemptResult.MOOT,
        AttemptResult.MISS,
        AttemptResult.UNSENT,
    )
)


def may_send_to(state: str) -> bool:
    """Return whether a server last listed in `state` accepts new requests and may act as a fill source."""
    return state == READY_STATE


def may_repeat(request_class: RequestClass, ran: Ran | None, zone: int, cell: int, now: float) -> bool:
    """Return whether a request may be sent to a server in `zone` and `cell` without executing it twice.

    `ran` is its first attempt that may have been executed, or None.
    """
    if ran is None or request_class.idempotency is Idempotency.REPEATABLE:
        return True
    if request_class.idempotency is not Idempotency.KEYED:
        return False
    scope = request_class.deduplication_scope
    is_same_group = zone == ran.zone and (scope is DeduplicationScope.ZONE or cell == ran.cell)
    is_remembered = now - ran.at < request_class.deduplication_window_s - CONNECT_MARGIN_S
    return (is_same_group or scope is DeduplicationScope.ALL) and is_remembered


def may_invite_retry(request_class: RequestClass, ran: Ran | None) -> bool:
    """Return whether the final response may be a rejection, after which the client may retry.

    `ran` is the first attempt that may have been executed, or None.
    """
    if ran is None or request_class.idempotency is Idempotency.REPEATABLE:
        return True
    is_keyed = request_class.idempotency is Idempotency.KEYED
    return is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL


def may_close(reason: CloseReason, has_open_request: bool, has_unread_call: bool) -> bool:
    """Return whether a client's connection may be closed now."""
    return reason in FORCED_CLOSES or not (has_open_request or has_unread_call)


def may_pass_deadline(timeout_s: float, time_left_s: float) -> bool:
    """Return whether a server may be given `timeout_s` when the client's deadline is `time_left_s` away."""
    return timeout_s <= time_left_s + DEADLINE_SLACK_S


def slow_start_bound(requests: float) -> float:
    """Return the most requests of mean size that a server may get in one window of its slow start.

    `requests` is the number that the settings allow; a margin for random variation is added to it.
    """
    root = max(0.0, requests) ** 0.5
    return requests + 3.0 * root + 3.0 if requests < SMALL_REQUEST_COUNT else requests + 2.0 * root + 2.0


def event_time(now: float, stamped: float) -> float:
    """Return when an event that was received at `now` took place.

    `stamped` is the sender's wall-clock timestamp, converted to the caller's clock. A timestamp in the
    future, or older than PLAUSIBLE_DELAY_S, means that a clock was set; `now` is returned for it, which makes
    every rule stricter.
    """
    return stamped if now - PLAUSIBLE_DELAY_S <= stamped <= now else now


def known_event_time(now: float, stamped: float, newest: float) -> float:
    """Return when an event that was already known at the start took place, from its sender's timestamp.

    `newest` is the latest timestamp of its kind. That event cannot lie in the future, but if the sender's
    clock is ahead nothing shows how long ago it was, so the ages of all events are counted from it. This
    makes every rule stricter.
    """
    return max(min(stamped, now), now - (newest - stamped))


def stamp_is_plausible(now: float, stamped: float) -> bool:
    """Return whether a timestamp may be used for a copy's age: one in the future would make it too young."""
    return stamped <= now + STAMP_SLACK_S
