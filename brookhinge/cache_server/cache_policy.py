"""Decides what a cache server does with a request: serve, revalidate, fill, join a fill or reject.

The module uses no I/O and no clock. The platform's rules also apply at a cache server: a fill source that is
draining or gone gets no new requests, a copy older than a known purge is not served (the store ensures this),
and a copy that needs revalidation is served only after its source has confirmed that it is unchanged. While
the command channel is silent, a copy that a purge may have hit unheard needs revalidation.
"""

from enum import Enum
from typing import NamedTuple

from brookhinge.cache_server import protocol
from brookhinge.cache_server.protocol import Request
from brookhinge.decisions.rules import AttemptResult
from brookhinge.net.cachewire import NOTES

SERVER_READY = "ready"  # health of a server that accepts requests
# notes of a source that had to fill from another server itself
_FILL_NOTES = frozenset({NOTES[b"filled"], NOTES[b"via_origin"]})
PURGE_DELAY_S = 0.5  # a purge reaches the command channel at most this long after it was made
_MIN_AGE_BOUND_S = 0.001  # 0 would mean any age


class Action(Enum):
    """The possible actions on a request."""

    SERVE = "serve"
    SERVE_AND_REVALIDATE = "serve, revalidate in the background"
    FILL = "fill"
    JOIN_FILL = "join a fill"
    ABSENT = "answer absent"
    FULL = "answer full"


class Decision(NamedTuple):
    """An action and the note in its answer; the note is empty if the answer has none yet."""

    action: Action
    note: str


_SERVE_HIT = Decision(Action.SERVE, "hit")
_SERVE_STALE = Decision(Action.SERVE, "stale")
_SERVE_STALE_AND_REVALIDATE = Decision(Action.SERVE_AND_REVALIDATE, "stale")
_FILL = Decision(Action.FILL, "")
_JOIN_FILL = Decision(Action.JOIN_FILL, "joined")
_ABSENT = Decision(Action.ABSENT, "")
_SOURCE_NOT_READY = Decision(Action.FULL, "src_refused")
_FILL_LIMIT_REACHED = Decision(Action.FULL, "no_slot")


class Freshness(NamedTuple):
    """How long copies of a request class are fresh and may be served stale."""

    fresh_s: float = 0.0  # 0: fresh until purged
    stale_s: float = 0.0  # how long after that a copy may be served stale


FRESH_UNTIL_PURGED = Freshness()


class CachedCopy(NamedTuple):
    """The properties of a stored copy that a decision depends on."""

    age_s: float
    needs_revalidation: bool


class PurgeKnowledge(NamedTuple):
    """What a cache server can know of purges. Times are in seconds.

    Attributes:
        current_for_s: Time for which no command of the channel can have been missed, apart from those that it
            has not told yet; None if commands may be missing from before.
        unheard_for_s: Time since the last poll that the channel has answered; infinite before the first.
        settle_s: Time after a purge within which older copies go out of use.
    """

    current_for_s: float | None
    unheard_for_s: float
    settle_s: float

    @property
    def is_complete(self) -> bool:
        """Whether every purge that has settled by now is known."""
        return self.current_for_s is not None and self.unheard_for_s <= self._unheard_limit_s

    @property
    def max_copy_age_s(self) -> float:
        """The age up to which a copy is younger than every settled purge that may be unknown."""
        return float("inf") if self.is_complete else self._unheard_limit_s

    def may_predate_purge(self, age_s: float, since_fill_s: float) -> bool:
        """Return whether a filled copy may be older than a purge from before the channel was heard.

        A source may hand out a copy for `settle_s` after its purge, of which nobody tells this server. While
        commands may be missing, the answer is False: all copies are marked once none is missing any more.

        Args:
            age_s: Age of the copy.
            since_fill_s: Time since the fill was started.
        """
        if self.current_for_s is None or age_s < self.current_for_s:
            return False
        return self.current_for_s - since_fill_s < self.settle_s

    @property
    def _unheard_limit_s(self) -> float:
        return self.settle_s - PURGE_DELAY_S


class FillState(NamedTuple):
    """The state of the source that a request names and of the running fills."""

    source_is_ready: bool
    can_join: bool  # whether a running fill of this part brings a copy that is young enough
    running: int
    limit: int


class FillAnswer(NamedTuple):
    """Status and note of the answer to a request after its fill."""

    status: bytes
    note: str


def decide(request: Request, freshness: Freshness, copy: CachedCopy | None, fills: FillState) -> Decision:
    """Return the action on a request and the note of its answer.

    Args:
        request: The request.
        freshness: Freshness of copies of its class.
        copy: The stored copy; None if there is none.
        fills: The state of its source and of the running fills.
    """
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
        return _FILL_LIMIT_REACHED
    return _FILL


def _serve(request: Request, freshness: Freshness, copy: CachedCopy, fills: FillState) -> Decision:
    if not freshness.fresh_s or copy.age_s <= freshness.fresh_s:
        return _SERVE_HIT
    # Revalidations run only while over half of the fill slots are free: requests need the rest.
    has_spare_fills = 2 * fills.running < fills.limit
    if request.revalidate and fills.source_is_ready and has_spare_fills:
        return _SERVE_STALE_AND_REVALIDATE
    return _SERVE_STALE


def max_fill_age_s(
    request: Request,
    freshness: Freshness,
    since_purge_s: float | None,
    knowledge: PurgeKnowledge,
    *,
    needs_revalidation: bool,
    fill_timeout_s: float,
) -> float:
    """Return the maximum age in seconds of a copy that a fill may bring; 0 is any age.

    Args:
        request: The request.
        freshness: Freshness of copies of its class.
        since_purge_s: Time since the last known purge of the object; the copy must be younger. None if there
            is none.
        knowledge: What is known of purges. A copy that replaces one that needs revalidation must be younger
            than what may have been missed, and any copy young enough to be served when its fill has ended.
        needs_revalidation: Whether the stored copy needs revalidation.
        fill_timeout_s: Time that the fill may take.
    """
    bounds = [request.max_age_s or freshness.fresh_s]
    if since_purge_s is not None:
        bounds.append(max(_MIN_AGE_BOUND_S, since_purge_s))
    if needs_revalidation and knowledge.current_for_s is not None:
        bounds.append(max(_MIN_AGE_BOUND_S, knowledge.current_for_s))
    if not knowledge.is_complete:
        bounds.append(max(_MIN_AGE_BOUND_S, knowledge.max_copy_age_s - fill_timeout_s))
    return min((bound for bound in bounds if bound), default=0.0)


def answer_to_fill(
    result: AttemptResult, source_note: int, source_is_origin: bool, unchanged: bool
) -> FillAnswer:
    """Return the answer to a request whose fill has ended.

    Args:
        result: Result of the fill.
        source_note: Number of the note in the source's answer.
        source_is_origin: Whether the source is the origin.
        unchanged: Whether the source confirmed the stored copy as unchanged and sent no body.
    """
    if result == AttemptResult.SATISFIED and unchanged:
        return FillAnswer(protocol.DATA, "hit")
    if result == AttemptResult.SATISFIED:
        via_origin = source_is_origin or source_note in _FILL_NOTES
        return FillAnswer(protocol.DATA, "via_origin" if via_origin else "filled")
    if result == AttemptResult.MISS:
        return FillAnswer(protocol.ABSENT, "src_lacks")
    if result in (AttemptResult.FULL, AttemptResult.UNREACHABLE):
        return FillAnswer(protocol.FULL, "src_refused")
    return FillAnswer(protocol.FAILED, "origin_failed" if source_is_origin else "src_broke")
