"""Six in ten of 3,200 cache servers are replaced within 7 s: does the router still answer in time?

Exits with 1 if a query was lost, 0 if none was, 2 if the case could not run.
"""

import asyncio
import sys
import time
from pathlib import Path

from review import settings
from review.deployment import COULD_NOT_RUN, Deployment, play
from review.load import Load
from review.record import Record

SERVERS = 3200
STATIONS = 16
BOXES = 12
REPLACED = 1900
REPLACE_S = 7.0
STEPS = 70
OBJECTS = 300
RATE = 50.0
BEFORE_S = 4.0
AFTER_S = 6.0
PATIENCE_S = 3.0


def other_row(number: int, *, health: str = "up", born_ms: int = 0, generation: int = 0) -> dict[str, object]:
    """Return the row of a cache server of another station, which this router never asks."""
    return {
        "host": f"s-{generation}{number:07x}",
        "dial": f"127.1.{number // 250}.{number % 250 + 1}:8080",
        "site": f"edge-{2 + number % (STATIONS - 1)}",
        "class": "small-box",
        "block": 0,
        "health": health,
        "share": 4,
        "born_ms": born_ms,
    }


async def replace(site: Deployment) -> None:
    """Replace servers of the other stations in steps: each drains, is removed, and a new one comes up."""
    started_at = time.monotonic()
    for step in range(STEPS):
        numbers = range(REPLACED * step // STEPS, REPLACED * (step + 1) // STEPS)
        born_ms = int(time.time() * 1000)
        site.channel.tell_changes([other_row(number, health="draining")] for number in numbers)
        site.channel.tell_changes(
            [other_row(number, health="removed"), other_row(number, generation=1, born_ms=born_ms)]
            for number in numbers
        )
        await asyncio.sleep(max(0.0, started_at + REPLACE_S * (step + 1) / STEPS - time.monotonic()))


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Play the case; return the exit code."""
    async with Deployment(record, folder, trouble=trouble, boxes=BOXES) as site:
        others = [other_row(number) for number in range(SERVERS - BOXES)]
        router = await site.start_router(
            [settings.TENDER_DOCS, settings.GUIDE_ITEMS], stations=STATIONS, others=others
        )
        load = Load(router, record, settings.GUIDE_ITEMS.name, PATIENCE_S)
        judged = asyncio.create_task(load.ask(OBJECTS, RATE, BEFORE_S + REPLACE_S + AFTER_S))
        await asyncio.sleep(BEFORE_S)
        if trouble:
            record.add("servers are replaced", number=REPLACED)
            await replace(site)
            record.add("servers have been replaced", events=len(site.channel.events))
        await judged
        load.close()
    site.record_stalls()
    print(load.verdict())
    if load.outcomes.get("served", 0) < load.judged / 10:
        return COULD_NOT_RUN
    return 1 if load.lost else 0


if __name__ == "__main__":
    sys.exit(play(__file__, run))
