"""How much a warm server does, told or estimated from what its peers did lately."""

import math

from brookhinge.decisions.endpoints import EndpointTable, ServerRole
from brookhinge.decisions.slow_start import SlowStartBudget

AVERAGING_S = 10.0
MIN_POWER = 1.0  # transfers at once


class ThroughputEstimate:
    """Work that warm servers of each role did lately.

    What they do on the mean is what their like can do at least.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        slow_start: dict[ServerRole, SlowStartBudget],
        weights_known: bool,
    ) -> None:
        """`weights_known` tells whether a weight in the endpoint list says what a server does."""
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._weights_known = weights_known
        self._work: dict[
            ServerRole, tuple[float, float, float]
        ] = {}  # (when, seconds of transfer, server-seconds)

    def record_work(self, server: int, now: float, work: float) -> None:
        """Count seconds of transfer done by a server, if it is warm."""
        role = self._endpoints.role[server]
        budget = self._slow_start.get(role)
        if budget is not None and not budget.is_warming_up(now, self._endpoints.warming_since[server]):
            total, server_seconds, _ = self._lately(role, now)
            self._work[role] = now, total + work, server_seconds

    def known_weight(self, server: int) -> float:
        """Return a server's weight; 0 where weights say nothing."""
        return self._weights_known * self._endpoints.weight[server]

    def power(self, server: int, now: float) -> float:
        """Return how many transfers at once a server does when warm: told, or a low guess from its peers."""
        weight = self._endpoints.weight[server]
        if self._weights_known and weight > 0:
            return weight
        role = self._endpoints.role[server]
        # What many did that are gone is not what the few left can do.
        total, server_seconds, present_server_seconds = self._lately(role, now)
        return max(
            MIN_POWER, total / max(server_seconds, present_server_seconds) * self._slow_start[role].routers
        )

    def _lately(self, role: ServerRole, now: float) -> tuple[float, float, float]:
        """Return decayed work of warm servers, and the server-seconds in which it was done.

        The third figure is the server-seconds of the servers that are warm now.
        """
        last, total, server_seconds = self._work.get(role, (now, 0.0, 0.0))
        decay = math.exp((last - now) / AVERAGING_S)
        if role is ServerRole.PARENT:
            warm = max(1, len(self._endpoints.parents))
        else:
            warm = max(1, self._warm_local_caches(role, now))
        return total * decay, server_seconds * decay + warm * AVERAGING_S * (1.0 - decay), warm * AVERAGING_S

    def _warm_local_caches(self, role: ServerRole, now: float) -> int:
        budget = self._slow_start[role]
        since = self._endpoints.warming_since
        return sum(not budget.is_warming_up(now, since[server]) for server in self._endpoints.local_caches)
