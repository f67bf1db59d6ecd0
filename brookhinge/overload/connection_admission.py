"""How many connections are accepted, and from which networks. No I/O, no clock.

Keeps a crowd of new connections from taking the loop's time from open requests: the more the loop lags, the
fewer are accepted in one pass; the others wait in the system's queue, which costs nothing. And keeps one
network from taking what descriptors are left: where they are scarce, a connection from a network that holds
more than its share is rejected. Open connections are never touched here.
"""

MAX_ACCEPTS_PER_PASS = 64
MIN_ACCEPTS_PER_PASS = 4
HALVING_LAG_S = 0.02  # of the loop, at which half as many are accepted
SCARCE_SHARE = 0.25  # of the descriptors for clients: with fewer left, shares are enforced
GUARANTEED_CONNECTIONS = 8  # of any network


class ConnectionAdmission:
    """Admits connections to a router with so many descriptors for clients.

    Attributes:
        open: Connections that are open.
        open_by_network: The same for each network that has any.
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
        """How many connections to accept in one pass of a loop that lags by so much."""
        slowdown = 1.0 + max(0.0, lag_s) / HALVING_LAG_S
        return max(MIN_ACCEPTS_PER_PASS, int(MAX_ACCEPTS_PER_PASS / slowdown))

    def admit(self, network: str) -> bool:
        """Whether a new connection from a network is kept; counts it if so."""
        held = self.open_by_network.get(network, 0)
        if self._is_scarce() and held >= self._share():
            self.rejected += 1
            return False
        self.open_by_network[network] = held + 1
        self.open += 1
        self.admitted += 1
        return True

    def _is_scarce(self) -> bool:
        return self.max_connections - self.open < SCARCE_SHARE * self.max_connections

    def _share(self) -> float:
        """Connections that a network may hold while they are scarce."""
        return max(GUARANTEED_CONNECTIONS, self.max_connections / (len(self.open_by_network) + 1))

    def release(self, network: str) -> None:
        """Note that a connection from a network has ended."""
        held = self.open_by_network.get(network, 0)
        if not held:
            return
        self.open -= 1
        if held > 1:
            self.open_by_network[network] = held - 1
        else:
            del self.open_by_network[network]
