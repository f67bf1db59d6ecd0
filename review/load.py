"""Clients of one router that ask for objects at a steady rate and judge when they are answered."""

import asyncio
import random
import time
from collections.abc import Iterable

from review.record import Record
from review.thrift_client import Client

MOST_CONNECTIONS = 340  # a third of the router's descriptors
USUAL_OPEN = 4  # requests on one connection, before another is opened
MOST_OPEN = 32
CROSSING_S = 0.05  # a request that crosses the close of its connection is sent again, once
GROUPS = 256
LATE_S = 0.5 + 0.05  # so much after its time an answer still counts
LEAST_TRY = 0.5  # a try is given up after 50 to 100% of the patience


class Load:
    """The clients of one router; each query goes to the open connection with the fewest open queries.

    Another connection is opened where there is none with few, also when the router has closed the others.

    Attributes:
        outcomes: Number of queries by how they ended.
        judged: Number of judged queries.
        lost: Those that were answered more than LATE_S after their time, or never.
        worst_s: Longest time that a judged query took, as far as it was answered.
    """

    def __init__(self, router: tuple[str, int], record: Record, track: str, patience_s: float) -> None:
        """Create the clients of a router; all ask for objects of one track."""
        self._router = router
        self._clients: list[Client] = []
        self._record = record
        self._track = track
        self._patience_s = patience_s
        self._rng = random.Random(7)
        self.outcomes: dict[str, int] = {}
        self.judged = 0
        self.lost = 0
        self.worst_s = 0.0

    async def ask_once(self, objects: int, rate: float) -> None:
        """Ask for each object once, without judging."""
        await self._ask_at_rate(rate, ((number, self._patience_s, False) for number in range(objects)))

    async def ask(self, objects: int, rate: float, for_s: float) -> None:
        """Ask for random objects and judge each query; tries have a part of the patience."""
        queries = []
        for _ in range(int(for_s * rate)):
            timeout_s = self._patience_s * self._rng.uniform(LEAST_TRY, 1.0)
            queries.append((self._rng.randrange(objects), timeout_s, True))
        await self._ask_at_rate(rate, queries)

    async def _ask_at_rate(self, rate: float, queries: Iterable[tuple[int, float, bool]]) -> None:
        tasks = []
        started_at = time.monotonic()
        for i, query in enumerate(queries):
            tasks.append(asyncio.create_task(self._ask(*query)))
            await asyncio.sleep(max(0.0, started_at + (i + 1) / rate - time.monotonic()))
        await asyncio.gather(*tasks)

    async def _ask(self, number: int, timeout_s: float, is_judged: bool) -> None:
        name = f"{number:016x}"
        fields = {"service": self._track, "lookup": name, "piece": 0, "lot": number % GROUPS, "room": 75}
        asked_at = time.monotonic()
        for _ in range(2):
            client = await self._connection()
            answer = await client.serve(timeout_s, **fields)
            ended_at = client.ended_at or asked_at
            if answer.kind != "lost" or ended_at - answer.sent_at > CROSSING_S:
                break
        took_s = time.monotonic() - asked_at
        self.outcomes[answer.kind] = self.outcomes.get(answer.kind, 0) + 1
        is_lost = answer.kind == "lost" or took_s > timeout_s + LATE_S
        if is_judged:
            self.judged += 1
            self.lost += is_lost
            self.worst_s = max(self.worst_s, took_s if answer.kind != "lost" else 0.0)
        self._record.add(
            "answer",
            asset=name,
            allow_ms=int(timeout_s * 1000),
            kind=answer.kind,
            took_s=f"{took_s:.3f}",
            lost=is_lost,
        )

    async def _connection(self) -> Client:
        """Return a connection for one more query."""
        self._clients = [client for client in self._clients if client.ended_at is None]
        client = min(self._clients, key=lambda client: client.open_requests, default=None)
        if client is not None and client.open_requests < USUAL_OPEN:
            return client
        if len(self._clients) < MOST_CONNECTIONS:
            client = Client(self._router, self._rng.getrandbits(32))
            await client.connect()
            self._clients.append(client)
        if client.open_requests >= MOST_OPEN:
            raise RuntimeError("too few connections for the queries that are open")
        return client

    def verdict(self) -> str:
        """Record and return what was judged."""
        never = self.outcomes.get("lost", 0)
        self._record.add("judged", queries=self.judged, lost=self.lost, never_answered=never)
        return (
            f"{self.judged} queries, {self.lost} lost, {never} of them not answered 3 s after their time; "
            f"the longest wait for an answer was {self.worst_s:.2f} s"
        )

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()
