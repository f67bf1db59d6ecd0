"""Generates seeded load on a cluster of real routers and counts the outcome of each request."""

import asyncio
import random


class Load:
    """Sends requests to each router while its `async with` block runs.

    By default objects are drawn from 2^48 keys, so that practically every request is a fill.

    Attributes:
        rig: Cluster whose routers are called.
        rates: Requests per second by router.
        kinds: Number of requests by router and outcome (`satisfied`, `nacked`, `errored`, `lost`; `none` if
        the
            call was canceled or raised).
        objects: Number of distinct objects.
        patience_ms: Deadline of each request.
    """

    def __init__(self, rig, rates, seed=5, objects=1 << 48, patience_ms=1900):
        self.rig = rig
        self.rates = rates
        self.kinds = {}
        self.callers = []
        self.rng = random.Random(seed)
        self.objects = objects
        self.patience_ms = patience_ms

    async def __aenter__(self):
        self.callers = [asyncio.ensure_future(self.call(name, rate)) for name, rate in self.rates.items()]
        return self

    async def call(self, name, rate):
        """Sends requests to one router at random intervals until it is canceled."""
        caller = None
        pending = set()
        while True:
            await asyncio.sleep(1.0 / rate * (0.5 + self.rng.random()))
            try:
                # A connection that closed while idle has lost no request; it is replaced.
                if caller is None or not caller.connection.open:
                    caller = await self.rig.caller(name)
                task = asyncio.ensure_future(
                    caller.ask(
                        f"{self.rng.randrange(self.objects):016x}",
                        size_kb=50.0,
                        patience_ms=self.patience_ms,
                    )
                )
            except OSError:  # the router is down
                caller = None
                continue
            pending.add(task)
            task.add_done_callback(pending.discard)
            task.add_done_callback(lambda done, name=name: self.count(name, done))

    def count(self, name, done):
        """Counts the outcome of a finished request."""
        outcome = "none" if done.cancelled() or done.exception() else done.result()[0]
        self.kinds.setdefault(name, {}).setdefault(outcome, 0)
        self.kinds[name][outcome] += 1

    async def __aexit__(self, *_):
        for task in self.callers:
            task.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)


def uneven_rates(rig, much=40.0, little=0.5):
    """Returns rates for `Load`: `much` requests per second for the first router, `little` for each other."""
    return {name: much if name == "n1" else little for name in rig.names}
