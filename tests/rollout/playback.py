"""Plays a script on a cluster of agents and routers under load."""

import asyncio

from brookhinge.emulator.load_generator import Load
from brookhinge.emulator.rollout_cluster import RolloutCluster

LONG = 120.0


def play(script, folder, rate=12.0, **rig_):
    """What became of the queries, by router."""

    async def run():
        async with RolloutCluster(folder, **{"boxes": 2, "patience_s": 2.0, **rig_}) as rig:
            async with Load(rig, dict.fromkeys(rig.names, rate), objects=200) as load:
                await script(rig, load)
            await asyncio.sleep(0.2)
            return load.kinds

    return asyncio.run(run())
