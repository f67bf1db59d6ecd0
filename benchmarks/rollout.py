"""How surely a rollout's judge tells worse from no worse, and what a rollout costs: python -m benchmarks.rollout [--short]

    python -m benchmarks.rollout --keep benchmarks/results/rollout

Simulated: ten routers at two places, 40 queries a window each, windows drawn by a seed, with troubles going on (a box fails, a
place is worse for a while, load swings); each method sees the same windows. Three stages a rollout. Beside the judge stand a fixed
window test (one look at its end) and a plain threshold at each window. Then ten real routers through a good change. Last line:
one JSON object."""

import asyncio
import math
import random
import statistics
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import kept
from brookhinge.emulator.load_generator import Load
from brookhinge.emulator.rollout_cluster import RolloutCluster
from brookhinge.rollout.canary_analysis import (
    CanaryAnalysis,
    MetricDelta,
    RouterWindow,
    VerdictKind,
    difference,
)
from brookhinge.rollout.plan import Metric

ROUTERS = 10
QUERIES = 40
BEFORE = 60
WINDOWS = 150
STAGES = 3
GROUPS = ((0,), (1, 2, 3, 4), (5, 6, 7, 8, 9))
METRICS = (Metric("worth", 1.0, 0.02), Metric("failed", -1.0, 0.03))
EARLIER = "447355d"  # the first build that takes its listening socket from a keeper
FIXED = 60  # windows of the fixed test
TROUBLES = {
    "none": lambda t, place: 0.0,
    "a box fails": lambda t, place: 0.25 if 80 < t < 110 else 0.0,
    "one place worse": lambda t, place: 0.15 if place == "k0" and 75 < t < 140 else 0.0,
    "load swings": lambda t, place: 0.06 + 0.06 * math.sin(t / 9.0),
}


def windows(seed, worse, trouble, group):
    """Rows of each window of a stage: before, and after the group has changed."""
    chance = random.Random(f"{seed} {group}")
    skew = [chance.gauss(0.0, 0.02) for _ in range(ROUTERS)]
    for t in range(BEFORE + WINDOWS):
        rows = []
        for n in range(ROUTERS):
            place = f"k{n % 2}"
            changed = n in group
            bad = TROUBLES[trouble](t, place)
            good = min(1.0, max(0.0, 0.93 + skew[n] - bad - (worse if changed and t >= BEFORE else 0.0)))
            worth = sum(chance.random() < good for _ in range(QUERIES))
            failed = sum(chance.random() < 0.01 + bad / 4.0 for _ in range(QUERIES))
            deltas = {
                "worth": MetricDelta(QUERIES, float(worth)),
                "failed": MetricDelta(QUERIES, float(failed)),
            }
            rows.append(RouterWindow(place, changed, deltas))
        yield t < BEFORE, rows


def judged(seed, worse, trouble, group):
    """What each method says of one stage: windows till 'worse', or None."""
    analysis = CanaryAnalysis(METRICS, 0.01 / STAGES)
    said = dict.fromkeys(("judge", "fixed", "threshold"))
    before = []
    after = []
    for early, rows in windows(seed, worse, trouble, group):
        analysis.add_window(early, rows)
        value = difference("worth", rows)
        (before if early else after).append(value)
        if early:
            continue
        if said["judge"] is None and analysis.verdict().kind == VerdictKind.WORSE:
            said["judge"] = len(after)
        if said["threshold"] is None and value - statistics.mean(before) < -0.05:
            said["threshold"] = len(after)
        if len(after) == FIXED:
            error = math.sqrt(statistics.variance(before) / len(before) + statistics.variance(after) / FIXED)
            if (
                statistics.mean(after) - statistics.mean(before)
            ) / error < -2.71:  # one in 300, as a stage may
                said["fixed"] = FIXED
        if all(said.values()) or len(after) > FIXED and said["judge"] and said["threshold"]:
            break
    return said


def rollout(job):
    """One rollout of three stages: for each method whether it stopped it, in which window of all, and queries hurt till then."""
    seed, worse, trouble = job
    out = dict.fromkeys(("judge", "fixed", "threshold"))
    for k, group in enumerate(GROUPS):
        for method, at in judged(seed, worse, trouble, group).items():
            if out[method] is None and at is not None:
                hurt = worse * QUERIES * (sum(len(g) for g in GROUPS[:k]) * WINDOWS + len(group) * at)
                out[method] = k * WINDOWS + at, hurt
    return out


def stopped(rows, method):
    found = [row[method] for row in rows if row[method] is not None]
    return {
        "stopped": round(len(found) / len(rows), 4),
        "windows": round(statistics.mean(at for at, _ in found), 1) if found else None,
        "queries_hurt": round(statistics.mean(hurt for _, hurt in found)) if found else None,
    }


async def processes(routers, rate, tree=None, back=False):
    """A good change through real routers under load: what was refused or lost, and service during it against before.
    tree: of the old program, if that is an earlier build; back: taken back in the middle of its second stage."""
    with tempfile.TemporaryDirectory(prefix="brookhinge-") as folder:
        async with RolloutCluster(
            folder, routers=routers, boxes=2, patience_s=2.0, stages="[0.1, 0.5, 1.0]", tree=tree
        ) as rig:
            async with Load(rig, dict.fromkeys(rig.names, rate), objects=200) as load:
                await asyncio.sleep(4.0)
                before = total(load.kinds)
                began = time.monotonic()
                roll = await rig.start_coordinator()
                if back:
                    await rig.until(lambda: list(rig.versions().values()).count("v2") > 1, 200.0)
                    rig.ask("back")
                code = await rig.ended(roll, 400.0)
                took = time.monotonic() - began
                after = total(load.kinds)
    share = [
        told.get("satisfied", 0) / max(1, sum(told.values()))
        for told in (before, {key: after[key] - before.get(key, 0) for key in after})
    ]
    return {
        "routers": routers,
        "ended": code,
        "seconds": round(took, 1),
        "queries": sum(after.values()),
        "lost": after.get("lost", 0) + after.get("none", 0) - before.get("lost", 0),
        "service_before": round(share[0], 4),
        "service_during": round(share[1], 4),
    }


def total(kinds):
    out = {}
    for told in kinds.values():
        for kind, count in told.items():
            out[kind] = out.get(kind, 0) + count
    return out


def chart(figures, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    board, places = pyplot.subplots(1, 2, figsize=(12, 4))
    for method in ("judge", "fixed", "threshold"):
        worse = list(figures["judged"])
        places[0].plot(
            [float(w) for w in worse],
            [figures["judged"][w][method]["stopped"] for w in worse],
            "o-",
            label=method,
        )
        places[1].plot(
            [float(w) for w in worse if figures["judged"][w][method]["queries_hurt"] is not None],
            [
                figures["judged"][w][method]["queries_hurt"]
                for w in worse
                if figures["judged"][w][method]["queries_hurt"] is not None
            ],
            "o-",
            label=method,
        )
    places[0].set_title("share of rollouts stopped, by how much worse (simulated)")
    places[1].set_title("queries hurt till then (simulated)")
    places[0].legend()
    board.tight_layout()
    board.savefig(path, dpi=90)


def main():
    given = kept.parse_options()
    seeds = (
        {0.0: 40, 0.05: 12, 0.10: 12}
        if given.short
        else {0.0: 500, 0.01: 200, 0.02: 200, 0.05: 200, 0.10: 200}
    )
    names = list(TROUBLES)
    jobs = [
        (seed, worse, names[seed % len(names)]) for worse, count in seeds.items() for seed in range(count)
    ]
    with ProcessPoolExecutor() as pool:
        played = dict(zip(jobs, pool.map(rollout, jobs, chunksize=4)))
    figures = {"judged": {}}
    for worse in seeds:
        rows = [played[job] for job in jobs if job[1] == worse]
        figures["judged"][str(worse)] = {
            method: stopped(rows, method) for method in ("judge", "fixed", "threshold")
        }
        print(worse, figures["judged"][str(worse)], file=sys.stderr)
    figures["processes"] = asyncio.run(processes(*(3, 8.0) if given.short else (10, 8.0)))
    if not given.short:
        with tempfile.TemporaryDirectory(prefix="brookhinge-") as folder:
            subprocess.run(
                ["git", "worktree", "add", "--detach", f"{folder}/earlier", EARLIER],
                check=True,
                capture_output=True,
            )
            try:
                figures["earlier build"] = {
                    "to the present": asyncio.run(processes(6, 8.0, f"{folder}/earlier")),
                    "and back": asyncio.run(processes(6, 8.0, f"{folder}/earlier", True)),
                }
            finally:
                subprocess.run(
                    ["git", "worktree", "remove", "--force", f"{folder}/earlier"], capture_output=True
                )
    kept.finish(figures, given.keep, chart)


if __name__ == "__main__":
    main()
