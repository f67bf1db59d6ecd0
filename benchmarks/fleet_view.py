"""How soon a fleet of routers knows, how sure it is, what it costs: python -m benchmarks.fleet_view [--short]

    python -m benchmarks.fleet_view --keep benchmarks/results/fleet_view

In virtual time (simulated): the daemon's own peers on a network that loses datagrams, 2 ms apart; beside them all-to-all
heartbeats on the same network. Then real routers as processes on loopback, the same figures. Seconds, bytes a member a
second; a fleet knows when 99% of those who live do. Last line: one JSON object."""

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

CUT_S = 60.0


def state_of(host, name):
    v = host.peer.view
    i = v.index.get(name)
    return None if i is None else v.states[i]


def until(net, holds, most, step=0.02):
    """Seconds till holds(); `most` if it never did."""
    began = net.now
    while net.now - began < most:
        net.run(step)
        if holds():
            break
    return round(net.now - began, 3)


def most_of(net, holds, part=0.99):
    hosts = net.living()
    return sum(map(holds, hosts)) >= part * len(hosts)


def first_and_most(net, holds, most):
    first = until(net, lambda: most_of(net, holds, 1e-9), most)
    return first, round(
        first + (until(net, lambda: most_of(net, holds), most) if not most_of(net, holds) else 0.0), 3
    )


def fleet(seed, count, loss):
    net = Net(seed, loss)
    for n in range(1, count + 1):
        net.add(n)
    net.run(15.0)
    return net


def play(job):
    """One seed of one size and loss."""
    seed, count, loss, cut = job
    net, told = fleet(seed, count, loss), {}
    before = sum(h.bytes for h in net.hosts.values())
    net.run(10.0)
    told["bytes_s"] = (sum(h.bytes for h in net.hosts.values()) - before) / count / 10.0
    net.hosts[2].peer.spread(net.now, "draining", ("s-1", 5), net.hosts[2])
    notice = ("draining", "s-1", 5)
    told["drain_first"], told["drain_most"] = first_and_most(
        net, lambda h: h.n == 2 or notice in h.notices, 10.0
    )
    net.kill(5)
    told["crash_first"], told["crash_most"] = first_and_most(
        net, lambda h: state_of(h, "n5") == MemberState.LOST, 60.0
    )
    net.add(count + 1)
    told["join_first"], told["join_most"] = first_and_most(
        net, lambda h: state_of(h, f"n{count + 1}") in PRESENT_STATES, 30.0
    )
    if cut:
        half = count // 2
        net.cut = lambda a, b: (a <= half) != (b <= half)
        net.run(CUT_S)
        net.cut = lambda a, b: False
        told["one_view_after_cut"] = until(net, net.one_view, 120.0, 0.25)
    return told


def starved(job):
    """False 'lost' in a simulated time at 10% loss, a tenth of the members held up for a second each few."""
    seed, count, seconds = job
    net, chance = fleet(seed, count, 0.1), random.Random(seed)
    for host in net.hosts.values():
        host.log.clear()
    slow, end = list(range(1, count + 1, 10)), net.now + seconds
    while net.now < end:
        held = [n for n in slow if chance.random() < 0.3]
        for n in held:
            net.freeze(n)
        net.run(1.0)
        for n in held:
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


def cost(count, seconds):
    """One member among so many: the part of a core that datagrams and rounds take, and KB that its view holds."""
    net = fleet(1, count, 0.0)
    host = net.hosts[1]
    total = [0.0]

    def timed(call):
        def and_count(*given):
            began = time.process_time()
            result = call(*given)
            total[0] += time.process_time() - began
            return result

        return and_count

    host.read, host.peer.round = timed(host.read), timed(host.peer.round)
    net.run(seconds)
    del host.read, host.peer.round
    tracemalloc.start()
    held = Peer(Identity("n0", ("10.0.0.1", 9999), "z", 1, 1), [], random.Random(1), 0.0)
    for n, other in net.hosts.items():
        held.round(0.0, [Received(other.peer.claim(0.0), 0, (), (), Announcement())], host)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"members": count, "core_share": round(total[0] / seconds, 5), "view_kb": round(size / 1024)}


def heartbeats(seed, count, loss, seconds=60.0, every=0.5, missed=5):
    """All to all: each sends to each; lost after so many missed. The crash of one, and false 'lost' of the others."""
    chance, heard, false = random.Random(seed), [[0.0] * count for _ in range(count)], 0
    took, now = [], 0.0
    out = [[False] * count for _ in range(count)]
    while now < seconds:
        now += every
        for a in range(count):
            if a == 1 and now > seconds / 2:
                continue
            for b in range(count):
                if chance.random() >= loss:
                    heard[b][a] = now
        for b in range(count):
            if b == 1 and now > seconds / 2:
                continue
            for a in range(count):
                gone = now - heard[b][a] >= missed * every
                if gone and not out[b][a]:
                    if a == 1 and now > seconds / 2:
                        took.append(now - seconds / 2)
                    else:
                        false += 1
                out[b][a] = gone
    return {
        "crash_most": round(sorted(took)[int(0.99 * (len(took) - 1))], 2),
        "bytes_s": round(count / every * 120),
        "false_lost_an_hour": round(false * 3600 / seconds),
    }


async def processes(count, cut_s):
    """The same among real routers; where rules are those of the rig's wires."""
    told = {}
    with tempfile.TemporaryDirectory(prefix="brookhinge-") as folder:
        async with ProcessCluster(folder, routers=count, boxes=1) as rig:
            told["one_view_at_start"] = await rig.until(rig.one_view, 60.0)
            await asyncio.sleep(3.0)
            rig.channels["n2"].list("s-1", health="draining")
            began = time.time()
            await asyncio.sleep(2.0)
            took = sorted(
                line["at"] - began for name in rig.names if name != "n2" for line in rig.log(name, "notice")
            )
            told["drain_first"], told["drain_most"] = (
                (took[0], took[int(0.99 * (len(took) - 1))]) if took else (9, 9)
            )
            told["drain_heard_by"] = len(took)
            began = time.time()
            await rig.kill("n3")
            await rig.until(rig.one_view, 60.0)
            took = sorted(
                line["at"] - began
                for name in rig.names
                if name != "n3"
                for line in rig.log(name, "fleet")
                if line["change"] == "lost" and line["member"] == "n3"
            )
            told["crash_first"], told["crash_most"] = took[0], took[int(0.99 * (len(took) - 1))]
            half = set(rig.names[: count // 2])
            rig.wires.cut = lambda a, b: (a in half) != (b in half)
            await asyncio.sleep(cut_s)
            rig.wires.cut = lambda a, b: False
            told["one_view_after_cut"] = await rig.until(rig.one_view, 120.0)
    return {key: round(value, 3) for key, value in told.items()}


def summed(rows):
    """Median and worst over seeds of each figure."""
    return {
        key: {
            "median": round(statistics.median(row[key] for row in rows), 3),
            "worst": round(max(row[key] for row in rows), 3),
        }
        for key in rows[0]
    }


def chart(figures, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    board, places = pyplot.subplots(1, 3, figsize=(15, 4.2))
    for place, key, title in zip(
        places,
        ("drain_most", "crash_most", "bytes_s"),
        ("seconds till 99% know a drain", "seconds till 99% know a crash", "bytes a member a second"),
    ):
        for loss in sorted({row["loss"] for row in figures["virtual"]}):
            rows = [row for row in figures["virtual"] if row["loss"] == loss]
            place.plot(
                [row["members"] for row in rows],
                [row[key]["median"] for row in rows],
                "o-",
                label=f"{loss:.0%} lost",
            )
        if key != "drain_most":
            place.plot(
                [row["members"] for row in figures["heartbeats"]],
                [row[key] for row in figures["heartbeats"]],
                "k--",
                label="all to all, 10%",
            )
        place.set_xscale("log")
        place.set_title(title + " (simulated)")
        place.legend()
    board.tight_layout()
    board.savefig(path, dpi=90)


def main():
    given = kept.parse_options()
    sizes = (
        ((16, 2, (0.0, 0.1)), (64, 2, (0.1,)))
        if given.short
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
    figures = {"virtual": []}
    with ProcessPoolExecutor() as pool:
        hold = pool.submit(starved, (1, 32, 60.0) if given.short else (1, 100, 3600.0))
        done = dict(zip(jobs, pool.map(play, jobs)))
        figures["starved"] = hold.result()
    for count, seeds, losses in sizes:
        for loss in losses:
            rows = [done[job] for job in done if job[1] == count and job[2] == loss]
            figures["virtual"].append({"members": count, "loss": loss, "seeds": seeds, **summed(rows)})
            print(json.dumps(figures["virtual"][-1]), file=sys.stderr)
    figures["heartbeats"] = [
        {"members": count, **heartbeats(1, count, 0.1)}
        for count in ((16, 64) if given.short else (16, 64, 200))
    ]
    figures["cost"] = cost(*(64, 20.0) if given.short else (200, 120.0))
    figures["processes"] = asyncio.run(processes(*(6, 8.0) if given.short else (16, 30.0)))
    kept.finish(figures, given.keep, chart)


if __name__ == "__main__":
    main()
