"""Simulates a region cut off for an hour, in virtual time, with the purge log and without membership.

All routers of the region are simulated, and one router of each other site: the cost of a router does not
depend on the number of others (see the slopes of the capacity page). The idle cost of membership must be
added to the figures.
"""

from brookhinge.emulator.capacity import measure
from brookhinge.emulator.capacity.purge_log_processes import purge_entry
from brookhinge.emulator.capacity.virtual_log import LogFleet
from brookhinge.emulator.capacity.work import Work
from brookhinge.operator.capacity import inside

SETTLE_S = 5.0
HOUR_S = 3600.0
# costs after the links heal are measured in windows
WINDOW_S = 5.0
WINDOWS = 36
QUIET_S = 2.0  # no purges at the end of the cut, so that those in flight arrive before the links heal


class HourOfCut:
    """Simulates the first cut of a layout for `seconds`.

    Attributes:
        submitted: When each purge was submitted, by number.
        cut_off_routers: Names of the simulated routers of the region.
    """

    def __init__(self, layout, seed, seconds=HOUR_S):
        self.cut = layout.capacity.cuts[0]
        self.seconds = seconds
        self.fleet = LogFleet(layout, seed, self.is_simulated, membership=False)
        self.work = Work(layout, seed)
        self.submitted = {}
        self.cut_off_routers = [
            name for name, r in self.fleet.routers.items() if inside(r.site.place, self.cut.source)
        ]

    def is_simulated(self, site, number):
        """Return whether a router is simulated: all of the region, and the first of each other site."""
        return number == 0 or inside(site.place, self.cut.source)

    def run(self):
        """Run the simulation and return the figures of the cut and of the time after it."""
        fleet = self.fleet
        cut_off_routers = set(self.cut_off_routers)
        fleet.start_filled()
        fleet.run(SETTLE_S)
        fleet.set_cuts([self.cut])
        before = fleet.counters()
        for planned in self.purges():
            fleet.network.at(fleet.network.now + planned.at_s, self.submit, planned)
        fleet.run(self.seconds)
        during = fleet.counters()
        fleet.set_cuts([])
        healed = fleet.network.now
        windows = self.windows(cut_off_routers)
        records = {n: measure.PurgeRecord(at, self.arrivals(n)) for n, at in self.submitted.items()}
        connected = {name: 0.0 for name in fleet.routers if name not in cut_off_routers}
        cost = measure.cost(*({k: c[k] for k in cut_off_routers} for c in (before, during)))
        return {
            "hour_cut": {
                "seconds": self.seconds,
                "cut_off": len(cut_off_routers),
                "bytes_s": cost["bytes_s"],
                **measure.purges(records, connected, 10.0, fleet.rules()),
            },
            "hour_back": {
                "seconds": WINDOW_S * WINDOWS,
                "bytes_s": measure.spread(windows),
                **measure.catch_up(records, cut_off_routers, healed, fleet.rules()),
            },
        }

    def purges(self):
        """Return the purges submitted during the cut, all of them outside the region."""
        avoid = {site.index for site in self.fleet.layout.sites if inside(site.place, self.cut.source)}
        return self.work.steady(self.seconds - QUIET_S, avoid)

    def submit(self, planned):
        """Append a purge at a control machine, without tracking its progress."""
        control = self.fleet.controls[planned.control]
        self.submitted[planned.number] = self.fleet.network.now
        control.call_measured(control.append, purge_entry(planned.number))

    def arrivals(self, number):
        """Return when a purge arrived at each router that has it."""
        routers = self.fleet.routers.items()
        return {name: router.arrivals[number] for name, router in routers if number in router.arrivals}

    def windows(self, cut_off_routers):
        """Return bytes per second of each router that was cut off, in each window after the links healed."""
        costs = []
        for _ in range(WINDOWS):
            before = self.fleet.counters()
            self.fleet.run(WINDOW_S)
            after = self.fleet.counters()
            rates = [measure.rate(before[name], after[name]) for name in cut_off_routers]
            costs += [rate.sent_bytes + rate.received_bytes for rate in rates]
        return costs
