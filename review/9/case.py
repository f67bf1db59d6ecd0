"""Case 9: the cache server's command channel starts anew; purges are missed without a gap being noticed."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.second.lib import (
    BROKEN,
    HELD,
    CannotRunError,
    Case,
    Channel,
    Town,
    is_troubled,
    play,
    version_of,
)

PURGE_INTERVAL_S = 1.05  # "Objects are purged, 0.48 to 0.99 a second"
OUTAGE_S = 8.0  # "discovery is down for 8 s"
BEFORE = 4  # purges told before the outage
DURING = 7  # purges made during the outage
GONE_EVERYWHERE_S = 6.0
GRACE_S = 0.5
KEYS = [f"7f3a9c21e0b4d6{number:02x}" for number in range(DURING)]
OTHER_KEYS = [f"9933aa21e0b4d6{number:02x}" for number in range(BEFORE)]


def purge(key: str) -> dict[str, object]:
    """Return the event of a purge that is made now."""
    return {"id": key, "when": round(time.time() * 1000)}


async def case(ran: Case) -> int:
    """Restart the cache server's channel; its new numbers pass those that the cache server knows."""
    town = Town(ran)
    town.box_channel = Channel()
    await town.open()
    for key in OTHER_KEYS:
        event = purge(key)
        town.channel.tell(drop=event)
        town.box_channel.tell(drop=event)
        await asyncio.sleep(PURGE_INTERVAL_S)
    for key in KEYS:
        if version_of(key, (await town.ask(key)).body) != 0:
            raise CannotRunError("no copy in the cache server")
    ran.record.note(f"the cache server's channel is at event {len(town.box_channel.events)}")
    if is_troubled():
        town.box_channel.go_down()
        town.box_channel.events.clear()
        ran.record.note("the cache server's channel is down")
    back_at = time.monotonic() + OUTAGE_S
    waiting = []
    for key in KEYS:
        await town.change(key)
        event = purge(key)
        town.channel.tell(drop=event)
        ran.record.note(f"{key} purged")
        if is_troubled():
            waiting.append(event)
        else:
            town.box_channel.tell(drop=event)
        await asyncio.sleep(PURGE_INTERVAL_S - 0.1)
    purged_at = time.monotonic()
    await asyncio.sleep(max(0.0, back_at - time.monotonic()))
    if is_troubled():
        town.box_channel.tell(**town.list_event)
        for event in waiting:
            town.box_channel.tell(drop=event)
        await town.box_channel.listen(town.box_channel_port)
        ran.record.note(f"the cache server's channel tells {len(town.box_channel.events)} events anew")
    settled_at = max(purged_at, time.monotonic()) + GONE_EVERYWHERE_S + 2 * GRACE_S + 1.0
    await asyncio.sleep(settled_at - time.monotonic())
    old = 0
    for key in KEYS:
        old += version_of(key, (await town.ask(key)).body) == 0
    ran.record.note(f"{old} of {len(KEYS)} answers from a copy older than the purge")
    return BROKEN if old else HELD


play(str(Path(__file__).resolve().parent), case)
