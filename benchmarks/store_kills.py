"""Kills a box at random moments under load with purges, also while it is down, and checksums every range served.

    python -m benchmarks.store_kills --kills 20 --seed 1 [--jobs 4]

Simulated callers on loopback, a real box process. Last line: one JSON object. Wanted: no wrong byte, no copy from before
a purge that was told longer ago than the grace, no acknowledged purge that is not in the ledger."""

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

GRACE_S = 0.5
OBJECTS, PARTS = 60, 5


class Load:
    """Callers that ask one box and check what they get."""

    def __init__(self, town, chance):
        self.town, self.chance = town, chance
        self.objects = [f"{chance.getrandbits(64):016x}" for _ in range(OBJECTS)]
        self.told = []  # (at, object or None, group or None, number in the channel)
        self.counts = dict.fromkeys(
            ("answers", "checked_bytes", "hits", "unanswered", "wrong_bytes", "purged_copies"), 0
        )
        self.stopped = False

    def least_version(self, object_, at):
        """The version that every copy given out at a time must have: purges told before the grace."""
        return sum(
            1
            for when, name, group, _ in self.told
            if when + GRACE_S < at and (name == object_ or group is not None and group == group_of(object_))
        )

    async def ask(self, caller):
        object_ = self.objects[min(OBJECTS - 1, int(self.chance.paretovariate(0.7)) - 1)]
        part, sent = self.chance.randrange(PARTS), time.time()
        answer = await caller.ask(
            object_, part, parent="origin", hints="merge", shelf=self.chance.randrange(3)
        )
        if answer is None or answer[0] != "data":
            self.counts["unanswered"] += 1
            return
        _, fields, body = answer
        version = int(fields[b"digest"][1:])
        self.counts["answers"] += 1
        self.counts["checked_bytes"] += len(body)
        self.counts["hits"] += fields[b"n"] == b"hit"
        self.counts["wrong_bytes"] += body != body_of(object_, part, version, self.town.origin.sizes)
        self.counts["purged_copies"] += version < self.least_version(object_, sent)

    async def run(self):
        """Asks until told to stop; the box may come and go."""
        while not self.stopped:
            try:
                caller = await LineCaller(("127.0.0.1", self.town.ports["s-1"])).connect()
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
        if self.chance.random() < 0.8:
            name, group = self.chance.choice(self.objects), None
        else:
            name, group = None, group_of(self.chance.choice(self.objects))
        number = self.town.change(name, group)
        self.told.append((self.town.origin.now(), name, group, number))

    async def purges(self):
        while not self.stopped:
            await asyncio.sleep(self.chance.expovariate(8.0))
            self.purge()


def lost_purges(folder, told, polls):
    """(how many purges were acknowledged, how many of them the ledger on disk does not have). A purge is acknowledged by
    the number of a later poll; what came before the first list of this start was never told to the box."""
    heard = [number for number in polls if number]
    first, last = min(heard, default=0), max(heard, default=0)
    ledger = PurgeLedger()
    ledger.replay((folder / "purges.log").read_bytes()[FILE_HEADER_BYTES:])
    known = {**{name.decode(): when for name, when in ledger.objects.items()}, **ledger.groups}
    acknowledged = [
        (when, group if name is None else name)
        for when, name, group, number in told
        if first < number <= last
    ]
    return len(acknowledged), sum(known.get(name, ledger.floor) < when - 0.1 for when, name in acknowledged)


async def play(folder, kills, seed, slowest_s=0.8):
    chance = random.Random(seed)
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
    ) as town:
        load, taken, lost, starts = Load(town, chance), 0, 0, []
        tasks = [asyncio.ensure_future(load.run()) for _ in range(6)] + [asyncio.ensure_future(load.purges())]
        for _ in range(kills):
            await asyncio.sleep(chance.uniform(0.05, slowest_s))
            await town.kill("s-1")
            await asyncio.sleep(0.02)
            more = lost_purges(Path(folder) / "s-1", load.told, town.channel.polls)
            taken, lost = taken + more[0], lost + more[1]
            town.channel.polls.clear()
            for _ in range(chance.randrange(3)):
                load.purge()
            began = time.monotonic()
            await town.start("s-1")
            starts.append(time.monotonic() - began)
            town.channel.list("s-1", born_ms=round(time.time() * 1000))
        await asyncio.sleep(1.0)
        load.stopped = True
        await asyncio.wait(tasks, timeout=5)
        log = (Path(folder) / "s-1.log").read_text()
        faults = [line for line in log.splitlines() if '"event":"fault"' in line or "Traceback" in line]
        recovered = [json.loads(line)["parts"] for line in log.splitlines() if '"event":"disk on"' in line]
        return dict(
            kills=kills,
            seed=seed,
            purges=len(load.told),
            acknowledged_purges=taken,
            acknowledged_purges_lost=lost,
            **load.counts,
            faults=len(faults),
            parts_found_mean=round(sum(recovered[1:]) / max(1, len(recovered) - 1), 1),
            damaged_found=log.count('"event":"damaged"'),
            start_s_median=round(sorted(starts)[len(starts) // 2], 3),
        )


def main():
    options = argparse.ArgumentParser()
    options.add_argument("--kills", type=int, default=20)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--jobs", type=int, default=1)
    options.add_argument("--keep", help="a file for the figures")
    given = options.parse_args()
    if given.jobs > 1:
        each = -(-given.kills // given.jobs)
        running = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.store_kills",
                    "--kills",
                    str(each),
                    "--seed",
                    str(given.seed + n),
                ],
                stdout=subprocess.PIPE,
                text=True,
            )
            for n in range(given.jobs)
        ]
        rows = [json.loads(process.communicate()[0].splitlines()[-1]) for process in running]
        figures = {
            key: sum(row[key] for row in rows)
            for key in rows[0]
            if key not in ("seed", "parts_found_mean", "start_s_median")
        }
        figures["runs"] = rows
    else:
        with tempfile.TemporaryDirectory(prefix="kills-") as folder:
            figures = asyncio.run(play(folder, given.kills, given.seed))
    if given.keep:
        Path(given.keep).write_text(json.dumps(figures, indent=1) + "\n")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
