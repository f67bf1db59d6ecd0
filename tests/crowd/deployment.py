"""One router as a process beside stand-ins of its platform, six usual clients, and a crowd of bad ones."""

import asyncio
import contextlib
import json
import os
import random
import sys
import time
import tomllib
from pathlib import Path

from review import settings
from review.channel import Channel
from review.servers import CacheServer, Content
from review.thrift_client import Client

ROOT = Path(__file__).resolve().parents[2]
USUAL_CLIENTS = 6
OBJECTS = 200
LATE_S = 0.55  # an answer this long after its time is lost
TIMEOUT_S = 3.0
READY_S = 30.0


class NoRecord:
    """Takes the place of the record of a review case."""

    def add(self, *_, **__):
        return time.monotonic()


class Deployment:
    """Stand-ins and one router while its `async with` block runs.

    Attributes:
        router: The router's process.
        port: Port that it listens on.
        waits: Seconds that each request of a usual client took.
        lost: Requests of usual clients without a final answer in time.
        kinds: Number of answers to usual clients by kind.
    """

    def __init__(self, folder, *, memory_mb=192, sockets=1024, body_bytes=2000, delay_s=0.01):
        record = NoRecord()
        content = Content(body_bytes)

        def server(name, **options):
            return CacheServer(name, content, record, delay_s=delay_s, **options)

        self.servers = [
            server("s-origin", is_origin=True),
            *(server(f"s-parent-{i}") for i in (1, 2)),
            *(server(f"s-{i}") for i in range(1, 7)),
        ]
        self.channel = Channel(record)
        self.folder = Path(folder)
        self.memory_mb, self.sockets = memory_mb, sockets
        self.router, self.port = None, 0
        self.waits, self.lost, self.kinds = [], 0, {}

    async def __aenter__(self):
        for server in self.servers:
            server.peers = {peer.name: peer for peer in self.servers}
            await server.start()
        await self.channel.start()
        rows = [self.servers[0].row("main-hub", "origin")]
        rows += [parent.row("main-hub", "parent") for parent in self.servers[1:3]]
        rows += [box.row("edge-1", "small-box") for box in self.servers[3:]]
        self.channel.tell_servers(rows, whole=True)
        await self._start_router()
        return self

    async def __aexit__(self, *_):
        if self.router.returncode is None:
            self.router.kill()
        await self.router.wait()
        for server in self.servers:
            server.stop()
        self.channel.stop()

    async def _start_router(self):
        config = settings.router_config(
            self.channel.address,
            self.channel.known(),
            [settings.GUIDE_ITEMS],
            notice_ms=500,
        )
        config["limits"] = {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets}
        path = self.folder / "n1.json"
        path.write_text(json.dumps({**config, "name": "n1", "listen": "127.0.0.1:0"}))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.folder / "n1.log").open("ab") as log:
            self.router = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env={**os.environ, "BALANCER_NAME": "n1", "BALANCER_CONFIG": str(path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        deadline = time.monotonic() + READY_S
        while not self.port and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
            for line in self.log_lines("listening"):
                self.port = int(line["address"].rpartition(":")[2])
        assert self.port, (self.folder / "n1.log").read_text()[-2000:]

    def log_lines(self, event):
        """Return the router's log lines of one event."""
        lines = []
        for line in (self.folder / "n1.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                values = json.loads(line)
                if values.get("event") == event:
                    lines.append(values)
        return lines

    def memory(self, name="VmHWM"):
        """Return a memory figure of the router, in MB of 1e6 bytes: VmHWM the peak, VmRSS the present."""
        status = Path(f"/proc/{self.router.pid}/status").read_text()
        return int(status.partition(f"{name}:")[2].split()[0]) * 1024 / 1e6

    # Clients.

    async def ask(self, seconds, every_s=0.02):
        """Run the usual clients, each a closed loop on connections that it opens anew when they end."""
        until = time.monotonic() + seconds
        await asyncio.gather(*(self._ask_in_a_loop(i, until, every_s) for i in range(USUAL_CLIENTS)))

    async def _ask_in_a_loop(self, number, until, every_s):
        chance = random.Random(number)
        client = None
        while time.monotonic() < until:
            if client is None or client.ended_at is not None:
                client = Client(("127.0.0.1", self.port), chance.getrandbits(32))
                await client.connect()
            await self._ask_once(client, chance)
            await asyncio.sleep(every_s)
        client.close()

    async def ask_on_new_connections(self, seconds, timeout_s, every_s=0.05):
        """Run clients that open a connection for each request and wait `timeout_s` for its answer."""
        until = time.monotonic() + seconds
        await asyncio.gather(
            *(self._connect_in_a_loop(i, until, timeout_s, every_s) for i in range(USUAL_CLIENTS))
        )

    async def _connect_in_a_loop(self, number, until, timeout_s, every_s):
        chance = random.Random(200 + number)
        while time.monotonic() < until:
            client = Client(("127.0.0.1", self.port), chance.getrandbits(32))
            await client.connect()
            await self._ask_once(client, chance, timeout_s)
            client.close()
            await asyncio.sleep(every_s)

    async def write_large_calls(self, seconds, body, pieces, every_s):
        """Run clients that write calls with a large body in pieces, at an honest pace."""
        until = time.monotonic() + seconds
        await asyncio.gather(
            *(self._write_in_a_loop(i, until, body, pieces, every_s) for i in range(USUAL_CLIENTS))
        )

    async def _write_in_a_loop(self, number, until, body, pieces, every_s):
        chance = random.Random(100 + number)
        while time.monotonic() < until:
            client = Client(("127.0.0.1", self.port), chance.getrandbits(32))
            await client.connect()
            await self._ask_once(client, chance, body=body, pieces=pieces, every_s=every_s)
            client.close()

    async def _ask_once(self, client, chance, timeout_s=TIMEOUT_S, **options):
        name = f"{chance.randrange(OBJECTS):016x}"
        asked_at = time.monotonic()
        answer = await client.serve(
            timeout_s,
            service="guide-items",
            lookup=name,
            piece=0,
            lot=chance.randrange(256),
            room=75,
            **options,
        )
        took_s = time.monotonic() - asked_at
        self.waits.append(took_s)
        self.kinds[answer.kind] = self.kinds.get(answer.kind, 0) + 1
        writing_s = options.get("pieces", 1) * options.get("every_s", 0.0)
        if answer.kind == "lost" or took_s - writing_s > timeout_s + LATE_S:
            self.lost += 1

    def p99(self):
        """Return the wait that one in a hundred requests of usual clients exceeded."""
        return sorted(self.waits)[int(0.99 * (len(self.waits) - 1))]

    async def crowd(self, kind, count, seconds):
        """Run a crowd of bad clients as a process of its own; return its report."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.crowd.bad_clients",
            kind,
            str(self.port),
            str(count),
            str(seconds),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        return json.loads(output.splitlines()[-1])

    async def play(self, kind, count, seconds):
        """Run a crowd beside usual clients, who begin before and end after it; return its report."""
        asking = asyncio.create_task(self.ask(seconds + 1.0))
        await asyncio.sleep(0.5)
        report = await self.crowd(kind, count, seconds)
        await asking
        return report
