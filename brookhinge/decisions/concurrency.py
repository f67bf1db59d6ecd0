"""Concurrency limits: how much may be in flight to each server, and through the location's uplink.

A limit follows the shortest response time of an object over its present one. What other routers have in
flight is out of
sight: it shows as congestion, the time that responses take beyond their shortest.
"""

import math
from collections.abc import Sequence
from random import Random

from brookhinge.decisions.outliers import median_of_peers

UPLINK = -1  # stands for the location's uplink among the server indices

INITIAL_LIMIT = 32.0
UNKNOWN_LIMIT = INITIAL_LIMIT / 4  # the first limit where no weight is told: it is found from low
MIN_LIMIT = 4.0
MAX_LIMIT = 200.0
LIMIT_UPDATE_S = 0.25
LIMIT_SMOOTHING = 0.2
PACE_SMOOTHING = 0.05

CONGESTION_DECAY_S = 3.0
PRIOR_TRANSFER_S = 0.5  # transfer seconds that a first guess of the congestion counts for
SHEDDING_CONGESTION = 1.5  # beyond the usual, at which nothing goes any more
UPLINK_SHEDDING_FACTOR = 0.5  # what goes through a full uplink comes late together
USUAL_CONGESTION = 0.4  # of a cache that is slow by nature
USUAL_UPSTREAM_CONGESTION = 0.2
ROUTERS_WITH_OWN_VIEW = 8.0  # of more routers little of a server's load is this one's own

MIN_WEIGHT_SHARE = 0.6  # transfers per weight that any router may have in flight
WEIGHT_SHARE_RANGE = 1.9  # and what it may have beside that, by its share
LIMIT_FLOOR = 0.7  # of the most that the weight allows


class CongestionSample:
    """Decayed sums of transfer seconds and of the seconds beyond them."""

    __slots__ = ("at", "excess_s", "transfer_s")

    def __init__(self, at: float) -> None:
        self.at = at
        self.excess_s = 0.0
        self.transfer_s = 0.0


class ConcurrencyLimiter:
    """Concurrency limits of servers and of the uplink. Times are seconds.

    It guards against a full or slowing server; it could harm where response times of one object vary by
    themselves.
    """

    def __init__(self, routers: int) -> None:
        """`routers` is how many share the servers."""
        self.routers = routers
        self.limit: dict[int, float] = {}
        self.pace: dict[int, float] = {}  # shortest over present response time, smoothed
        self.limited_at: dict[int, float] = {}
        self.congestion_samples: dict[int, CongestionSample] = {}

    def forget(self, server: int) -> None:
        """Drop what is known of a server: its index belongs to another from here on."""
        for figures in (self.limit, self.pace, self.limited_at, self.congestion_samples):
            figures.pop(server, None)

    def record_time(self, server: int, now: float, transfer_s: float, excess_s: float) -> None:
        """Count what a response took beyond the time that it is held against."""
        sample = self.congestion_samples.get(server)
        if sample is None:
            sample = self.congestion_samples[server] = CongestionSample(now)
        decay = math.exp((sample.at - now) / CONGESTION_DECAY_S)
        sample.at = now
        sample.excess_s = sample.excess_s * decay + max(0.0, excess_s)
        sample.transfer_s = sample.transfer_s * decay + transfer_s

    def congestion(self, server: int, now: float, default: float = 0.0) -> float:
        """Return what responses take beyond their shortest times, as a multiple of those.

        Where there are few, the figure is drawn to `default`.
        """
        sample = self.congestion_samples.get(server)
        if sample is None:
            return default
        prior = PRIOR_TRANSFER_S * math.exp((now - sample.at) / CONGESTION_DECAY_S)
        return (sample.excess_s + prior * default) / (prior + sample.transfer_s)

    def is_slower_than_peers(
        self, server: int, now: float, peers: Sequence[int], margin: float = 0.5, evidence_s: float = 0.0
    ) -> bool:
        """Whether a server is far slower than the quicker half of its peers.

        It must be known by `evidence_s` seconds of transfers at least.
        """
        usual = median_of_peers({peer: self.congestion(peer, now) for peer in peers}, server, peers, 0.0)
        if usual is None or self.congestion(server, now) <= margin + 2.0 * usual:
            return False
        sample = self.congestion_samples.get(server)
        return (sample.transfer_s if sample else 0.0) >= evidence_s

    def admits(self, server: int, now: float, share: float, rng: Random, is_upstream: bool = False) -> bool:
        """Whether congestion lets a request through: the longer responses take, the fewer go.

        `share` is the part of a limit that is open to the request.
        """
        own_view = min(1.0, ROUTERS_WITH_OWN_VIEW / self.routers)
        usual = (USUAL_UPSTREAM_CONGESTION if is_upstream else USUAL_CONGESTION) * own_view
        default = self.congestion(UPLINK, now) if is_upstream else 0.0
        excess = self.congestion(server, now, default) - usual
        factor = UPLINK_SHEDDING_FACTOR if is_upstream else 1.0
        shed_probability = excess / (factor * SHEDDING_CONGESTION * share) * (1.0 - 1.0 / self.routers)
        return shed_probability <= 0.0 or rng.random() >= shed_probability

    def update_limit(self, server: int, now: float, ratio: float, in_flight: int) -> None:
        """Take a response: `ratio` is the shortest over its response time, 0 for one that was shed."""
        pace = (1.0 - PACE_SMOOTHING) * self.pace.get(server, 1.0) + PACE_SMOOTHING * ratio
        self.pace[server] = pace
        if now - self.limited_at.get(server, -1.0) < LIMIT_UPDATE_S:
            return
        self.limited_at[server] = now
        limit = self.limit.get(server, UNKNOWN_LIMIT)
        target = limit * max(0.5, pace) + limit**0.5
        if target < limit or in_flight > limit / 2:
            smoothed = (1.0 - LIMIT_SMOOTHING) * limit + LIMIT_SMOOTHING * target
            self.limit[server] = max(MIN_LIMIT, min(MAX_LIMIT, smoothed))

    def current_limit(self, server: int) -> float:
        """Return the limit found so far."""
        return self.limit.get(server, UNKNOWN_LIMIT)

    def share(self, server: int) -> float:
        """Return this router's part of what all may have in flight."""
        return 1.0 / self.routers

    def has_capacity(self, server: int, in_flight: int, share: float, weight: float = 0.0) -> bool:
        """Whether one more may be in flight for who has that share of the limit.

        Where `weight`, the transfers at full pace, is told, congestion shows at once; else the limit is
        found from low.
        """
        limit = self.limit.setdefault(server, INITIAL_LIMIT if weight or server == UPLINK else UNKNOWN_LIMIT)
        most = weight * (MIN_WEIGHT_SHARE + WEIGHT_SHARE_RANGE * self.share(server)) or MAX_LIMIT
        floor = LIMIT_FLOOR * most if weight else 0.0
        return in_flight < share * min(max(limit, floor), most)
