"""Selects the cache for a request.

It is a holder of the object, or else its home on the beacon rings, or else a substitute for that.

An object in demand gets an additional replica, filled from a holder.
"""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from brookhinge.decisions.beacon_rings import BeaconRings
from brookhinge.decisions.class_statistics import ClassStatistics
from brookhinge.decisions.concurrency import ConcurrencyLimiter
from brookhinge.decisions.eligibility import ServerEligibility
from brookhinge.decisions.endpoints import EndpointTable
from brookhinge.decisions.object_state import ObjectTable
from brookhinge.decisions.request_state import RequestState
from brookhinge.decisions.settings import SiblingFills

# Seconds of transfers that must have been observed before a cache may count as slower than its peers.
SLOW_EVIDENCE_S = 2.0


class CacheChoice(NamedTuple):
    """The cache chosen for a request."""

    server: int
    has_capacity: bool
    is_holder: bool  # whether it recently served a copy that is still fresh
    sibling: int | None = None  # the holder from which the cache is filled, or None


class ServerSelector:
    """Selects the cache for each request. Times are seconds."""

    def __init__(
        self,
        endpoints: EndpointTable,
        *,
        rings: BeaconRings,
        objects: ObjectTable,
        eligibility: ServerEligibility,
        concurrency: ConcurrencyLimiter,
        statistics: ClassStatistics,
        siblings: SiblingFills,
        rng: Random,
    ) -> None:
        self._endpoints = endpoints
        self._rings = rings
        self._objects = objects
        self._eligibility = eligibility
        self._concurrency = concurrency
        self._statistics = statistics
        self._siblings = siblings
        self._rng = rng

    def choose(self, request: RequestState, share: float, now: float) -> CacheChoice | None:
        """Return the cache for a request; None if no cache may serve it.

        `share` is the fraction of a concurrency limit that is open to the request.
        """
        work = self._statistics.transfer_s[request.class_index]
        holders, candidates = self._candidates(request, now)
        home = next(
            (
                server_index
                for server_index in candidates
                if self._eligibility.admits_work(server_index, work, request, now)
            ),
            None,
        )
        if home is None:
            return None
        server, has_capacity = self._find_capacity(home, request, holders, candidates, share, now)
        fresh_s = request.request_class.fresh_s
        # A holder's copy that is no longer fresh has to be filled again.
        is_stale = 0.0 < fresh_s < now - request.object.filled_at
        is_holder = server in holders and not is_stale
        if is_holder and request.attempts == 0:
            replica = self._new_replica(server, request, holders, share, now)
            if replica is not None:
                return CacheChoice(replica, has_capacity=True, is_holder=False, sibling=server)
        return CacheChoice(server, has_capacity, is_holder)

    def _candidates(self, request: RequestState, now: float) -> tuple[list[int], list[int]]:
        """Return the known holders, and all available caches in order of preference.

        That order is the holders by load, then the home, then its substitutes.
        """
        endpoints = self._endpoints
        beacon_order = self._rings.beacon_order(request.object.code)
        holders: list[int] = []
        if not request.is_uncacheable:  # nothing executed at the origin is cached
            known = self._eligibility.current_holders(request.object, now)
            holders = [
                server for server in known if server in beacon_order and server not in request.failed_servers
            ]
        order = beacon_order
        if holders:
            load = {
                server: (
                    endpoints.in_flight[server] / (endpoints.weight[server] or 1.0),
                    self._rng.random(),
                )
                for server in holders
            }
            order = sorted(holders, key=load.get) + [server for server in beacon_order if server not in load]
        return holders, [server for server in order if self._eligibility.is_available(server, request, now)]

    def _find_capacity(
        self,
        home: int,
        request: RequestState,
        holders: Sequence[int],
        candidates: Sequence[int],
        share: float,
        now: float,
    ) -> tuple[int, bool]:
        """Return the chosen cache or a substitute with capacity, and whether the returned cache has capacity.

        A cache that is not a holder would miss and need another fill, so normally only holders substitute
        for each other. Any cache may substitute for one that is slower than its peers.
        """
        if self._eligibility.has_capacity(home, share, now):
            return home, True
        peers = self._endpoints.local_caches
        is_slow = self._concurrency.is_slower_than_peers(home, now, peers, evidence_s=SLOW_EVIDENCE_S)
        if not is_slow and home not in holders:
            return home, False
        work = self._statistics.transfer_s[request.class_index]
        others = [
            server
            for server in candidates
            if (is_slow or server in holders)
            and server != home
            and self._eligibility.has_capacity(server, share, now)
        ]
        other = next(
            (server for server in others if self._eligibility.admits_work(server, work, request, now)), None
        )
        return (home, False) if other is None else (other, True)

    def _new_replica(
        self, holder: int, request: RequestState, holders: Sequence[int], share: float, now: float
    ) -> int | None:
        """Return a cache for another replica, or None if demand is too low or the cache cannot fill it."""
        caches = self._endpoints.local_caches
        max_holders = (len(caches) + 1) // 2
        if len(holders) >= max_holders:
            return None
        if self._objects.replication_utility(request.object, len(holders), now) <= 1.0:
            return None
        last_position = caches.index(holders[-1])
        replica = next(
            (
                server
                for server in caches[last_position + 1 :] + caches[:last_position]
                if server not in holders
            ),
            None,
        )
        if replica is None or self._siblings is SiblingFills.NONE:
            return None
        work = self._statistics.transfer_s[request.class_index]
        can_fill = (
            self._eligibility.is_available(replica, request, now)
            and not self._eligibility.is_warming_up(holder, now)
            and self._eligibility.has_capacity(replica, share, now)
            and self._eligibility.admits_work(replica, work, request, now)
        )
        return replica if can_fill else None
