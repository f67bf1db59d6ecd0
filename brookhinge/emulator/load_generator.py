"""Load on a rig of real routers: callers that ask by a seed and count what became of each query."""

import asyncio
import random


class Load:
    """async with Load(rig, {router: queries a second}): callers of each router, drawn by a seed; objects are new ones, so that
    every query is a fill. kinds: {router: {satisfied, nacked, errored, lost: how many}}."""

    def __init__(self, rig, rates, seed=5, objects=1 << 48, patience_ms=1900):
        self.rig = rig
        self.rates = rates
        self.kinds = {}
        self.going = []
        self.chance = random.Random(seed)
        self.objects = objects
        self.patience_ms = patience_ms

    async def __aenter__(self):
        self.going = [asyncio.ensure_future(self.call(name, rate)) for name, rate in self.rates.items()]
        return self

    async def call(self, name, rate):
        caller = None
        asking = set()
        while True:
            await asyncio.sleep(1.0 / rate * (0.5 + self.chance.random()))
            try:
                if (
                    caller is None or not caller.connection.open
                ):  # closed while nothing was asked: no query is lost
                    caller = await self.rig.caller(name)
                task = asyncio.ensure_future(
                    caller.ask(
                        f"{self.chance.randrange(self.objects):016x}",
                        size_kb=50.0,
                        patience_ms=self.patience_ms,
                    )
                )
            except OSError:  # that router is down
                caller = None
                continue
            asking.add(task)
            task.add_done_callback(asking.discard)
            task.add_done_callback(lambda done, name=name: self.count(name, done))

    def count(self, name, done):
        kind = "none" if done.cancelled() or done.exception() else done.result()[0]
        self.kinds.setdefault(name, {}).setdefault(kind, 0)
        self.kinds[name][kind] += 1

    async def __aexit__(self, *_):
        for task in self.going:
            task.cancel()
        await asyncio.gather(*self.going, return_exceptions=True)


def uneven(rig, much=40.0, little=0.5):
    """Rates: the first router has much, the others little."""
    return {name: much if name == "n1" else little for name in rig.names}
