"""Eligibility of servers: combines the checks of all mechanisms that can exclude a server for a request."""

from random import Random

from brookhinge.decisions import rules
from brookhinge.decisions.class_statistics import ClassStatistics
from brookhinge.decisions.concurrency import ConcurrencyLimiter
from brookhinge.decisions.endpoints import EndpointTable, ServerRole
from brookhinge.decisions.object_state import ObjectState, digest
from brookhinge.decisions.outliers import OutlierEjector
from brookhinge.decisions.request_state import RequestState
from brookhinge.decisions.slow_start import SlowStartBudget
from brookhinge.decisions.throughput import ThroughputEstimate

HOLDER_TTL_S = 20.0  # how long after its last response a cache counts as a holder
LATE_RETRY_RESERVED_SHARE = 0.5  # of a budget's credit; a retry without utility leaves it to others
SCHEDULED_RETRY_BORROWED_SHARE = 0.25  # of a budget's credit that such a retry may borrow


class ServerEligibility:
    """Checks the eligibility of servers for one router. Times are seconds."""

    def __init__(
        self,
        endpoints: EndpointTable,
        *,
        slow_start: dict[ServerRole, SlowStartBudget],
        concurrency: ConcurrencyLimiter,
        cache_outliers: OutlierEjector,
        parent_outliers: OutlierEjector,
        throughput: ThroughputEstimate,
        statistics: ClassStatistics,
        rng: Random,
    ) -> None:
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._concurrency = concurrency
        self._cache_outliers = cache_outliers
        self._parent_outliers = parent_outliers
        self._throughput = throughput
        self._statistics = statistics
        self._rng = rng

    def may_repeat(self, server: int, request: RequestState, now: float) -> bool:
        """Return whether an attempt at a server cannot execute the request a second time."""
        zone = self._endpoints.zone[server]
        cell = self._endpoints.cell[server]
        return rules.may_repeat(request.request_class, request.may_have_run, zone, cell, now)

    def is_available(self, server: int, request: RequestState, now: float) -> bool:
        """Return whether a cache is ready, not ejected, has not failed the request, and may repeat it."""
        return (
            server not in request.failed_servers
            and rules.may_send_to(self._endpoints.state[server])
            and self._cache_outliers.is_eligible(server, now)
            and (request.may_have_run is None or self.may_repeat(server, request, now))
        )

    def is_warming_up(self, server: int, now: float) -> bool:
        """Return whether a cache or parent is in slow start."""
        budget = self._slow_start[self._endpoints.role[server]]
        return budget.is_warming_up(now, self._endpoints.warming_since[server])

    def admits_work(self, server: int, work: float, request: RequestState, now: float) -> bool:
        """Return whether a server is warm or has slow-start budget for the work, and spend that budget.

        `work` is in seconds of transfer. Late retries leave part of the budget to other requests; scheduled
        retries may borrow.
        """
        budget = self._slow_start[self._endpoints.role[server]]
        started_at = self._endpoints.warming_since[server]
        is_admitted = True
        if budget.is_limited(now, started_at):
            reserve = LATE_RETRY_RESERVED_SHARE * (1.0 - request.priority_weight)
            is_admitted = budget.admits(
                server,
                now=now,
                started_at=started_at,
                warm_capacity=self._throughput.warm_capacity(server, now),
                work=work,
                largest_s=self._statistics.largest_transfer_s(),
                rng=self._rng,
                reserve=-SCHEDULED_RETRY_BORROWED_SHARE if request.is_scheduled else reserve,
            )
        budget.record_demand(server, now, work, is_admitted)
        return is_admitted

    def has_capacity(self, server: int, share: float, now: float) -> bool:
        """Return whether a cache has capacity for a request with that share of its concurrency limit.

        A cache without requests in flight is not checked for congestion: otherwise the end of the congestion
        would never be observed.
        """
        in_flight = self._endpoints.in_flight[server]
        weight = self._throughput.known_weight(server)
        if not self._concurrency.has_capacity(server, in_flight, share, weight):
            return False
        return not in_flight or self._concurrency.admits(server, now, share, self._rng)

    def current_holders(self, state: ObjectState, now: float) -> list[int]:
        """Return the caches that recently served a copy that they keep.

        A cache stops counting as a holder after a restart, a drain, a miss or a purge.
        """
        emptied_at = self._endpoints.emptied_at
        states = self._endpoints.state
        state.holders = {
            server: at
            for server, at in state.holders.items()
            if now - at <= HOLDER_TTL_S and at > emptied_at[server] and rules.may_send_to(states[server])
        }
        return list(state.holders)

    def first_upstream(self, request: RequestState, work: float, now: float) -> int | None:
        """Return the first eligible parent in the object's order, or else the origin, or else None."""
        failed = request.failed_servers | request.failed_sources
        for server in self._parent_order(request.object) + self._endpoints.origins:
            if not rules.may_send_to(self._endpoints.state[server]) or server in failed:
                continue
            if self._endpoints.role[server] is ServerRole.ORIGIN:
                return server
            if self._parent_outliers.is_eligible(server, now) and self.admits_work(
                server, work, request, now
            ):
                return server
        return None

    def local_capacity(self, at: float, now: float) -> float:
        """Return the transfer seconds per second that this router may send to local caches at time `at`."""
        budget = self._slow_start[ServerRole.CACHE]
        largest_s = self._statistics.largest_transfer_s()
        total = 0.0
        for server in self._endpoints.local_caches:
            started_at = self._endpoints.warming_since[server]
            limit = self._concurrency.current_limit(server)
            if budget.is_limited(at, started_at):
                warm_capacity = self._throughput.warm_capacity(server, now)
                rate = budget.fleet_rate(at, started_at, warm_capacity, largest_s)
                limit = min(limit, rate * budget.share(server, started_at))
            total += limit
        return total

    def _parent_order(self, state: ObjectState) -> list[int]:
        parents = self._endpoints.parents
        if state.ordered_parents is not parents:
            state.ordered_parents = parents
            ids = self._endpoints.ids
            state.parent_order = sorted(parents, key=lambda server: digest(f"{state.key_code} {ids[server]}"))
        return state.parent_order
