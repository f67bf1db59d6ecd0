"""Updates holders, response times, concurrency limits and fill utility from the ends of attempts."""

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
ASSUMED_FILL_SHARE = 0.25  # of a transfer, counted as filled if caches report nothing: most are hits
MIN_RESPONSE_S = 1e-6
SLOW_RESPONSE_RATIO = 0.5  # of shortest to current response time; a lower ratio is a slow response
SLOW_CACHE_MARGIN = 1.0


# Module globals are cheaper to look up than enum members, and every end of an attempt uses these.
_SATISFIED = AttemptResult.SATISFIED
_TIMEOUT = AttemptResult.TIMEOUT
_HIT = ResponseNote.HIT
_FILLED = ResponseNote.FILLED


class AttemptOutcome(NamedTuple):
    """The end of an attempt, with the state that is needed to learn from it. Times are seconds."""

    request: RequestState
    server: int
    result: AttemptResult
    took_s: float
    note: int  # a `ResponseNote`
    waited_s: float  # waiting time reported by the server; 0: none, or not reported
    now: float
    fills_in_flight: int
    was_filled: bool  # whether it was a fill from upstream, as far as is known


def full_utility_time_s(request: RequestState, statistics: ClassStatistics) -> float:
    """Return the seconds after the start of an attempt within which its response earns the full utility."""
    request_class = request.request_class
    transfer_s = request.transfer_s or request.object.best_s or statistics.transfer_s[request.class_index]
    return request_class.latency_objective_s + request_class.objective_stretch * transfer_s


class Feedback:
    """Updates the statistics of a router when its attempts end."""

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
        """Create the feedback of a router; `notes` is what caches report about how they answered."""
        self._endpoints = endpoints
        self._concurrency = concurrency
        self._throughput = throughput
        self._statistics = statistics
        self._purges = purges
        self._has_no_notes = notes is NoteDetail.NONE
        self._has_only_hit_notes = notes is NoteDetail.HIT

    def learn(self, outcome: AttemptOutcome) -> bool:
        """Update all statistics from an outcome; return whether its server is slower than its peers."""
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
        elif result == AttemptResult.FULL and request.fills_upstream:  # a shed fill counts as the worst ratio
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
            state.holders.pop(server, None)  # reinserted, so that the latest holder comes last
            state.holders[server] = now
        if request.fill.is_upstream:
            state.filled_at = now
        statistics.record_response(class_index, took_s)
        # Work is counted from responses, not from what was sent: under congestion the last warm servers are
        # sent everything.
        transfer_s = statistics.transfer_s[class_index]
        self._throughput.record_work(server, now, transfer_s)
        if was_filled:
            is_probably_hit = self._has_no_notes and not request.lookup_missed
            self._throughput.record_work(
                request.source, now, transfer_s * (ASSUMED_FILL_SHARE if is_probably_hit else 1.0)
            )
        if not request.transfer_s:
            statistics.record_transfer(class_index, min(took_s, MAX_COUNTED_TRANSFER_S))
        if note == _HIT or self._has_no_notes or state.best_s == 0.0:
            state.best_s = min(state.best_s or took_s, took_s)

    def _update_limits(self, outcome: AttemptOutcome) -> bool:
        """Update congestion and limits; return whether the cache is slower than its peers."""
        request, server, result, took_s, note, _, now, fills_in_flight, _ = outcome
        state = request.object
        is_timeout = result == _TIMEOUT
        transfer_s = self._statistics.transfer_s[request.class_index]
        shortest_s = request.transfer_s or state.best_s or (transfer_s if is_timeout else 0.0)
        if not shortest_s or not (state.count >= 2 or request.transfer_s or is_timeout):
            return False
        self._record_congestion(outcome, shortest_s)
        ratio = min(1.0, max(shortest_s, state.best_s) / max(took_s, MIN_RESPONSE_S))
        if request.fill.is_upstream:
            self._concurrency.update_limit(UPLINK, now, ratio, fills_in_flight)
        elif request.was_sent_to_holder and note < _FILLED:
            self._concurrency.update_limit(server, now, ratio, self._endpoints.in_flight[server])
            peers = self._endpoints.local_caches
            return ratio < SLOW_RESPONSE_RATIO and self._concurrency.is_slower_than_peers(
                server, now, peers, SLOW_CACHE_MARGIN
            )
        return False

    def _record_congestion(self, outcome: AttemptOutcome, shortest_s: float) -> None:
        """Record how far a response exceeded its shortest time, for the cache or for the upstream path."""
        request, server, result, took_s, note, waited_s, now, _, _ = outcome
        is_fill = request.fill.is_upstream
        if note < _FILLED and (self._has_no_notes or not is_fill or note == _HIT):
            self._concurrency.record_time(server, now, shortest_s, took_s - shortest_s)
        if not is_fill:
            return
        is_assumed_fill = result == _TIMEOUT and (
            self._has_only_hit_notes or request.fill is FillKind.UPSTREAM_CACHED
        )
        if note > _HIT or self._has_no_notes or is_assumed_fill:
            request_class = request.request_class
            slack_s = request_class.latency_objective_s + (request_class.objective_stretch - 1.0) * shortest_s
            self._concurrency.record_time(UPLINK, now, slack_s, took_s - waited_s - shortest_s)
            self._concurrency.record_time(request.source, now, slack_s, took_s - shortest_s)

    def _learn_fill_utility(self, outcome: AttemptOutcome) -> None:
        """Record the fraction of its utility that a fill earned: 1, the late share, or 0 if it failed."""
        request = outcome.request
        if outcome.result == _SATISFIED:
            is_in_time = outcome.took_s <= full_utility_time_s(request, self._statistics)
            self._statistics.record_fill(
                request.class_index, 1.0 if is_in_time else request.request_class.late_share
            )
        elif outcome.result in (_TIMEOUT, AttemptResult.FULL, AttemptResult.ERRORED):
            self._statistics.record_fill(request.class_index, 0.0)
