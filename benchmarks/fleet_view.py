"""Measures how fast, how reliably and at what cost a fleet of routers learns of changes.

    python -m benchmarks.fleet_view [--short]
    python -m benchmarks.fleet_view --keep benchmarks/results/fleet_view

Runs the daemon's own peers in simulated time, on a network with a delay of 2 ms that loses datagrams, and for
comparison all-to-all heartbeats with the same loss. Then measures the same with real router processes on
loopback. Times are in seconds, traffic in bytes per member and second; a fleet knows of a change when 99% of
the live members do. The last line of the output is one JSON object.
"""

import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor

from benchmarks import kept
from brookhinge.emulator.process_cluster import ProcessCluster
from brookhinge.emulator.simulated_membership import Net
from brookhinge.membership.claims import PRESENT_STATES, MemberState
from brookhinge.membership.local_member import Identity
from brookhinge.membership.messages import Announcement, Received
from brookhinge.membership.peer import Peer

PARTITION_S = 60.0


def state_of(host, name):
    """Return the state of a member in a host's view, or None if the view does not list it."""
    view = host.peer.view
    i = view.index.get(name)
    return None if i is None else view.states[i]


def time_until(net, condition, limit_s, step_s=0.02):
    """Run the simulation until condition() and return the seconds, or about `limit_s` if it never held."""
    began = net.now
    while net.now - began < limit_s:
        net.run(step_s)
        if condition():
            break
    return round(net.now - began, 3)


def holds_for_share(net, condition, share=0.99):
    """Return whether the condition holds for at least this share of the live hosts."""
    hosts = net.living()
    return sum(map(condition, hosts)) >= share * len(hosts)


def times_to_first_and_99_percent(net, condition, limit_s):
    """Return the seconds until the condition holds for the first live host, and for 99% of them."""
    first_s = time_until(net, lambda: holds_for_share(net, condition, 1e-9), limit_s)
    return first_s, round(
        first_s
        + (
            time_until(net, lambda: holds_for_share(net, condition), limit_s)
            if not holds_for_share(net, condition)
            else 0.0
        ),
        3,
    )


def started_fleet(seed, count, loss):
    """Return a fleet of simulated hosts that has run for 15 s."""
    net = Net(seed, loss)
    for n in range(1, count + 1):
        net.add(n)
    net.run(15.0)
    return net


def run_scenario(job):
    """Run a drain, a crash, a join and, with `cut`, a partition with one seed, fleet size and loss."""
    seed, count, loss, cut = job
    net, results = started_fleet(seed, count, loss), {}
    bytes_before = sum(h.bytes for h in net.hosts.values())
    net.run(10.0)
    results["bytes_s"] = (sum(h.bytes for h in net.hosts.values()) - bytes_before) / count / 10.0
    net.hosts[2].peer.spread(net.now, "draining", ("s-1", 5), net.hosts[2])
    notice = ("draining", "s-1", 5)
    results["drain_first"], results["drain_most"] = times_to_first_and_99_percent(
        net, lambda h: h.n == 2 or notice in h.notices, 10.0
    )
    net.kill(5)
    results["crash_first"], results["crash_most"] = times_to_first_and_99_percent(
        net, lambda h: state_of(h, "n5") == MemberState.LOST, 60.0
    )
    net.add(count + 1)
    results["join_first"], results["join_most"] = times_to_first_and_99_percent(
        net, lambda h: state_of(h, f"n{count + 1}") in PRESENT_STATES, 30.0
    )
    if cut:
        half = count // 2
        net.cut = lambda a, b: (a <= half) != (b <= half)
        net.run(PARTITION_S)
        net.cut = lambda a, b: False
        results["one_view_after_cut"] = time_until(net, net.one_view, 120.0, 0.25)
    return results


def run_starved(job):
    """Count false 'lost' reports at 10% loss while random members of a tenth of the fleet freeze for 1 s."""
    seed, count, seconds = job
    net, rng = started_fleet(seed, count, 0.1), random.Random(seed)
    for host in net.hosts.values():
        host.log.clear()
    slow_hosts, end = list(range(1, count + 1, 10)), net.now + seconds
    while net.now < end:
        frozen = [n for n in slow_hosts if rng.random() < 0.3]
        for n in frozen:
            net.freeze(n)
        net.run(1.0)
        for n in frozen:
            net.thaw(n)
        net.run(0.5)
    lost = [(name, at) for h in net.hosts.values() for at, change, name, _ in h.log if change == "lost"]
    return {
        "members_taken_for_lost": len({name for name, _ in lost}),
        "seconds": seconds,
        "suspicions": len(
            {(name, round(at)) for h in net.hosts.values() for at, c, name, _ in h.log if c == "suspected"}
        ),
    }


def measure_cost(count, seconds):
    """Return the share of a core that a member needs for datagrams and rounds, and the KB of its view."""
    net = started_fleet(1, count, 0.0)
    host = net.hosts[1]
    cpu_s = [0.0]

    def timed(call):
        def timed_call(*args):
            began = time.process_time()
            result = call(*args)
            cpu_s[0] += time.process_time() - began
            return result

        return timed_call

    host.read, host.peer.round = timed(host.read), timed(host.peer.round)
    net.run(seconds)
    del host.read, host.peer.round
    tracemalloc.start()
    peer = Peer(Identity("n0", ("10.0.0.1", 9999), "z", 1, 1), [], random.Random(1), 0.0)
    for n, other in net.hosts.items():
        peer.round(0.0, [Received(other.peer.claim(0.0), 0, (), (), Announcement())], host)
    view_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"members": count, "core_share": round(cpu_s[0] / seconds, 5), "view_kb": round(view_bytes / 1024)}


def simulate_heartbeats(seed, count, loss, seconds=60.0, interval_s=0.5, missed_limit=5):
    """Simulate all-to-all heartbeats with one crash at half of the time.

    A member is lost to another one when no heartbeat has arrived for `missed_limit` intervals.

    Returns:
        Seconds until 99% of the members know of the crash, bytes per member and second, and false 'lost'
        reports per hour.
    """
    rng, last_heartbeat, false_lost = random.Random(seed), [[0.0] * count for _ in range(count)], 0
    detection_s, now = [], 0.0
    lost = [[False] * count for _ in range(count)]
    while now < seconds:
        now += interval_s
        for a in range(count):
            if a == 1 and now > seconds / 2:
                continue
            for b in range(count):
                if rng.random() >= loss:
                    last_heartbeat[b][a] = now
        for b in range(count):
            if b == 1 and now > seconds / 2:
                continue
            for a in range(count):
                is_lost = now - last_heartbeat[b][a] >= missed_limit * interval_s
                if is_lost and not lost[b][a]:
                    if a == 1 and now > seconds / 2:
                        detection_s.append(now - seconds / 2)
                    else:
                        false_lost += 1
                lost[b][a] = is_lost
    return {
        "crash_most": round(sorted(detection_s)[int(0.99 * (len(detection_s) - 1))], 2),
        "bytes_s": round(count / interval_s * 120),
        "false_lost_an_hour": round(false_lost * 3600 / seconds),
    }


async def run_processes(count, cut_s):
    """Measure a drain, a crash and a partition among real routers, which talk through datagram proxies."""
    results = {}
    with tempfile.TemporaryDirectory(prefix="brookhinge-") as folder:
        async with ProcessCluster(folder, routers=count, boxes=1) as cluster:
            results["one_view_at_start"] = await cluster.until(cluster.one_view, 60.0)
            await asyncio.sleep(3.0)
            cluster.channels["n2"].list("s-1", health="draining")
            began = time.time()
            await asyncio.sleep(2.0)
            delays = sorted(
                line["at"] - began
                for name in cluster.names
                if name != "n2"
                for line in cluster.log(name, "notice")
            )
            results["drain_first"], results["drain_most"] = (
                (delays[0], delays[int(0.99 * (len(delays) - 1))]) if delays else (9, 9)
            )
            results["drain_heard_by"] = len(delays)
            began = time.time()
            await cluster.kill("n3")
            await cluster.until(cluster.one_view, 60.0)
            delays = sorted(
                line["at"] - began
                for name in cluster.names
                if name != "n3"
                for line in cluster.log(name, "fleet")
                if line["change"] == "lost" and line["member"] == "n3"
            )
            results["crash_first"], results["crash_most"] = delays[0], delays[int(0.99 * (len(delays) - 1))]
            half = set(cluster.names[: count // 2])
            cluster.wires.cut = lambda a, b: (a in half) != (b in half)
            await asyncio.sleep(cut_s)
            cluster.wires.cut = lambda a, b: False
            results["one_view_after_cut"] = await cluster.until(cluster.one_view, 120.0)
    return {key: round(value, 3) for key, value in results.items()}


def summarize(rows):
    """Return the median and the worst value of each result over all seeds."""
    return {
        key: {
            "median": round(statistics.median(row[key] for row in rows), 3),
            "worst": round(max(row[key] for row in rows), 3),
        }
        for key in rows[0]
    }


def chart(results, path):
    """Draw the chart of the results to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(15, 4.2))
    for axis, key, title in zip(
        axes,
        ("drain_most", "crash_most", "bytes_s"),
        ("seconds till 99% know a drain", "seconds till 99% know a crash", "bytes a member a second"),
    ):
        for loss in sorted({row["loss"] for row in results["virtual"]}):
            rows = [row for row in results["virtual"] if row["loss"] == loss]
            axis.plot(
                [row["members"] for row in rows],
                [row[key]["median"] for row in rows],
                "o-",
                label=f"{loss:.0%} lost",
            )
        if key != "drain_most":
            axis.plot(
                [row["members"] for row in results["heartbeats"]],
                [row[key] for row in results["heartbeats"]],
                "k--",
                label="all to all, 10%",
            )
        axis.set_xscale("log")
        axis.set_title(title + " (simulated)")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main():
    """Run the benchmark with the command-line options."""
    options = kept.parse_options()
    sizes = (
        ((16, 2, (0.0, 0.1)), (64, 2, (0.1,)))
        if options.short
        else (
            (16, 20, (0.0, 0.1, 0.3)),
            (64, 20, (0.0, 0.1, 0.3)),
            (200, 4, (0.0, 0.1, 0.3)),
            (1000, 1, (0.1,)),
        )
    )
    jobs = [
        (seed, count, loss, count <= 200)
        for count, seeds, losses in sizes
        for loss in losses
        for seed in range(1, seeds + 1)
    ]
    jobs.sort(key=lambda job: -job[1])
    results = {"virtual": []}
    with ProcessPoolExecutor() as pool:
        starved = pool.submit(run_starved, (1, 32, 60.0) if options.short else (1, 100, 3600.0))
        results_by_job = dict(zip(jobs, pool.map(run_scenario, jobs)))
        results["starved"] = starved.result()
    for count, seeds, losses in sizes:
        for loss in losses:
            rows = [results_by_job[job] for job in results_by_job if job[1] == count and job[2] == loss]
            results["virtual"].append({"members": count, "loss": loss, "seeds": seeds, **summarize(rows)})
            print(json.dumps(results["virtual"][-1]), file=sys.stderr)
    results["heartbeats"] = [
        {"members": count, **simulate_heartbeats(1, count, 0.1)}
        for count in ((16, 64) if options.short else (16, 64, 200))
    ]
    results["cost"] = measure_cost(*(64, 20.0) if options.short else (200, 120.0))
    results["processes"] = asyncio.run(run_processes(*(6, 8.0) if options.short else (16, 30.0)))
    kept.finish(results, options.keep, chart)


if __name__ == "__main__":
    main()
