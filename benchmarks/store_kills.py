"""Kills a cache server at random moments under load and purges, and checks every response.

    python -m benchmarks.store_kills --kills 20 --seed 1 [--jobs 4]

Callers are simulated on loopback; the cache server is a real process. The last line of the output is one
JSON object. Expected: no wrong byte, no copy older than a purge that was sent longer ago than the grace
period, and no acknowledged purge that is missing from the ledger.
"""

import argparse
import asyncio
import json
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from brookhinge.emulator.local_deployment import LocalDeployment
from brookhinge.emulator.origin import body_of, group_of
from brookhinge.emulator.thrift_caller import LineCaller
from brookhinge.store.file_format import FILE_HEADER_BYTES
from brookhinge.store.purge_ledger import PurgeLedger

GRACE_S = 0.5  # time in which a purge must take effect
OBJECTS, PARTS = 60, 5


class Load:
    """Callers that send requests to one cache server and check the responses.

    Attributes:
        deployment: The deployment with the cache server and the origin.
        rng: Random numbers for requests and purges.
        objects: Names of the objects.
        purges_sent: Time, object or None, group or None, and change number of each purge.
        counts: Counts of responses, of bytes and of faults found.
        stopped: Whether the callers are to end.
    """

    def __init__(self, deployment, rng):
        self.deployment, self.rng = deployment, rng
        self.objects = [f"{rng.getrandbits(64):016x}" for _ in range(OBJECTS)]
        self.purges_sent = []
        self.counts = dict.fromkeys(
            ("answers", "checked_bytes", "hits", "unanswered", "wrong_bytes", "purged_copies"), 0
        )
        self.stopped = False

    def min_version(self, object_, at):
        """Return the lowest version that a copy served at a time may have.

        It counts the purges of the object that were sent before the grace period.
        """
        return sum(
            1
            for when, name, group, _ in self.purges_sent
            if when + GRACE_S < at and (name == object_ or group is not None and group == group_of(object_))
        )

    async def ask(self, caller):
        """Send one request and check the response."""
        object_ = self.objects[min(OBJECTS - 1, int(self.rng.paretovariate(0.7)) - 1)]
        part, sent = self.rng.randrange(PARTS), time.time()
        response = await caller.ask(
            object_, part, parent="origin", hints="merge", shelf=self.rng.randrange(3)
        )
        if response is None or response[0] != "data":
            self.counts["unanswered"] += 1
            return
        _, fields, body = response
        version = int(fields[b"digest"][1:])
        self.counts["answers"] += 1
        self.counts["checked_bytes"] += len(body)
        self.counts["hits"] += fields[b"n"] == b"hit"
        self.counts["wrong_bytes"] += body != body_of(object_, part, version, self.deployment.origin.sizes)
        self.counts["purged_copies"] += version < self.min_version(object_, sent)

    async def run(self):
        """Send requests until stopped, and reconnect whenever the cache server is down."""
        while not self.stopped:
            try:
                caller = await LineCaller(("127.0.0.1", self.deployment.ports["s-1"])).connect()
            except OSError:
                await asyncio.sleep(0.01)
                continue
            try:
                while not self.stopped and not caller.reading.done():
                    await self.ask(caller)
            except (TimeoutError, OSError):
                self.counts["unanswered"] += 1
            finally:
                caller.close()

    def purge(self):
        """Purge a random object, or in one case in five a random group."""
        if self.rng.random() < 0.8:
            name, group = self.rng.choice(self.objects), None
        else:
            name, group = None, group_of(self.rng.choice(self.objects))
        number = self.deployment.change(name, group)
        self.purges_sent.append((self.deployment.origin.now(), name, group, number))

    async def run_purges(self):
        """Send about 8 purges per second until stopped."""
        while not self.stopped:
            await asyncio.sleep(self.rng.expovariate(8.0))
            self.purge()


def count_lost_purges(folder, purges_sent, polls):
    """Return how many purges were acknowledged, and how many of them are missing from the ledger on disk.

    A poll acknowledges the purges up to its change number. The changes before the first list since the start
    were never sent to the cache server.

    Args:
        folder: Folder of the cache server.
        purges_sent: Time, object, group and change number of each purge.
        polls: Change numbers in the polls since the start; the first poll may have none.
    """
    polled_numbers = [number for number in polls if number]
    first, last = min(polled_numbers, default=0), max(polled_numbers, default=0)
    ledger = PurgeLedger()
    ledger.replay((folder / "purges.log").read_bytes()[FILE_HEADER_BYTES:])
    ledger_times = {**{name.decode(): when for name, when in ledger.objects.items()}, **ledger.groups}
    acknowledged = [
        (when, group if name is None else name)
        for when, name, group, number in purges_sent
        if first < number <= last
    ]
    return len(acknowledged), sum(
        ledger_times.get(name, ledger.floor) < when - 0.1 for when, name in acknowledged
    )


async def run_kills(folder, kills, seed, max_interval_s=0.8):
    """Kill and restart a cache server under load, with up to `max_interval_s` before each kill."""
    rng = random.Random(seed)
    async with LocalDeployment(
        folder,
        boxes=1,
        router=False,
        parent=False,
        memory_mb=2,
        disk_mb=24,
        segment_mb=1,
        snapshot_s=0.3,
        origin_delay_s=0.002,
        sizes=(2_000, 120_000),
    ) as deployment:
        load, acknowledged, lost, start_times_s = Load(deployment, rng), 0, 0, []
        tasks = [asyncio.ensure_future(load.run()) for _ in range(6)] + [
            asyncio.ensure_future(load.run_purges())
        ]
        for _ in range(kills):
            await asyncio.sleep(rng.uniform(0.05, max_interval_s))
            await deployment.kill("s-1")
            await asyncio.sleep(0.02)
            counted = count_lost_purges(Path(folder) / "s-1", load.purges_sent, deployment.channel.polls)
            acknowledged, lost = acknowledged + counted[0], lost + counted[1]
            deployment.channel.polls.clear()
            for _ in range(rng.randrange(3)):
                load.purge()
            began = time.monotonic()
            await deployment.start("s-1")
            start_times_s.append(time.monotonic() - began)
            deployment.channel.list("s-1", born_ms=round(time.time() * 1000))
        await asyncio.sleep(1.0)
        load.stopped = True
        await asyncio.wait(tasks, timeout=5)
        log = (Path(folder) / "s-1.log").read_text()
        faults = [line for line in log.splitlines() if '"event":"fault"' in line or "Traceback" in line]
        recovered_parts = [
            json.loads(line)["parts"] for line in log.splitlines() if '"event":"disk on"' in line
        ]
        return dict(
            kills=kills,
            seed=seed,
            purges=len(load.purges_sent),
            acknowledged_purges=acknowledged,
            acknowledged_purges_lost=lost,
            **load.counts,
            faults=len(faults),
            parts_found_mean=round(sum(recovered_parts[1:]) / max(1, len(recovered_parts) - 1), 1),
            damaged_found=log.count('"event":"damaged"'),
            start_s_median=round(sorted(start_times_s)[len(start_times_s) // 2], 3),
        )


def main():
    """Run the benchmark with the command-line options."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--kills", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--keep", help="file to write the results to")
    options = parser.parse_args()
    if options.jobs > 1:
        kills_per_job = -(-options.kills // options.jobs)
        running = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.store_kills",
                    "--kills",
                    str(kills_per_job),
                    "--seed",
                    str(options.seed + n),
                ],
                stdout=subprocess.PIPE,
                text=True,
            )
            for n in range(options.jobs)
        ]
        rows = [json.loads(process.communicate()[0].splitlines()[-1]) for process in running]
        results = {
            key: sum(row[key] for row in rows)
            for key in rows[0]
            if key not in ("seed", "parts_found_mean", "start_s_median")
        }
        results["runs"] = rows
    else:
        with tempfile.TemporaryDirectory(prefix="kills-") as folder:
            results = asyncio.run(run_kills(folder, options.kills, options.seed))
    if options.keep:
        Path(options.keep).write_text(json.dumps(results, indent=1) + "\n")
    print(json.dumps(results))


if __name__ == "__main__":
    main()
