"""How many connections are taken, and whose. No I/O, no clock.

Guards against a crowd at the door taking the loop's time from queries that are open: the more the loop lags, the fewer are
taken in one pass; the others wait in the system's queue, which costs nothing. And against one network taking what
descriptors are left: where they are scarce, a newcomer from a network that holds more than its share is turned away.
Connections that are open are never touched here."""

MOST, LEAST = 64, 4  # connections taken in one pass
LAG_S = 0.02  # of the loop, at which half as many are taken
SCARCE = 0.25  # of the descriptors for clients: with fewer left, shares are looked at
FAIR = 8  # a network may always hold so many


class Door:
    """sockets: descriptors for clients."""

    def __init__(self, sockets):
        self.sockets, self.held, self.open = sockets, {}, 0
        self.counts = dict(let_in=0, turned_away=0)

    def in_a_pass(self, lag_s):
        """How many connections to take now."""
        return max(LEAST, int(MOST / (1.0 + max(0.0, lag_s) / LAG_S)))

    def lets_in(self, network):
        """Whether a newcomer from there is kept; counts it if so."""
        held = self.held.get(network, 0)
        left = self.sockets - self.open
        if left < SCARCE * self.sockets and held >= max(FAIR, self.sockets / (len(self.held) + 1)):
            self.counts["turned_away"] += 1
            return False
        self.held[network] = held + 1
        self.open += 1
        self.counts["let_in"] += 1
        return True

    def left(self, network):
        held = self.held.get(network, 0)
        if held:
            self.open -= 1
            if held > 1:
                self.held[network] = held - 1
            else:
                del self.held[network]
