"""The decisions where limits are shared.

The same budgets, with quotas that are assigned and demand that is counted.

A quota belongs to one start of a server; of another start, or of a limit that no quota was assigned of, a
router has its own part, one of N. No I/O, no clock.
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

OWN_SHARE = "own"  # names the part that a router has of all limits without a quota
CONCURRENCY = "room"  # names the concurrency limit of a server
MIN_DEMAND_SPAN_S = 0.05


class SharedSlowStartBudget(SlowStartBudget):
    """A budget with a quota for each server, that counts what is asked of it."""

    def __init__(self, start: SlowStart, routers: int) -> None:
        """As the plain budget."""
        super().__init__(start, routers)
        self.quotas: dict[int, tuple[float | None, float]] = {}  # of each server: (its start, quota)
        self.asked: dict[int, float] = {}
        self.own_share = 0.0
        self._refused_at: float | None = None

    def forget(self, server: int) -> None:
        """Drop what is known of a server."""
        super().forget(server)
        self.quotas.pop(server, None)
        self.asked.pop(server, None)

    def share(self, server: int, started_at: float | None) -> float:
        """Return the quota for that start of a server, else the router's own part."""
        quota = self.quotas.get(server)
        return quota[1] if quota and quota[0] == started_at else self.own_share / self.routers

    def record_demand(self, server: int, now: float, work: float, is_admitted: bool) -> None:
        """Count the demand. What a server refuses is wanting there, not at those asked in its place."""
        if is_admitted or self._refused_at != now:
            self.asked[server] = self.asked.get(server, 0.0) + work
        self._refused_at = None if is_admitted else now

    def settle(
        self, server: int, *, now: float, started_at: float, warm_capacity: float, largest_s: float
    ) -> None:
        """Save what came up to now, at the quota that held till now."""
        if server in self.credited_at:
            rate = self.fleet_rate(now, started_at, warm_capacity, largest_s) * self.share(server, started_at)
            income = rate * (now - self.credited_at[server])
            self.credit[server] = self.credit.get(server, 0.0) + income
            self.credited_at[server] = now


class SharedConcurrencyLimiter(ConcurrencyLimiter):
    """A limiter with a quota for each server, that notes the most that was wanted."""

    def __init__(self, routers: int) -> None:
        """As the plain limiter."""
        super().__init__(routers)
        self.quotas: dict[int, tuple[float | None, float]] = {}  # of each server: (its start, quota)
        self.peaks: dict[int, float] = {}  # of each server: the share that was wanted at most
        self.own_share = 0.0

    def forget(self, server: int) -> None:
        """Drop what is known of a server."""
        super().forget(server)
        self.quotas.pop(server, None)
        self.peaks.pop(server, None)

    def share(self, server: int) -> float:
        """Return the quota for a server, else the router's own part."""
        return self.quotas[server][1] if server in self.quotas else self.own_share / self.routers

    def has_capacity(self, server: int, in_flight: int, share: float, weight: float = 0.0) -> bool:
        """As the plain limiter, and notes the share that is wanted."""
        if weight:
            wanted = ((in_flight + 1) / weight - MIN_WEIGHT_SHARE) / WEIGHT_SHARE_RANGE
            self.peaks[server] = max(self.peaks.get(server, 0.0), wanted)
        return super().has_capacity(server, in_flight, share, weight)


class SharedLimitsMixin:
    """Goes before Router: it also takes `QuotasAssigned`, and `demand` tells what was asked."""

    def __init__(self, *args: object, **named: object) -> None:
        """As the router."""
        super().__init__(*args, **named)
        self._demand_told_at = 0.0

    def create_slow_start_budget(self, start: SlowStart, routers: int) -> SharedSlowStartBudget:
        """Make a budget with quotas."""
        return SharedSlowStartBudget(start, routers)

    def create_concurrency_limiter(self, routers: int) -> SharedConcurrencyLimiter:
        """Make a limiter with quotas."""
        return SharedConcurrencyLimiter(routers)

    def handle(self, message: RouterMessage) -> None:
        """Handle one message."""
        if isinstance(message, QuotasAssigned):
            for quota in message.quotas:
                self._assign(*quota)
        else:
            super().handle(message)

    def _assign(self, kind: str, server: int | str, started_at: float | None, quota: float | None) -> None:
        """Take one quota; None gives the router its own part again.

        Of kind "own" it is the part that the router has by itself of all limits without a quota, 0 to 1
        times one of N.
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
        """Return (kind, server, started_at, rate, fleet rate) of each limit asked for since the last call.

        Rates are seconds of transfer a second, the fleet's is 0 where the server is warm. Of concurrency
        limits it is the share of a server that was wanted at most, and 1.
        """
        endpoints = self.endpoints
        elapsed_s = max(MIN_DEMAND_SPAN_S, now - self._demand_told_at)
        rows = []
        for role, budget in self.slow_start.items():
            local = endpoints.local_caches if role is ServerRole.CACHE else endpoints.parents
            idle = [
                server
                for server in local
                if server not in budget.asked and self._is_limited(budget, server, now)
            ]
            for server, work in [*budget.asked.items(), *((server, 0.0) for server in idle)]:
                rate = work / elapsed_s
                fleet_rate = self._fleet_rate(budget, server, now)
                rows.append(
                    (role.value, endpoints.ids[server], endpoints.started_at[server], rate, fleet_rate)
                )
            budget.asked.clear()
        for server, peak in self.concurrency.peaks.items():
            if endpoints.state[server] == READY_STATE and peak > 0.0:
                rows.append((CONCURRENCY, endpoints.ids[server], endpoints.started_at[server], peak, 1.0))
        self.concurrency.peaks.clear()
        self._demand_told_at = now
        return rows

    def _is_limited(self, budget: SlowStartBudget, server: int, now: float) -> bool:
        return budget.is_limited(now, self.endpoints.warming_since[server])

    def _fleet_rate(self, budget: SlowStartBudget, server: int, now: float) -> float:
        if not self._is_limited(budget, server, now):
            return 0.0
        warm_capacity = self.throughput.warm_capacity(server, self.now)
        since = self.endpoints.warming_since[server]
        return budget.fleet_rate(now, since, warm_capacity, self.statistics.largest_transfer_s())
