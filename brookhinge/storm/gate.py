"""Networks, signs and door as the front and the service meet them. No I/O, no clock."""

from brookhinge.storm.door import Door
from brookhinge.storm.networks import Networks
from brookhinge.storm.signs import CALM, Signs


class Gate:
    """sockets: descriptors for clients."""

    def __init__(self, sockets):
        self.networks, self.signs, self.door = Networks(), Signs(), Door(sockets)
        self.lag_s, self.state, self.told = 0.0, CALM, (0, 0)

    def in_a_pass(self):
        return self.door.in_a_pass(self.lag_s)

    def came(self, now, address):
        """(network, whether the connection is kept)"""
        network = self.networks.of(address)
        self.signs.connected(now, network)
        return network, self.door.lets_in(network)

    def left(self, network):
        self.door.left(network)

    def look(self, now, lag_s, queries, again):
        """A look several times a second: by how much the loop lags, queries and returns counted since the start. Figures
        of a change of state, or None."""
        self.lag_s = lag_s
        before, self.told = self.told, (queries, again)
        self.signs.counted(now, queries - before[0], again - before[1])
        state = self.signs.look(now)
        if state == self.state:
            return None
        self.state, was = state, self.state
        asked = self.signs.queries.now(now)
        return dict(
            state=state,
            was=was,
            connects_s=round(self.signs.connects.now(now), 1),
            queries_s=round(asked, 1),
            returns=round(self.signs.returns.now(now) / asked, 3) if asked else 0.0,
            networks=round(self.signs.spread(now), 1),
            turned_away=self.door.counts["turned_away"],
        )
