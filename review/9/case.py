"""Case 9: while the command channel is silent, the cache server answers from copies older than a purge."""

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
    Town,
    is_troubled,
    play,
    version_of,
)

OUTAGE_S = 8.0  # "discovery is down for 8 s"
TOLD_WITHIN_S = 7.0  # "counts as told 7 s later at the latest, whether or not it arrived"
GRACE_S = 0.5  # NoticeTimeNs
SLACK_S = 0.05  # "each time limit is 50 ms longer"
KEY = "7f3a9c21e0b4d655"


async def case(ran: Case) -> int:
    """Purge a changed object while the channel is silent, and ask for it once the purge counts as told."""
    town = Town(ran)
    await town.open()
    for _ in range(3):
        first = await town.ask(KEY)
        await asyncio.sleep(0.2)
    if first.kind != "satisfied" or version_of(KEY, first.body) != 0:
        raise CannotRunError("no copy in the cache server")
    await asyncio.sleep(1.0)
    if is_troubled():
        town.channel.set_silent(True)
        ran.record.note("the channel is silent from now on")
    began = time.monotonic()
    await town.change(KEY)
    town.channel.tell(drop={"id": KEY, "when": round(time.time() * 1000)})
    told_at = time.monotonic() + TOLD_WITHIN_S
    ran.record.note("purge in the command channel")
    await asyncio.sleep(told_at + GRACE_S + 2 * SLACK_S - time.monotonic())
    old = asked = 0
    while time.monotonic() < began + OUTAGE_S:
        answer = await town.ask(KEY)
        asked += 1
        old += version_of(KEY, answer.body) == 0
        await asyncio.sleep(0.04)
    town.channel.set_silent(False)
    ran.record.note(f"the channel tells again; {old} of {asked} answers from a copy older than the purge")
    if asked < 3:
        raise CannotRunError("too few requests while the purge counted as told")
    return BROKEN if old else HELD


play(str(Path(__file__).resolve().parent), case)
