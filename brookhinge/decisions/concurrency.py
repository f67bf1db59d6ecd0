"""Concurrency limits for the requests in flight to each server and through the location's uplink.

A limit follows the ratio of an object's shortest response time to its current one. A router cannot see the
requests that other routers have in flight. It sees their effect as congestion: the time that responses take
beyond their shortest time.
"""

import math
from collections.abc import Sequence
from random import Random

from brookhinge.decisions.outliers import median_of_peers

UPLINK = -1  # index of the location's uplink where a server index is expected

INITIAL_LIMIT = 32.0
UNKNOWN_LIMIT = INITIAL_LIMIT / 4  # initial limit of a server of unknown weight, raised by probing
MIN_LIMIT = 4.0
MAX_LIMIT = 200.0
LIMIT_UPDATE_S = 0.25
LIMIT_SMOOTHING = 0.2
PACE_SMOOTHING = 0.05

CONGESTION_DECAY_S = 3.0
PRIOR_TRANSFER_S = 0.5  # weight of the default congestion, in transfer seconds
SHEDDING_CONGESTION = 1.5  # congestion above normal at which all requests are shed
UPLINK_SHEDDING_FACTOR = 0.5  # sheds earlier: all responses through a full uplink are late together
NORMAL_CONGESTION = 0.4  # of a cache server that is always slow
NORMAL_UPSTREAM_CONGESTION = 0.2
MAX_ROUTERS_WITH_FULL_ALLOWANCE = 8.0  # above it, each router causes only a small part of the load

MIN_WEIGHT_SHARE = 0.6  # share of a server's weight that every router may have in flight
WEIGHT_SHARE_RANGE = 1.9  # added to it, multiplied by the router's share of the server
LIMIT_FLOOR = 0.7  # lowest limit, as a share of the maximum that the weight allows


class CongestionSample:
    """Holds decayed sums of expected response seconds and of the seconds in excess of them."""

    __slots__ = ("at", "excess_s", "transfer_s")

    def __init__(self, at: float) -> None:
        self.at = at
        self.excess_s = 0.0
        self.transfer_s = 0.0


class ConcurrencyLimiter:
    """Limits the concurrency of servers and of the uplink. Times are seconds.

    Protects servers that are full or slowing down. It can shed too much where the response time of an object
    varies for other reasons.
    """

    def __init__(self, routers: int) -> None:
        """Take the number of routers that share the servers."""
        self.routers = routers
        self.limit: dict[int, float] = {}
        self.pace: dict[int, float] = {}  # ratio of shortest to current response time, smoothed
        self.limit_updated_at: dict[int, float] = {}
        self.congestion_samples: dict[int, CongestionSample] = {}

    def forget(self, server: int) -> None:
        """Drop the figures of a server whose index is being reused for another server."""
        for figures in (self.limit, self.pace, self.limit_updated_at, self.congestion_samples):
            figures.pop(server, None)

    def record_time(self, server: int, now: float, transfer_s: float, excess_s: float) -> None:
        """Record by how much a response exceeded `transfer_s`, the time that it is measured against."""
        sample = self.congestion_samples.get(server)
        if sample is None:
            sample = self.congestion_samples[server] = CongestionSample(now)
        decay = math.exp((sample.at - now) / CONGESTION_DECAY_S)
        sample.at = now
        sample.excess_s = sample.excess_s * decay + max(0.0, excess_s)
        sample.transfer_s = sample.transfer_s * decay + transfer_s

    def congestion(self, server: int, now: float, default: float = 0.0) -> float:
        """Return the excess time of responses as a multiple of the times they are measured against.

        With few samples, the result is weighted toward `default`.
        """
        sample = self.congestion_samples.get(server)
        if sample is None:
            return default
        prior = PRIOR_TRANSFER_S * math.exp((now - sample.at) / CONGESTION_DECAY_S)
        return (sample.excess_s + prior * default) / (prior + sample.transfer_s)

    def is_slower_than_peers(
        self, server: int, now: float, peers: Sequence[int], margin: float = 0.5, evidence_s: float = 0.0
    ) -> bool:
        """Return whether a server is far slower than the faster half of its peers.

        Returns False if there are fewer than `evidence_s` seconds of transfers to judge the server by.
        """
        peer_congestion = median_of_peers(
            {peer: self.congestion(peer, now) for peer in peers}, server, peers, 0.0
        )
        if peer_congestion is None or self.congestion(server, now) <= margin + 2.0 * peer_congestion:
            return False
        sample = self.congestion_samples.get(server)
        return (sample.transfer_s if sample else 0.0) >= evidence_s

    def admits(self, server: int, now: float, share: float, rng: Random, is_upstream: bool = False) -> bool:
        """Return whether to admit a request, at random: the higher the congestion, the fewer are admitted.

        `share` is the part of a limit that the request may use.
        """
        allowance = min(1.0, MAX_ROUTERS_WITH_FULL_ALLOWANCE / self.routers)
        normal = (NORMAL_UPSTREAM_CONGESTION if is_upstream else NORMAL_CONGESTION) * allowance
        default = self.congestion(UPLINK, now) if is_upstream else 0.0
        excess = self.congestion(server, now, default) - normal
        factor = UPLINK_SHEDDING_FACTOR if is_upstream else 1.0
        shed_probability = excess / (factor * SHEDDING_CONGESTION * share) * (1.0 - 1.0 / self.routers)
        return shed_probability <= 0.0 or rng.random() >= shed_probability

    def update_limit(self, server: int, now: float, ratio: float, in_flight: int) -> None:
        """Update a limit by a response; `ratio` is its shortest over its actual time, 0 if it was shed."""
        pace = (1.0 - PACE_SMOOTHING) * self.pace.get(server, 1.0) + PACE_SMOOTHING * ratio
        self.pace[server] = pace
        if now - self.limit_updated_at.get(server, -1.0) < LIMIT_UPDATE_S:
            return
        self.limit_updated_at[server] = now
        limit = self.limit.get(server, UNKNOWN_LIMIT)
        target = limit * max(0.5, pace) + limit**0.5
        if target < limit or in_flight > limit / 2:
            smoothed = (1.0 - LIMIT_SMOOTHING) * limit + LIMIT_SMOOTHING * target
            self.limit[server] = max(MIN_LIMIT, min(MAX_LIMIT, smoothed))

    def current_limit(self, server: int) -> float:
        """Return the limit as last updated."""
        return self.limit.get(server, UNKNOWN_LIMIT)

    def share(self, server: int) -> float:
        """Return this router's share of the requests that all routers may have in flight."""
        return 1.0 / self.routers

    def has_capacity(self, server: int, in_flight: int, share: float, weight: float = 0.0) -> bool:
        """Return whether one more request may be in flight, for a request that may use `share` of the limit.

        A known `weight`, the concurrent transfers at full speed, bounds the limit from above and below, and
        the limit may start high since congestion shows at once. If the weight is 0, the limit starts low and
        is raised by probing.
        """
        limit = self.limit.setdefault(server, INITIAL_LIMIT if weight or server == UPLINK else UNKNOWN_LIMIT)
        maximum = weight * (MIN_WEIGHT_SHARE + WEIGHT_SHARE_RANGE * self.share(server)) or MAX_LIMIT
        floor = LIMIT_FLOOR * maximum if weight else 0.0
        return in_flight < share * min(max(limit, floor), maximum)
