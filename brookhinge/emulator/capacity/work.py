"""Generates the events of an emulated fleet: purges, drains, and the targets of restarts and failures.

Events are random and reproducible by seed. Their times are seconds from the start of a phase. There is no I/O
and no clock.
"""

import random
from typing import NamedTuple

BURST_PURGES = 50
CHANGES_PER_MIN = 20  # configuration changes
FIRST_CHANGE = 1 << 40  # changes are numbered above this, so that they differ from purges


class PlannedPurge(NamedTuple):
    """A purge, with the router and the control machine at which it may be submitted.

    Attributes:
        at_s: Seconds from the start of the phase.
        number: Number of the purge.
        site: Index of the router's site.
        router: Number of the router within its site.
        control: Number of the control machine.
    """

    at_s: float
    number: int
    site: int
    router: int
    control: int


class PlannedChange(NamedTuple):
    """The drain of a cache server, with the router at which it is submitted.

    Attributes:
        at_s: Seconds from the start of the phase.
        number: Number of the change.
        server: Name of the cache server.
        site: Index of the router's site.
        router: Number of the router within its site.
    """

    at_s: float
    number: int
    server: str
    site: int
    router: int


class Work:
    """Draws the events of one run. Purges are numbered from 1 across all phases."""

    def __init__(self, layout, seed):
        self.drains = 0
        self.layout = layout
        self.rng = random.Random(f"work {seed}")
        self.purges = 0
        self.sites = [site for site in layout.sites if site.routers]
        self.control_sites = [layout.site_of_place[control.site] for control in layout.capacity.controls]

    def router(self):
        """Return (site index, router number) of a uniformly drawn router."""
        number = self.rng.randrange(self.layout.routers)
        for site in self.sites:
            if number < site.routers:
                return site.index, number
            number -= site.routers
        raise AssertionError("router number exceeds the routers of all sites")

    def purge(self, at_s, avoid=()):
        """Return a purge at a router and a control machine outside the sites `avoid`.

        If every control machine is at such a site, it is the first one.
        """
        site, router = self.router()
        while site in avoid:
            site, router = self.router()
        controls = [k for k, at in enumerate(self.control_sites) if at not in avoid] or [0]
        self.purges += 1
        return PlannedPurge(at_s, self.purges, site, router, self.rng.choice(controls))

    def steady(self, seconds, avoid=()):
        """Return purges at the rate of the layout, as a Poisson process."""
        planned = []
        at_s = 0.0
        while self.layout.capacity.purges_s > 0:
            at_s += self.rng.expovariate(self.layout.capacity.purges_s)
            if at_s >= seconds:
                break
            planned.append(self.purge(at_s, avoid))
        return planned

    def burst(self, count=BURST_PURGES):
        """Return `count` purges at the same time."""
        return [self.purge(0.0) for _ in range(count)]

    def changes(self, seconds):
        """Return drains of cache servers at equal intervals: CHANGES_PER_MIN, but at least one."""
        count = max(1, round(CHANGES_PER_MIN * seconds / 60.0))
        return [self.change(seconds * k / count) for k in range(count)]

    def change(self, at_s):
        """Return the drain of a random cache server."""
        self.drains += 1
        server = f"s{1 + self.rng.randrange(self.layout.capacity.caches)}"
        return PlannedChange(at_s, FIRST_CHANGE + self.drains, server, *self.router())

    def site(self):
        """Return the index of a random site that has routers."""
        return self.rng.choice(self.sites).index
