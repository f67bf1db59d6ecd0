"""Limits and verdicts shared by a fleet against one Nth each and own experience alone: python -m benchmarks.limits [--short]

    python -m benchmarks.limits --keep benchmarks/results/limits

In simulated time: the daemon's state, decisions and cores, routers with uneven traffic (lognormal), the same seeds with
sharing on and off. Days: all boxes restart cold; the same with the fleet's talk cut in halves; one box fails one answer in
three; one router's pushes break on the way, and every box fails one in fifty. Then real routers as processes. Last line: one
JSON object."""

import asyncio
import json
import statistics
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import kept
from brookhinge.emulator.load_generator import Load, uneven_rates
from brookhinge.emulator.process_cluster import ProcessCluster
from brookhinge.emulator.simulated_fleet import COLD, Fleet
from brookhinge.limits.lease_terms import START_S

CALM, SPAN = 8.0, 10.0  # seconds before anything happens, and of what is measured after


def used(fleet, begin, end):
    """What was sent to cold boxes over what was asked of them, as far as all routers together may send that."""
    budget, step, may = fleet.routers[0].decisions.slow_start["cache"], 0.1, 0.0
    for box in fleet.boxes.values():
        at = begin
        while at < end:
            may += (
                min(
                    budget.fleet_rate(at, box.born, float(box.cores), fleet.work),
                    fleet.rate * fleet.work / len(fleet.boxes),
                )
                * step
            )
            at += step
    return fleet.sent_cold / may


class Day(Fleet):
    def __init__(self, *args, **named):
        super().__init__(*args, **named)
        self.sent_cold, self.sent_bad, self.left_at, self.bad = 0.0, [], None, None

    def pull(self, n, effect):
        box = self.boxes.get(effect.server.server)
        if box is not None and box.born is not None and CALM < self.now < CALM + SPAN:
            self.sent_cold += self.work
        if box is not None and box.name == self.bad:
            self.sent_bad.append(self.now)
        super().pull(n, effect)

    def fail(self, name, part):
        self.bad, self.boxes[name].fails = name, part


def cold(seed, routers, share, cut=False):
    boxes = max(3, routers // 6)
    fleet = Day(seed, routers, boxes, rate=13.0 * boxes, share=share)
    if cut:
        fleet.cut = lambda a, b: fleet.now > CALM - 3.0 and (a % 2 != b % 2)
    fleet.at(CALM, fleet.restart)
    fleet.run(CALM + SPAN + 4.0)
    return {
        "service": fleet.worth(CALM, CALM + SPAN),
        "used": used(fleet, CALM, CALM + SPAN),
        "peak": max(box.peak for box in fleet.boxes.values()) / COLD.overload_multiple,
        "fallen": sum(box.broken_down for box in fleet.boxes.values()),
        "datagrams_s": fleet.datagrams / len(fleet.routers) / fleet.now,
    }


def failing(seed, routers, share):
    boxes = max(3, routers // 6)
    fleet = Day(seed, routers, boxes, rate=10.0 * boxes, share=share)
    calm = Day(seed, routers, boxes, rate=10.0 * boxes, share=share)
    fleet.at(CALM, fleet.fail, "s-1", 1.0 / 3.0)
    fleet.run(CALM + SPAN + 4.0)
    calm.run(CALM + SPAN + 4.0)
    before = 10.0 * boxes / boxes  # its queries a second while it is well
    left = next(
        (
            at
            for at in (CALM + 0.5 * k for k in range(1, int(2 * SPAN)))
            if sum(at <= t < at + 1.0 for t in fleet.sent_bad) <= 0.2 * before
        ),
        CALM + SPAN,
    )
    lost = sum(how != "satisfied" for at, _, how in fleet.asked if CALM <= at < CALM + SPAN)
    return {
        "worth_lost": calm.worth(CALM, CALM + SPAN) - fleet.worth(CALM, CALM + SPAN),
        "left_s": left - CALM,
        "queries_lost": lost,
        "pushes_to_it": sum(CALM <= t < CALM + SPAN for t in fleet.sent_bad),
    }


def noise(seed, routers, share):
    """Rests that nothing is behind: one router's pushes break, all boxes fail one in fifty."""
    boxes = max(3, routers // 6)
    fleet = Day(seed, routers, boxes, rate=10.0 * boxes, share=share)
    for box in fleet.boxes.values():
        box.fails = 0.02
    fleet.broken = {0: 0.5}
    resting, seconds = 0, 30.0
    fleet.tell("ready", 1)
    fleet.at(0.0, fleet.arrive)
    for k in range(int(seconds)):
        fleet.play(k + 1.0)
        for state in fleet.routers[1:]:
            ejector = state.decisions.cache_outliers
            resting += sum(until > fleet.now for until in ejector.ejected_until.values()) + sum(
                how in ("rest", "trial") for how, _ in getattr(ejector, "verdicts", {}).values()
            )
    return {
        "resting_share": resting / seconds / (routers - 1) / boxes,
        "service": fleet.worth(2.0, seconds - 3.0),
    }


async def processes(share, routers=16, seconds=8.0):
    """The same days among real routers: what reaches three cold boxes while one router has most queries, and how long it
    takes till nine in ten routers leave a box that fails two answers in five."""
    flags = f"share_limits = {str(share).lower()}\nshare_verdicts = {str(share).lower()}"
    with tempfile.TemporaryDirectory(prefix="brookhinge-") as folder:
        async with ProcessCluster(
            folder,
            routers=routers,
            boxes=3,
            aim_s=0.1,
            flow_kb_s=500.0,
            warm_s=20.0,
            patience_s=2.0,
            more=flags,
        ) as rig:
            await rig.until(rig.one_view, 60.0)
            async with Load(rig, uneven_rates(rig, 40.0, 1.0)):
                await asyncio.sleep(START_S + 1.0)
                await rig.restart_cold(*rig.box_names)
                began = time.monotonic()
                await asyncio.sleep(seconds)
                came = sum(at >= began for box in rig.boxes.values() for at in box.arrival_times)
                peak = max(box.most_in(1.0, began) for box in rig.boxes.values())
            async with Load(rig, dict.fromkeys(rig.names, 4.0), seed=6) as load:
                await asyncio.sleep(2.0)
                rig.boxes["s-1"].fails = 0.4
                began, before = time.monotonic(), len(rig.boxes["s-1"].arrival_times)
                await asyncio.sleep(seconds)
                failed = len(rig.boxes["s-1"].arrival_times) - before
    return {
        "came_to_cold_a_second": round(came / seconds, 2),
        "most_within_a_second": peak,
        "asked_of_the_failing_a_second": round(failed / seconds, 2),
        "lost": sum(told.get("lost", 0) for told in load.kinds.values()),
    }


def one(job):
    day, seed, routers, share = job
    play = {
        "cold": cold,
        "cold, talk cut": lambda *given: cold(*given, cut=True),
        "failing": failing,
        "noise": noise,
    }[day]
    return play(seed, routers, share)


def chart(figures, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    board, places = pyplot.subplots(1, 4, figsize=(17, 4.0))
    wanted = (("cold", "used"), ("cold", "service"), ("cold, talk cut", "service"), ("failing", "worth_lost"))
    for place, (day, key) in zip(places, wanted):
        sizes = list(figures[day])
        for shift, kind in ((-0.2, "alone"), (0.2, "shared")):
            place.bar(
                [i + shift for i in range(len(sizes))],
                [figures[day][size][kind][key]["mean"] for size in sizes],
                0.38,
                yerr=[figures[day][size][kind][key]["deviation"] for size in sizes],
                label=kind,
            )
        place.set_xticks(range(len(sizes)), [f"{size} routers" for size in sizes])
        place.set_title(f"{day}: {key.replace('_', ' ')} (simulated)")
        place.legend()
    board.tight_layout()
    board.savefig(path, dpi=90)


def main():
    given = kept.parse_options()
    sizes = ((8, 2),) if given.short else ((8, 20), (64, 20), (200, 4))
    days = ("cold", "cold, talk cut", "failing", "noise")
    jobs = [
        (day, seed, size, share)
        for size, seeds in reversed(sizes)
        for day in days
        for seed in range(1, seeds + 1)
        for share in (False, True)
    ]
    with ProcessPoolExecutor() as pool:
        played = dict(zip(jobs, pool.map(one, jobs)))
    figures = {day: {} for day in days}
    for day in days:
        for size, seeds in sizes:
            figures[day][size] = {}
            for share in (False, True):
                rows = [played[day, seed, size, share] for seed in range(1, seeds + 1)]
                figures[day][size]["shared" if share else "alone"] = {
                    key: {
                        "mean": round(statistics.mean(row[key] for row in rows), 4),
                        "deviation": round(statistics.pstdev(row[key] for row in rows), 4),
                        "worst": round(max(row[key] for row in rows), 4),
                    }
                    for key in rows[0]
                }
            print(json.dumps({day: {size: figures[day][size]}}), file=sys.stderr)
    figures["processes"] = {
        kind: asyncio.run(processes(share, *((4, 3.0) if given.short else (16, 8.0))))
        for kind, share in (("alone", False), ("shared", True))
    }
    kept.finish(figures, given.keep, chart)


if __name__ == "__main__":
    main()
