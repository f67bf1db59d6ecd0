"""Slow discovery: does a router go on answering from copies of its own that are older than a purge?

Exits with 1 if the rule on purges was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import random
import sys
from pathlib import Path

from review import settings
from review.deployment import COULD_NOT_RUN, Deployment, play
from review.record import Record
from review.thrift_client import Client

SLOW_S = 2.5  # by how much each answer of discovery comes late
SLOW_FROM_S = 8.0
SLOW_FOR_S = 20.0
PURGE_AFTER_S = 1.0  # after discovery has become slow
TOLD_AT_LATEST_S = 7.0  # an event of the command channel counts as told by then, arrived or not
GRACE_S = 0.5 + 0.05  # the rule's grace, and what sockets add to each limit
PACKAGES = 10
PURGED = 5  # of the packages
SENDING_S = 2.2
ROOM_KB = 8640  # 2.4 s to send at 3600 KB a second
TRY_S = 2.5  # half of the patience of the track
BODY_BYTES = 20_000
RATE = 10.0


class Answers:
    """What clients were answered.

    Attributes:
        outcomes: Number of answers by kind.
        late: Answers 'served' to queries for purged packages that were sent after the rule bound.
        old: Those of them that came from a copy older than the purge.
        allowed_until: Time in the record until which older copies may answer.
    """

    def __init__(self) -> None:
        self.outcomes: dict[str, int] = {}
        self.late = 0
        self.old = 0
        self.allowed_until = float("inf")


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Play the case; return the exit code."""
    answers = Answers()
    async with Deployment(record, folder, trouble=trouble, boxes=4, body_bytes=BODY_BYTES) as site:
        for server in site.servers():
            server.sending_s = dict.fromkeys(packages(), SENDING_S)
        router = await site.start_router([settings.TENDER_DOCS, settings.NOTICE_PAGES])
        load = asyncio.create_task(ask_all(router, record, answers))
        await asyncio.sleep(SLOW_FROM_S)
        if trouble:
            site.channel.delay_s = SLOW_S
            record.add("discovery is slow", late_s=SLOW_S)
        await asyncio.sleep(PURGE_AFTER_S)
        for name in packages()[:PURGED]:
            purged_at = site.channel.tell_purge(name, site.content.change(name))
        site.drop_copies()  # the caches and parents keep nothing older than the purge
        answers.allowed_until = purged_at + TOLD_AT_LATEST_S + GRACE_S
        await load
    record.add("judged", purged_at=f"{purged_at:.3f}", allowed_until=f"{answers.allowed_until:.3f}")
    record.add("judged", outcomes=answers.outcomes, sent_late=answers.late, from_before_the_purge=answers.old)
    print(f"{answers.late} answers for purged packages after the bound, {answers.old} older than the purge")
    if not answers.late:
        return COULD_NOT_RUN
    return 1 if answers.old else 0


def packages() -> list[str]:
    """Return the packages."""
    return [f"{0xD0C50000 + number:016x}" for number in range(PACKAGES)]


async def ask_all(router: tuple[str, int], record: Record, answers: Answers) -> None:
    """Ask for packages at a steady rate, until discovery is quick again."""
    rng = random.Random(7)
    clients = [Client(router, number) for number in range(4)]
    for client in clients:
        await client.connect()

    async def ask(client: Client, name: str) -> None:
        sent_at = record.now()
        answer = await client.serve(
            TRY_S, service="tender-docs", lookup=name, piece=0, lot=int(name, 16) % 256, room=ROOM_KB
        )
        answers.outcomes[answer.kind] = answers.outcomes.get(answer.kind, 0) + 1
        version = answer.body[:60].split()[2].decode() if answer.kind == "served" else "-"
        record.add("answer", sent=f"{sent_at:.3f}", asset=name, kind=answer.kind, version=version)
        if name in packages()[:PURGED] and answer.kind == "served" and sent_at > answers.allowed_until:
            answers.late += 1
            answers.old += version == "1"

    tasks = []
    until = record.now() + SLOW_FROM_S + SLOW_FOR_S
    while record.now() < until:
        tasks.append(asyncio.create_task(ask(rng.choice(clients), rng.choice(packages()))))
        await asyncio.sleep(1.0 / RATE)
    await asyncio.gather(*tasks)
    for client in clients:
        client.close()


if __name__ == "__main__":
    sys.exit(play(__file__, run))
