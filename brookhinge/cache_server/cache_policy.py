"""What a cache server does with a request: serve, revalidate, fill, join a fill, or reject. No I/O, no clock.

The platform's rules hold at a cache server as well: a fill source that drains or has gone is asked for
nothing new, a copy from before a known purge is not served (the store sees to it), and a copy that needs
revalidation is served only when its source has called it unchanged.
"""

from enum import Enum
from typing import NamedTuple

from brookhinge.cache_server import protocol
from brookhinge.cache_server.protocol import Request
from brookhinge.decisions.rules import AttemptResult
from brookhinge.net.cachewire import NOTES

SERVER_READY = "ready"  # health of a server that may be asked
_NOTES_OF_FILLS = frozenset({NOTES[b"filled"], NOTES[b"via_origin"]})  # of a source that filled in its turn


class Action(Enum):
    """What is done with a request."""

    SERVE = "serve"
    SERVE_AND_REVALIDATE = "serve, revalidate behind the answer"
    FILL = "fill"
    JOIN_FILL = "join a fill"
    ABSENT = "answer absent"
    FULL = "answer full"


class Decision(NamedTuple):
    """An action, and the note that its answer bears."""

    action: Action
    note: str


_SERVE_HIT = Decision(Action.SERVE, "hit")
_SERVE_STALE = Decision(Action.SERVE, "stale")
_SERVE_STALE_AND_REVALIDATE = Decision(Action.SERVE_AND_REVALIDATE, "stale")
_FILL = Decision(Action.FILL, "")
_JOIN_FILL = Decision(Action.JOIN_FILL, "joined")
_ABSENT = Decision(Action.ABSENT, "")
_SOURCE_NOT_READY = Decision(Action.FULL, "src_refused")
_NO_FILL_LEFT = Decision(Action.FULL, "no_slot")


class Freshness(NamedTuple):
    """How long copies of a request class are fresh, in seconds."""

    fresh_s: float = 0.0  # 0: until they are purged
    stale_s: float = 0.0  # how much older they may be


FRESH_UNTIL_PURGED = Freshness()


class CachedCopy(NamedTuple):
    """What matters of a stored copy."""

    age_s: float
    needs_revalidation: bool


class FillState(NamedTuple):
    """The source that a request names, and the fills under way."""

    source_is_ready: bool
    can_join: bool  # a fill of this part that would do is under way
    running: int
    limit: int


class FillAnswer(NamedTuple):
    """Word and note of the answer to a request that a fill served."""

    word: bytes
    note: str


def decide(request: Request, freshness: Freshness, copy: CachedCopy | None, fills: FillState) -> Decision:
    """Decide on a request."""
    if copy is not None and not copy.needs_revalidation:
        max_age_s = request.max_age_s or freshness.fresh_s or float("inf")
        if copy.age_s <= max_age_s:
            return _serve(request, freshness, copy, fills)
    if not request.source:
        return _ABSENT
    if request.joins_fill and fills.can_join:
        return _JOIN_FILL
    if not fills.source_is_ready:
        return _SOURCE_NOT_READY
    if fills.running >= fills.limit:
        return _NO_FILL_LEFT
    return _FILL


def _serve(request: Request, freshness: Freshness, copy: CachedCopy, fills: FillState) -> Decision:
    if not freshness.fresh_s or copy.age_s <= freshness.fresh_s:
        return _SERVE_HIT
    # a revalidation must not cost anybody a fill: it takes a place only while half of them are free
    has_spare_fills = 2 * fills.running < fills.limit
    if request.revalidate and fills.source_is_ready and has_spare_fills:
        return _SERVE_STALE_AND_REVALIDATE
    return _SERVE_STALE


def max_fill_age_s(
    request: Request,
    freshness: Freshness,
    since_purge_s: float | None,
    since_current_s: float | None,
    needs_revalidation: bool,
) -> float:
    """The oldest copy that a fill may bring, in seconds; 0 is any.

    Args:
        request: The request.
        freshness: Of its class.
        since_purge_s: Since the last purge known of the object; the copy must be younger.
        since_current_s: Since when no purge can have been missed; bounds what replaces a copy that needs
            revalidation.
        needs_revalidation: Whether the stored copy does.
    """
    bounds = [request.max_age_s or freshness.fresh_s]
    if since_purge_s is not None:
        bounds.append(since_purge_s)
    if needs_revalidation and since_current_s is not None:
        bounds.append(since_current_s)
    return min((bound for bound in bounds if bound), default=0.0)


def answer_to_fill(
    result: AttemptResult, source_note: int, source_is_origin: bool, unchanged: bool
) -> FillAnswer:
    """Answer a request whose fill has ended.

    Args:
        result: Of the fill.
        source_note: The note of the source's answer, by number.
        source_is_origin: Whether the source is the origin.
        unchanged: The source called the stored copy unchanged, so no bytes came.
    """
    if result == AttemptResult.SATISFIED and unchanged:
        return FillAnswer(protocol.DATA, "hit")
    if result == AttemptResult.SATISFIED:
        via_origin = source_is_origin or source_note in _NOTES_OF_FILLS
        return FillAnswer(protocol.DATA, "via_origin" if via_origin else "filled")
    if result == AttemptResult.MISS:
        return FillAnswer(protocol.ABSENT, "src_lacks")
    if result in (AttemptResult.FULL, AttemptResult.UNREACHABLE):
        return FillAnswer(protocol.FULL, "src_refused")
    return FillAnswer(protocol.FAILED, "origin_failed" if source_is_origin else "src_broke")
