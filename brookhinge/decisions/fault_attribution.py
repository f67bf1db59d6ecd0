"""Attributes a failed attempt to its cache server, to the source of its fill, or to both.

A failed fill counts against both equally unless the response note names one: the faulty server soon stands
out among its peers. A timeout counts only while the server answers no other request; otherwise it is a sign
of congestion, not a fault.
"""

from brookhinge.decisions.concurrency import ConcurrencyLimiter
from brookhinge.decisions.endpoints import EndpointTable, ServerRole
from brookhinge.decisions.feedback import AttemptOutcome
from brookhinge.decisions.messages import ResponseNote
from brookhinge.decisions.outliers import OutlierEjector
from brookhinge.decisions.rules import NEVER, AttemptResult
from brookhinge.decisions.settings import NoteDetail
from brookhinge.decisions.sink import DecisionSink

SILENCE_S = 1.0  # without a good response, after which a timeout counts as a failure
SLOW_PARENT_EVIDENCE_S = 2.0  # total slack of the recorded fills before a parent can count as slow
SHARED_FAULT_WEIGHT = 0.5

FAILURES = (AttemptResult.ERRORED, AttemptResult.UNREACHABLE, AttemptResult.BROKEN)
SOURCE_FAULT_NOTES = (ResponseNote.SOURCE_REFUSED, ResponseNote.SOURCE_BROKE)
CACHE_EXONERATED_NOTES = (*SOURCE_FAULT_NOTES, ResponseNote.ORIGIN_FAILED)
PARENT_EXONERATED_NOTES = (ResponseNote.HIT, ResponseNote.NO_SLOT, ResponseNote.ORIGIN_FAILED)

# An attribute of an enum class costs more than one of a module, and each end of an attempt needs these.
_SATISFIED = AttemptResult.SATISFIED
_TIMEOUT = AttemptResult.TIMEOUT
_FULL = AttemptResult.FULL
_ERRORED = AttemptResult.ERRORED
_MISS = AttemptResult.MISS
_CACHE = ServerRole.CACHE
_PARENT = ServerRole.PARENT


class FaultAttribution:
    """Judges the outcomes of attempts and reports them to the outlier ejectors. Times are seconds."""

    def __init__(
        self,
        endpoints: EndpointTable,
        *,
        concurrency: ConcurrencyLimiter,
        cache_outliers: OutlierEjector,
        parent_outliers: OutlierEjector,
        notes: NoteDetail,
    ) -> None:
        """Take the other mechanisms, and the detail that cache servers report in their response notes."""
        self._endpoints = endpoints
        self._concurrency = concurrency
        self._cache_outliers = cache_outliers
        self._parent_outliers = parent_outliers
        self._notes_name_fault = notes is NoteDetail.ALL
        self._last_good_at: dict[int, float] = {}  # last good response of each server

    def forget(self, server: int) -> None:
        """Drop the figures of a server whose index is being reused for another server."""
        self._last_good_at.pop(server, None)

    def judge(self, outcome: AttemptOutcome, is_lagging: bool, sink: DecisionSink) -> None:
        """Count an outcome for or against the servers involved in it.

        `is_lagging` says that the cache server lags behind its peers, which counts as a failure.
        """
        request, server, result, _, _, _, now, _, was_filled = outcome
        is_parent = self._endpoints.role[server] is _PARENT
        source = server if is_parent else request.source
        is_satisfied = result == _SATISFIED
        if is_satisfied:
            self._last_good_at[server] = now
            self._last_good_at[source if was_filled else server] = now
        is_timeout = result == _TIMEOUT
        cache_is_silent = is_timeout and self._is_silent(server, now)
        source_is_silent = is_timeout and was_filled and self._is_silent(source, now)
        is_shed_fill = was_filled and result == _FULL
        failed = is_lagging or cache_is_silent or source_is_silent or is_shed_fill or result in FAILURES
        is_good = is_satisfied and not is_lagging
        is_shared = is_shed_fill or (was_filled and result == _ERRORED)
        weight = SHARED_FAULT_WEIGHT if is_shared and not self._notes_name_fault else 1.0

        is_slow = self._is_slow_fill(outcome, source)
        cache_counts = (is_good or failed) and self._counts_for_cache(
            outcome, failed, cache_is_silent, source_is_silent
        )
        parent_counts = (is_good or failed or is_slow) and self._counts_for_parent(
            outcome, source, is_slow or source_is_silent or (is_good and was_filled), is_shared
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
        return now - self._last_good_at.get(server, NEVER) > SILENCE_S

    def _is_slow_fill(self, outcome: AttemptOutcome, source: int) -> bool:
        """Return whether an outcome was a fill from a parent that is far slower than its peers."""
        return (
            outcome.was_filled
            and outcome.result != _MISS
            and self._endpoints.role[source] is _PARENT
            and self._concurrency.is_slower_than_peers(
                source, outcome.now, self._endpoints.parents, evidence_s=SLOW_PARENT_EVIDENCE_S
            )
        )

    def _counts_for_cache(
        self, outcome: AttemptOutcome, failed: bool, cache_is_silent: bool, source_is_silent: bool
    ) -> bool:
        """Return whether a good or failed outcome counts for or against the cache server."""
        if self._endpoints.role[outcome.server] is not _CACHE:
            return False
        if not failed or cache_is_silent:
            return True
        if source_is_silent or outcome.result == _FULL:
            return False
        return not (self._notes_name_fault and outcome.note in CACHE_EXONERATED_NOTES)

    def _counts_for_parent(
        self, outcome: AttemptOutcome, source: int, is_conclusive: bool, is_shared: bool
    ) -> bool:
        """Return whether a good, failed or slow outcome counts for or against the parent of its fill."""
        if self._endpoints.role[source] is not _PARENT or outcome.note in PARENT_EXONERATED_NOTES:
            return False
        if is_conclusive or source == outcome.server:
            return True
        return outcome.note in SOURCE_FAULT_NOTES if self._notes_name_fault else is_shared
