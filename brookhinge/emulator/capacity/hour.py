"""A region cut off for an hour, in virtual time: the purge log alone. All routers of the region are played, and one router of
each other site; what a router spends does not depend on how many others there are (see the slopes), membership is left out
and its idle cost to be added."""

from brookhinge.emulator.capacity import measure
from brookhinge.emulator.capacity.purge_log_processes import purge_entry
from brookhinge.emulator.capacity.virtual_log import LogFleet
from brookhinge.emulator.capacity.work import Work
from brookhinge.operator.capacity import inside

SETTLE_S = 5.0
HOUR_S = 3600.0
# after the links healed: costs are looked at by window
WINDOW_S = 5.0
WINDOWS = 36
END_S = 2.0  # before the links heal no more purges are told, so that those under way have come


class HourOfCut:
    """Plays the first cut of a layout for `seconds`."""

    def __init__(self, layout, seed, seconds=HOUR_S):
        self.cut = layout.capacity.cuts[0]
        self.seconds = seconds
        self.fleet = LogFleet(layout, seed, self.chosen, membership=False)
        self.work = Work(layout, seed)
        self.submitted = {}
        self.away = [name for name, r in self.fleet.routers.items() if inside(r.site.place, self.cut.source)]

    def chosen(self, site, number):
        """Which routers are played."""
        return number == 0 or inside(site.place, self.cut.source)

    def run(self):
        """Figures of the cut and of the return."""
        fleet = self.fleet
        away = set(self.away)
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
        windows = self.windows(away)
        records = {n: measure.PurgeRecord(at, self.arrivals(n)) for n, at in self.submitted.items()}
        connected = {name: 0.0 for name in fleet.routers if name not in away}
        cost = measure.cost(*({k: c[k] for k in away} for c in (before, during)))
        return {
            "hour_cut": {
                "seconds": self.seconds,
                "cut_off": len(away),
                "bytes_s": cost["bytes_s"],
                **measure.purges(records, connected, 10.0, fleet.rules()),
            },
            "hour_back": {
                "seconds": WINDOW_S * WINDOWS,
                "bytes_s": measure.spread(windows),
                **measure.catch_up(records, away, healed, fleet.rules()),
            },
        }

    def purges(self):
        """The hour's purges, told outside of the region."""
        avoid = {site.index for site in self.fleet.layout.sites if inside(site.place, self.cut.source)}
        return self.work.steady(self.seconds - END_S, avoid)

    def submit(self, planned):
        """A control machine is told a purge; whether it is known everywhere is not asked."""
        control = self.fleet.controls[planned.control]
        self.submitted[planned.number] = self.fleet.network.now
        control.measured(control.append, purge_entry(planned.number))

    def arrivals(self, number):
        """When a purge came to each router."""
        routers = self.fleet.routers.items()
        return {name: router.arrivals[number] for name, router in routers if number in router.arrivals}

    def windows(self, away):
        """Bytes a second of each router that was away, in each window after the return."""
        costs = []
        for _ in range(WINDOWS):
            before = self.fleet.counters()
            self.fleet.run(WINDOW_S)
            after = self.fleet.counters()
            rates = [measure.rate(before[name], after[name]) for name in away]
            costs += [rate.sent_bytes + rate.received_bytes for rate in rates]
        return costs
