"""A storm after a cut, in simulated time: the daemon's state and decisions among modelled boxes and clients.

    python -m benchmarks.storm --short          # under a minute
    python -m benchmarks.storm --keep benchmarks/results/storm

Three routers share six boxes of four cores. All boxes are cut for some seconds and come back cold and empty; what is sent
to a box beyond a multiple of what it can do at that moment, for a second, makes it fall over for good. A quarter of the
clients retry at once, a quarter after a short wait over and over, half heed the time that they are told; all who failed
during the cut come back together at its end. The same seed plays the same clients with and without `storm`. One run has
no sockets and no real time; figures are simulated. Last line: one JSON object."""

import random
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import kept
from brookhinge.decisions.router import Router
from brookhinge.decisions.settings import (
    DeduplicationScope,
    FillPolicy,
    Idempotency,
    Location,
    NoteDetail,
    RequestClass,
    RouterLimits,
    SiblingFills,
    SlowStart,
)
from brookhinge.emulator.model import Model
from brookhinge.engine.events import ClientConnected, ClientDisconnected, RequestCancelled, RequestReceived
from brookhinge.engine.router_state import RouterState
from brookhinge.overload.retry_lineage import RetryLineage
from brookhinge.overload.retry_schedule import RetrySchedule

ROUTERS, BOXES, CORES, WORK, OBJECTS = 3, 6, 4, 0.1, 400
COLD = SlowStart(0.3, 6.0, 3.0, 1.0)
CONTRACT_S, PATIENCE_S, LONGEST_HINT_S = 0.5, 3.0, 2.0
TRACKS = (
    RequestClass(
        "docs",
        Idempotency.REPEATABLE,
        DeduplicationScope.ALL,
        0.0,
        CONTRACT_S,
        0.0,
        PATIENCE_S,
        2.0,
        0.2,
        0.0,
        0.0,
        0.0,
        False,
    ),
    RequestClass(
        "pages",
        Idempotency.REPEATABLE,
        DeduplicationScope.ALL,
        0.0,
        CONTRACT_S,
        0.0,
        PATIENCE_S,
        1.0,
        0.2,
        0.0,
        0.0,
        0.0,
        False,
    ),
)


class Need:
    """What somebody wants: its tries count under the first."""

    __slots__ = (
        "router",
        "at",
        "kind",
        "track",
        "object",
        "address",
        "tries",
        "served_at",
        "told",
        "came",
        "herd",
        "out",
    )

    def __init__(self, at, kind, track, object_, address):
        self.at, self.kind, self.track, self.object, self.address = at, kind, track, object_, address
        self.router = None
        self.tries, self.served_at, self.told, self.came, self.herd, self.out = (
            0,
            None,
            None,
            None,
            False,
            False,
        )


class World(Model):
    def __init__(self, seed, storm, rate, calm_s, cut_s, after_s, heed=0.5, proxies=0.2, sticks=0.9):
        super().__init__(seed, BOXES, CORES, COLD, WORK)
        self.storm = storm
        self.clients = random.Random(seed + 1)
        self.calm_s, self.cut_s, self.end = calm_s, cut_s, calm_s + cut_s + after_s
        self.rate, self.heed, self.proxies, self.sticks = rate, heed, proxies, sticks
        self.routers = [self.router(n, seed) for n in range(ROUTERS)]
        self.serial, self.open, self.needs = 0, {}, []
        self.counts = dict(tries=0, told=0, came_when_told=0, served_when_told=0)
        self.plans_before = [dict.fromkeys(RetrySchedule(0).counts, 0)] * ROUTERS

    def router(self, number, seed):
        returns = RetrySchedule(LONGEST_HINT_S) if self.storm else None
        router = Router(
            seed + number,
            request_classes=TRACKS,
            location=Location(1, ROUTERS, ROUTERS, number, True),
            limits=RouterLimits(4, False, True, LONGEST_HINT_S),
            fill_policy=FillPolicy(SiblingFills.ANY, False, True, NoteDetail.ALL, 1000.0, 0.0),
            cache_slow_start=COLD,
            parent_slow_start=SlowStart(1.0, 0.0, 0.0, 1.0),
            purge_settled_s=6.0,
            server_kinds=("parent", "origin"),
            retry_schedule=returns,
        )
        return RouterState(
            router,
            [t.name.encode() for t in TRACKS],
            ["hub", "edge"],
            lineage=RetryLineage() if self.storm else None,
        )

    # clients

    def arrive(self):
        self.at(self.now + self.clients.expovariate(self.rate), self.arrive)
        c = self.clients
        kind = "heeds" if c.random() < self.heed else c.choice(("at once", "loops"))
        address = f"proxy-{c.randrange(3)}" if c.random() < self.proxies else f"a{len(self.needs)}"
        need = Need(self.now, kind, int(c.random() < 0.5), min(OBJECTS, int(c.paretovariate(0.6))), address)
        self.needs.append(need)
        self.ask(need)

    def ask(self, need):
        if need.served_at is not None or need.out or self.now - need.at > 12.0:
            return
        need.out = True
        need.tries += 1
        self.counts["tries"] += 1
        self.serial += 1
        if need.router is None or self.clients.random() > self.sticks:
            need.router = self.clients.randrange(ROUTERS)
        client, n = self.serial, need.router
        need.came = need.told is not None and need.told - 0.06 <= self.now <= need.told + 0.5
        need.told = None
        self.open[n, client] = need
        self.hear(
            n,
            *((ClientConnected(client, need.address),) if self.storm else ()),
            RequestReceived(
                client,
                1,
                b"%x" % client,
                TRACKS[need.track].name.encode(),
                b"%016x" % need.object,
                b"0",
                0,
                1,
                1000.0 * WORK,
                PATIENCE_S,
                None,
                b"",
                self.now,
            ),
        )
        self.at(self.now + PATIENCE_S * 0.7, self.tire, n, client, need)

    def tire(self, n, client, need):
        if self.open.pop((n, client), None):
            need.out = False
            self.hear(n, RequestCancelled(client, 1), ClientDisconnected(client))
            self.back(need, None)

    def over(self, n, client):
        need = self.open.pop((n, client), None)
        if need is not None:
            need.out = False
            self.at(self.now + 1e-6, self.hear, n, ClientDisconnected(client))
        return need

    def satisfy(self, n, effect):
        need = self.over(n, effect.client)
        if need is not None:
            need.served_at = need.served_at or self.now
            self.count_told(need, True)

    def nack(self, n, effect):
        need = self.over(n, effect.client)
        if need is not None:
            self.count_told(need, False)
            self.back(need, effect.retry_after_s)

    def error(self, n, effect):
        need = self.over(n, effect.client)
        if need is not None:
            self.count_told(need, False)
            self.back(need, None)

    def count_told(self, need, served):
        if need.came:
            self.counts["came_when_told"] += 1
            self.counts["served_when_told"] += served
            need.came = None

    def back(self, need, wait):
        """What a client does after a try that was not served."""
        if need.tries >= (3 if need.kind != "loops" else 30):
            return
        if need.kind == "heeds" and wait:
            self.counts["told"] += 1
            need.told = self.now + wait
            self.at(self.now + wait + self.clients.uniform(0.0, 0.03), self.ask, need)
        else:
            pause = 0.01 if need.kind == "at once" else self.clients.uniform(0.1, 0.4)
            self.at(self.now + pause, self.ask, need)

    # the day

    def cut(self):
        for box in self.boxes.values():
            box.up, box.stored = False, set()
            self.break_down(box)
        self.at(self.now + 1.0, self.tell, "gone", 2)

    def restore(self):
        for box in self.boxes.values():
            box.up, box.born, box.at, box.sent = True, self.now, self.now, []
        self.at(self.now + 0.3, self.tell, "ready", 3)
        self.at(self.now + 0.5, self.note_plans)
        for need in self.needs:
            if need.served_at is None and self.now - need.at < 8.0:
                need.herd, need.tries = True, min(need.tries, 1)
                self.at(self.now + 0.3 + self.clients.uniform(0.0, 0.5), self.ask, need)

    def note_plans(self):
        """What was promised before the boxes were back is left out: nobody knew yet that they would be gone."""
        self.plans_before = (
            [dict(r.decisions.retry_schedule.counts) for r in self.routers] if self.storm else []
        )

    def run(self):
        self.tell("ready", 1)
        self.at(0.0, self.arrive)
        self.at(self.calm_s, self.cut)
        self.at(self.calm_s + self.cut_s, self.restore)
        self.play(self.end)
        return self.figures()

    def service(self, begin, end):
        """Utility answered within the contract time over utility asked for, retries under their first try."""
        rows = [n for n in self.needs if begin <= n.at < end]
        asked = sum(TRACKS[n.track].utility for n in rows)
        good = sum(
            TRACKS[n.track].utility * (1.0 if n.served_at - n.at <= CONTRACT_S else 0.2)
            for n in rows
            if n.served_at is not None and n.served_at - n.at <= PATIENCE_S
        )
        return good / asked if asked else 0.0

    def figures(self):
        back = self.calm_s + self.cut_s
        calm, step = self.service(self.calm_s * 0.4, self.calm_s - 0.5), 0.5
        slots = [
            (at, self.service(at, at + step))
            for at in (back + step * i for i in range(int((self.end - back - 3.0) / step)))
        ]
        well = next(
            (at for i, (at, s) in enumerate(slots) if all(x >= 0.9 * calm for _, x in slots[i : i + 3])), None
        )
        herd = [n for n in self.needs if n.herd]
        plans = (
            [
                {key: r.decisions.retry_schedule.counts[key] - before[key] for key in before}
                for r, before in zip(self.routers, self.plans_before)
            ]
            if self.storm
            else []
        )
        return dict(
            calm=round(calm, 4),
            service_after=round(self.service(back, back + 8.0), 4),
            to_calm_s=None if well is None else round(well - back, 2),
            herd=len(herd),
            herd_served=round(sum(n.served_at is not None for n in herd) / max(1, len(herd)), 4),
            peak_over_present=round(max(b.peak for b in self.boxes.values()), 2),
            fallen=sum(b.broken_down for b in self.boxes.values()),
            places_kept_served=round(
                sum(c["served"] for c in plans) / max(1, sum(c["kept"] for c in plans)), 4
            ),
            places_came=round(sum(c["kept"] for c in plans) / max(1, sum(c["given"] for c in plans)), 4),
            places=sum(c["given"] for c in plans),
            kept_share_served=round(
                self.counts["served_when_told"] / max(1, self.counts["came_when_told"]), 4
            ),
            told_came=round(self.counts["came_when_told"] / max(1, self.counts["told"]), 4),
            tries=self.counts["tries"],
            first_tries=len(self.needs),
            pushes=self.attempts_sent,
            beside=sum(r.totals.counts["beside"] for r in self.routers),
            again=sum(r.totals.counts["again"] for r in self.routers),
        )


def play(seed, storm, scale=1.0, rate=140.0, **other):
    return World(seed, storm, rate, 8.0 * scale, 6.0 * scale, 14.0 * scale, **other).run()


DAYS = {
    "usual": {},
    "no hints heeded": {"heed": 0.0},
    "all heed": {"heed": 1.0},
    "busy": {"rate": 190.0},
    "clients change routers": {"sticks": 0.5},
    "all behind proxies": {"proxies": 1.0},
}


def one(job):
    name, kind, seed = job
    return play(seed, kind, **DAYS[name])


def calm_cost(count, turns=3):
    """CPU microseconds a query of a calm day, without and with storm, turn about, the least of each."""
    best = {}
    for _ in range(turns):
        for kind in (False, True):
            world = World(3, kind, 60.0, count / 60.0, 0.0, 0.0)
            world.cut, world.restore = (lambda: None), world.note_plans
            began = time.process_time()
            world.run()
            took = (time.process_time() - began) / max(1, len(world.needs)) * 1e6
            best[kind] = min(took, best.get(kind, took))
    return {
        "without_us": round(best[False], 1),
        "storm_us": round(best[True], 1),
        "more": round(best[True] / best[False] - 1.0, 4),
    }


def chart(figures, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    board, places = pyplot.subplots(1, 2, figsize=(13, 4.2))
    names = list(DAYS)
    for place, key, title in zip(
        places,
        ("service_after", "to_calm_s"),
        ("service over 8 s after the cut", "seconds to 0.9 of calm service"),
    ):
        for shift, kind in ((-0.2, "without"), (0.2, "storm")):
            place.bar(
                [i + shift for i in range(len(names))],
                [figures[name][kind][key] for name in names],
                0.38,
                label=kind,
            )
        place.set_xticks(range(len(names)), [name.replace(" ", "\n") for name in names], fontsize=7)
        place.set_title(title + " (simulated)")
        place.legend()
    board.tight_layout()
    board.savefig(path, dpi=90)


def main():
    given = kept.parse_options()
    seeds = range(1, 3 if given.short else 13)
    jobs = [(name, kind, seed) for name in DAYS for kind in (False, True) for seed in seeds]
    with ProcessPoolExecutor() as pool:
        played = dict(zip(jobs, pool.map(one, jobs)))
    figures = {"calm_cost": calm_cost(600 if given.short else 4000)}
    for name in DAYS:
        figures[name] = {}
        for kind in (False, True):
            rows = [played[name, kind, seed] for seed in seeds]
            figures[name]["storm" if kind else "without"] = {
                key: round(sum(14.0 if row[key] is None else row[key] for row in rows) / len(rows), 4)
                for key in rows[0]
            }
    kept.finish(figures, given.keep, chart)


if __name__ == "__main__":
    main()
