"""The phases of a run, the same on sockets and in virtual time. Each gives one row of figures."""

import dataclasses

from brookhinge.emulator.capacity import measure
from brookhinge.emulator.capacity.driver import PEERS
from brookhinge.emulator.capacity.stage import wait_until
from brookhinge.emulator.capacity.work import Work
from brookhinge.operator.capacity import inside

ARRIVAL_S = 2.0  # after the last purge of a phase before it is asked who has none
PURGE_BOUND_S = 10.0  # a purge that came later counts as missed
CHANGE_BOUND_S = 16.0  # the same for a change of configuration
KILL_AFTER_S = 0.05  # after a burst has begun
PEAK_ROOM = 0.8  # part of the servers' room in use at the peak
KILLED = 2  # machines that fail on an ordinary day
RESTART_STEP_S = 1.0  # between two routers of a rolling restart


@dataclasses.dataclass(frozen=True)
class Durations:
    """Seconds of each phase; 0 leaves a phase out."""

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
    """Plays phases on a stage. tell: called with a line of progress."""

    def __init__(self, stage, mechanism, seed, durations, tell=lambda line: None):
        self.mechanism = mechanism
        self.stage = stage
        self.durations = durations
        self.tell = tell
        self.work = Work(stage.layout, seed)
        self.phases = {}

    async def run(self):
        """All phases; figures by phase."""
        await self.stage.wait(self.durations.settle)
        for field in dataclasses.fields(self.durations):
            seconds = getattr(self.durations, field.name)
            if seconds and field.name != "settle":
                self.tell(f"{self.stage.kind}, {self.stage.layout.routers} routers: {field.name}")
                await getattr(self, field.name)(seconds)
        return self.phases

    async def measured(self, name, seconds, purges, more=None, quiet_s=ARRIVAL_S):
        """One phase of so many seconds with those purges, and figures of their arrival `quiet_s` later."""
        stage = self.stage
        before = await stage.counters()
        control_before = await stage.control_counters()
        for planned in purges:
            stage.plan(planned.at_s, stage.purge, planned)
        await stage.wait(seconds)
        figures = {"seconds": seconds, **measure.cost(before, await stage.counters())}
        figures.update(stage.lateness())
        if control_before:
            figures["control"] = measure.cost(control_before, await stage.control_counters())
        if purges:
            await stage.wait(quiet_s)
            fates = await stage.records([planned.number for planned in purges])
            figures.update(measure.purges(fates.records, fates.started, PURGE_BOUND_S, fates.rules))
        self.phases[name] = {**figures, **(more or {})}
        return self.phases[name]

    async def idle(self, seconds):
        """Nothing happens."""
        await self.measured("idle", seconds, [])

    async def ordinary(self, seconds):
        """Purges at the rate of the layout."""
        await self.measured("ordinary", seconds, self.work.steady(seconds))

    async def burst(self, seconds):
        """Many purges at one moment; the cost is that of the whole phase."""
        await self.measured("burst", seconds, self.work.burst())

    async def peak(self, seconds):
        """The ordinary purges while limits are short at some routers and lent among them."""
        if self.stage.kind != "sockets":
            return
        self.stage.set_demand(PEAK_ROOM)
        await self.stage.wait(1.0)
        await self.measured("peak", seconds, self.work.steady(seconds))
        self.stage.set_demand(0.0)
        await self.stage.wait(1.0)

    async def changes(self, seconds):
        """Changes of configuration, as drains of servers, beside the purges."""
        changes = self.work.changes(seconds)
        for planned in changes:
            self.stage.plan(planned.at_s, self.stage.drain, planned)
        row = await self.measured("changes", seconds, self.work.steady(seconds))
        fates = await self.stage.records([planned.number for planned in changes])
        figures = measure.purges(fates.records, fates.started, CHANGE_BOUND_S)
        row.update({f"changes_{name}": figures[name] for name in ("purges", "all_s", "missed", "expected")})

    async def site_start(self, seconds):
        """All routers of a site start anew at once, beside the purges."""
        site = self.work.site()
        routers = range(self.stage.layout.sites[site].routers)
        began = self.stage.now()
        self.stage.restart(site, routers, False)
        row = await self.measured("site_start", seconds, self.work.steady(seconds, (site,)))
        row["started"] = len(routers)
        row["one_view_s"] = await self.one_view_since(began)

    async def one_view_since(self, began):
        """Seconds since `began` until each router that is up counts all that are; None if that took too long."""
        waited = await wait_until(self.stage, self.one_view, 30.0)
        return waited and round(self.stage.now() - began, 2)

    async def one_view(self):
        """Whether each router that is up believes as many to live as there are."""
        known = await self.stage.known()
        return set(known.values()) == {len(known)}

    async def rolling(self, seconds):
        """One router after another leaves and starts anew, beside the purges."""
        for step in range(int(seconds / RESTART_STEP_S)):
            site, router = self.work.router()
            self.stage.plan(step * RESTART_STEP_S, self.stage.restart, site, [router], True)
        await self.measured("rolling", seconds, self.work.steady(seconds))

    async def failures(self, seconds):
        """Machines fail without a word, beside the purges."""
        for _ in range(KILLED):
            self.stage.kill(*self.work.router())
        await self.measured("failures", seconds, self.work.steady(seconds))

    async def distributor(self, seconds):
        """A control machine is killed in the middle of a burst that another one's source tells, and starts anew."""
        controls = len(self.stage.layout.capacity.controls)
        if self.mechanism == PEERS or controls < 3:
            return
        victim = self.work.chance.randrange(controls)
        purges = [p._replace(control=(victim + 1) % controls) for p in self.work.burst()]
        before = await self.stage.counters()
        for planned in purges:
            self.stage.purge(planned)
        await self.stage.wait(KILL_AFTER_S)
        await self.stage.kill_control(victim)
        await self.stage.wait(seconds)
        fates = await self.stage.records([planned.number for planned in purges])
        self.phases["distributor"] = {
            "seconds": seconds,
            **measure.cost(before, await self.stage.counters()),
            **self.stage.lateness(),
            **measure.purges(fates.records, fates.started, PURGE_BOUND_S, fates.rules),
        }
        await self.stage.start_control(victim)
        await self.stage.wait(seconds)

    async def cut(self, seconds):
        """The first cut of the layout, a region, for so long, and its return."""
        cut = self.stage.layout.capacity.cuts[0]
        await self.away("region", cut, seconds)

    async def zone(self, seconds):
        """The zone of the cut's region's first site is out of reach for so long, and returns."""
        cut = self.stage.layout.capacity.cuts[0]
        place = next(site.zone for site in self.stage.layout.sites if not inside(site.place, cut.source))
        await self.away("zone", cut._replace(name="zone", source=place, target="", both=True), seconds)

    async def away(self, name, cut, seconds):
        """A place is cut off, purges go on elsewhere, and it returns."""
        stage = self.stage
        away = [site for site in stage.layout.sites if inside(site.place, cut.source)]
        purges = self.work.steady(seconds, {site.index for site in away})
        names = {site.name_of(number) for site in away for number in range(site.routers)}
        stage.set_cuts([cut])
        row = await self.measured(f"{name}_cut", seconds, purges)
        fates = await stage.records([planned.number for planned in purges])
        others = {router: at for router, at in fates.started.items() if router not in names}
        row.update(measure.purges(fates.records, others, PURGE_BOUND_S, fates.rules), cut_off=len(names))
        stage.set_cuts([])
        healed = stage.now()
        back = await self.measured(f"{name}_back", min(10.0, seconds), self.work.steady(min(10.0, seconds)))
        back["one_view_s"] = await self.one_view_since(healed)
        fates = await stage.records([planned.number for planned in purges])
        names = {name for name in names if fates.started.get(name) is not None}
        back.update(measure.catch_up(fates.records, names, healed, fates.rules))
