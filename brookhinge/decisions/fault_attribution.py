"""Whether the end of an attempt speaks against its cache, against the source of its fill, or against both.

A failed fill speaks against both alike unless notes tell which: the one at fault soon stands out among its
peers. A timeout counts only while nothing else is answered: else it is no fault but congestion.
"""

from brookhinge.decisions.concurrency import ConcurrencyLimiter
from brookhinge.decisions.endpoints import EndpointTable, ServerRole
from brookhinge.decisions.feedback import AttemptOutcome
from brookhinge.decisions.messages import ResponseNote
from brookhinge.decisions.outliers import OutlierEjector
from brookhinge.decisions.rules import NEVER, AttemptResult
from brookhinge.decisions.settings import NoteDetail
from brookhinge.decisions.sink import DecisionSink

SILENCE_S = 1.0
SLOW_PARENT_EVIDENCE_S = 2.0  # seconds of slack that must speak of a parent before it counts as slow
SHARED_FAULT_WEIGHT = 0.5

FAILURES = (AttemptResult.ERRORED, AttemptResult.UNREACHABLE, AttemptResult.BROKEN)
SOURCE_AT_FAULT = (ResponseNote.SOURCE_REFUSED, ResponseNote.SOURCE_BROKE)
NOT_THE_CACHE = (*SOURCE_AT_FAULT, ResponseNote.ORIGIN_FAILED)
NOT_THE_PARENT = (ResponseNote.HIT, ResponseNote.NO_SLOT, ResponseNote.ORIGIN_FAILED)

# An attribute of an enum class costs more than one of a module, and each end of an attempt needs these.
_SATISFIED = AttemptResult.SATISFIED
_TIMEOUT = AttemptResult.TIMEOUT
_FULL = AttemptResult.FULL
_ERRORED = AttemptResult.ERRORED
_MISS = AttemptResult.MISS
_CACHE = ServerRole.CACHE
_PARENT = ServerRole.PARENT


class FaultAttribution:
    """Judges ends of attempts and hands them to the outlier ejectors. Times are seconds."""

    def __init__(
        self,
        endpoints: EndpointTable,
        *,
        concurrency: ConcurrencyLimiter,
        cache_outliers: OutlierEjector,
        parent_outliers: OutlierEjector,
        notes: NoteDetail,
    ) -> None:
        """`notes` is what caches tell of how they answered."""
        self._endpoints = endpoints
        self._concurrency = concurrency
        self._cache_outliers = cache_outliers
        self._parent_outliers = parent_outliers
        self._tells_fault = notes is NoteDetail.ALL
        self._heard_at: dict[int, float] = {}  # of each server: its last good response

    def forget(self, server: int) -> None:
        """Drop what is known of a server: its index belongs to another from here on."""
        self._heard_at.pop(server, None)

    def judge(self, outcome: AttemptOutcome, is_lagging: bool, sink: DecisionSink) -> None:
        """Count an outcome for or against the servers that took part.

        `is_lagging` speaks against the cache.
        """
        request, server, result, _, _, _, now, _, is_fill = outcome
        is_parent = self._endpoints.role[server] is _PARENT
        source = server if is_parent else request.source
        is_satisfied = result == _SATISFIED
        if is_satisfied:
            self._heard_at[server] = now
            self._heard_at[source if is_fill else server] = now
        is_timeout = result == _TIMEOUT
        cache_is_silent = is_timeout and self._is_silent(server, now)
        source_is_silent = is_timeout and is_fill and self._is_silent(source, now)
        is_shed_fill = is_fill and result == _FULL
        failed = is_lagging or cache_is_silent or source_is_silent or is_shed_fill or result in FAILURES
        is_good = is_satisfied and not is_lagging
        is_shared = is_shed_fill or (is_fill and result == _ERRORED)
        weight = SHARED_FAULT_WEIGHT if is_shared and not self._tells_fault else 1.0

        is_slow = self._is_slow_fill(outcome, source)
        cache_counts = (is_good or failed) and self._speaks_of_cache(
            outcome, failed, cache_is_silent, source_is_silent
        )
        parent_counts = (is_good or failed or is_slow) and self._speaks_of_parent(
            outcome, source, is_slow or source_is_silent or (is_good and is_fill), is_shared
        )
        if cache_counts and self._cache_outliers.observe(
            server, now, failed, weight, self._endpoints.local_caches
        ):
            sink.log(f"resting cache {self._endpoints.ids[server]}: {result}")
        if parent_counts and self._parent_outliers.observe(
            source, now, failed or is_slow, weight, self._endpoints.parents
        ):
            sink.log(f"resting parent {self._endpoints.ids[source]}: {result}")

    def _is_silent(self, server: int, now: float) -> bool:
        return now - self._heard_at.get(server, NEVER) > SILENCE_S

    def _is_slow_fill(self, outcome: AttemptOutcome, source: int) -> bool:
        """Whether a fill came from a parent that is far slower than its peers."""
        return (
            outcome.was_filled
            and outcome.result != _MISS
            and self._endpoints.role[source] is _PARENT
            and self._concurrency.is_slower_than_peers(
                source, outcome.now, self._endpoints.parents, evidence_s=SLOW_PARENT_EVIDENCE_S
            )
        )

    def _speaks_of_cache(
        self, outcome: AttemptOutcome, failed: bool, cache_is_silent: bool, source_is_silent: bool
    ) -> bool:
        """Whether a good or failed outcome says something of the cache."""
        if self._endpoints.role[outcome.server] is not _CACHE:
            return False
        if not failed or cache_is_silent:
            return True
        if source_is_silent or outcome.result == _FULL:
            return False
        return not (self._tells_fault and outcome.note in NOT_THE_CACHE)

    def _speaks_of_parent(
        self, outcome: AttemptOutcome, source: int, is_evident: bool, is_shared: bool
    ) -> bool:
        """Whether a good, failed or slow outcome says something of the parent that it was filled from."""
        if self._endpoints.role[source] is not _PARENT or outcome.note in NOT_THE_PARENT:
            return False
        if is_evident or source == outcome.server:
            return True
        return outcome.note in SOURCE_AT_FAULT if self._tells_fault else is_shared
