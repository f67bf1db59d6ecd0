"""Detects storms of reconnects, busy periods and single misbehaving clients. No I/O, no clock.

No threshold is specific to a deployment: current rates over two seconds are compared with baseline rates
over one minute, which are frozen during overload. In a storm, connections arrive much faster than the
baseline, from many networks, and many requests are retries. A surge of connections from one or two networks
is attributed to a client. More requests than usual of which few are retries are a busy period.
"""

from enum import StrEnum
from math import exp

SHORT_WINDOW_S = 2.0
LONG_WINDOW_S = 60.0
SURGE_FACTOR = 3.0  # multiple of the baseline connection rate that counts as a surge
STORM_RETRY_SHARE = 0.25  # share of retries among the requests that marks a surge as a storm
CLIENT_MAX_NETWORKS = 2.5  # effective networks below which a surge is attributed to a client
MIN_SURGE_RATE = 5.0  # connections or requests per second; lower rates are never a surge or busy
EXIT_FACTOR = 0.5  # hysteresis: an overload state ends at this fraction of its entry thresholds
BUSY_FACTOR = 1.5  # multiple of the baseline request rate at which BUSY begins
BUSY_EXIT_FACTOR = 1.2  # multiple below which BUSY ends
MIN_OBSERVED_SHARE = 0.05  # of the long window; bounds the scaling of baselines soon after the start
MIN_NETWORK_RATE = 0.01  # connections per second, below which a network may be dropped
DEFAULT_MAX_NETWORKS = 1024


class OverloadState(StrEnum):
    """Overload state of a router. The values appear in logs."""

    CALM = "calm"
    BUSY = "busy"
    CLIENT = "client"  # a surge from one or two networks
    STORM = "storm"


_OVERLOAD_STATES = frozenset({OverloadState.CLIENT, OverloadState.STORM})


class DecayingRate:
    """Events per second, averaged over about `window_s` with exponential decay."""

    __slots__ = ("settled_at", "total", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.total = 0.0
        self.settled_at: float | None = None

    def _decay(self, now: float) -> None:
        if self.settled_at is None or now < self.settled_at:  # the first call, or the clock has stepped back
            self.settled_at = now
        self.total *= exp((self.settled_at - now) / self.window_s)
        self.settled_at = now

    def add(self, now: float, amount: float = 1.0) -> None:
        """Count events that occurred at `now`."""
        self._decay(now)
        self.total += amount

    def per_second(self, now: float) -> float:
        """Return the rate at `now`."""
        self._decay(now)
        return self.total / self.window_s


class OverloadDetector:
    """Classifies the load of one router from its new connections, requests and retries.

    Attributes:
        max_networks: Networks that are counted individually, at most.
        state: Overload state at the last update.
        observed_since: Time of the first connection or request; None before it.
        connections: Current rate of new connections.
        requests: Current rate of requests.
        retries: Current rate of retries.
        baseline_connections: Rate of new connections over the long window, frozen during overload.
        baseline_requests: Rate of requests over the long window, frozen during overload.
        networks: Current rate of new connections by network.
    """

    def __init__(self, max_networks: int = DEFAULT_MAX_NETWORKS) -> None:
        """Create a calm detector; beyond `max_networks` the networks with the lowest rates are dropped."""
        self.max_networks = max_networks
        self.state = OverloadState.CALM
        self.observed_since: float | None = None
        self.connections = DecayingRate(SHORT_WINDOW_S)
        self.requests = DecayingRate(SHORT_WINDOW_S)
        self.retries = DecayingRate(SHORT_WINDOW_S)
        self.baseline_connections = DecayingRate(LONG_WINDOW_S)
        self.baseline_requests = DecayingRate(LONG_WINDOW_S)
        self.networks: dict[str, DecayingRate] = {}

    def record_connection(self, now: float, network: str) -> None:
        """Count a new connection from a network."""
        self._record_start(now)
        self.connections.add(now)
        if self.state not in _OVERLOAD_STATES:
            self.baseline_connections.add(now)
        rate = self.networks.get(network)
        if rate is None:
            if len(self.networks) >= self.max_networks:
                self._drop_slowest_networks(now)
            rate = DecayingRate(SHORT_WINDOW_S)
            self.networks[network] = rate
        rate.add(now)

    def record_requests(self, now: float, requests: int, retries: int) -> None:
        """Count requests received since the last call, and the retries among them."""
        self._record_start(now)
        self.requests.add(now, requests)
        self.retries.add(now, retries)
        if self.state not in _OVERLOAD_STATES:
            self.baseline_requests.add(now, requests)

    def _record_start(self, now: float) -> None:
        if self.observed_since is None:
            self.observed_since = now

    def _drop_slowest_networks(self, now: float) -> None:
        by_rate = sorted(self.networks.items(), key=lambda item: -item[1].per_second(now))
        largest = by_rate[: self.max_networks // 2]
        self.networks = {name: rate for name, rate in largest if rate.per_second(now) > MIN_NETWORK_RATE}

    def effective_networks(self, now: float) -> float:
        """Return the effective number of networks that new connections come from.

        This is the inverse of the sum of the squared shares, so a network with few connections adds little.
        """
        rates = [rate.per_second(now) for rate in self.networks.values()]
        total = sum(rates)
        return total * total / sum(rate * rate for rate in rates) if total > 0 else 0.0

    def _baseline(self, rate: DecayingRate, now: float) -> float:
        """Return a rate over the long window, scaled up while less than that window has been observed."""
        observed = 0.0
        if self.observed_since is not None and now > self.observed_since:
            observed = 1.0 - exp((self.observed_since - now) / rate.window_s)
        return rate.per_second(now) / max(observed, MIN_OBSERVED_SHARE)

    def update(self, now: float) -> OverloadState:
        """Update and return the state; an overload state ends only well below its entry thresholds."""
        if self.state in _OVERLOAD_STATES:  # freeze the baselines: no decay
            self.baseline_connections.settled_at = now
            self.baseline_requests.settled_at = now
        self.state = self._next_state(now)
        return self.state

    def _next_state(self, now: float) -> OverloadState:
        factor = EXIT_FACTOR if self.state in _OVERLOAD_STATES else 1.0
        connections = self.connections.per_second(now)
        requests = self.requests.per_second(now)
        retry_share = self.retries.per_second(now) / requests if requests > 0 else 0.0
        surge_rate = max(MIN_SURGE_RATE, SURGE_FACTOR * self._baseline(self.baseline_connections, now))
        is_surge = connections > factor * surge_rate
        if is_surge and self.effective_networks(now) < CLIENT_MAX_NETWORKS:
            return OverloadState.CLIENT
        if is_surge and retry_share > factor * STORM_RETRY_SHARE:
            return OverloadState.STORM
        busy_factor = BUSY_EXIT_FACTOR if self.state == OverloadState.BUSY else BUSY_FACTOR
        busy_rate = busy_factor * max(MIN_SURGE_RATE, self._baseline(self.baseline_requests, now))
        return OverloadState.BUSY if requests > busy_rate else OverloadState.CALM
