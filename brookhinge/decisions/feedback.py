"""What the end of an attempt teaches: holders, response times, concurrency limits, the worth of fills."""

from typing import NamedTuple

from brookhinge.decisions.class_statistics import ClassStatistics
from brookhinge.decisions.concurrency import UPLINK, ConcurrencyLimiter
from brookhinge.decisions.endpoints import EndpointTable
from brookhinge.decisions.messages import ResponseNote
from brookhinge.decisions.purges import PurgeRecord
from brookhinge.decisions.request_state import FillKind, RequestState
from brookhinge.decisions.rules import AttemptResult
from brookhinge.decisions.settings import NoteDetail
from brookhinge.decisions.throughput import ThroughputEstimate

MAX_COUNTED_TRANSFER_S = 3.0
UNTOLD_FILL_SHARE = 0.25  # of responses that count as fills where caches tell nothing: most are hits
MIN_TOOK_S = 1e-6
SLOW_RESPONSE_RATIO = 0.5  # shortest over present response time, under which a response is slow
SLOW_CACHE_MARGIN = 1.0


# An attribute of an enum class costs more than one of a module, and each end of an attempt needs these.
_SATISFIED = AttemptResult.SATISFIED
_TIMEOUT = AttemptResult.TIMEOUT
_HIT = ResponseNote.HIT
_FILLED = ResponseNote.FILLED


class AttemptOutcome(NamedTuple):
    """The end of an attempt. Times are seconds."""

    request: RequestState
    server: int
    result: AttemptResult
    took_s: float
    note: int  # a `ResponseNote`
    waited_s: float
    now: float
    fills_in_flight: int
    was_filled: bool  # whether it was a fill from upstream, as far as is told


def full_utility_within_s(request: RequestState, statistics: ClassStatistics) -> float:
    """Return the seconds from an attempt within which its response earns all."""
    one = request.request_class
    transfer_s = request.transfer_s or request.object.best_s or statistics.transfer_s[request.class_index]
    return one.latency_objective_s + one.objective_stretch * transfer_s


class Feedback:
    """Learns from the ends of attempts."""

    def __init__(
        self,
        endpoints: EndpointTable,
        *,
        concurrency: ConcurrencyLimiter,
        throughput: ThroughputEstimate,
        statistics: ClassStatistics,
        purges: PurgeRecord,
        notes: NoteDetail,
    ) -> None:
        """`notes` is what caches tell of how they answered."""
        self._endpoints = endpoints
        self._concurrency = concurrency
        self._throughput = throughput
        self._statistics = statistics
        self._purges = purges
        self._tells_nothing = notes is NoteDetail.NONE
        self._tells_hits_only = notes is NoteDetail.HIT

    def learn(self, outcome: AttemptOutcome) -> bool:
        """Take an outcome; return whether its server lags behind its peers."""
        request = outcome.request
        result = outcome.result
        is_lagging = False
        if result == _SATISFIED:
            self._learn_from_response(outcome)
            is_lagging = self._update_limits(outcome)
        elif result == _TIMEOUT:
            is_lagging = self._update_limits(outcome)
        elif result == AttemptResult.MISS:
            request.object.holders.pop(outcome.server, None)
        elif result == AttemptResult.FULL and request.fills_upstream:  # as crowded as it gets
            self._concurrency.update_limit(UPLINK, outcome.now, 0.0, outcome.fills_in_flight)
        if outcome.was_filled:
            self._learn_fill_utility(outcome)
        return is_lagging

    def _learn_from_response(self, outcome: AttemptOutcome) -> None:
        request, server, _, took_s, note, _, now, _, was_filled = outcome
        state = request.object
        statistics = self._statistics
        class_index = request.class_index
        group_purged_at = self._purges.group_purged_at(state.group, 0)
        is_after_purge = request.sent_at >= max(state.purged_at, group_purged_at)
        if request.retention and self._endpoints.emptied_at[server] < request.sent_at and is_after_purge:
            state.holders.pop(server, None)  # the latest stands last
            state.holders[server] = now
        if request.fill.is_upstream:
            state.filled_at = now
        statistics.record_response(class_index, took_s)
        # Not what was sent: in a jam the last warm servers get it all.
        transfer_s = statistics.transfer_s[class_index]
        self._throughput.record_work(server, now, transfer_s)
        if was_filled:
            is_mostly_hit = self._tells_nothing and not request.lookup_missed
            self._throughput.record_work(
                request.source, now, transfer_s * (UNTOLD_FILL_SHARE if is_mostly_hit else 1.0)
            )
        if not request.transfer_s:
            statistics.record_transfer(class_index, min(took_s, MAX_COUNTED_TRANSFER_S))
        if note == _HIT or self._tells_nothing or state.best_s == 0.0:
            state.best_s = min(state.best_s or took_s, took_s)

    def _update_limits(self, outcome: AttemptOutcome) -> bool:
        """Update congestion and limits; return whether a cache lags behind its peers."""
        request, server, result, took_s, note, _, now, fills_in_flight, _ = outcome
        state = request.object
        is_timeout = result == _TIMEOUT
        transfer_s = self._statistics.transfer_s[request.class_index]
        shortest_s = request.transfer_s or state.best_s or (transfer_s if is_timeout else 0.0)
        if not shortest_s or not (state.count >= 2 or request.transfer_s or is_timeout):
            return False
        self._record_congestion(outcome, shortest_s)
        ratio = min(1.0, max(shortest_s, state.best_s) / max(took_s, MIN_TOOK_S))
        if request.fill.is_upstream:
            self._concurrency.update_limit(UPLINK, now, ratio, fills_in_flight)
        elif request.is_held and note < _FILLED:
            self._concurrency.update_limit(server, now, ratio, self._endpoints.in_flight[server])
            peers = self._endpoints.local_caches
            return ratio < SLOW_RESPONSE_RATIO and self._concurrency.is_slower_than_peers(
                server, now, peers, SLOW_CACHE_MARGIN
            )
        return False

    def _record_congestion(self, outcome: AttemptOutcome, shortest_s: float) -> None:
        """Count what a response took beyond its shortest time, at the cache or on the way from upstream."""
        request, server, result, took_s, note, waited_s, now, _, _ = outcome
        is_fill = request.fill.is_upstream
        if note < _FILLED and (self._tells_nothing or not is_fill or note == _HIT):
            self._concurrency.record_time(server, now, shortest_s, took_s - shortest_s)
        if not is_fill:
            return
        is_untold_fill = result == _TIMEOUT and (
            self._tells_hits_only or request.fill is FillKind.UPSTREAM_CACHED
        )
        if note > _HIT or self._tells_nothing or is_untold_fill:
            one = request.request_class
            slack_s = one.latency_objective_s + (one.objective_stretch - 1.0) * shortest_s
            self._concurrency.record_time(UPLINK, now, slack_s, took_s - waited_s - shortest_s)
            self._concurrency.record_time(request.source, now, slack_s, took_s - shortest_s)

    def _learn_fill_utility(self, outcome: AttemptOutcome) -> None:
        """Count what a fill has earned: all, the late share, or nothing for one that failed."""
        request = outcome.request
        if outcome.result == _SATISFIED:
            is_in_time = outcome.took_s <= full_utility_within_s(request, self._statistics)
            self._statistics.record_fill(
                request.class_index, 1.0 if is_in_time else request.request_class.late_share
            )
        elif outcome.result in (_TIMEOUT, AttemptResult.FULL, AttemptResult.ERRORED):
            self._statistics.record_fill(request.class_index, 0.0)
