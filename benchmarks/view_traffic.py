"""What the fleet's view costs a router, at the size designed for: python -m benchmarks.view_traffic [--short]

    python -m benchmarks.view_traffic --members 530 --seeds 1,2,3 --loss 0.01

In virtual time (simulated) with the daemon's own peers and codec: bytes sent and received with the headers of IP and UDP,
a router a second; the worst router over any 10 s, and the median one. A fleet is settled when all views are one. Last line:
one JSON object."""

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
BORN_MS = 1_764_600_000_000  # moments of start as long as real ones
STEP_S = 0.25
WATCHED_S = 60.0  # after each event
SCENARIOS = ("idle", "join", "restart", "crash", "all")


def add(net, n):
    return net.add(n, born=BORN_MS + 997 * n, name=f"r{n:04d}", zone=f"zone-{n % 13:02d}")


def settled_fleet(seed, members, loss):
    """A fleet whose members know one another, as after a long time."""
    net = Net(seed, loss)
    for n in range(1, members + 1):
        add(net, n)
    hosts = list(net.hosts.values())
    claims = [host.peer.view.claim(0, 0.0) for host in hosts]
    for host in hosts:
        for claim in claims:
            host.peer.view.apply(0.0, claim, claim.name)
        host.peer.join_progress.joining_until = 0.0
    return net


def one_view(net):
    """Whether all who live hold one view, and that of just each other."""
    living = net.living()
    first = living[0].peer
    names = {host.name for host in living}
    known = {name for name, state, *_ in first.members() if state in PRESENT_STATES}
    return known == names and len({host.peer.view.digest() for host in living}) == 1


def counted_too_few(net, configured):
    """By how many the count of any router is short of those that use a share by now."""
    using = sum(net.now - host.started_at > NO_QUOTA_S for host in net.living())
    return max(using - host.peer.estimate_fleet_size(net.now, LEASE_S, configured) for host in net.living())


def watch(net, seconds, configured):
    """Plays on: seconds till one view for good (None: not within), and the worst shortage of a count."""
    began, settled, short = net.now, None, 0
    while net.now - began < seconds - 1e-9:
        net.run(STEP_S)
        short = max(short, counted_too_few(net, configured))
        if not one_view(net):
            settled = None
        elif settled is None:
            settled = round(net.now - began, 2)
    return settled, short


def join(net, members):
    for n in range(members - SITE_ROUTERS + 1, members + 1):
        add(net, n)


def restart(net, members):
    """All routers of a site leave by their own claim and start again a second later."""
    site = [net.hosts[n] for n in range(SITE_ROUTERS + 1, 2 * SITE_ROUTERS + 1)]
    for host in site:
        host.peer.leave(net.now, host)
    net.run(0.05)
    for host in site:
        net.kill(host.n)
    net.run(1.0)
    for host in site:
        host.start(BORN_MS + 10_000_000 + host.n, [("10.0.0.1", seed) for seed in (1, 2, 3)])


def crash(net, members):
    for n in range(SITE_ROUTERS + 1, 2 * SITE_ROUTERS + 1):
        net.kill(n)


def play(job):
    """One scenario of one seed: its figures."""
    scenario, seed, members, loss, seconds = job
    if scenario == "all":
        net = Net(seed, loss)
        for n in range(1, members + 1):
            add(net, n)
    else:
        net = settled_fleet(seed, members - SITE_ROUTERS * (scenario == "join"), loss)
        net.run(15.0)
    since = net.now
    {"join": join, "restart": restart, "crash": crash}.get(scenario, lambda net, members: None)(net, members)
    settled, short = watch(net, seconds, members)
    hosts = net.living()
    rates = sorted(host.traffic.worst_rate(since, net.now) for host in hosts)
    methods, datagrams, lasted = collections.Counter(), collections.Counter(), net.now
    for host in hosts:
        methods.update(host.traffic.by_method)
        datagrams.update(host.traffic.datagrams)
    return {
        "scenario": scenario,
        "seed": seed,
        "members": members,
        "loss": loss,
        "settled_s": settled,
        "counted_short": short,
        "worst_10s": round(rates[-1]),
        "median_10s": round(statistics.median(rates)),
        "mean": round(sum(h.traffic.total(since, net.now) for h in hosts) / len(hosts) / (net.now - since)),
        "lost": len({name for h in hosts for at, change, name, _ in h.log if change == "lost"}),
        "methods": {
            f"{direction} {method}": (
                round(size / len(hosts) / lasted, 1),
                round(datagrams[direction, method] / len(hosts) / lasted, 2),
            )
            for (direction, method), size in sorted(methods.items())
        },
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, default=530)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--seconds", type=float, default=WATCHED_S)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--short", action="store_true")
    asked = parser.parse_args()
    if asked.short:
        asked.members, asked.seconds = 66, 20.0
    jobs = [
        (scenario, int(seed), asked.members, asked.loss, asked.seconds)
        for scenario in asked.scenarios.split(",")
        for seed in asked.seeds.split(",")
    ]
    rows = []
    with ProcessPoolExecutor(asked.processes) as pool:
        for row in pool.map(play, jobs):
            print(json.dumps(row), flush=True)
            rows.append(row)
    print(json.dumps({"rows": rows}))


if __name__ == "__main__":
    main()
