"""Measures the membership protocol's network traffic per router, at its design fleet size.

    python -m benchmarks.view_traffic [--short]
    python -m benchmarks.view_traffic --members 530 --seeds 1,2,3 --loss 0.01

Runs the daemon's own peers and codec in simulated time. Reports bytes sent and received per router and
second, with the headers of IP and UDP, for the worst router over any 10 s and for the median router. A fleet
is settled when all routers have the same membership view. The last line of the output is one JSON object.
"""

import argparse
import collections
import json
import statistics
from concurrent.futures import ProcessPoolExecutor

from brookhinge.emulator.simulated_membership import Net
from brookhinge.limits.lease_terms import NO_QUOTA_S
from brookhinge.membership.claims import PRESENT_STATES

SITE_ROUTERS = 16
LEASE_S = 10.0
START_TIME_MS = 1_764_600_000_000  # as many digits as a real start time
STEP_S = 0.25
OBSERVATION_S = 60.0  # simulated time after each event
SCENARIOS = ("idle", "join", "restart", "crash", "all")


def add_router(net, n):
    """Add router n to the simulated network."""
    return net.add(n, born=START_TIME_MS + 997 * n, name=f"r{n:04d}", zone=f"zone-{n % 13:02d}")


def settled_fleet(seed, members, loss):
    """Return a fleet whose members all know one another and have finished joining."""
    net = Net(seed, loss)
    for n in range(1, members + 1):
        add_router(net, n)
    hosts = list(net.hosts.values())
    claims = [host.peer.view.claim(0, 0.0) for host in hosts]
    for host in hosts:
        for claim in claims:
            host.peer.view.apply(0.0, claim, claim.name)
        host.peer.join_progress.joining_until = 0.0
    return net


def one_view(net):
    """Return whether all live routers have the same view, which lists exactly the live routers."""
    living = net.living()
    first = living[0].peer
    live_names = {host.name for host in living}
    present_names = {name for name, state, *_ in first.members() if state in PRESENT_STATES}
    return present_names == live_names and len({host.peer.view.digest() for host in living}) == 1


def fleet_size_shortfall(net, configured):
    """Return how far the lowest fleet size estimate is below the number of routers that use a quota now."""
    active_routers = sum(net.now - host.started_at > NO_QUOTA_S for host in net.living())
    return max(
        active_routers - host.peer.estimate_fleet_size(net.now, LEASE_S, configured) for host in net.living()
    )


def watch(net, seconds, configured):
    """Run the simulation and return the settling time and the worst shortfall of a fleet size estimate.

    The settling time is the seconds until all views became and stayed equal; None if they differ at the end.
    """
    began, settled, shortfall = net.now, None, 0
    while net.now - began < seconds - 1e-9:
        net.run(STEP_S)
        shortfall = max(shortfall, fleet_size_shortfall(net, configured))
        if not one_view(net):
            settled = None
        elif settled is None:
            settled = round(net.now - began, 2)
    return settled, shortfall


def join(net, members):
    """Add the last site to the fleet."""
    for n in range(members - SITE_ROUTERS + 1, members + 1):
        add_router(net, n)


def restart(net, members):
    """Stop all routers of a site, which announce that they leave, and start them again a second later."""
    site = [net.hosts[n] for n in range(SITE_ROUTERS + 1, 2 * SITE_ROUTERS + 1)]
    for host in site:
        host.peer.leave(net.now, host)
    net.run(0.05)
    for host in site:
        net.kill(host.n)
    net.run(1.0)
    for host in site:
        host.start(START_TIME_MS + 10_000_000 + host.n, [("10.0.0.1", seed) for seed in (1, 2, 3)])


def crash(net, members):
    """Kill all routers of a site."""
    for n in range(SITE_ROUTERS + 1, 2 * SITE_ROUTERS + 1):
        net.kill(n)


def run_scenario(job):
    """Run one scenario with one seed and return its results."""
    scenario, seed, members, loss, seconds = job
    if scenario == "all":
        net = Net(seed, loss)
        for n in range(1, members + 1):
            add_router(net, n)
    else:
        net = settled_fleet(seed, members - SITE_ROUTERS * (scenario == "join"), loss)
        net.run(15.0)
    observed_from = net.now
    {"join": join, "restart": restart, "crash": crash}.get(scenario, lambda net, members: None)(net, members)
    settled, shortfall = watch(net, seconds, members)
    hosts = net.living()
    rates = sorted(host.traffic.worst_rate(observed_from, net.now) for host in hosts)
    methods, datagrams, elapsed_s = collections.Counter(), collections.Counter(), net.now
    for host in hosts:
        methods.update(host.traffic.by_method)
        datagrams.update(host.traffic.datagrams)
    return {
        "scenario": scenario,
        "seed": seed,
        "members": members,
        "loss": loss,
        "settled_s": settled,
        "counted_short": shortfall,
        "worst_10s": round(rates[-1]),
        "median_10s": round(statistics.median(rates)),
        "mean": round(
            sum(h.traffic.total(observed_from, net.now) for h in hosts)
            / len(hosts)
            / (net.now - observed_from)
        ),
        "lost": len({name for h in hosts for at, change, name, _ in h.log if change == "lost"}),
        "methods": {
            f"{direction} {method}": (
                round(size / len(hosts) / elapsed_s, 1),
                round(datagrams[direction, method] / len(hosts) / elapsed_s, 2),
            )
            for (direction, method), size in sorted(methods.items())
        },
    }


def main():
    """Run the benchmark with the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, default=530)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--seconds", type=float, default=OBSERVATION_S)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args()
    if options.short:
        options.members, options.seconds = 66, 20.0
    jobs = [
        (scenario, int(seed), options.members, options.loss, options.seconds)
        for scenario in options.scenarios.split(",")
        for seed in options.seeds.split(",")
    ]
    rows = []
    with ProcessPoolExecutor(options.processes) as pool:
        for row in pool.map(run_scenario, jobs):
            print(json.dumps(row), flush=True)
            rows.append(row)
    print(json.dumps({"rows": rows}))


if __name__ == "__main__":
    main()
