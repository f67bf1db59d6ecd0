"""Runs a test script against a cluster of agents and routers under load."""

import asyncio

from brookhinge.emulator.load_generator import Load
from brookhinge.emulator.rollout_cluster import RolloutCluster

LONG_TIMEOUT_S = 120.0


def run_script(script, folder, requests_per_s=12.0, **cluster_options):
    """Run `script(cluster, load)` and return the counts of each request outcome by router."""

    async def run():
        async with RolloutCluster(folder, **{"boxes": 2, "patience_s": 2.0, **cluster_options}) as cluster:
            async with Load(cluster, dict.fromkeys(cluster.names, requests_per_s), objects=200) as load:
                await script(cluster, load)
            await asyncio.sleep(0.2)
            return load.kinds

    return asyncio.run(run())
