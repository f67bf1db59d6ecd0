"""Most groups of objects are purged at once: does the router still answer its queries in time?

The router has been asked for many objects before. Exits with 1 if a query was lost, 0 if none was, 2 if the
case could not run.
"""

import asyncio
import sys
import time
from pathlib import Path

from review import settings
from review.deployment import COULD_NOT_RUN, Deployment, play
from review.load import Load
from review.record import Record

OBJECTS = 24_000  # asked for before the purge, once each
FILL_RATE = 500.0
PURGED_GROUPS = 250  # 98% of the groups
RATE = 100.0  # queries a second around the purge
BEFORE_S = 2.0
AFTER_S = 5.0
PATIENCE_S = 3.0


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Play the case; return the exit code."""
    async with Deployment(record, folder, trouble=trouble, boxes=6, body_bytes=2000) as site:
        router = await site.start_router([settings.TENDER_DOCS, settings.GUIDE_ITEMS], notice_ms=300)
        load = Load(router, record, settings.GUIDE_ITEMS.name, PATIENCE_S)
        record.is_brief = True
        await load.ask_once(OBJECTS, FILL_RATE)
        record.end_brief()
        filled = load.outcomes.get("served", 0)
        judged = asyncio.create_task(load.ask(OBJECTS, RATE, BEFORE_S + AFTER_S))
        await asyncio.sleep(BEFORE_S)
        if trouble:
            site.channel.tell_purges_of_groups(range(PURGED_GROUPS), time.time())
            site.drop_copies()
        await judged
        load.close()
    site.record_stalls()
    print(load.verdict())
    if filled < 0.9 * OBJECTS:
        return COULD_NOT_RUN
    return 1 if load.lost else 0


if __name__ == "__main__":
    sys.exit(play(__file__, run))
