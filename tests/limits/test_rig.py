"""Router processes that share limits, with crashes, freezes and partitions.

Each cache server records the arrival time of every request. The requests that reach a cold server from all routers within
any window must stay below the number that overloads it, whatever routers crash, freeze or are cut off meanwhile.
"""

import asyncio

import pytest

from brookhinge.emulator.load_generator import Load, uneven_rates
from brookhinge.emulator.process_cluster import ProcessCluster
from brookhinge.limits.lease_terms import LEASE_TERM_S, START_S

TIMEOUT_S = 60.0
WINDOW_S, WORK_S = 1.0, 0.1  # slow start window of the cluster's settings, and expected duration of a request
# Overload multiple x initial share x warm capacity x window, in requests.
OVERLOAD_REQUESTS = 3.0 * 0.3 * 4 * WINDOW_S / WORK_S
# Adds three standard deviations of a Poisson count, and 3.
MAX_REQUESTS = OVERLOAD_REQUESTS + 3.0 * OVERLOAD_REQUESTS**0.5 + 3.0


def run_cluster(script, folder, routers=8, first=""):
    async def run():
        async with ProcessCluster(
            folder,
            routers=routers,
            boxes=3,
            aim_s=WORK_S,
            flow_kb_s=500.0,
            warm_s=20.0,
            patience_s=2.0,
            more="share_limits = true",
            first=first,
        ) as cluster:
            assert await cluster.until(cluster.one_view, TIMEOUT_S)
            await asyncio.sleep(START_S + 0.5)
            await script(cluster)
            for name, box in cluster.boxes.items():
                assert box.most_in(WINDOW_S) <= MAX_REQUESTS, (
                    f"{name} received {box.most_in(WINDOW_S)} requests within {WINDOW_S} s"
                )

    asyncio.run(run())


def overload_rates(cluster):
    """Rates that add up to more than the cache servers can handle, half of them at one router."""
    return uneven_rates(cluster, 150.0, 150.0 / 7)


async def largest_quota(cluster, name):
    """Return the largest quota of a cold cache server that a router has now."""
    rows = await cluster.parts(name)
    return max((row[5] for row in rows or () if row[0] == "cache"), default=0.0)


async def find_lessor(cluster, excluding=None):
    """Return a lessor of a cold server's limit, other than the busy router n1, from the status rows of n1."""
    names = [row[7] for row in await cluster.parts("n1") or () if row[0] == "cache"]
    return next(
        (name for name in names if name not in ("n1", excluding, "")), "n2" if excluding != "n2" else "n3"
    )


def test_busy_router_gets_quota_that_others_do_not_need(tmp_path):
    async def script(cluster):
        await cluster.restart_cold(*cluster.box_names)
        async with Load(cluster, uneven_rates(cluster)) as load:

            async def busy():
                return await largest_quota(cluster, "n1") > 2.0 / 8

            assert await cluster.until(busy, TIMEOUT_S)
            before = sum(len(box.arrival_times) for box in cluster.boxes.values())
            assert await cluster.until(
                lambda: sum(len(box.arrival_times) for box in cluster.boxes.values()) > before + 60, TIMEOUT_S
            )
        assert load.kinds["n1"].get("lost", 0) == 0

    run_cluster(script, tmp_path)


def test_requests_stay_within_the_limit_while_routers_crash_freeze_and_are_cut_off(tmp_path):
    async def script(cluster):
        async with Load(cluster, overload_rates(cluster)):
            await cluster.restart_cold(*cluster.box_names)
            await asyncio.sleep(2.0)
            first = await find_lessor(cluster)  # it has issued leases and has granted quota of its own
            await cluster.kill(first)
            await asyncio.sleep(0.5)
            second = await find_lessor(cluster, excluding=first)  # frozen for longer than a lease term
            cluster.freeze(second)
            await asyncio.sleep(LEASE_TERM_S + 0.5)
            cluster.thaw(second)
            cluster.freeze("n1")  # it holds the largest leases
            await asyncio.sleep(LEASE_TERM_S + 0.5)
            cluster.thaw("n1")
            await cluster.start(first)  # same name, while its grants are still in force
            half = set(cluster.names[:4])
            cluster.wires.cut = lambda a, b: (a in half) != (b in half)
            await asyncio.sleep(2.0)
            cluster.wires.cut = lambda a, b: False
            # a new process at the address, while quotas of the old one are in use
            await cluster.restart_cold("s-1")
            await asyncio.sleep(2.0)

    run_cluster(script, tmp_path)


def test_requests_stay_within_the_limit_when_all_routers_restart_during_a_cold_start(tmp_path):
    async def script(cluster):
        async with Load(cluster, overload_rates(cluster)):
            await cluster.restart_cold(*cluster.box_names)
            await asyncio.sleep(1.0)
            killed = cluster.names[2:]
            await asyncio.gather(*map(cluster.kill, killed))
            await asyncio.gather(*map(cluster.start, killed))
            for name in cluster.names[:2]:
                await cluster.end(name)
                await cluster.start(name)
            await asyncio.sleep(2.0)

    run_cluster(script, tmp_path)


def test_lessors_that_lease_more_than_was_granted_fail_the_check(tmp_path):
    async def script(cluster):
        async with Load(cluster, overload_rates(cluster)):
            await cluster.restart_cold(*cluster.box_names)
            await asyncio.sleep(4.0)

    lease_everything = (
        "import brookhinge.limits.lessor as m; m.Lessor.issue_leases = lambda self, now: {limit: {lessee: 1.0 for lessee, "
        "(need, until) in self.needs[limit].items() if need > 0 and until > now} for limit in self.shortfalls(now)}"
    )
    with pytest.raises(AssertionError, match="within"):
        run_cluster(script, tmp_path, first=lease_everything)
