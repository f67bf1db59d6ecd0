"""Runs a stand-in process of the soak: reads its spec, follows orders on stdin and records events."""

import asyncio
import json
import random
import signal
import sys

from benchmarks.soak import world
from benchmarks.soak.records import Recorder


def start(make):
    """Run a stand-in until the driver closes standard input.

    Args:
        make: Returns the stand-in for (spec, record, rng). Its `begin` is awaited first, then each
            line of orders calls the method named by its `do` with the other values.
    """
    spec = json.loads(sys.argv[1])
    world.use_deadlines(spec["deadlines"])
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the driver ends this process
    asyncio.run(serve(make, spec))


async def serve(make, spec):
    """Create the stand-in, report that it is ready and carry out its orders."""
    record = Recorder(spec["folder"], spec["name"])
    stand_in = make(spec, record, random.Random(f"{spec['seed']} {spec['name']}"))
    await stand_in.begin()
    print("ready", flush=True)
    reader = asyncio.StreamReader(limit=1 << 24)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        order = json.loads(line)
        getattr(stand_in, order.pop("do"))(**order)
