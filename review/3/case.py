"""Clients that write slowly: does the router answer what they have written?

A slow client writes a request of 100,000 bytes over 2.6 s while an earlier request of its connection, for a
large package, is being sent. Exits with 1 if a request was lost, 0 if none was, 2 if the case could not run.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

from review.standins import settings
from review.standins.deployment import COULD_NOT_RUN, Deployment, play
from review.standins.record import Record
from review.standins.thrift_client import Answer, Client

SLOW_CLIENTS = 6
STARTS_EVERY_S = 1.0
PACKAGE_S = 3.4  # sending time of the large package
PACKAGE_ROOM_KB = 12240  # at 3600 KB a second
BODY_BYTES = 100_000
PIECES = 14
PIECE_EVERY_S = 0.2
DOCS_PATIENCE_S = 5.0
PAGES_PATIENCE_S = 3.0
LATE_S = 0.5 + 0.05  # so much after its time an answer still counts
CROSSING_S = 0.05  # a request that crosses the close of its connection is sent again
USUAL_RATE = 20.0


class Requests:
    """The requests of the slow clients, and those that were lost."""

    def __init__(self, record: Record) -> None:
        self.sent = 0
        self.lost = 0
        self.usual: dict[str, int] = {}
        self._record = record

    def judge(self, client: Client, name: str, what: str, answer: Answer, timeout_s: float) -> None:
        """Record how a request ended, and whether it is lost: it was written whole and never answered."""
        answered_s = time.monotonic() - answer.sent_at
        ended_s = None if client.ended_at is None else client.ended_at - answer.sent_at
        is_lost = False
        if answer.sent_at:
            self.sent += 1
            if answer.kind == "lost":
                is_lost = ended_s is None or ended_s > CROSSING_S
            else:
                is_lost = answered_s > timeout_s + LATE_S
        self.lost += is_lost
        self._record.add(
            "request",
            client=name,
            what=what,
            written_whole=bool(answer.sent_at),
            end=answer.kind,
            after_s=round(answered_s, 3) if answer.sent_at else "-",
            connection_ended_after_s="-" if ended_s is None else round(ended_s, 3),
            lost=is_lost,
        )


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Play the case; return the exit code."""
    requests = Requests(record)
    async with Deployment(record, folder, trouble=trouble, boxes=4) as site:
        for server in site.servers():
            server.sending_s = {package(number): PACKAGE_S for number in range(SLOW_CLIENTS)}
        router = await site.start_router([settings.TENDER_DOCS, settings.NOTICE_PAGES])
        usual = asyncio.create_task(ask_usual(router, requests, SLOW_CLIENTS * STARTS_EVERY_S + 4.0))
        slow = []
        for number in range(SLOW_CLIENTS):
            slow.append(asyncio.create_task(ask_slowly(router, requests, number, trouble=trouble)))
            await asyncio.sleep(STARTS_EVERY_S)
        await asyncio.gather(usual, *slow)
    record.add("judged", sent=requests.sent, lost=requests.lost, usual_clients=requests.usual)
    print(f"{requests.sent} requests of {SLOW_CLIENTS} clients written whole, {requests.lost} lost")
    if requests.sent < 2 * SLOW_CLIENTS or not requests.usual.get("served"):
        return COULD_NOT_RUN
    return 1 if requests.lost else 0


def package(number: int) -> str:
    """Return the large package that a slow client asks for."""
    return f"{0xBAC00000 + number:016x}"


async def ask_slowly(router: tuple[str, int], requests: Requests, number: int, *, trouble: bool) -> None:
    """Be one client: a page, a large package, and while that comes a request that is written slowly."""
    client = Client(router, number)
    await client.connect()
    name = f"c{number}"

    async def ask(what: str, timeout_s: float, **values: object) -> None:
        answer = await client.serve(timeout_s, piece=0, lot=number, **values)
        requests.judge(client, name, what, answer, timeout_s)

    page = {"service": "notice-pages", "room": 60}
    await ask("page", PAGES_PATIENCE_S, lookup=f"{number:016x}", **page)
    large = asyncio.create_task(
        ask(
            "package",
            DOCS_PATIENCE_S,
            service="tender-docs",
            lookup=package(number),
            room=PACKAGE_ROOM_KB,
        )
    )
    await asyncio.sleep(0.1)
    await ask(
        "written slowly" if trouble else "written at once",
        PAGES_PATIENCE_S,
        body=bytes(BODY_BYTES),
        pieces=PIECES if trouble else 1,
        every_s=PIECE_EVERY_S,
        lookup=f"{0x100 + number:016x}",
        **page,
    )
    await large
    client.close()


async def ask_usual(router: tuple[str, int], requests: Requests, for_s: float) -> None:
    """Be the usual clients: pages at a steady rate on one connection."""
    rng = random.Random(7)
    client = Client(router, 7)
    await client.connect()

    async def ask() -> None:
        name = f"{rng.randrange(40):016x}"
        answer = await client.serve(
            PAGES_PATIENCE_S, service="notice-pages", lookup=name, piece=0, lot=1, room=60
        )
        requests.usual[answer.kind] = requests.usual.get(answer.kind, 0) + 1

    tasks = []
    for _ in range(int(for_s * USUAL_RATE)):
        tasks.append(asyncio.create_task(ask()))
        await asyncio.sleep(1.0 / USUAL_RATE)
    await asyncio.gather(*tasks)
    client.close()


if __name__ == "__main__":
    sys.exit(play(__file__, run))
