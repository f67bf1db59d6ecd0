"""Benchmarks the two-tier store against simple alternatives in the same run.

    python -m benchmarks.store --short          # under a minute
    python -m benchmarks.store --keep benchmarks/results/store

All files are on the local disk and all connections on loopback; callers and traffic are generated. The last
line of the output is one JSON object.
"""

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
BODY_BYTES = 65536


def hash_of(value):
    """Return a 64-bit hash of a number."""
    return key_of(b"%d" % value, 0)


def percentile(times, share):
    """Return the time that this share of the sorted times lies below."""
    return sorted(times)[min(len(times) - 1, int(share * len(times)))]


def time_calls(work, arguments):
    """Call `work` with each argument in turn, and return the calls per second and the p99 in ms."""
    times, began = [], time.perf_counter()
    for argument in arguments:
        call_began = time.perf_counter()
        work(argument)
        times.append(time.perf_counter() - call_began)
    return round(len(times) / (time.perf_counter() - began)), round(percentile(times, 0.99) * 1000, 3)


class SqliteStore:
    """Store on sqlite3: one table, write-ahead log, a commit per put, and as few syncs as the mode allows."""

    def __init__(self, path):
        self.connection = sqlite3.connect(path, isolation_level=None)
        for pragma in (
            "journal_mode=WAL",
            "synchronous=NORMAL",
            "page_size=8192",
            "cache_size=-65536",
            "mmap_size=1073741824",
        ):
            self.connection.execute(f"PRAGMA {pragma}")
        self.connection.execute(
            "CREATE TABLE parts (name BLOB, part INT, tag BLOB, dated REAL, body BLOB, "
            "PRIMARY KEY (name, part)) WITHOUT ROWID"
        )

    def put(self, n, body):
        """Write the body of object n."""
        self.connection.execute(
            "INSERT OR REPLACE INTO parts VALUES (?, ?, ?, ?, ?)", (b"%016x" % n, 0, b"t", 1.0, body)
        )

    def get(self, n):
        """Return the body of object n."""
        return self.connection.execute(
            "SELECT body FROM parts WHERE name = ? AND part = 0", (b"%016x" % n,)
        ).fetchone()[0]


def open_tier(folder, disk_mb, segment_mb=16, admit=None):
    """Return an open disk tier with its files in a folder."""
    tier = DiskTier(Files(folder), disk_mb * MB, segment_mb * MB, admits=admit)
    tier.open()
    return tier


def copy_of(n, body):
    """Return a copy of object n."""
    return Copy(b"%016x" % n, 0, b"t", 1.0, n % 256, 1, len(body), body)


def measure_io(folder, count):
    """Measure appends and then random reads of both stores, which sync every 64 appends."""
    rng = random.Random(1)
    body = rng.randbytes(BODY_BYTES + count)
    bodies = [body[n : n + BODY_BYTES] for n in range(count)]
    tier, sqlite = (
        open_tier(folder / "tier", 4 * count * BODY_BYTES // MB + 256),
        SqliteStore(folder / "plain.db"),
    )

    def append(n):
        tier.write(copy_of(n, bodies[n]), bypass_admission=True)
        if n % 64 == 63:
            tier.sync()

    def put(n):
        sqlite.put(n, bodies[n])
        if n % 64 == 63:
            sqlite.connection.execute("PRAGMA wal_checkpoint(PASSIVE)")

    results = {}
    results["appends_s"], results["append_p99_ms"] = time_calls(append, range(count))
    results["plain_appends_s"], results["plain_append_p99_ms"] = time_calls(put, range(count))
    order = [rng.randrange(count) for _ in range(2 * count)]
    results["reads_s"], results["read_p99_ms"] = time_calls(lambda n: tier.read(b"%016x" % n, 0), order)
    results["plain_reads_s"], results["plain_read_p99_ms"] = time_calls(sqlite.get, order)
    assert tier.read(b"%016x" % 5, 0).body == bodies[5] == sqlite.get(5)
    view = memoryview(body)[:BODY_BYTES]
    hashes_per_s = time_calls(lambda _: xxh3_64_intdigest(view), range(2000))[0]
    results["check_share_of_a_read"] = round(results["reads_s"] / hashes_per_s, 3)
    results["check_gb_s"] = round(hashes_per_s * BODY_BYTES / 1e9, 1)
    results["reads_over_plain"] = round(results["reads_s"] / results["plain_reads_s"], 2)
    results["appends_over_plain"] = round(results["appends_s"] / results["plain_appends_s"], 2)
    tier.abandon()
    sqlite.connection.close()
    return results


def drop_page_cache(folder):
    """Drop the files of a folder from the page cache, so that they are read from the disk."""
    for path in folder.iterdir():
        handle = os.open(path, os.O_RDWR)
        os.fsync(handle)
        os.posix_fadvise(handle, 0, 0, os.POSIX_FADV_DONTNEED)
        os.close(handle)


def measure_recovery(folder, sizes_mb):
    """Measure the seconds to open a store of each size from disk, with and without an index snapshot.

    A sequential read of the same files is measured for comparison.
    """
    rows = []
    for size in sizes_mb:
        tier_folder = folder / f"r{size}"
        tier = open_tier(tier_folder, size * 2 + 256)
        body = random.Random(2).randbytes(32768 + 4096)
        for n in range(size * MB // 33000):
            tier.write(copy_of(n, body[n % 4096 : n % 4096 + 32768]), bypass_admission=True)
        parts, segments = tier.index.parts, [s.number for s in tier.segments.values()]
        tier.close()
        drop_page_cache(tier_folder)
        began = time.perf_counter()
        for number in segments:  # sequential read of the files without a store
            with open(tier_folder / f"s-{number:08d}.seg", "rb") as file:
                while file.read(4 * MB):
                    pass
        sequential_s = time.perf_counter() - began
        row = {"mb": size, "parts": parts, "sequential_s": round(sequential_s, 3)}
        for name, with_snapshot in (("picture_s", True), ("scan_s", False)):
            if not with_snapshot:
                for snapshot in tier_folder.glob("index-*.snap"):
                    snapshot.unlink()
            tier = DiskTier(Files(tier_folder), (size * 2 + 256) * MB, 16 * MB)
            drop_page_cache(tier_folder)
            began = time.perf_counter()
            report = tier.open()
            row[name] = round(time.perf_counter() - began, 3)
            assert report.parts == parts
            tier.abandon()
        row["scan_pace_of_sequential"] = round(row["sequential_s"] / row["scan_s"], 2)
        rows.append(row)
    return rows


class PartRecord:
    """Entry of a part in an index that is a dict of objects."""

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


def measure_memory(count):
    """Measure the bytes per entry of the index and of a dict of objects in order of use.

    The index is measured by its buffers, the dict by tracemalloc.
    """
    index = Index()
    began = time.perf_counter()
    for n in range(count):
        index.add(Extent(hash_of(n), 7, n >> 12, n & 4095, 33000, 32768, 1.0, 1, 0, 1, n & 255, n & 3))
    filled_s = time.perf_counter() - began
    buffer_bytes = sum(column.buffer_info()[1] * column.itemsize for column in index.columns)
    buffer_bytes += len(index.slots) * 4
    object_bytes = sum(array.array.__sizeof__(column) for column in index.columns) + index.slots.__sizeof__()
    keys = [hash_of(random.Random(n).randrange(count)) for n in range(20000)]
    finds = time_calls(index.find, keys)[0]
    dict_entries = min(count, 100_000)
    tracemalloc.start()
    records = OrderedDict()
    for n in range(dict_entries):
        records[hash_of(n)] = PartRecord(
            7 + n, n >> 12, n & 4095, 33000 + n, 32768 + n, 1.0 + n, 1, 0, 1, n & 255, n & 3
        )
    dict_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "entries": count,
        "bytes_an_entry": round(max(buffer_bytes, object_bytes) / count, 1),
        "dict_of_objects_bytes_an_entry": round(dict_bytes / dict_entries, 1),
        "adds_s": round(count / filled_s),
        "finds_s": finds,
    }


OBJECTS = 6000


def generate_week(seed, count):
    """Yield the key and size of `count` requests for parts, in the order of a generated week.

    The popularity of objects follows a Zipf law, and a fiftieth of them is replaced by new ones every hour.
    Three in ten are packages, which are fetched part by part. Added to these are packages of 100 large parts
    that are requested once, one in five again a day later, and scans over parts that are not requested again.
    """
    rng, serial, n, hour, repeats = random.Random(seed), 0, 0, 0, []

    def new_object():
        nonlocal serial
        serial += 1000
        parts = rng.randint(3, 15) if rng.random() < 0.3 else 1
        log_mean = 11.2 if parts > 1 else 9.4
        return [
            (serial + i, int(min(240_000, max(800, rng.lognormvariate(log_mean, 0.8))))) for i in range(parts)
        ]

    objects = [new_object() for _ in range(OBJECTS)]
    weights = [1.0 / (rank + 1) for rank in range(OBJECTS)]
    drawn_objects = iter(())
    while n < count:
        if n * 168 // count > hour:
            hour += 1
            for _ in range(OBJECTS // 50):
                objects[rng.randrange(OBJECTS)] = new_object()
        draw = rng.random()
        if repeats and repeats[0][0] <= n:
            requested = repeats.pop(0)[1]
        elif draw < 0.0007:
            serial += 1000
            requested = [(serial + i, 230_000) for i in range(100)]
            if rng.random() < 0.2:
                repeats.append((n + count // 7, requested))
        elif draw < 0.0012:
            serial += 1000
            requested = [(serial + i, 40_000) for i in range(300)]
        else:
            drawn = next(drawn_objects, None)
            if drawn is None:
                drawn_objects = iter(rng.choices(range(OBJECTS), weights, k=4096))
                drawn = next(drawn_objects)
            requested = objects[drawn]
        for part in requested:
            yield part
            n += 1


class Lru:
    """Set of parts in order of their last use, with a limit in bytes.

    Attributes:
        limit: Maximum number of bytes.
        bytes: Bytes of the parts.
        parts: Sizes by key, the least recently used first.
    """

    def __init__(self, limit):
        self.limit, self.bytes, self.parts = limit, 0, OrderedDict()

    def has(self, key):
        """Return whether a part is present, and mark it as used."""
        if key in self.parts:
            self.parts.move_to_end(key)
            return True
        return False

    def put(self, key, size):
        """Add a part and evict the least recently used ones beyond the limit."""
        if key not in self.parts:
            self.parts[key] = size
            self.bytes += size
            while self.bytes > self.limit:
                self.bytes -= self.parts.popitem(last=False)[1]


class SimulatedStore:
    """LRU memory tier in front of an LRU disk tier with an admission rule; no bytes are moved.

    Attributes:
        memory: Memory tier, with an eighth of the limit.
        disk: Disk tier.
        admits: Function that decides whether a part is written to disk.
        hits: Requests for parts that were present.
        hit_bytes: Bytes of these parts.
        written: Bytes written to disk.
    """

    def __init__(self, limit, admits):
        self.memory, self.disk, self.admits = Lru(limit // 8), Lru(limit), admits
        self.hits = self.hit_bytes = self.written = 0

    def ask(self, key, size):
        """Request a part, which is put in memory and, if it is admitted, on disk."""
        key_hash = hash_of(key)
        on_disk, in_memory = self.disk.has(key), self.memory.has(key)
        if on_disk or in_memory:
            self.hits += 1
            self.hit_bytes += size
        self.memory.put(key, size)
        if self.admits(key_hash, size, self.disk, on_disk):
            self.disk.put(key, size)
            self.written += size

    def restart(self):
        """Empty the memory and keep the disk."""
        self.memory = Lru(self.memory.limit)


def admit_all(key_hash, size, disk, on_disk):
    """Admit every part that is not on disk."""
    return not on_disk


def admit_none(key_hash, size, disk, on_disk):
    """Admit no part."""
    return False


def admit_seen_before():
    """Return a rule that admits parts requested before, and parts that fit in half of the free space."""
    requested_hashes = set()

    def admits(key_hash, size, disk, on_disk):
        is_admitted = not on_disk and (
            key_hash in requested_hashes or size <= 0.5 * (disk.limit - disk.bytes)
        )
        requested_hashes.add(key_hash)
        return is_admitted

    return admits


def admit_by_policy(limit, size_exponent=0.5):
    """Return a rule that uses the admission policy of the store."""
    policy = AdmissionPolicy(limit // 32768, size_exponent=size_exponent, free_share=0.5)

    def admits(key_hash, size, disk, on_disk):
        policy.record_use(key_hash)
        return not on_disk and policy.admits(
            key_hash, size, disk.limit - disk.bytes, (Victim(hash_of(k), s) for k, s in disk.parts.items())
        )

    return admits


def measure_hit_shares(seed, count, limit):
    """Return hit shares by parts and bytes, and bytes written per byte served, of each rule on one trace."""
    stores = {
        "memory_alone": SimulatedStore(limit, admit_none),
        "admit_all": SimulatedStore(limit, admit_all),
        "seen_before": SimulatedStore(limit, admit_seen_before()),
        "admission": SimulatedStore(limit, admit_by_policy(limit)),
        "bend_0": SimulatedStore(limit, admit_by_policy(limit, 0.0)),
        "bend_1": SimulatedStore(limit, admit_by_policy(limit, 1.0)),
    }
    requests = served_bytes = 0
    for n, (key, size) in enumerate(generate_week(seed, count)):
        if n == count * 2 // 3:
            for store in stores.values():
                store.restart()
        requests, served_bytes = requests + 1, served_bytes + size
        for store in stores.values():
            store.ask(key, size)
    return {
        name: {
            "objects": round(store.hits / requests, 4),
            "bytes": round(store.hit_bytes / served_bytes, 4),
            "written_a_byte_served": round(store.written / served_bytes, 4),
        }
        for name, store in stores.items()
    }


def measure_cleaning(folder, rounds):
    """Measure the write amplification of a small full disk whose copies are replaced at random."""
    tier, rng = open_tier(folder / "w", 64, 2), random.Random(4)
    body = rng.randbytes(60000)
    for n in range(rounds):
        tier.write(
            copy_of(int(rng.paretovariate(0.5)) % 3000, body[: rng.randrange(2000, 60000)])._replace(
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


async def measure_service_after_kill(folder, disk, seed, seconds):
    """Measure the service of three cache servers after one of them is killed and restarted.

    The parent holds less than half of the objects. The other fills come from the origin, too late for the
    contract time.
    """
    from brookhinge.emulator.local_deployment import LocalDeployment
    from brookhinge.emulator.origin import body_of, group_of

    rng = random.Random(seed)
    objects = [f"{rng.getrandbits(64):016x}" for _ in range(200)]
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
    ) as deployment:
        callers = [await deployment.caller() for _ in range(4)]
        results, times_s = dict(asked=0, in_time=0, satisfied=0, wrong=0), []

        async def ask(caller, counted):
            object_ = objects[min(199, int(rng.paretovariate(0.6)) - 1)]
            began = time.monotonic()
            outcome, body = await caller.ask(object_, lot=group_of(object_), size_kb=20)
            elapsed_s = time.monotonic() - began
            if counted:
                times_s.append(elapsed_s)
                results["asked"] += 1
                results["satisfied"] += outcome == "satisfied"
                results["in_time"] += outcome == "satisfied" and elapsed_s <= 0.1
                results["wrong"] += outcome == "satisfied" and body != body_of(
                    object_, 0, 0, deployment.origin.sizes
                )

        async def load(duration, counted):
            end, tasks = time.monotonic() + duration, []
            while time.monotonic() < end:
                tasks.append(asyncio.ensure_future(ask(rng.choice(callers), counted)))
                await asyncio.sleep(rng.expovariate(60.0))
            await asyncio.gather(*tasks)

        for _ in range(2):  # request all objects, four at a time
            for at in range(0, len(objects), 4):
                await asyncio.gather(
                    *(c.ask(o, lot=group_of(o), size_kb=20) for c, o in zip(callers, objects[at : at + 4]))
                )
        await load(seconds * 0.8, False)
        await asyncio.sleep(0.6)
        await deployment.kill("s-2")
        await deployment.restart("s-2")
        before, parent_sent_bytes = dict(deployment.origin.counts), deployment.parent.counters["sent_bytes"]
        await load(seconds, True)
        results["bytes_from_origin"] = deployment.origin.counts["bytes"] - before["bytes"]
        results["bytes_from_parent"] = deployment.parent.counters["sent_bytes"] - parent_sent_bytes
        results["asked_of_origin"] = deployment.origin.counts["queries"] - before["queries"]
        results["took_s_p95"] = round(percentile(times_s, 0.95), 4)
        results["share_in_time"] = round(results["in_time"] / max(1, results["asked"]), 4)
        for caller in callers:
            caller.close()
        return results


def chart(results, path):
    """Draw the chart of the results to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, middle, right) = pyplot.subplots(1, 3, figsize=(15, 4.2))
    names = ["reads", "appends"]
    left.bar([0, 1], [results["io"]["reads_s"], results["io"]["appends_s"]], 0.38, label="store")
    left.bar(
        [0.4, 1.4], [results["io"]["plain_reads_s"], results["io"]["plain_appends_s"]], 0.38, label="sqlite3"
    )
    left.set_xticks([0.2, 1.2], names)
    left.set_title("64 KB a second")
    left.legend()
    for key in ("picture_s", "scan_s", "sequential_s"):
        middle.plot(
            [r["mb"] for r in results["recovery"]],
            [r[key] for r in results["recovery"]],
            "o-",
            label=key[:-2],
        )
    middle.set_title("seconds to open a store of so many MB")
    middle.legend()
    shares = results["hits"]
    at = range(len(shares))
    right.bar([i - 0.2 for i in at], [row["objects"] for row in shares.values()], 0.38, label="objects")
    right.bar([i + 0.2 for i in at], [row["bytes"] for row in shares.values()], 0.38, label="bytes")
    right.set_xticks(list(at), [name.replace("_", "\n") for name in shares], fontsize=7)
    right.set_title("hit share, generated week")
    right.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main():
    """Run the benchmark with the command-line options."""
    options = kept.parse_options()
    short, results = options.short, {}
    with tempfile.TemporaryDirectory(prefix="store-") as name:
        folder = Path(name)
        results["io"] = measure_io(folder, 1500 if short else 6000)
        results["recovery"] = measure_recovery(folder, (32, 64, 128) if short else (128, 512, 1024))
        results["memory"] = measure_memory(200_000 if short else 1_000_000)
        results["hits"] = measure_hit_shares(5, 60_000 if short else 600_000, (60 if short else 150) * MB)
        results["cleaning"] = measure_cleaning(folder, 4000 if short else 20000)
        seconds = 4.0 if short else 10.0
        results["town"] = {
            kind: asyncio.run(measure_service_after_kill(folder / kind, kind == "with_disk", 6, seconds))
            for kind in ("with_disk", "memory_alone")
        }
    kept.finish(results, options.keep, chart)


if __name__ == "__main__":
    main()
