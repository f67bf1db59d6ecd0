"""Extends the decisions for shared limits: budgets and limiters with assigned quotas, and demand counters.

A quota applies to one start of a server. For any other start, and for limits without an assigned quota, the
router uses its own share, at most one Nth. No I/O, no clock.
"""

from brookhinge.decisions.concurrency import (
    MIN_WEIGHT_SHARE,
    WEIGHT_SHARE_RANGE,
    ConcurrencyLimiter,
)
from brookhinge.decisions.endpoints import ServerRole
from brookhinge.decisions.messages import QuotasAssigned, RouterMessage
from brookhinge.decisions.rules import READY_STATE
from brookhinge.decisions.settings import SlowStart
from brookhinge.decisions.slow_start import SlowStartBudget

OWN_SHARE = "own"  # kind of a row that assigns the own share of limits without a quota
CONCURRENCY = "room"  # kind of the concurrency limit of a server
MIN_DEMAND_SPAN_S = 0.05


class SharedSlowStartBudget(SlowStartBudget):
    """A slow start budget with a quota for each server; counts the work that is requested from it."""

    def __init__(self, start: SlowStart, routers: int) -> None:
        """Take the arguments of SlowStartBudget."""
        super().__init__(start, routers)
        self.quotas: dict[int, tuple[float | None, float]] = {}  # by server: (start, quota)
        self.requested_work: dict[int, float] = {}
        self.own_share = 0.0
        self._rejected_at: float | None = None

    def forget(self, server: int) -> None:
        """Drop the figures of a server whose index is being reused for another server."""
        super().forget(server)
        self.quotas.pop(server, None)
        self.requested_work.pop(server, None)

    def share(self, server: int, started_at: float | None) -> float:
        """Return the quota for that start of a server, or the router's own share if there is none."""
        quota = self.quotas.get(server)
        return quota[1] if quota and quota[0] == started_at else self.own_share / self.routers

    def record_demand(self, server: int, now: float, work: float, is_admitted: bool) -> None:
        """Count the requested work.

        Of several rejections in a row in one round of the event loop, only the first counts: the servers
        tried after it merely substitute for the server that rejected the work first.
        """
        if is_admitted or self._rejected_at != now:
            self.requested_work[server] = self.requested_work.get(server, 0.0) + work
        self._rejected_at = None if is_admitted else now

    def settle(
        self, server: int, *, now: float, started_at: float, warm_capacity: float, largest_s: float
    ) -> None:
        """Add the credit earned up to now, at the quota in force until now."""
        if server in self.credited_at:
            rate = self.fleet_rate(now, started_at, warm_capacity, largest_s) * self.share(server, started_at)
            earned = rate * (now - self.credited_at[server])
            self.credit[server] = self.credit.get(server, 0.0) + earned
            self.credited_at[server] = now


class SharedConcurrencyLimiter(ConcurrencyLimiter):
    """A concurrency limiter with a quota for each server; records the peak demand."""

    def __init__(self, routers: int) -> None:
        """Take the arguments of ConcurrencyLimiter."""
        super().__init__(routers)
        self.quotas: dict[int, tuple[float | None, float]] = {}  # by server: (start, quota)
        self.peaks: dict[int, float] = {}  # by server: the largest share that was needed
        self.own_share = 0.0

    def forget(self, server: int) -> None:
        """Drop the figures of a server whose index is being reused for another server."""
        super().forget(server)
        self.quotas.pop(server, None)
        self.peaks.pop(server, None)

    def share(self, server: int) -> float:
        """Return the quota for a server, or the router's own share if there is none."""
        return self.quotas[server][1] if server in self.quotas else self.own_share / self.routers

    def has_capacity(self, server: int, in_flight: int, share: float, weight: float = 0.0) -> bool:
        """Return whether one more request may be in flight; record the share that it needs."""
        if weight:
            needed = ((in_flight + 1) / weight - MIN_WEIGHT_SHARE) / WEIGHT_SHARE_RANGE
            self.peaks[server] = max(self.peaks.get(server, 0.0), needed)
        return super().has_capacity(server, in_flight, share, weight)


class SharedLimitsMixin:
    """Extends Router, which must follow it in the bases: handles `QuotasAssigned` and reports the demand."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        """Take the arguments of Router."""
        super().__init__(*args, **kwargs)
        self._demand_reported_at = 0.0

    def create_slow_start_budget(self, start: SlowStart, routers: int) -> SharedSlowStartBudget:
        """Return a budget with quotas."""
        return SharedSlowStartBudget(start, routers)

    def create_concurrency_limiter(self, routers: int) -> SharedConcurrencyLimiter:
        """Return a limiter with quotas."""
        return SharedConcurrencyLimiter(routers)

    def handle(self, message: RouterMessage) -> None:
        """Handle one message."""
        if isinstance(message, QuotasAssigned):
            for quota in message.quotas:
                self._assign(*quota)
        else:
            super().handle(message)

    def _assign(self, kind: str, server: int | str, started_at: float | None, quota: float | None) -> None:
        """Apply one quota; None restores the router's own share.

        For kind "own", the quota is the usable fraction, 0 to 1, of the router's equal share of each limit
        without a quota.
        """
        if kind == OWN_SHARE:
            for limit in (self.concurrency, *self.slow_start.values()):
                limit.own_share = quota
            return
        server_index = self.endpoints.index.get(server)
        limit = self.concurrency if kind == CONCURRENCY else self.slow_start[kind]
        if server_index is not None and kind != CONCURRENCY:
            since = self.endpoints.warming_since[server_index]
            if limit.is_warming_up(self.now, since):
                warm_capacity = self.throughput.warm_capacity(server_index, self.now)
                largest_s = self.statistics.largest_transfer_s()
                limit.settle(
                    server_index,
                    now=self.now,
                    started_at=since,
                    warm_capacity=warm_capacity,
                    largest_s=largest_s,
                )
        if server_index is not None and quota is not None:
            limit.quotas[server_index] = started_at, quota
        else:
            limit.quotas.pop(server_index, None)

    def demand(self, now: float) -> list[tuple]:
        """Return the demand since the last call, as rows (kind, server, started_at, rate, fleet rate).

        Rates are transfer seconds per second; the fleet rate is 0 for a server that is not limited by slow
        start. For concurrency limits, the rate is the largest share of the server that was needed, and the
        fleet rate is 1. Limited local caches and parents without demand have rows with a rate of 0.
        """
        endpoints = self.endpoints
        elapsed_s = max(MIN_DEMAND_SPAN_S, now - self._demand_reported_at)
        rows = []
        for role, budget in self.slow_start.items():
            local = endpoints.local_caches if role is ServerRole.CACHE else endpoints.parents
            without_demand = [
                server
                for server in local
                if server not in budget.requested_work and self._is_limited(budget, server, now)
            ]
            for server, work in [
                *budget.requested_work.items(),
                *((server, 0.0) for server in without_demand),
            ]:
                rate = work / elapsed_s
                fleet_rate = self._fleet_rate(budget, server, now)
                rows.append(
                    (role.value, endpoints.ids[server], endpoints.started_at[server], rate, fleet_rate)
                )
            budget.requested_work.clear()
        for server, peak in self.concurrency.peaks.items():
            if endpoints.state[server] == READY_STATE and peak > 0.0:
                rows.append((CONCURRENCY, endpoints.ids[server], endpoints.started_at[server], peak, 1.0))
        self.concurrency.peaks.clear()
        self._demand_reported_at = now
        return rows

    def _is_limited(self, budget: SlowStartBudget, server: int, now: float) -> bool:
        return budget.is_limited(now, self.endpoints.warming_since[server])

    def _fleet_rate(self, budget: SlowStartBudget, server: int, now: float) -> float:
        if not self._is_limited(budget, server, now):
            return 0.0
        warm_capacity = self.throughput.warm_capacity(server, self.now)
        since = self.endpoints.warming_since[server]
        return budget.fleet_rate(now, since, warm_capacity, self.statistics.largest_transfer_s())
