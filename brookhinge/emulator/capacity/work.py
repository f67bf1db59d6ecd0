"""What happens to a modelled fleet, drawn by seed: purges, drains, restarts and failures. Moments are seconds from the start
of a phase. No I/O, no clock."""

import random
from typing import NamedTuple

BURST = 50  # purges of one burst
CHANGES = 20  # changes of configuration within a minute
FIRST_CHANGE = 1 << 40  # changes are numbered from here on: no purge has such a number


class PlannedPurge(NamedTuple):
    """A purge, and the router or control machine to whom its source tells it first."""

    at_s: float
    number: int
    site: int
    router: int
    control: int


class PlannedChange(NamedTuple):
    """A cache server's drain, and the router to whom its command channel tells it first."""

    at_s: float
    number: int
    server: str
    site: int
    router: int


class Work:
    """Draws the work of one run. Purges are numbered from 1 through all phases."""

    def __init__(self, layout, seed):
        self.drains = 0
        self.layout = layout
        self.chance = random.Random(f"work {seed}")
        self.purges = 0
        self.sites = [site for site in layout.sites if site.routers]
        self.control_sites = [layout.site_of_place[control.site] for control in layout.capacity.controls]

    def router(self):
        """(site, router) of one drawn evenly."""
        number = self.chance.randrange(self.layout.routers)
        for site in self.sites:
            if number < site.routers:
                return site.index, number
            number -= site.routers
        raise AssertionError("more routers drawn than there are")

    def purge(self, at_s, avoid=()):
        """One purge, told first to a router and a control machine outside of the sites `avoid`."""
        site, router = self.router()
        while site in avoid:
            site, router = self.router()
        controls = [k for k, at in enumerate(self.control_sites) if at not in avoid] or [0]
        self.purges += 1
        return PlannedPurge(at_s, self.purges, site, router, self.chance.choice(controls))

    def steady(self, seconds, avoid=()):
        """Purges at the rate of the layout, at moments that do not know of each other."""
        planned = []
        at_s = 0.0
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
        """Changes at the rate of CHANGES a minute, one at least: drains of cache servers."""
        count = max(1, round(CHANGES * seconds / 60.0))
        return [self.change(seconds * k / count) for k in range(count)]

    def change(self, at_s):
        """One drain."""
        self.drains += 1
        server = f"s{1 + self.chance.randrange(self.layout.capacity.caches)}"
        return PlannedChange(at_s, FIRST_CHANGE + self.drains, server, *self.router())

    def site(self):
        """The index of a site that has routers."""
        return self.chance.choice(self.sites).index
