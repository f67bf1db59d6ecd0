"""Most groups of objects are purged at once: does the router still answer its queries in time?

The router has been asked for many objects before. Exits with 1 if a query was lost, 0 if none was, 2 if the
case could not run.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

from review.standins import settings
from review.standins.deployment import COULD_NOT_RUN, Deployment, play
from review.standins.record import Record
from review.standins.thrift_client import Client

OBJECTS = 24_000  # asked for before the purge, once each
FILL_RATE = 500.0
GROUPS = 256
PURGED_GROUPS = 250  # 98% of the groups
RATE = 100.0  # queries a second around the purge
BEFORE_S = 2.0
AFTER_S = 5.0
PATIENCE_S = 3.0
LEAST_TRY = 0.5  # a try is given up after 50 to 100% of the patience
LATE_S = 0.5 + 0.05  # so much after its time an answer still counts
CONNECTIONS = 24


class Load:
    """The clients of one router."""

    def __init__(self, router: tuple[str, int], record: Record) -> None:
        self._clients = [Client(router, number) for number in range(CONNECTIONS)]
        self._record = record
        self._rng = random.Random(7)
        self.outcomes: dict[str, int] = {}
        self.judged = 0
        self.lost = 0
        self.worst_s = 0.0

    async def connect(self) -> None:
        """Open all connections."""
        for client in self._clients:
            await client.connect()

    async def fill(self) -> None:
        """Ask for each object once."""
        await self._ask_at_rate(FILL_RATE, [(number, PATIENCE_S, False) for number in range(OBJECTS)])

    async def ask(self, for_s: float) -> None:
        """Ask for random objects and judge each query."""
        queries = []
        for _ in range(int(for_s * RATE)):
            timeout_s = PATIENCE_S * self._rng.uniform(LEAST_TRY, 1.0)
            queries.append((self._rng.randrange(OBJECTS), timeout_s, True))
        await self._ask_at_rate(RATE, queries)

    async def _ask_at_rate(self, rate: float, queries: list[tuple[int, float, bool]]) -> None:
        tasks = []
        started_at = time.monotonic()
        for i, query in enumerate(queries):
            tasks.append(asyncio.create_task(self._ask(*query)))
            await asyncio.sleep(max(0.0, started_at + (i + 1) / rate - time.monotonic()))
        await asyncio.gather(*tasks)

    async def _ask(self, number: int, timeout_s: float, is_judged: bool) -> None:
        client = self._clients[number % CONNECTIONS]
        name = f"{number:016x}"
        answer = await client.serve(
            timeout_s, service="guide-items", lookup=name, piece=0, lot=number % GROUPS, room=75
        )
        took_s = time.monotonic() - answer.sent_at
        self.outcomes[answer.kind] = self.outcomes.get(answer.kind, 0) + 1
        is_lost = answer.kind == "lost" or took_s > timeout_s + LATE_S
        if is_judged:
            self.judged += 1
            self.lost += is_lost
            self.worst_s = max(self.worst_s, took_s)
        self._record.add(
            "answer",
            asset=name,
            allow_ms=int(timeout_s * 1000),
            kind=answer.kind,
            took_s=f"{took_s:.3f}",
            lost=is_lost,
        )

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Play the case; return the exit code."""
    async with Deployment(record, folder, trouble=trouble, boxes=6, body_bytes=2000) as site:
        router = await site.start_router([settings.TENDER_DOCS, settings.GUIDE_ITEMS], notice_ms=300)
        load = Load(router, record)
        await load.connect()
        record.is_brief = True
        await load.fill()
        record.end_brief()
        filled = load.outcomes.get("served", 0)
        judged = asyncio.create_task(load.ask(BEFORE_S + AFTER_S))
        await asyncio.sleep(BEFORE_S)
        if trouble:
            site.channel.tell_purges_of_groups(range(PURGED_GROUPS), time.time())
            site.drop_copies()
        await judged
        load.close()
    for line in site.processes.log("n1").splitlines():
        if '"stalled"' in line:
            record.add("the router's log", line=line)
    record.add("judged", queries=load.judged, lost=load.lost, worst_s=f"{load.worst_s:.3f}")
    print(f"{load.judged} queries, {load.lost} lost; the longest wait for an answer was {load.worst_s:.2f} s")
    if filled < 0.9 * OBJECTS:
        return COULD_NOT_RUN
    return 1 if load.lost else 0


if __name__ == "__main__":
    sys.exit(play(__file__, run))
