"""Compares fleet-wide limits and outlier ejection with equal shares and each router's own outcomes.

    python -m benchmarks.limits [--short]
    python -m benchmarks.limits --keep benchmarks/results/limits

Runs the daemon's state, decisions and cores in simulated time. Routers have uneven traffic (lognormal), and
the same seeds run with sharing on and off. Scenarios: all cache servers restart cold; the same while the
messages between two halves of the fleet are cut; one cache server fails one response in three; attempts of
one router break in the network while every cache server fails one response in fifty. Then real routers run as
processes. The last line of the output is one JSON object.
"""

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

CALM_S, MEASURED_S = 8.0, 10.0  # simulated time before the fault, and measured after it


def slow_start_usage(fleet, begin, end):
    """Return the work sent to cold cache servers over the work that the fleet could send to them.

    The latter is what all routers together may send in slow start, but at most the demand.
    """
    budget, step_s, allowed = fleet.routers[0].decisions.slow_start["cache"], 0.1, 0.0
    for cache_server in fleet.boxes.values():
        at = begin
        while at < end:
            allowed += (
                min(
                    budget.fleet_rate(at, cache_server.born, float(cache_server.cores), fleet.work),
                    fleet.rate * fleet.work / len(fleet.boxes),
                )
                * step_s
            )
            at += step_s
    return fleet.cold_work / allowed


class MeasuredFleet(Fleet):
    """Fleet that records the work sent to cold cache servers and the attempts sent to a failing one.

    Attributes:
        cold_work: Work sent to restarted cache servers in the measured time, in seconds.
        failing_attempts: Times of the attempts sent to the failing cache server.
        failing_server: Name of the failing cache server, or None.
    """

    def __init__(self, *args, **named):
        super().__init__(*args, **named)
        self.cold_work, self.failing_attempts, self.left_at, self.failing_server = 0.0, [], None, None

    def pull(self, n, effect):
        """Record an attempt before it is sent."""
        cache_server = self.boxes.get(effect.server.server)
        if (
            cache_server is not None
            and cache_server.born is not None
            and CALM_S < self.now < CALM_S + MEASURED_S
        ):
            self.cold_work += self.work
        if cache_server is not None and cache_server.name == self.failing_server:
            self.failing_attempts.append(self.now)
        super().pull(n, effect)

    def fail(self, name, part):
        """Make a cache server fail this share of its responses."""
        self.failing_server, self.boxes[name].fails = name, part


def run_cold_restart(seed, routers, share, cut=False):
    """Restart all cache servers cold; with `cut`, the fleet is split into halves 3 s before."""
    cache_servers = max(3, routers // 6)
    fleet = MeasuredFleet(seed, routers, cache_servers, rate=13.0 * cache_servers, share=share)
    if cut:
        fleet.cut = lambda a, b: fleet.now > CALM_S - 3.0 and (a % 2 != b % 2)
    fleet.at(CALM_S, fleet.restart)
    fleet.run(CALM_S + MEASURED_S + 4.0)
    return {
        "service": fleet.worth(CALM_S, CALM_S + MEASURED_S),
        "used": slow_start_usage(fleet, CALM_S, CALM_S + MEASURED_S),
        "peak": max(cache_server.peak for cache_server in fleet.boxes.values()) / COLD.overload_multiple,
        "fallen": sum(cache_server.broken_down for cache_server in fleet.boxes.values()),
        "datagrams_s": fleet.datagrams / len(fleet.routers) / fleet.now,
    }


def run_failing_server(seed, routers, share):
    """Let one cache server fail one response in three, and compare with the same fleet without the fault."""
    cache_servers = max(3, routers // 6)
    fleet = MeasuredFleet(seed, routers, cache_servers, rate=10.0 * cache_servers, share=share)
    baseline = MeasuredFleet(seed, routers, cache_servers, rate=10.0 * cache_servers, share=share)
    fleet.at(CALM_S, fleet.fail, "s-1", 1.0 / 3.0)
    fleet.run(CALM_S + MEASURED_S + 4.0)
    baseline.run(CALM_S + MEASURED_S + 4.0)
    healthy_rate = 10.0 * cache_servers / cache_servers  # requests per second to a healthy cache server
    left_at = next(
        (
            at
            for at in (CALM_S + 0.5 * k for k in range(1, int(2 * MEASURED_S)))
            if sum(at <= t < at + 1.0 for t in fleet.failing_attempts) <= 0.2 * healthy_rate
        ),
        CALM_S + MEASURED_S,
    )
    unsatisfied = sum(how != "satisfied" for at, _, how in fleet.asked if CALM_S <= at < CALM_S + MEASURED_S)
    return {
        "worth_lost": baseline.worth(CALM_S, CALM_S + MEASURED_S) - fleet.worth(CALM_S, CALM_S + MEASURED_S),
        "left_s": left_at - CALM_S,
        "queries_lost": unsatisfied,
        "pushes_to_it": sum(CALM_S <= t < CALM_S + MEASURED_S for t in fleet.failing_attempts),
    }


def run_noise(seed, routers, share):
    """Measure unjustified ejections: one router's attempts break, and all cache servers fail one in fifty."""
    cache_servers = max(3, routers // 6)
    fleet = MeasuredFleet(seed, routers, cache_servers, rate=10.0 * cache_servers, share=share)
    for cache_server in fleet.boxes.values():
        cache_server.fails = 0.02
    fleet.broken = {0: 0.5}
    ejected, duration_s = 0, 30.0
    fleet.tell("ready", 1)
    fleet.at(0.0, fleet.arrive)
    for k in range(int(duration_s)):
        fleet.play(k + 1.0)
        for state in fleet.routers[1:]:
            ejector = state.decisions.cache_outliers
            ejected += sum(until > fleet.now for until in ejector.ejected_until.values()) + sum(
                how in ("rest", "trial") for how, _ in getattr(ejector, "verdicts", {}).values()
            )
    return {
        "resting_share": ejected / duration_s / (routers - 1) / cache_servers,
        "service": fleet.worth(2.0, duration_s - 3.0),
    }


async def run_processes(share, routers=16, seconds=8.0):
    """Run the faults among real routers and measure the load on cold and on failing cache servers.

    Three cache servers restart cold while one router has most requests. After that, one cache server fails
    two responses in five.
    """
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
        ) as cluster:
            await cluster.until(cluster.one_view, 60.0)
            async with Load(cluster, uneven_rates(cluster, 40.0, 1.0)):
                await asyncio.sleep(START_S + 1.0)
                await cluster.restart_cold(*cluster.box_names)
                began = time.monotonic()
                await asyncio.sleep(seconds)
                cold_requests = sum(
                    at >= began
                    for cache_server in cluster.boxes.values()
                    for at in cache_server.arrival_times
                )
                peak = max(cache_server.most_in(1.0, began) for cache_server in cluster.boxes.values())
            async with Load(cluster, dict.fromkeys(cluster.names, 4.0), seed=6) as load:
                await asyncio.sleep(2.0)
                cluster.boxes["s-1"].fails = 0.4
                began, before = time.monotonic(), len(cluster.boxes["s-1"].arrival_times)
                await asyncio.sleep(seconds)
                failing_requests = len(cluster.boxes["s-1"].arrival_times) - before
    return {
        "came_to_cold_a_second": round(cold_requests / seconds, 2),
        "most_within_a_second": peak,
        "asked_of_the_failing_a_second": round(failing_requests / seconds, 2),
        "lost": sum(outcomes.get("lost", 0) for outcomes in load.kinds.values()),
    }


def run_scenario(job):
    """Run one scenario with one seed and return its results."""
    scenario, seed, routers, share = job
    run = {
        "cold": run_cold_restart,
        "cold, talk cut": lambda *args: run_cold_restart(*args, cut=True),
        "failing": run_failing_server,
        "noise": run_noise,
    }[scenario]
    return run(seed, routers, share)


def chart(results, path):
    """Draw the chart of the results to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 4, figsize=(17, 4.0))
    panels = (("cold", "used"), ("cold", "service"), ("cold, talk cut", "service"), ("failing", "worth_lost"))
    for axis, (scenario, key) in zip(axes, panels):
        sizes = list(results[scenario])
        for shift, variant in ((-0.2, "alone"), (0.2, "shared")):
            axis.bar(
                [i + shift for i in range(len(sizes))],
                [results[scenario][size][variant][key]["mean"] for size in sizes],
                0.38,
                yerr=[results[scenario][size][variant][key]["deviation"] for size in sizes],
                label=variant,
            )
        axis.set_xticks(range(len(sizes)), [f"{size} routers" for size in sizes])
        axis.set_title(f"{scenario}: {key.replace('_', ' ')} (simulated)")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main():
    """Run the benchmark with the command-line options."""
    options = kept.parse_options()
    sizes = ((8, 2),) if options.short else ((8, 20), (64, 20), (200, 4))
    scenarios = ("cold", "cold, talk cut", "failing", "noise")
    jobs = [
        (scenario, seed, size, share)
        for size, seeds in reversed(sizes)
        for scenario in scenarios
        for seed in range(1, seeds + 1)
        for share in (False, True)
    ]
    with ProcessPoolExecutor() as pool:
        results_by_job = dict(zip(jobs, pool.map(run_scenario, jobs)))
    results = {scenario: {} for scenario in scenarios}
    for scenario in scenarios:
        for size, seeds in sizes:
            results[scenario][size] = {}
            for share in (False, True):
                rows = [results_by_job[scenario, seed, size, share] for seed in range(1, seeds + 1)]
                results[scenario][size]["shared" if share else "alone"] = {
                    key: {
                        "mean": round(statistics.mean(row[key] for row in rows), 4),
                        "deviation": round(statistics.pstdev(row[key] for row in rows), 4),
                        "worst": round(max(row[key] for row in rows), 4),
                    }
                    for key in rows[0]
                }
            print(json.dumps({scenario: {size: results[scenario][size]}}), file=sys.stderr)
    results["processes"] = {
        variant: asyncio.run(run_processes(share, *((4, 3.0) if options.short else (16, 8.0))))
        for variant, share in (("alone", False), ("shared", True))
    }
    kept.finish(results, options.keep, chart)


if __name__ == "__main__":
    main()
