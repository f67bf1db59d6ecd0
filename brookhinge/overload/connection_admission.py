"""Admission of new client connections, by loop lag and by client network. No I/O, no clock.

A burst of new connections must not take the event loop's time from open requests: the more the loop lags,
the fewer connections are accepted per pass, and the others wait in the kernel's backlog at no cost. Nor may
one network use up the remaining file descriptors: while they are scarce, a connection from a network that
already has its share is rejected. Open connections are never closed here.
"""

MAX_ACCEPTS_PER_PASS = 64
MIN_ACCEPTS_PER_PASS = 4
HALVING_LAG_S = 0.02  # loop lag at which half as many connections are accepted per pass
SCARCE_SHARE = 0.25  # of the client descriptors; with fewer free, network shares are enforced
GUARANTEED_CONNECTIONS = 8  # per network, however scarce descriptors are


class ConnectionAdmission:
    """Admits or rejects new client connections of one router.

    Attributes:
        max_connections: File descriptors available for clients.
        open: Number of open connections.
        open_by_network: Number of open connections of each network that has any.
        admitted: Connections admitted since the start.
        rejected: Connections rejected since the start.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.open = 0
        self.open_by_network: dict[str, int] = {}
        self.admitted = 0
        self.rejected = 0

    def max_accepts(self, lag_s: float) -> int:
        """Return how many connections to accept in one pass of a loop that lags by `lag_s`."""
        slowdown = 1.0 + max(0.0, lag_s) / HALVING_LAG_S
        return max(MIN_ACCEPTS_PER_PASS, int(MAX_ACCEPTS_PER_PASS / slowdown))

    def admit(self, network: str) -> bool:
        """Decide whether to keep a new connection from a network, and count it as admitted or rejected."""
        open_from_network = self.open_by_network.get(network, 0)
        if self._is_scarce() and open_from_network >= self._network_share():
            self.rejected += 1
            return False
        self.open_by_network[network] = open_from_network + 1
        self.open += 1
        self.admitted += 1
        return True

    def _is_scarce(self) -> bool:
        return self.max_connections - self.open < SCARCE_SHARE * self.max_connections

    def _network_share(self) -> float:
        """Return how many connections a network may have open while descriptors are scarce."""
        return max(GUARANTEED_CONNECTIONS, self.max_connections / (len(self.open_by_network) + 1))

    def release(self, network: str) -> None:
        """Record that a connection from a network has ended."""
        open_from_network = self.open_by_network.get(network, 0)
        if not open_from_network:
            return
        self.open -= 1
        if open_from_network > 1:
            self.open_by_network[network] = open_from_network - 1
        else:
            del self.open_by_network[network]
