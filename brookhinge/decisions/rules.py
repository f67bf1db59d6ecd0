"""What a router may do now: send, send again, refuse, close, believe a time stamp. The one place for it.

The decisions ask here before they act; the engine asks here again with its own record of the facts when it
acts, and counts what should not have been (`brookhinge/engine/invariants.py`). Pure functions without I/O or
clock; times are seconds of the caller's steady clock, unless a name says otherwise.
"""

import enum
from typing import NamedTuple

from brookhinge.decisions.settings import DeduplicationScope, Idempotency, RequestClass

NEVER = -1e9  # a time before any other
READY_STATE = "ready"  # the only state of a server that takes new work, as server or as source of a fill
CONNECT_MARGIN_S = 0.1  # an attempt may wait so long for its connection: a key is remembered for that less
DEADLINE_SLACK_S = 0.15  # by how much the deadline passed to a server may exceed what the client has left
# A stamp of an event told just now is believed so far back. Lists and purges may be told later than that:
# then the moment of the telling counts, which is later and so tightens; a clock set back by more cannot
# loosen a rule.
PLAUSIBLE_DELAY_S = 1.0
STAMP_SLACK_S = 1.0  # clocks of two machines may differ by so much without either having been set
FEW_CALLS = 30  # under so many calls a slow start has a wider bound


class Refusal(enum.StrEnum):
    """Why a request got a final response other than 'satisfied'."""

    NO_TIME = "no_time"  # its deadline is too near for an attempt
    ATTEMPTS_USED = "attempts_used"  # as many attempts as the settings allow
    NO_SERVER = "no_server"  # no server is listed, healthy, warm enough and allowed
    CROWDED = "crowded"  # the servers that could take it have enough in flight
    LINK_CROWDED = "link_crowded"  # nor can it be filled: the uplink or its sources are full
    ORIGIN_FAILING = "origin_failing"  # little goes to the origin while what goes there ends badly
    NOT_HELD = "not_held"  # it was only looked for, and is not there
    RETRY_BUDGET = "retry_budget"  # requests have not earned a retry lately
    MAY_HAVE_RUN = "may_have_run"  # a retry could be a second effect
    EARLY = "early"  # a client came back before its time in the retry schedule
    STOPPING = "stopping"  # read after the process began to end, or open at its last moment
    FAULT = "fault"  # an exception of ours, or a check at run time that failed


class Withdrawal(enum.StrEnum):
    """Why no response is owed any more to a request that has none."""

    CANCELLED = "cancelled"  # its client said so
    CLIENT_GONE = "client_gone"  # its connection ended


class HeldBack(enum.StrEnum):
    """Why an attempt was not written when and as it was decided."""

    CLIENT_GONE = "client_gone"  # its client has cancelled it or left
    CLIENT_UNREAD = "client_unread"  # bytes of its client were not read yet: they may be a cancel
    LIST_UNREAD = "list_unread"  # so were bytes of the command channel: they may be a drain or a purge
    STALLED = "stalled"  # the loop stood still since, and not all that lay there has been read
    CHANGED = "changed"  # a drain, a purge or the end of the process came between
    LATE = "late"  # it waited too long, for its connection or for one of these
    NO_TIME = "no_time"  # its time was over by then


# Reasons that pass as soon as what lies in the system has been read.
UNREAD_INPUT = frozenset((HeldBack.CLIENT_UNREAD, HeldBack.LIST_UNREAD, HeldBack.STALLED))


class CloseReason(enum.StrEnum):
    """Why a connection was closed by this process, or that the other side did it."""

    PEER = "peer"  # closed or reset by the other side
    IDLE = "idle"
    NO_CALL = "no_call"  # a client that has never asked
    ROOM = "room"  # others need its descriptor
    SLOW = "slow"  # half a message and not its rest in time
    UNREADABLE = "unreadable"
    BREACH = "breach"  # the client broke the protocol's numbers, ids or bounds
    MEMORY = "memory"  # the bytes held for all clients passed their bound
    UNREAD = "unread"  # its last answers were not read
    FAILED = "failed"  # a write or read failed, or an exception of ours
    STOPPING = "stopping"
    SILENT = "silent"  # a server: nothing was received in time, not even the answer to an ECHO
    NO_CONNECTION = "no_connection"  # a server: the connect failed or took too long
    RETIRED = "retired"  # a server: it takes nothing new and nothing is out on it
    UNSENT = "unsent"  # a server: closing withdraws for sure what may not have been written


# Closes that may end a connection with a query open or unread: its client left, broke the protocol, or the
# process ends.
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
    ERRORED = "errored"  # the server answered with an error of its own
    FULL = "full"  # the server, or the source of its fill, shed it
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection
    BROKEN = "broken"  # the connection ended before the answer
    CANCELLED = "cancelled"
    MOOT = "moot"  # its deadline was over when the server read it
    MISS = "miss"  # not held, and not to be filled
    UNSENT = "unsent"  # it was taken back before it was written


class Ran(NamedTuple):
    """The first attempt of a request that may have run: where, and when it was sent."""

    zone: int
    cell: int
    at: float


# Ends of an attempt that prove that nothing ran.
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
    """Whether a server in that state, as last told, takes new work or may be the source of a fill."""
    return state == READY_STATE


def may_repeat(request_class: RequestClass, ran: Ran | None, zone: int, cell: int, now: float) -> bool:
    """Whether a request may be sent to a server at that zone and cell.

    `ran` is its first attempt that may have run, or None.
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
    """Whether the final response may be a rejection, which invites the client to ask again."""
    if ran is None or request_class.idempotency is Idempotency.REPEATABLE:
        return True
    is_keyed = request_class.idempotency is Idempotency.KEYED
    return is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL


def may_close(reason: CloseReason, has_open_query: bool, has_unread_call: bool) -> bool:
    """Whether a client's connection may be closed now."""
    return reason in FORCED_CLOSES or not (has_open_query or has_unread_call)


def may_pass_deadline(patience_s: float, left_s: float) -> bool:
    """Whether a server may be told that the router waits so long, of what its client has left."""
    return patience_s <= left_s + DEADLINE_SLACK_S


def slow_start_bound(calls: float) -> float:
    """Return the calls of mean work that a server bears in one window of its slow start.

    `calls` is what the settings allow; beside it stands what chance may add.
    """
    root = max(0.0, calls) ** 0.5
    return calls + 3.0 * root + 3.0 if calls < FEW_CALLS else calls + 2.0 * root + 2.0


def event_time(now: float, stamped: float) -> float:
    """Return when an event took place that was told just now, by the stamp of its sender's wall clock.

    A stamp of the future, or of longer ago than events are told late, is that of a clock that was set: now
    is taken, which tightens every rule.
    """
    return stamped if now - PLAUSIBLE_DELAY_S <= stamped <= now else now


def known_event_time(now: float, stamped: float, newest: float) -> float:
    """Return when an event took place that was known at the start, by its sender's stamp.

    The newest one of its kind cannot be later than now; by how much earlier it was a clock that is ahead
    cannot tell, so all count from it. That tightens every rule.
    """
    return max(min(stamped, now), now - (newest - stamped))


def stamp_is_plausible(now: float, stamped: float) -> bool:
    """Whether a copy's age can be told by its stamp: one of the future would make it younger than it is."""
    return stamped <= now + STAMP_SLACK_S
