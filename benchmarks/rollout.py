"""Measures how reliably canary analysis detects a worse version, and what a rollout costs.

    python -m benchmarks.rollout [--short]
    python -m benchmarks.rollout --keep benchmarks/results/rollout

Simulated: ten routers at two sites with 40 requests per window each. A seed draws the windows, in which
unrelated disturbances occur: a cache server fails, one site is worse for a while, or the load swings. Each
method sees the same windows in three stages per rollout. Canary analysis is compared with a fixed window test
(evaluated once, at its end) and with a plain threshold at each window. Then a good change is rolled out to
ten real routers. The last line of the output is one JSON object.
"""

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
REQUESTS_PER_WINDOW = 40
BASELINE_WINDOWS = 60
STAGE_WINDOWS = 150
STAGES = 3
STAGE_ROUTERS = ((0,), (1, 2, 3, 4), (5, 6, 7, 8, 9))
METRICS = (Metric("worth", 1.0, 0.02), Metric("failed", -1.0, 0.03))
EARLIER_BUILD = "447355d"  # the first build that inherits its listening socket from the agent
FIXED_TEST_WINDOWS = 60
DISTURBANCES = {
    "none": lambda t, site: 0.0,
    "a box fails": lambda t, site: 0.25 if 80 < t < 110 else 0.0,
    "one place worse": lambda t, site: 0.15 if site == "k0" and 75 < t < 140 else 0.0,
    "load swings": lambda t, site: 0.06 + 0.06 * math.sin(t / 9.0),
}


def generate_windows(seed, worse, disturbance_name, group):
    """Yield each window of a stage: whether it precedes the change of the group, and a row per router."""
    rng = random.Random(f"{seed} {group}")
    skew = [rng.gauss(0.0, 0.02) for _ in range(ROUTERS)]
    for t in range(BASELINE_WINDOWS + STAGE_WINDOWS):
        rows = []
        for n in range(ROUTERS):
            site = f"k{n % 2}"
            changed = n in group
            disturbance = DISTURBANCES[disturbance_name](t, site)
            success_rate = min(
                1.0,
                max(
                    0.0, 0.93 + skew[n] - disturbance - (worse if changed and t >= BASELINE_WINDOWS else 0.0)
                ),
            )
            satisfied = sum(rng.random() < success_rate for _ in range(REQUESTS_PER_WINDOW))
            failed = sum(rng.random() < 0.01 + disturbance / 4.0 for _ in range(REQUESTS_PER_WINDOW))
            deltas = {
                "worth": MetricDelta(REQUESTS_PER_WINDOW, float(satisfied)),
                "failed": MetricDelta(REQUESTS_PER_WINDOW, float(failed)),
            }
            rows.append(RouterWindow(site, changed, deltas))
        yield t < BASELINE_WINDOWS, rows


def judge_stage(seed, worse, disturbance_name, group):
    """Return how many windows of one stage each method needs to find it worse, or None if it does not."""
    analysis = CanaryAnalysis(METRICS, 0.01 / STAGES)
    detected_after = dict.fromkeys(("judge", "fixed", "threshold"))
    before = []
    after = []
    for is_baseline, rows in generate_windows(seed, worse, disturbance_name, group):
        analysis.add_window(is_baseline, rows)
        value = difference("worth", rows)
        (before if is_baseline else after).append(value)
        if is_baseline:
            continue
        if detected_after["judge"] is None and analysis.verdict().kind == VerdictKind.WORSE:
            detected_after["judge"] = len(after)
        if detected_after["threshold"] is None and value - statistics.mean(before) < -0.05:
            detected_after["threshold"] = len(after)
        if len(after) == FIXED_TEST_WINDOWS:
            standard_error = math.sqrt(
                statistics.variance(before) / len(before) + statistics.variance(after) / FIXED_TEST_WINDOWS
            )
            if (
                statistics.mean(after) - statistics.mean(before)
            ) / standard_error < -2.71:  # error probability of 1 in 300, as allowed per stage
                detected_after["fixed"] = FIXED_TEST_WINDOWS
        if (
            all(detected_after.values())
            or len(after) > FIXED_TEST_WINDOWS
            and detected_after["judge"]
            and detected_after["threshold"]
        ):
            break
    return detected_after


def run_rollout(job):
    """Return for each method the window in which it stopped a three-stage rollout, and the requests harmed.

    A method that did not stop the rollout has None.
    """
    seed, worse, disturbance_name = job
    stopped_at = dict.fromkeys(("judge", "fixed", "threshold"))
    for k, group in enumerate(STAGE_ROUTERS):
        for method, at in judge_stage(seed, worse, disturbance_name, group).items():
            if stopped_at[method] is None and at is not None:
                harmed_requests = (
                    worse
                    * REQUESTS_PER_WINDOW
                    * (sum(len(g) for g in STAGE_ROUTERS[:k]) * STAGE_WINDOWS + len(group) * at)
                )
                stopped_at[method] = k * STAGE_WINDOWS + at, harmed_requests
    return stopped_at


def summarize(rows, method):
    """Return the share of rollouts that a method stopped, with the mean windows and harmed requests."""
    found = [row[method] for row in rows if row[method] is not None]
    return {
        "stopped": round(len(found) / len(rows), 4),
        "windows": round(statistics.mean(at for at, _ in found), 1) if found else None,
        "queries_hurt": round(statistics.mean(hurt for _, hurt in found)) if found else None,
    }


async def run_processes(routers, rate, tree=None, back=False):
    """Roll out a good change to real routers under load, and return lost requests and satisfied shares.

    Args:
        routers: Number of routers.
        rate: Requests per second to each router.
        tree: Source tree of the old version, or None for the current one.
        back: Whether the change is rolled back in the middle of its second stage.
    """
    with tempfile.TemporaryDirectory(prefix="brookhinge-") as folder:
        async with RolloutCluster(
            folder, routers=routers, boxes=2, patience_s=2.0, stages="[0.1, 0.5, 1.0]", tree=tree
        ) as cluster:
            async with Load(cluster, dict.fromkeys(cluster.names, rate), objects=200) as load:
                await asyncio.sleep(4.0)
                before = sum_outcomes(load.kinds)
                began = time.monotonic()
                coordinator = await cluster.start_coordinator()
                if back:
                    await cluster.until(lambda: list(cluster.versions().values()).count("v2") > 1, 200.0)
                    cluster.ask("back")
                exit_code = await cluster.ended(coordinator, 400.0)
                elapsed_s = time.monotonic() - began
                after = sum_outcomes(load.kinds)
    satisfied_shares = [
        outcomes.get("satisfied", 0) / max(1, sum(outcomes.values()))
        for outcomes in (before, {key: after[key] - before.get(key, 0) for key in after})
    ]
    return {
        "routers": routers,
        "ended": exit_code,
        "seconds": round(elapsed_s, 1),
        "queries": sum(after.values()),
        "lost": after.get("lost", 0) + after.get("none", 0) - before.get("lost", 0),
        "service_before": round(satisfied_shares[0], 4),
        "service_during": round(satisfied_shares[1], 4),
    }


def sum_outcomes(kinds):
    """Return the sums of the outcome counts of all routers."""
    sums = {}
    for outcomes in kinds.values():
        for kind, count in outcomes.items():
            sums[kind] = sums.get(kind, 0) + count
    return sums


def chart(results, path):
    """Draw the chart of the results to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(12, 4))
    for method in ("judge", "fixed", "threshold"):
        worse = list(results["judged"])
        axes[0].plot(
            [float(w) for w in worse],
            [results["judged"][w][method]["stopped"] for w in worse],
            "o-",
            label=method,
        )
        axes[1].plot(
            [float(w) for w in worse if results["judged"][w][method]["queries_hurt"] is not None],
            [
                results["judged"][w][method]["queries_hurt"]
                for w in worse
                if results["judged"][w][method]["queries_hurt"] is not None
            ],
            "o-",
            label=method,
        )
    axes[0].set_title("share of rollouts stopped, by how much worse (simulated)")
    axes[1].set_title("queries hurt till then (simulated)")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main():
    """Run the benchmark with the command-line options."""
    options = kept.parse_options()
    seeds = (
        {0.0: 40, 0.05: 12, 0.10: 12}
        if options.short
        else {0.0: 500, 0.01: 200, 0.02: 200, 0.05: 200, 0.10: 200}
    )
    names = list(DISTURBANCES)
    jobs = [
        (seed, worse, names[seed % len(names)]) for worse, count in seeds.items() for seed in range(count)
    ]
    with ProcessPoolExecutor() as pool:
        results_by_job = dict(zip(jobs, pool.map(run_rollout, jobs, chunksize=4)))
    results = {"judged": {}}
    for worse in seeds:
        rows = [results_by_job[job] for job in jobs if job[1] == worse]
        results["judged"][str(worse)] = {
            method: summarize(rows, method) for method in ("judge", "fixed", "threshold")
        }
        print(worse, results["judged"][str(worse)], file=sys.stderr)
    results["processes"] = asyncio.run(run_processes(*(3, 8.0) if options.short else (10, 8.0)))
    if not options.short:
        with tempfile.TemporaryDirectory(prefix="brookhinge-") as folder:
            subprocess.run(
                ["git", "worktree", "add", "--detach", f"{folder}/earlier", EARLIER_BUILD],
                check=True,
                capture_output=True,
            )
            try:
                results["earlier build"] = {
                    "to the present": asyncio.run(run_processes(6, 8.0, f"{folder}/earlier")),
                    "and back": asyncio.run(run_processes(6, 8.0, f"{folder}/earlier", True)),
                }
            finally:
                subprocess.run(
                    ["git", "worktree", "remove", "--force", f"{folder}/earlier"], capture_output=True
                )
    kept.finish(results, options.keep, chart)


if __name__ == "__main__":
    main()
