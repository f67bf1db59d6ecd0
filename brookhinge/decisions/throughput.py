"""Capacity of a warm server, as listed or estimated from the recent work of its peers."""

import math

from brookhinge.decisions.endpoints import EndpointTable, ServerRole
from brookhinge.decisions.slow_start import SlowStartBudget

AVERAGING_S = 10.0
MIN_WARM_CAPACITY = 1.0  # concurrent transfers


class ThroughputEstimate:
    """Estimates the capacity of servers from the recent work of the warm servers in each role.

    The mean work of the warm servers is a lower bound for what a server of that role can handle.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        slow_start: dict[ServerRole, SlowStartBudget],
        weights_known: bool,
    ) -> None:
        """Take whether the weights in the endpoint list are capacities (`weights_known`)."""
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._weights_known = weights_known
        # By role: (time of the last update, transfer seconds, server-seconds).
        self._work: dict[ServerRole, tuple[float, float, float]] = {}

    def record_work(self, server: int, now: float, work: float) -> None:
        """Record the transfer seconds of work done by a server, if it is warm."""
        role = self._endpoints.role[server]
        budget = self._slow_start.get(role)
        if budget is not None and not budget.is_warming_up(now, self._endpoints.warming_since[server]):
            total, server_seconds, _ = self._recent_work(role, now)
            self._work[role] = now, total + work, server_seconds

    def known_weight(self, server: int) -> float:
        """Return a server's weight, or 0 if weights are not capacities."""
        return self._weights_known * self._endpoints.weight[server]

    def warm_capacity(self, server: int, now: float) -> float:
        """Return the concurrent transfers of a warm server: its weight, or a low estimate from its peers."""
        weight = self._endpoints.weight[server]
        if self._weights_known and weight > 0:
            return weight
        role = self._endpoints.role[server]
        # The work of servers that are gone must not be attributed to the fewer ones left, so the divisor is
        # never less than the server-seconds of the current servers.
        total, server_seconds, present_server_seconds = self._recent_work(role, now)
        return max(
            MIN_WARM_CAPACITY,
            total / max(server_seconds, present_server_seconds) * self._slow_start[role].routers,
        )

    def _recent_work(self, role: ServerRole, now: float) -> tuple[float, float, float]:
        """Return the decayed work of the warm servers, and the server-seconds in which they did it.

        The third value is the server-seconds that the currently warm servers amount to.
        """
        updated_at, total, server_seconds = self._work.get(role, (now, 0.0, 0.0))
        decay = math.exp((updated_at - now) / AVERAGING_S)
        if role is ServerRole.PARENT:
            warm = max(1, len(self._endpoints.parents))
        else:
            warm = max(1, self._warm_local_caches(role, now))
        return total * decay, server_seconds * decay + warm * AVERAGING_S * (1.0 - decay), warm * AVERAGING_S

    def _warm_local_caches(self, role: ServerRole, now: float) -> int:
        budget = self._slow_start[role]
        warming_since = self._endpoints.warming_since
        return sum(
            not budget.is_warming_up(now, warming_since[server]) for server in self._endpoints.local_caches
        )
