"""What the stand-in processes of a soak have in common: a spec at their start, orders on standard input, records."""

import asyncio
import json
import random
import signal
import sys

from benchmarks.soak import world
from benchmarks.soak.records import Recorder


def start(make):
    """Runs the stand-in that `make(spec, record, chance)` returns: `await begin()`, then `order(method, values)` for each
    line of orders, until the driver closes standard input."""
    spec = json.loads(sys.argv[1])
    world.use_deadlines(spec["deadlines"])
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the driver ends us
    asyncio.run(serve(make, spec))


async def serve(make, spec):
    record = Recorder(spec["folder"], spec["name"])
    part = make(spec, record, random.Random(f"{spec['seed']} {spec['name']}"))
    await part.begin()
    print("ready", flush=True)
    reader = asyncio.StreamReader(limit=1 << 24)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        order = json.loads(line)
        getattr(part, order.pop("do"))(**order)
