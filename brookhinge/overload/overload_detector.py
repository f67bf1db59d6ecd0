"""Tells a storm of reconnects from a busy hour and from one client that misbehaves. No I/O, no clock.

No figure of any deployment: what is usual is measured, and what is unusual is told by how far it is from
that. Rates are kept over two seconds and over a minute, the latter only while there is no overload. In a
storm connections come far faster than usual and many of the requests are retries, from many networks. The
same from one or two networks is a client. More requests of which few are retries are a busy hour.
"""

from enum import StrEnum
from math import exp

SHORT_WINDOW_S = 2.0
LONG_WINDOW_S = 60.0
CROWD_FACTOR = 3.0  # times the usual rate of connections
STORM_RETRY_SHARE = 0.25  # of the requests
CLIENT_MAX_NETWORKS = 2.5
MIN_CROWD_RATE = 5.0  # connections or requests a second, under which nothing is a crowd
LEAVING_FACTOR = 0.5  # a state is left only at this part of what began it
BUSY_FACTOR = 1.5  # times the usual rate of requests
STILL_BUSY_FACTOR = 1.2
MIN_OBSERVED_SHARE = 0.05  # of the long window, for what is usual soon after the start
FORGOTTEN_RATE = 0.01  # connections a second, below which a network need not be counted
DEFAULT_MAX_NETWORKS = 1024


class OverloadState(StrEnum):
    """What goes on. The values stand in logs."""

    CALM = "calm"
    BUSY = "busy"
    CLIENT = "client"  # a crowd from one or two networks
    STORM = "storm"


_CROWDED_STATES = frozenset({OverloadState.CLIENT, OverloadState.STORM})


class DecayingRate:
    """Events a second, averaged over about `window_s` with exponential decay."""

    __slots__ = ("settled_at", "total", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.total = 0.0
        self.settled_at: float | None = None

    def _settle(self, now: float) -> None:
        if self.settled_at is None or now < self.settled_at:  # the first, or the clock has stepped back
            self.settled_at = now
        self.total *= exp((self.settled_at - now) / self.window_s)
        self.settled_at = now

    def add(self, now: float, amount: float = 1.0) -> None:
        """Count events."""
        self._settle(now)
        self.total += amount

    def per_second(self, now: float) -> float:
        """The rate at a time."""
        self._settle(now)
        return self.total / self.window_s


class OverloadDetector:
    """Watches connections and requests.

    Attributes:
        observed_since: When the first of them came; None before.
    """

    def __init__(self, max_networks: int = DEFAULT_MAX_NETWORKS) -> None:
        """`max_networks`: those that are counted one by one; beyond them the smallest give way."""
        self.max_networks = max_networks
        self.state = OverloadState.CALM
        self.observed_since: float | None = None
        self.connections = DecayingRate(SHORT_WINDOW_S)
        self.requests = DecayingRate(SHORT_WINDOW_S)
        self.retries = DecayingRate(SHORT_WINDOW_S)
        self.usual_connections = DecayingRate(LONG_WINDOW_S)
        self.usual_requests = DecayingRate(LONG_WINDOW_S)
        self.networks: dict[str, DecayingRate] = {}  # connections of each

    def record_connection(self, now: float, network: str) -> None:
        """Count a new connection."""
        self._observe(now)
        self.connections.add(now)
        if self.state not in _CROWDED_STATES:
            self.usual_connections.add(now)
        rate = self.networks.get(network)
        if rate is None:
            if len(self.networks) >= self.max_networks:
                self._forget_smallest(now)
            rate = DecayingRate(SHORT_WINDOW_S)
            self.networks[network] = rate
        rate.add(now)

    def record_requests(self, now: float, requests: int, retries: int) -> None:
        """Count requests that have come since the last call, and the retries among them."""
        self._observe(now)
        self.requests.add(now, requests)
        self.retries.add(now, retries)
        if self.state not in _CROWDED_STATES:
            self.usual_requests.add(now, requests)

    def _observe(self, now: float) -> None:
        if self.observed_since is None:
            self.observed_since = now

    def _forget_smallest(self, now: float) -> None:
        by_rate = sorted(self.networks.items(), key=lambda item: -item[1].per_second(now))
        largest = by_rate[: self.max_networks // 2]
        self.networks = {name: rate for name, rate in largest if rate.per_second(now) > FORGOTTEN_RATE}

    def effective_networks(self, now: float) -> float:
        """How many networks the connections come from, counted by how evenly they stand among them.

        This is the inverse of the sum of the squared shares.
        """
        rates = [rate.per_second(now) for rate in self.networks.values()]
        total = sum(rates)
        return total * total / sum(rate * rate for rate in rates) if total > 0 else 0.0

    def _usual(self, rate: DecayingRate, now: float) -> float:
        """A rate over the long window, as far as it has been observed."""
        observed = 0.0
        if self.observed_since is not None and now > self.observed_since:
            observed = 1.0 - exp((self.observed_since - now) / rate.window_s)
        return rate.per_second(now) / max(observed, MIN_OBSERVED_SHARE)

    def update(self, now: float) -> OverloadState:
        """Update and return the state; it is left only when the signs are down to a part of what began it."""
        if self.state in _CROWDED_STATES:  # what is usual stands still meanwhile
            self.usual_connections.settled_at = now
            self.usual_requests.settled_at = now
        self.state = self._next_state(now)
        return self.state

    def _next_state(self, now: float) -> OverloadState:
        factor = LEAVING_FACTOR if self.state in _CROWDED_STATES else 1.0
        connections = self.connections.per_second(now)
        requests = self.requests.per_second(now)
        retry_share = self.retries.per_second(now) / requests if requests > 0 else 0.0
        crowd_rate = max(MIN_CROWD_RATE, CROWD_FACTOR * self._usual(self.usual_connections, now))
        is_crowd = connections > factor * crowd_rate
        if is_crowd and self.effective_networks(now) < CLIENT_MAX_NETWORKS:
            return OverloadState.CLIENT
        if is_crowd and retry_share > factor * STORM_RETRY_SHARE:
            return OverloadState.STORM
        busy_factor = STILL_BUSY_FACTOR if self.state == OverloadState.BUSY else BUSY_FACTOR
        busy_rate = busy_factor * max(MIN_CROWD_RATE, self._usual(self.usual_requests, now))
        return OverloadState.BUSY if requests > busy_rate else OverloadState.CALM
