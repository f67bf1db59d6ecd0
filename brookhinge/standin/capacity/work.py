"""What happens to a modelled fleet, drawn by seed: purges, drains, restarts and failures. Moments are seconds from the start
of a phase. No I/O, no clock."""

import random
from typing import NamedTuple

BURST = 50  # purges of one burst
CHANGES = 20  # changes of configuration within a minute
DAILY_CHANGES = 780


class PlannedPurge(NamedTuple):
    """A purge, and the router or control machine to whom its source tells it first."""

    at_s: float
    number: int
    site: int
    router: int
    control: int


class Work:
    """Draws the work of one run. Purges are numbered from 1 through all phases."""

    def __init__(self, layout, seed):
        self.layout, self.chance, self.purges = layout, random.Random(f"work {seed}"), 0
        self.sites = [site for site in layout.sites if site.routers]
        self.controls = len(layout.capacity.controls)

    def router(self):
        """(site, router) of one drawn evenly."""
        number = self.chance.randrange(self.layout.routers)
        for site in self.sites:
            if number < site.routers:
                return site.index, number
            number -= site.routers
        raise AssertionError("more routers drawn than there are")

    def purge(self, at_s, avoid=()):
        """One purge, told first to a router outside of the sites `avoid`."""
        site, router = self.router()
        while site in avoid:
            site, router = self.router()
        self.purges += 1
        return PlannedPurge(at_s, self.purges, site, router, self.chance.randrange(max(1, self.controls)))

    def steady(self, seconds, avoid=()):
        """Purges at the rate of the layout, at moments that do not know of each other."""
        planned, at_s = [], 0.0
        while self.layout.capacity.purges_s > 0:
            at_s += self.chance.expovariate(self.layout.capacity.purges_s)
            if at_s >= seconds:
                break
            planned.append(self.purge(at_s, avoid))
        return planned

    def burst(self, count=BURST):
        """So many purges at one moment."""
        return [self.purge(0.0) for _ in range(count)]

    def changes(self, seconds):
        """(moment, server, site, router) of CHANGES changes: drains of cache servers."""
        return [
            (
                seconds * k / CHANGES,
                f"s{1 + self.chance.randrange(self.layout.capacity.caches)}",
                *self.router(),
            )
            for k in range(CHANGES)
        ]

    def site(self):
        """The index of a site that has routers."""
        return self.chance.choice(self.sites).index
