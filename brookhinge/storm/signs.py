"""Whether this is a storm, a busy hour, or one client that misbehaves. No I/O, no clock, no figure of any deployment: what
is usual is measured, and what is not is told by how far it is from that.

Rates are kept over two seconds and over a minute, the latter only while it is calm. A storm: connections come far
faster than usual and many of the queries are returns, from many networks. The same from one or two networks is a client.
More queries of which few are returns are a busy hour."""

from math import exp

QUICK_S, USUAL_S = 2.0, 60.0
CALM, BUSY, CLIENT, STORM = "calm", "busy", "client", "storm"
FAR = 3.0  # times the usual
RETURNS = 0.25  # share of returns among queries
FEW = 2.5  # networks, by how evenly the connections stand among them
LEAST = 5.0  # connections a second, under which nothing is a crowd


class Rate:
    """Events a second, over `over_s`."""

    __slots__ = ("over_s", "sum", "at")

    def __init__(self, over_s):
        self.over_s, self.sum, self.at = over_s, 0.0, None

    def settle(self, now):
        if self.at is None or now < self.at:  # the first, or the clock has stepped back
            self.at = now
        self.sum *= exp((self.at - now) / self.over_s)
        self.at = now

    def add(self, now, amount=1.0):
        self.settle(now)
        self.sum += amount

    def now(self, now):
        self.settle(now)
        return self.sum / self.over_s


class Signs:
    """most: networks that are counted one by one; the smallest give way."""

    def __init__(self, most=1024):
        self.most, self.state, self.since, self.began = most, CALM, None, None
        self.connects, self.queries, self.returns = (Rate(QUICK_S) for _ in range(3))
        self.usual_connects, self.usual_queries = Rate(USUAL_S), Rate(USUAL_S)
        self.networks = {}  # network -> Rate of its connections

    def connected(self, now, network):
        self.began = now if self.began is None else self.began
        self.connects.add(now)
        if self.state in (CALM, BUSY):
            self.usual_connects.add(now)
        rate = self.networks.get(network)
        if rate is None:
            if len(self.networks) >= self.most:
                self.forget(now)
            rate = self.networks[network] = Rate(QUICK_S)
        rate.add(now)

    def counted(self, now, queries, again):
        """So many queries have come since the last look, and so many of them were returns."""
        self.began = now if self.began is None else self.began
        self.queries.add(now, queries)
        self.returns.add(now, again)
        if self.state in (CALM, BUSY):
            self.usual_queries.add(now, queries)

    def forget(self, now):
        kept = sorted(self.networks.items(), key=lambda item: -item[1].now(now))[: self.most // 2]
        self.networks = {network: rate for network, rate in kept if rate.now(now) > 0.01}

    def spread(self, now):
        """How many networks the connections of now come from, counted by how evenly they stand among them."""
        rates = [rate.now(now) for rate in self.networks.values()]
        total = sum(rates)
        return total * total / sum(r * r for r in rates) if total > 0 else 0.0

    def share(self, now, network):
        """Of a network among the connections of now."""
        rate, total = self.networks.get(network), self.connects.now(now)
        return rate.now(now) / total if rate and total > 0 else 0.0

    def usual(self, rate, now):
        """A rate over the last minute, as far as there has been one."""
        told = (
            1.0 - exp((self.began - now) / rate.over_s)
            if self.began is not None and now > self.began
            else 0.0
        )
        return rate.now(now) / max(told, 0.05)

    def look(self, now):
        """The state now. It is left only when the signs are down to half of what began it."""
        ease = 0.5 if self.state in (CLIENT, STORM) else 1.0
        if self.state in (CLIENT, STORM):  # what is usual stands still meanwhile
            self.usual_connects.at = self.usual_queries.at = now
        connects, queries = self.connects.now(now), self.queries.now(now)
        returns = self.returns.now(now) / queries if queries > 0 else 0.0
        crowd = connects > ease * max(LEAST, FAR * self.usual(self.usual_connects, now))
        if crowd and self.spread(now) < FEW:
            state = CLIENT
        elif crowd and returns > ease * RETURNS:
            state = STORM
        elif queries > (1.2 if self.state == BUSY else 1.5) * max(LEAST, self.usual(self.usual_queries, now)):
            state = BUSY
        else:
            state = CALM
        if state != self.state:
            self.state, self.since = state, now
        return state
