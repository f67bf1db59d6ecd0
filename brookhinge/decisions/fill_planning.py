"""Plans where the cache of a request may fill from.

This is a parent, in an order hashed from the object; the next parent after a failure; and finally the origin.
"""

from random import Random
from typing import NamedTuple

from brookhinge.decisions.class_statistics import ClassStatistics
from brookhinge.decisions.concurrency import UPLINK, ConcurrencyLimiter
from brookhinge.decisions.eligibility import ServerEligibility
from brookhinge.decisions.endpoints import EndpointTable, ServerRole
from brookhinge.decisions.origin_breaker import OriginCircuitBreaker
from brookhinge.decisions.request_state import FillKind, RequestState
from brookhinge.decisions.rules import Refusal
from brookhinge.decisions.server_selection import CacheChoice

HOLDER_FILL_SHARE = 0.25  # mean part of a transfer that the fill source has to do if a holder is asked


# Module globals are cheaper to look up than enum members, and every request uses these.
_NO_FILL = FillKind.NONE
_FROM_UPSTREAM = FillKind.UPSTREAM


class FillPlan(NamedTuple):
    """Where the server of a request gets the object from."""

    kind: FillKind
    source: int  # index of the fill source; the server itself if it may not fill


class FillPlanner:
    """Plans the fills of requests. Times are seconds."""

    def __init__(
        self,
        endpoints: EndpointTable,
        *,
        eligibility: ServerEligibility,
        concurrency: ConcurrencyLimiter,
        origin_breaker: OriginCircuitBreaker,
        statistics: ClassStatistics,
        routers_here: int,
        rng: Random,
    ) -> None:
        """Create a planner; `routers_here` is the number of routers that share the location's caches."""
        self.routers_here = routers_here
        self._endpoints = endpoints
        self._eligibility = eligibility
        self._concurrency = concurrency
        self._origin_breaker = origin_breaker
        self._statistics = statistics
        self._rng = rng

    def plan(
        self,
        request: RequestState,
        choice: CacheChoice,
        *,
        fair_share: float,
        fills_in_flight: int,
        now: float,
    ) -> FillPlan | Refusal:
        """Return where the chosen cache may fill from, or why the request is refused.

        If no fill is possible now, the object is looked up in the cache once without a fill, because another
        router may have filled it.
        """
        if choice.sibling is not None:
            return FillPlan(FillKind.SIBLING, choice.sibling)
        source = None
        if not request.is_lookup_only and not self._starts_with_lookup(request, choice, now):
            source = self._upstream(request, choice, fair_share, fills_in_flight, now)
            if source is None:
                if request.lookup_missed:
                    return Refusal.LINK_CROWDED
                request.is_lookup_only = True
        if choice.is_holder:
            return FillPlan(FillKind.HOLDER, choice.server if source is None else source)
        if source is None:
            return FillPlan(_NO_FILL, choice.server)
        return self._apply_breaker(request, choice, source, now)

    def _starts_with_lookup(self, request: RequestState, choice: CacheChoice, now: float) -> bool:
        """Return whether the cache is first asked for a cached copy, without a fill.

        Where several routers share the caches, most objects that this router has not seen are cached already.
        """
        return self.routers_here > 1 and not (
            choice.is_holder
            or request.lookup_missed
            or request.is_uncacheable
            or request.request_class.fresh_s > 0
            or self._eligibility.is_warming_up(choice.server, now)
        )

    def _upstream(
        self, request: RequestState, choice: CacheChoice, fair_share: float, fills_in_flight: int, now: float
    ) -> int | None:
        """Return the parent or origin to fill from; None if the uplink or the sources have no capacity."""
        work = self._statistics.transfer_s[request.class_index]
        work *= HOLDER_FILL_SHARE if choice.is_holder else 1.0
        source = self._eligibility.first_upstream(request, work, now)
        if source is None or choice.is_holder:
            return source
        # A request with a small share of a cache's limit gets a larger share of the uplink's limit, but is
        # shed sooner when the upstream path is congested.
        uplink_share = min(1.0, fair_share) ** 0.5
        if not self._concurrency.has_capacity(UPLINK, fills_in_flight, uplink_share):
            return None
        is_admitted = self._concurrency.admits(source, now, fair_share**2, self._rng, is_upstream=True)
        return source if is_admitted else None

    def _apply_breaker(
        self, request: RequestState, choice: CacheChoice, source: int, now: float
    ) -> FillPlan | Refusal:
        """Return the fill from `source`, limited by the origin's circuit breaker, or a refusal.

        A parent is first asked for a cached copy, because that puts no load on the origin.
        """
        probability = self._origin_breaker.admit_probability(now)
        if probability >= 1.0 or request.is_uncacheable:
            return FillPlan(_FROM_UPSTREAM, source)
        if self._endpoints.role[source] is ServerRole.PARENT and not request.parent_missed:
            return FillPlan(FillKind.UPSTREAM_CACHED, source)
        if self._rng.random() < probability:
            return FillPlan(_FROM_UPSTREAM, source)
        if request.request_class.stale_s <= 0 or request.is_lookup_only:
            return Refusal.ORIGIN_FAILING
        request.is_lookup_only = True
        return FillPlan(_NO_FILL, choice.server)
