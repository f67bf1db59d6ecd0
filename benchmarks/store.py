"""Measures the two-tier store, beside plain ones in the same run.

    python -m benchmarks.store --short          # under a minute
    python -m benchmarks.store --keep benchmarks/results/store

Last line: one JSON object. Everything is on this machine's disk and loopback; callers and traffic are generated."""

import array
import asyncio
import os
import random
import sqlite3
import tempfile
import time
import tracemalloc
from collections import OrderedDict
from pathlib import Path

from xxhash import xxh3_64_intdigest

from benchmarks import kept
from brookhinge.store.admission import AdmissionPolicy, Victim
from brookhinge.store.copies import Copy, key_of
from brookhinge.store.disk_tier import DiskTier
from brookhinge.store.files import Files
from brookhinge.store.index import Extent, Index

MB = 1024 * 1024
BODY = 65536


def mixed(value):
    """64 well-spread bits of a number."""
    return key_of(b"%d" % value, 0)


def percentile(times, share):
    return sorted(times)[min(len(times) - 1, int(share * len(times)))]


def timed(work, arguments):
    """(calls a second, p99 in ms) of work over its arguments, one after another."""
    times, began = [], time.perf_counter()
    for argument in arguments:
        at = time.perf_counter()
        work(argument)
        times.append(time.perf_counter() - at)
    return round(len(times) / (time.perf_counter() - began)), round(percentile(times, 0.99) * 1000, 3)


class Plain:
    """A plain store on sqlite3: one table, write-ahead log, a commit a put, a sync as seldom as its mode allows."""

    def __init__(self, path):
        self.base = sqlite3.connect(path, isolation_level=None)
        for pragma in (
            "journal_mode=WAL",
            "synchronous=NORMAL",
            "page_size=8192",
            "cache_size=-65536",
            "mmap_size=1073741824",
        ):
            self.base.execute(f"PRAGMA {pragma}")
        self.base.execute(
            "CREATE TABLE parts (name BLOB, part INT, tag BLOB, dated REAL, body BLOB, "
            "PRIMARY KEY (name, part)) WITHOUT ROWID"
        )

    def put(self, n, body):
        self.base.execute(
            "INSERT OR REPLACE INTO parts VALUES (?, ?, ?, ?, ?)", (b"%016x" % n, 0, b"t", 1.0, body)
        )

    def get(self, n):
        return self.base.execute(
            "SELECT body FROM parts WHERE name = ? AND part = 0", (b"%016x" % n,)
        ).fetchone()[0]


def tier_in(folder, disk_mb, segment_mb=16, admit=None):
    tier = DiskTier(Files(folder), disk_mb * MB, segment_mb * MB, admits=admit)
    tier.open()
    return tier


def copy_of(n, body):
    return Copy(b"%016x" % n, 0, b"t", 1.0, n % 256, 1, len(body), body)


def reads_and_appends(folder, count):
    """Turn about in the same run: appends, then random reads, of both stores. A sync each 64 appends for both."""
    chance = random.Random(1)
    body = chance.randbytes(BODY + count)
    bodies = [body[n : n + BODY] for n in range(count)]
    tier, plain = tier_in(folder / "tier", 4 * count * BODY // MB + 256), Plain(folder / "plain.db")

    def append(n):
        tier.write(copy_of(n, bodies[n]), bypass_admission=True)
        if n % 64 == 63:
            tier.sync()

    def put(n):
        plain.put(n, bodies[n])
        if n % 64 == 63:
            plain.base.execute("PRAGMA wal_checkpoint(PASSIVE)")

    figures = {}
    figures["appends_s"], figures["append_p99_ms"] = timed(append, range(count))
    figures["plain_appends_s"], figures["plain_append_p99_ms"] = timed(put, range(count))
    order = [chance.randrange(count) for _ in range(2 * count)]
    figures["reads_s"], figures["read_p99_ms"] = timed(lambda n: tier.read(b"%016x" % n, 0), order)
    figures["plain_reads_s"], figures["plain_read_p99_ms"] = timed(plain.get, order)
    assert tier.read(b"%016x" % 5, 0).body == bodies[5] == plain.get(5)
    view = memoryview(body)[:BODY]
    checks = timed(lambda _: xxh3_64_intdigest(view), range(2000))[0]
    figures["check_share_of_a_read"] = round(figures["reads_s"] / checks, 3)
    figures["check_gb_s"] = round(checks * BODY / 1e9, 1)
    figures["reads_over_plain"] = round(figures["reads_s"] / figures["plain_reads_s"], 2)
    figures["appends_over_plain"] = round(figures["appends_s"] / figures["plain_appends_s"], 2)
    tier.abandon()
    plain.base.close()
    return figures


def forget(folder):
    """The system drops what it holds of the files in memory, so that the disk itself is read."""
    for path in folder.iterdir():
        handle = os.open(path, os.O_RDWR)
        os.fsync(handle)
        os.posix_fadvise(handle, 0, 0, os.POSIX_FADV_DONTNEED)
        os.close(handle)


def recovery(folder, sizes_mb):
    """Seconds to open a store of each size with a picture and without, from the disk; its own pace beside it."""
    rows = []
    for size in sizes_mb:
        place = folder / f"r{size}"
        tier = tier_in(place, size * 2 + 256)
        body = random.Random(2).randbytes(32768 + 4096)
        for n in range(size * MB // 33000):
            tier.write(copy_of(n, body[n % 4096 : n % 4096 + 32768]), bypass_admission=True)
        parts, segments = tier.index.parts, [s.number for s in tier.segments.values()]
        tier.close()
        forget(place)
        began = time.perf_counter()
        for number in segments:  # the files as they are read without a store
            with open(place / f"s-{number:08d}.seg", "rb") as file:
                while file.read(4 * MB):
                    pass
        plain_s = time.perf_counter() - began
        row = {"mb": size, "parts": parts, "sequential_s": round(plain_s, 3)}
        for name, with_picture in (("picture_s", True), ("scan_s", False)):
            if not with_picture:
                for snap in place.glob("index-*.snap"):
                    snap.unlink()
            tier = DiskTier(Files(place), (size * 2 + 256) * MB, 16 * MB)
            forget(place)
            began = time.perf_counter()
            report = tier.open()
            row[name] = round(time.perf_counter() - began, 3)
            assert report.parts == parts
            tier.abandon()
        row["scan_pace_of_sequential"] = round(row["sequential_s"] / row["scan_s"], 2)
        rows.append(row)
    return rows


class Row:
    """What a dict of objects would keep of a part."""

    def __init__(self, *values):
        (
            self.version,
            self.segment,
            self.place,
            self.length,
            self.size,
            self.dated,
            self.epoch,
            self.first,
            self.count,
            self.group,
            self.rank,
        ) = values


def memory(count):
    """Bytes an entry: the index, measured as its buffers, beside a dict of objects in order of use by tracemalloc."""
    index = Index()
    began = time.perf_counter()
    for n in range(count):
        index.add(Extent(mixed(n), 7, n >> 12, n & 4095, 33000, 32768, 1.0, 1, 0, 1, n & 255, n & 3))
    filled_s = time.perf_counter() - began
    size = sum(column.buffer_info()[1] * column.itemsize for column in index.columns)
    size += len(index.slots) * 4
    spare = sum(array.array.__sizeof__(column) for column in index.columns) + index.slots.__sizeof__()
    keys = [mixed(random.Random(n).randrange(count)) for n in range(20000)]
    finds = timed(index.find, keys)[0]
    few = min(count, 100_000)
    tracemalloc.start()
    plain = OrderedDict()
    for n in range(few):
        plain[mixed(n)] = Row(
            7 + n, n >> 12, n & 4095, 33000 + n, 32768 + n, 1.0 + n, 1, 0, 1, n & 255, n & 3
        )
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "entries": count,
        "bytes_an_entry": round(max(size, spare) / count, 1),
        "dict_of_objects_bytes_an_entry": round(held / few, 1),
        "adds_s": round(count / filled_s),
        "finds_s": finds,
    }


OBJECTS = 6000


def week(seed, count):
    """A generated week of `count` queries for parts: (key, size) in order. Objects are wanted by a Zipf law and replaced by
    new ones, a fiftieth each hour; three in ten are packages, fetched part by part. Beside them packages of 100 large
    parts that are asked for once, one in five again a day later, and scans over what nobody asks for again."""
    chance, serial, n, hour, again = random.Random(seed), 0, 0, 0, []

    def new():
        nonlocal serial
        serial += 1000
        parts = chance.randint(3, 15) if chance.random() < 0.3 else 1
        middle = 11.2 if parts > 1 else 9.4
        return [
            (serial + i, int(min(240_000, max(800, chance.lognormvariate(middle, 0.8)))))
            for i in range(parts)
        ]

    objects = [new() for _ in range(OBJECTS)]
    ranks = [1.0 / (rank + 1) for rank in range(OBJECTS)]
    order = iter(())
    while n < count:
        if n * 168 // count > hour:
            hour += 1
            for _ in range(OBJECTS // 50):
                objects[chance.randrange(OBJECTS)] = new()
        kind = chance.random()
        if again and again[0][0] <= n:
            asked = again.pop(0)[1]
        elif kind < 0.0007:
            serial += 1000
            asked = [(serial + i, 230_000) for i in range(100)]
            if chance.random() < 0.2:
                again.append((n + count // 7, asked))
        elif kind < 0.0012:
            serial += 1000
            asked = [(serial + i, 40_000) for i in range(300)]
        else:
            place = next(order, None)
            if place is None:
                order = iter(chance.choices(range(OBJECTS), ranks, k=4096))
                place = next(order)
            asked = objects[place]
        for part in asked:
            yield part
            n += 1


class Lru:
    def __init__(self, limit):
        self.limit, self.bytes, self.held = limit, 0, OrderedDict()

    def has(self, key):
        if key in self.held:
            self.held.move_to_end(key)
            return True
        return False

    def put(self, key, size):
        if key not in self.held:
            self.held[key] = size
            self.bytes += size
            while self.bytes > self.limit:
                self.bytes -= self.held.popitem(last=False)[1]


class Way:
    """Memory by last use before a disk by last use, with one way of letting parts in. No bytes are moved."""

    def __init__(self, limit, lets_in):
        self.memory, self.disk, self.lets_in = Lru(limit // 8), Lru(limit), lets_in
        self.hits = self.hit_bytes = self.written = 0

    def ask(self, key, size):
        code = mixed(key)
        kept, near = self.disk.has(key), self.memory.has(key)
        if kept or near:
            self.hits += 1
            self.hit_bytes += size
        self.memory.put(key, size)
        if self.lets_in(code, size, self.disk, kept):
            self.disk.put(key, size)
            self.written += size

    def deploy(self):
        """All processes are new: memory is empty, disks are not."""
        self.memory = Lru(self.memory.limit)


def everything(code, size, disk, kept):
    return not kept


def nothing(code, size, disk, kept):
    return False


def seen_before():
    """A plain set of what was asked for before, and whatever there is room for."""
    known = set()

    def lets_in(code, size, disk, kept):
        good = not kept and (code in known or size <= 0.5 * (disk.limit - disk.bytes))
        known.add(code)
        return good

    return lets_in


def admission(limit, bend=0.5):
    decides = AdmissionPolicy(limit // 32768, size_exponent=bend, free_share=0.5)

    def lets_in(code, size, disk, kept):
        decides.record_use(code)
        return not kept and decides.admits(
            code, size, disk.limit - disk.bytes, (Victim(mixed(k), s) for k, s in disk.held.items())
        )

    return lets_in


def hit_shares(seed, count, limit):
    """Hit shares by objects and bytes, and bytes written to disk for each byte served, of each way on one trace."""
    ways = {
        "memory_alone": Way(limit, nothing),
        "admit_all": Way(limit, everything),
        "seen_before": Way(limit, seen_before()),
        "admission": Way(limit, admission(limit)),
        "bend_0": Way(limit, admission(limit, 0.0)),
        "bend_1": Way(limit, admission(limit, 1.0)),
    }
    asked = served = 0
    for n, (key, size) in enumerate(week(seed, count)):
        if n == count * 2 // 3:
            for way in ways.values():
                way.deploy()
        asked, served = asked + 1, served + size
        for way in ways.values():
            way.ask(key, size)
    return {
        name: {
            "objects": round(way.hits / asked, 4),
            "bytes": round(way.hit_bytes / served, 4),
            "written_a_byte_served": round(way.written / served, 4),
        }
        for name, way in ways.items()
    }


def written_by_cleaning(folder, rounds):
    """Bytes written for each byte of a copy when a small disk is full and everything is replaced at random."""
    tier, chance = tier_in(folder / "w", 64, 2), random.Random(4)
    body = chance.randbytes(60000)
    for n in range(rounds):
        tier.write(
            copy_of(int(chance.paretovariate(0.5)) % 3000, body[: chance.randrange(2000, 60000)])._replace(
                tag=b"%d" % n, dated=float(n)
            ),
            bypass_admission=True,
        )
    counts = tier.stats()
    tier.abandon()
    return {
        "amplification": round(
            (counts["written_bytes"] + counts["copied_bytes"]) / counts["written_bytes"], 2
        ),
        "cleaned": counts["cleaned"],
    }


async def town_after_a_kill(folder, disk, seed, seconds):
    """Service of a town of three boxes in the time after one is killed and comes back. The parent holds less than half of
    the objects, so that what it lacks comes from the origin, which is too late for the contract time."""
    from brookhinge.emulator.local_deployment import LocalDeployment
    from brookhinge.emulator.origin import body_of, group_of

    chance = random.Random(seed)
    objects = [f"{chance.getrandbits(64):016x}" for _ in range(200)]
    async with LocalDeployment(
        folder,
        boxes=3,
        disk=disk,
        memory_mb=16,
        origin_delay_s=0.15,
        aim_s=0.1,
        sizes=(2_000, 30_000),
        parent_here=True,
        parent_mb=1,
    ) as town:
        callers = [await town.caller() for _ in range(4)]
        figures, took_s = dict(asked=0, in_time=0, satisfied=0, wrong=0), []

        async def ask(caller, counted):
            object_ = objects[min(199, int(chance.paretovariate(0.6)) - 1)]
            began = time.monotonic()
            word, body = await caller.ask(object_, lot=group_of(object_), size_kb=20)
            took = time.monotonic() - began
            if counted:
                took_s.append(took)
                figures["asked"] += 1
                figures["satisfied"] += word == "satisfied"
                figures["in_time"] += word == "satisfied" and took <= 0.1
                figures["wrong"] += word == "satisfied" and body != body_of(object_, 0, 0, town.origin.sizes)

        async def load(duration, counted):
            end, tasks = time.monotonic() + duration, []
            while time.monotonic() < end:
                tasks.append(asyncio.ensure_future(ask(chance.choice(callers), counted)))
                await asyncio.sleep(chance.expovariate(60.0))
            await asyncio.gather(*tasks)

        for _ in range(2):  # all of it once or twice, four at a time
            for at in range(0, len(objects), 4):
                await asyncio.gather(
                    *(c.ask(o, lot=group_of(o), size_kb=20) for c, o in zip(callers, objects[at : at + 4]))
                )
        await load(seconds * 0.8, False)
        await asyncio.sleep(0.6)
        await town.kill("s-2")
        await town.restart("s-2")
        before, sent = dict(town.origin.counts), town.parent.counters["sent_bytes"]
        await load(seconds, True)
        figures["bytes_from_origin"] = town.origin.counts["bytes"] - before["bytes"]
        figures["bytes_from_parent"] = town.parent.counters["sent_bytes"] - sent
        figures["asked_of_origin"] = town.origin.counts["queries"] - before["queries"]
        figures["took_s_p95"] = round(percentile(took_s, 0.95), 4)
        figures["share_in_time"] = round(figures["in_time"] / max(1, figures["asked"]), 4)
        for caller in callers:
            caller.close()
        return figures


def chart(figures, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    board, (left, middle, right) = pyplot.subplots(1, 3, figsize=(15, 4.2))
    names = ["reads", "appends"]
    left.bar([0, 1], [figures["io"]["reads_s"], figures["io"]["appends_s"]], 0.38, label="store")
    left.bar(
        [0.4, 1.4], [figures["io"]["plain_reads_s"], figures["io"]["plain_appends_s"]], 0.38, label="sqlite3"
    )
    left.set_xticks([0.2, 1.2], names)
    left.set_title("64 KB a second")
    left.legend()
    for key in ("picture_s", "scan_s", "sequential_s"):
        middle.plot(
            [r["mb"] for r in figures["recovery"]],
            [r[key] for r in figures["recovery"]],
            "o-",
            label=key[:-2],
        )
    middle.set_title("seconds to open a store of so many MB")
    middle.legend()
    shares = figures["hits"]
    at = range(len(shares))
    right.bar([i - 0.2 for i in at], [row["objects"] for row in shares.values()], 0.38, label="objects")
    right.bar([i + 0.2 for i in at], [row["bytes"] for row in shares.values()], 0.38, label="bytes")
    right.set_xticks(list(at), [name.replace("_", "\n") for name in shares], fontsize=7)
    right.set_title("hit share, generated week")
    right.legend()
    board.tight_layout()
    board.savefig(path, dpi=90)


def main():
    given = kept.parse_options()
    short, figures = given.short, {}
    with tempfile.TemporaryDirectory(prefix="store-") as name:
        folder = Path(name)
        figures["io"] = reads_and_appends(folder, 1500 if short else 6000)
        figures["recovery"] = recovery(folder, (32, 64, 128) if short else (128, 512, 1024))
        figures["memory"] = memory(200_000 if short else 1_000_000)
        figures["hits"] = hit_shares(5, 60_000 if short else 600_000, (60 if short else 150) * MB)
        figures["cleaning"] = written_by_cleaning(folder, 4000 if short else 20000)
        seconds = 4.0 if short else 10.0
        figures["town"] = {
            kind: asyncio.run(town_after_a_kill(folder / kind, kind == "with_disk", 6, seconds))
            for kind in ("with_disk", "memory_alone")
        }
    kept.finish(figures, given.keep, chart)


if __name__ == "__main__":
    main()
