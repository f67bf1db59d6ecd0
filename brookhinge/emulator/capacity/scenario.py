"""Defines the phases of a run, which are the same on sockets and in virtual time."""

import dataclasses

from brookhinge.emulator.capacity import measure
from brookhinge.emulator.capacity.driver import PEERS
from brookhinge.emulator.capacity.stage import wait_until
from brookhinge.emulator.capacity.work import Work
from brookhinge.operator.capacity import inside

ARRIVAL_S = 2.0  # wait after a phase before arrivals are collected
PURGE_BOUND_S = 10.0  # a purge that takes longer counts as missed
CHANGE_BOUND_S = 16.0  # a configuration change that takes longer counts as missed
KILL_AFTER_S = 0.05  # after the start of a burst
PEAK_LOAD = 0.8  # part of the servers' capacity in use at the peak
FAILED_ROUTERS = 2
RESTART_STEP_S = 1.0  # between two routers of a rolling restart


@dataclasses.dataclass(frozen=True)
class Durations:
    """Duration of each phase in seconds; 0 skips the phase.

    Each field but `settle` is the name of a method of Scenario.
    """

    settle: float = 4.0
    idle: float = 6.0
    ordinary: float = 8.0
    burst: float = 3.0
    peak: float = 0.0
    changes: float = 0.0
    site_start: float = 0.0
    rolling: float = 0.0
    failures: float = 0.0
    distributor: float = 0.0
    cut: float = 0.0
    zone: float = 0.0


class Scenario:
    """Runs the phases on a stage.

    Attributes:
        work: Source of random purges, drains and faults.
        phases: Figures of each finished phase, by name.
    """

    def __init__(self, stage, mechanism, seed, durations, report_progress=lambda line: None):
        self.mechanism = mechanism
        self.stage = stage
        self.durations = durations
        self.report_progress = report_progress
        self.work = Work(stage.layout, seed)
        self.phases = {}

    async def run(self):
        """Run all phases and return their figures by name."""
        await self.stage.wait(self.durations.settle)
        for field in dataclasses.fields(self.durations):
            seconds = getattr(self.durations, field.name)
            if seconds and field.name != "settle":
                self.report_progress(f"{self.stage.kind}, {self.stage.layout.routers} routers: {field.name}")
                await getattr(self, field.name)(seconds)
        return self.phases

    async def measure_phase(self, name, seconds, purges, extra_figures=None, quiet_s=ARRIVAL_S):
        """Run one phase and store and return its figures.

        Args:
            name: Name of the phase.
            seconds: Duration.
            purges: Purges submitted during the phase.
            extra_figures: Additional figures, or None.
            quiet_s: Wait after the phase before arrivals are collected.
        """
        stage = self.stage
        before = await stage.counters()
        control_before = await stage.control_counters()
        for planned in purges:
            stage.schedule(planned.at_s, stage.purge, planned)
        await stage.wait(seconds)
        figures = {"seconds": seconds, **measure.cost(before, await stage.counters())}
        figures.update(stage.lateness())
        if control_before:
            figures["control"] = measure.cost(control_before, await stage.control_counters())
        if purges:
            await stage.wait(quiet_s)
            outcomes = await stage.records([planned.number for planned in purges])
            figures.update(measure.purges(outcomes.records, outcomes.started, PURGE_BOUND_S, outcomes.rules))
        self.phases[name] = {**figures, **(extra_figures or {})}
        return self.phases[name]

    async def idle(self, seconds):
        """Measure the fleet without any events."""
        await self.measure_phase("idle", seconds, [])

    async def ordinary(self, seconds):
        """Submit purges at the rate of the layout."""
        await self.measure_phase("ordinary", seconds, self.work.steady(seconds))

    async def burst(self, seconds):
        """Submit many purges at once; the cost is that of the whole phase."""
        await self.measure_phase("burst", seconds, self.work.burst())

    async def peak(self, seconds):
        """Submit purges while some routers are short of limits and borrow from others; on sockets only."""
        if self.stage.kind != "sockets":
            return
        self.stage.set_demand(PEAK_LOAD)
        await self.stage.wait(1.0)
        await self.measure_phase("peak", seconds, self.work.steady(seconds))
        self.stage.set_demand(0.0)
        await self.stage.wait(1.0)

    async def changes(self, seconds):
        """Submit configuration changes, in the form of server drains, along with purges."""
        changes = self.work.changes(seconds)
        for planned in changes:
            self.stage.schedule(planned.at_s, self.stage.drain, planned)
        row = await self.measure_phase("changes", seconds, self.work.steady(seconds))
        outcomes = await self.stage.records([planned.number for planned in changes])
        figures = measure.purges(outcomes.records, outcomes.started, CHANGE_BOUND_S)
        row.update({f"changes_{name}": figures[name] for name in ("purges", "all_s", "missed", "expected")})

    async def site_start(self, seconds):
        """Restart all routers of a site at once, along with purges."""
        site = self.work.site()
        routers = range(self.stage.layout.sites[site].routers)
        began = self.stage.now()
        self.stage.restart(site, routers, False)
        row = await self.measure_phase("site_start", seconds, self.work.steady(seconds, (site,)))
        row["started"] = len(routers)
        row["one_view_s"] = await self.wait_for_one_view(began)

    async def wait_for_one_view(self, began):
        """Wait until all running routers know all others.

        Returns:
            Seconds since `began`, or None if it took more than 30 s.
        """
        waited = await wait_until(self.stage, self.one_view, 30.0)
        return waited and round(self.stage.now() - began, 2)

    async def one_view(self):
        """Return whether each running router considers as many members present as there are."""
        known = await self.stage.known()
        return set(known.values()) == {len(known)}

    async def rolling(self, seconds):
        """Restart one router after another gracefully, along with purges."""
        for step in range(int(seconds / RESTART_STEP_S)):
            site, router = self.work.router()
            self.stage.schedule(step * RESTART_STEP_S, self.stage.restart, site, [router], True)
        await self.measure_phase("rolling", seconds, self.work.steady(seconds))

    async def failures(self, seconds):
        """Kill routers without a clean shutdown, along with purges."""
        for _ in range(FAILED_ROUTERS):
            self.stage.kill(*self.work.router())
        await self.measure_phase("failures", seconds, self.work.steady(seconds))

    async def distributor(self, seconds):
        """Kill a control machine during a burst submitted at another one; with the purge log only."""
        controls = len(self.stage.layout.capacity.controls)
        if self.mechanism == PEERS or controls < 3:
            return
        killed = self.work.rng.randrange(controls)
        purges = [p._replace(control=(killed + 1) % controls) for p in self.work.burst()]
        before = await self.stage.counters()
        for planned in purges:
            self.stage.purge(planned)
        await self.stage.wait(KILL_AFTER_S)
        await self.stage.kill_control(killed)
        await self.stage.wait(seconds)
        outcomes = await self.stage.records([planned.number for planned in purges])
        self.phases["distributor"] = {
            "seconds": seconds,
            **measure.cost(before, await self.stage.counters()),
            **self.stage.lateness(),
            **measure.purges(outcomes.records, outcomes.started, PURGE_BOUND_S, outcomes.rules),
        }
        await self.stage.start_control(killed)
        await self.stage.wait(seconds)

    async def cut(self, seconds):
        """Apply the first cut of the layout, which cuts off a region, and heal it."""
        cut = self.stage.layout.capacity.cuts[0]
        await self.cut_and_heal("region", cut, seconds)

    async def zone(self, seconds):
        """Cut off the zone of the first site outside the region of the layout's first cut, and heal it."""
        cut = self.stage.layout.capacity.cuts[0]
        place = next(site.zone for site in self.stage.layout.sites if not inside(site.place, cut.source))
        await self.cut_and_heal(
            "zone", cut._replace(name="zone", source=place, target="", both=True), seconds
        )

    async def cut_and_heal(self, name, cut, seconds):
        """Cut off a place while purges continue elsewhere, and heal the links.

        Args:
            name: Prefix of the names of the two phases.
            cut: The cut.
            seconds: Duration of the cut.
        """
        stage = self.stage
        cut_off_sites = [site for site in stage.layout.sites if inside(site.place, cut.source)]
        purges = self.work.steady(seconds, {site.index for site in cut_off_sites})
        names = {site.name_of(number) for site in cut_off_sites for number in range(site.routers)}
        stage.set_cuts([cut])
        row = await self.measure_phase(f"{name}_cut", seconds, purges)
        outcomes = await stage.records([planned.number for planned in purges])
        others = {router: at for router, at in outcomes.started.items() if router not in names}
        row.update(
            measure.purges(outcomes.records, others, PURGE_BOUND_S, outcomes.rules), cut_off=len(names)
        )
        stage.set_cuts([])
        healed = stage.now()
        back = await self.measure_phase(
            f"{name}_back", min(10.0, seconds), self.work.steady(min(10.0, seconds))
        )
        back["one_view_s"] = await self.wait_for_one_view(healed)
        outcomes = await stage.records([planned.number for planned in purges])
        names = {name for name in names if outcomes.started.get(name) is not None}
        back.update(measure.catch_up(outcomes.records, names, healed, outcomes.rules))
