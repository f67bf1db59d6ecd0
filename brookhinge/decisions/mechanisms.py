"""The mechanisms of one router, and the queries that need several of them."""

import math
from collections.abc import Sequence
from random import Random

from brookhinge.decisions import rules
from brookhinge.decisions.beacon_rings import BeaconRings
from brookhinge.decisions.class_statistics import ClassStatistics
from brookhinge.decisions.concurrency import ConcurrencyLimiter
from brookhinge.decisions.eligibility import ServerEligibility
from brookhinge.decisions.endpoints import EndpointTable, ServerRole
from brookhinge.decisions.fault_attribution import FaultAttribution
from brookhinge.decisions.feedback import Feedback
from brookhinge.decisions.fill_planning import FillPlanner
from brookhinge.decisions.local_cache import LocalCache
from brookhinge.decisions.object_state import ObjectTable
from brookhinge.decisions.origin_breaker import OriginCircuitBreaker
from brookhinge.decisions.outliers import OutlierEjector
from brookhinge.decisions.purges import PurgeRecord
from brookhinge.decisions.request_state import RequestState
from brookhinge.decisions.retry_budget import RetryBudget
from brookhinge.decisions.retry_schedule import RetrySchedule
from brookhinge.decisions.server_selection import ServerSelector
from brookhinge.decisions.settings import (
    FillPolicy,
    Location,
    Machine,
    RequestClass,
    RouterLimits,
    SlowStart,
)
from brookhinge.decisions.sink import DecisionSink
from brookhinge.decisions.slow_start import SlowStartBudget
from brookhinge.decisions.throughput import ThroughputEstimate


class RouterMechanisms:
    """Creates and holds the mechanisms of one router.

    Subclasses that share limits or evidence with other routers override the `create_` methods.

    Attributes:
        requests: Requests without a final response, by request id.
        fills_in_flight: Number of attempts whose response is expected to come through the uplink.
        knows_all_purges: Whether every purge sent so far is known; False if one may not have arrived yet.
        purges_known_until: Time up to which every purge is known, even if the command channel is silent.
    """

    def __init__(
        self,
        seed: int,
        *,
        request_classes: Sequence[RequestClass],
        location: Location,
        limits: RouterLimits,
        fill_policy: FillPolicy,
        cache_slow_start: SlowStart,
        parent_slow_start: SlowStart,
        purge_settled_s: float,
        server_kinds: tuple[str, str],
        machine: Machine | None = None,
        retry_schedule: RetrySchedule | None = None,
    ) -> None:
        """Create all mechanisms.

        `server_kinds` are the names of parents and of origins in the endpoint list. `machine` describes the
        router's memory and link; with None the router keeps no copies. `retry_schedule` reserves retry times
        for rejected clients; with None they get a short random time.
        """
        self.rng = Random(seed)
        self.request_classes = request_classes
        self.limits = limits
        self.fill_policy = fill_policy
        self.retry_schedule = retry_schedule
        self.requests: dict[int, RequestState] = {}
        self.fills_in_flight = 0
        self.knows_all_purges = True
        self.purges_known_until = math.inf
        self.now = 0.0
        self.sink: DecisionSink | None = None
        self.endpoints = EndpointTable(*server_kinds, location.zone)
        self.rings = BeaconRings()
        self.objects = ObjectTable(
            machine.memory_mb if machine else None,
            states_in_use=lambda: (request.object for request in self.requests.values()),
        )
        self.purges = self.create_purge_record(purge_settled_s)
        self.statistics = ClassStatistics(request_classes)
        self.origin_breaker = OriginCircuitBreaker()
        self.retry_budget = RetryBudget(self.rng)
        self.local_cache = LocalCache()
        if machine:
            self.local_cache = LocalCache(machine.memory_mb, machine.flow_bytes_s, machine.link_bytes_s)
        self.slow_start = {
            ServerRole.CACHE: self.create_slow_start_budget(cache_slow_start, location.routers_here),
            ServerRole.PARENT: self.create_slow_start_budget(parent_slow_start, location.routers),
        }
        self.cache_outliers = self.create_cache_ejector()
        self.parent_outliers = OutlierEjector()
        self.concurrency = self.create_concurrency_limiter(location.routers_here)
        self.throughput = ThroughputEstimate(self.endpoints, self.slow_start, location.weights_known)
        self._create_dependent_mechanisms(location.routers_here)

    def create_purge_record(self, settled_s: float) -> PurgeRecord:
        """Create the record of purges."""
        return PurgeRecord(settled_s)

    def create_slow_start_budget(self, start: SlowStart, routers: int) -> SlowStartBudget:
        """Create the slow-start budget for the servers of one role."""
        return SlowStartBudget(start, routers)

    def create_concurrency_limiter(self, routers: int) -> ConcurrencyLimiter:
        """Create the limiter of concurrent requests."""
        return ConcurrencyLimiter(routers)

    def create_cache_ejector(self) -> OutlierEjector:
        """Create the outlier ejector of the caches."""
        return OutlierEjector()

    def _create_dependent_mechanisms(self, routers_here: int) -> None:
        """Create the mechanisms that depend on others."""
        shared = {"concurrency": self.concurrency, "statistics": self.statistics}
        self.eligibility = ServerEligibility(
            self.endpoints,
            slow_start=self.slow_start,
            cache_outliers=self.cache_outliers,
            parent_outliers=self.parent_outliers,
            throughput=self.throughput,
            rng=self.rng,
            **shared,
        )
        self.selector = ServerSelector(
            self.endpoints,
            rings=self.rings,
            objects=self.objects,
            eligibility=self.eligibility,
            siblings=self.fill_policy.siblings,
            rng=self.rng,
            **shared,
        )
        self.fill_planner = FillPlanner(
            self.endpoints,
            eligibility=self.eligibility,
            origin_breaker=self.origin_breaker,
            routers_here=routers_here,
            rng=self.rng,
            **shared,
        )
        self.feedback = Feedback(
            self.endpoints,
            throughput=self.throughput,
            purges=self.purges,
            notes=self.fill_policy.notes,
            **shared,
        )
        self.fault_attribution = FaultAttribution(
            self.endpoints,
            concurrency=self.concurrency,
            cache_outliers=self.cache_outliers,
            parent_outliers=self.parent_outliers,
            notes=self.fill_policy.notes,
        )

    def slow_start_bound(self, server: int | str, now: float) -> tuple[float, float] | None:
        """Return the seconds of transfer that all routers may send to a server in a window, and the window.

        The window is in seconds. Returns None if the server is unknown, is warm, or cannot be overloaded.
        """
        server_index = self.endpoints.index.get(server)
        budget = self.slow_start.get(self.endpoints.role[server_index]) if server_index is not None else None
        if budget is None or not budget.is_limited(now, self.endpoints.warming_since[server_index]):
            return None
        mean_s = self.statistics.mean_transfer_s()
        warm_capacity = self.throughput.warm_capacity(server_index, self.now)
        capacity = budget.capacity(now, self.endpoints.warming_since[server_index], warm_capacity)
        requests = budget.overload_work(capacity) / mean_s
        return rules.slow_start_bound(requests) * mean_s, budget.start.window_s

    def mean_transfer_s(self, class_index: int) -> float:
        """Return the mean transfer time of a request class."""
        return self.statistics.transfer_s[class_index]

    def forget_request(self, request_id: int) -> None:
        """Drop the state of a request that was ended by the caller rather than by a decision."""
        self.requests.pop(request_id, None)
