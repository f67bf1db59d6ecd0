"""Tests of the two-tier store and of its policies.

A disk that fails or stalls must not delay responses, and must be used again after a successful probe. Admission,
disk health, cleaning and eviction order are tested on their own.
"""

import asyncio
import errno
import random
import threading
import time
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brookhinge.store.admission import AdmissionPolicy, FrequencySketch, Victim
from brookhinge.store.cleaning import MAX_LIVE_SHARE, choose_segment, max_live_bytes
from brookhinge.store.copies import CHUNK_BYTES, Copy, ReadResult, key_of
from brookhinge.store.disk_supervisor import DiskTimings
from brookhinge.store.disk_tier import DiskTier
from brookhinge.store.health import DiskHealth, FaultKind
from brookhinge.store.memory_tier import OVERHEAD_BYTES, MemoryTier
from brookhinge.store.store import Store
from tests.store.simfiles import SimFiles

NEVER_S = 3600.0  # longer than any test runs


def index_key(value):
    return key_of(b"%d" % value, 0)


def make_copy(name, size=900, dated=5.0, rank=1, group=3, tag=b"t"):
    return Copy(name, 0, tag, dated, group, rank, size, random.Random(name).randbytes(size))


def run_scenario(scenario, files=None, memory=1 << 20, snapshot_s=0.05):
    """Run scenario(store, files, log) on a store with a small disk; return its result."""
    files, log = files or SimFiles(random.Random(1)), []

    def log_event(event, **values):
        log.append(event + (f" {values['why'].split(':')[0]}" if "why" in values else ""))

    async def run():
        disk = DiskTier(files, 60 * CHUNK_BYTES, 5 * CHUNK_BYTES, log_event=log_event)
        store = Store(
            memory,
            disk,
            log_event=log_event,
            timings=DiskTimings(stall_s=NEVER_S, sync_s=0.02, snapshot_s=snapshot_s),
            health=DiskHealth(first_pause_s=0.1),
        )
        await store.start()
        await store.opened
        try:
            return await scenario(store, files, log)
        finally:
            files.delay = None
            await store.close()

    return asyncio.run(run())


async def wait_until(condition, timeout_s=60.0):
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        await asyncio.sleep(0.005)


def test_part_missing_in_memory_is_read_from_disk_and_needs_revalidation_after_restart():
    async def first(store, files, log):
        for n in range(8):
            store.put(make_copy(b"o%d" % n))
        await wait_until(lambda: store.disk.counters.written == 8)
        store.memory.drop((b"o1", 0))
        found = await store.get(b"o1", 0)
        return found.body == make_copy(b"o1").body, found.needs_revalidation, store.counters.disk_hits

    async def second(store, files, log):
        found = await store.get(b"o1", 0)
        assert found.needs_revalidation and await store.get(b"o2", 0)
        fresh = store.mark_revalidated(b"o1", 0, found, 9.0)
        store.memory.drop((b"o1", 0))
        reread = await store.get(b"o1", 0)
        return (
            fresh.needs_revalidation,
            reread.needs_revalidation,
            reread.dated,
            store.mark_revalidated(b"o2", 0, found._replace(dated=9.0), 8.0),
        )

    files = SimFiles(random.Random(1))
    assert run_scenario(first, files) == (True, False, 1)
    assert run_scenario(second, files) == (False, False, 9.0, None)


def test_stalled_disk_is_turned_off_without_delaying_requests_and_recovers():
    async def scenario(store, files, log):
        for n in range(8):
            store.put(make_copy(b"o%d" % n))
        await wait_until(lambda: store.disk.counters.written == 8)
        store.memory.drop((b"o1", 0))
        release = threading.Event()
        files.delay = lambda call: release.wait()
        store.supervisor.stall_s = 0.05
        timed_out = await asyncio.wait_for(store.get(b"o1", 0), 60.0)  # the read is blocked in the disk
        for n in range(2000):  # the write queue is bounded, and nothing is queued while the disk is off
            store.put(make_copy(b"p%d" % n, 3000))
        waiting = store.supervisor.waiting_writes()
        purge = store.purge_object(b"o2", 99.0)
        assert await asyncio.wait_for(purge, 0.1) is False and await store.get(b"o2", 0) is None
        assert await store.get(b"p1999", 0)
        store.supervisor.stall_s, files.delay = NEVER_S, None
        release.set()
        await wait_until(lambda: store.supervisor.health.is_on)
        recovered = await store.get(b"o1", 0)
        return (
            timed_out,
            waiting <= 256,
            recovered.body == make_copy(b"o1").body,
            log[1:3],
            b"o2" in store.disk.ledger.objects,
        )

    assert run_scenario(scenario, memory=1 << 19) == (None, True, True, ["disk off stall", "disk on"], True)


@pytest.mark.parametrize(
    "call, error, why",
    [
        ("write", errno.ENOSPC, "full"),
        ("write", errno.EIO, "write"),
        ("sync", errno.EIO, "sync"),
        ("read", errno.EIO, "read"),
    ],
)
def test_failing_disk_is_turned_off_and_recovers(call, error, why):
    async def scenario(store, files, log):
        for n in range(8):
            store.put(make_copy(b"o%d" % n))
        await wait_until(lambda: store.disk.counters.written == 8 and not store.disk.unsynced_bytes)
        files.errors = {call: error}
        for n in range(4):
            store.memory.drop((b"o%d" % n, 0))
            await store.get(b"o%d" % n, 0)
            store.put(make_copy(b"p%d" % n))
        await wait_until(lambda: not store.supervisor.health.is_on)
        assert await store.get(b"p0", 0)
        outages_before, pause_s = store.supervisor.health.outages, store.supervisor.health.pause_s
        # Probes fail, and the pause doubles each time.
        await wait_until(lambda: store.supervisor.health.outages >= outages_before + 2)
        assert not store.supervisor.health.is_on and store.supervisor.health.pause_s == pause_s * 2 ** (
            store.supervisor.health.outages - outages_before
        )
        files.errors = {}
        await wait_until(lambda: store.supervisor.health.is_on)
        store.put(make_copy(b"q"))
        await wait_until(lambda: store.disk.lookup(b"q", 0))
        return log[1]

    # Without snapshots, because a snapshot might fail first.
    assert run_scenario(scenario, snapshot_s=NEVER_S) == f"disk off {why}"


def test_failed_snapshot_turns_the_disk_off_with_reason_snapshot():
    async def scenario(store, files, log):
        store.put(make_copy(b"o1"))
        await wait_until(lambda: store.disk.counters.written == 1)
        # The segment exists already, so only a snapshot creates a file.
        files.errors = {"create": errno.EIO}
        store.put(make_copy(b"o2"))
        await wait_until(lambda: not store.supervisor.health.is_on)
        files.errors = {}
        await wait_until(lambda: store.supervisor.health.is_on)
        return log[1], bool(store.disk.lookup(b"o2", 0))

    assert run_scenario(scenario) == ("disk off snapshot", True)


def test_acknowledged_purges_survive_a_crash_including_those_received_while_opening():
    files = SimFiles(random.Random(2))

    async def scenario(store, files, log):
        assert await store.purge_object(b"o1", 50.0) is True and await store.purge_group(7, 60.0) is True
        files.errors = {"sync": errno.EIO}
        is_durable = await store.purge_object(b"o2", 70.0)
        purged_copy = await store.get(b"o2", 0)
        files.errors = {}
        await wait_until(lambda: store.supervisor.health.is_on)
        files.crash()
        return is_durable, purged_copy

    async def reopen():
        disk = DiskTier(files, 60 * CHUNK_BYTES, 5 * CHUNK_BYTES)
        store = Store(1 << 20, disk, health=DiskHealth(first_pause_s=0.1))
        files.delay = lambda call: time.sleep(0.005)
        await store.start()
        await asyncio.sleep(0.01)
        assert await store.purge_object(b"o3", 80.0) is True  # resolved only when the probe has ended
        assert store.supervisor.health.is_on
        files.delay = None
        files.crash()
        return files

    assert run_scenario(scenario, files) == (False, None)
    asyncio.run(reopen())
    disk = DiskTier(files, 60 * CHUNK_BYTES, 5 * CHUNK_BYTES)
    disk.open()
    assert disk.ledger.objects == {b"o1": 50.0, b"o2": 70.0, b"o3": 80.0} and disk.ledger.groups == {7: 60.0}


def test_copy_not_dated_after_a_purge_is_dropped_and_rejected():
    async def scenario(store, files, log):
        store.put(make_copy(b"o"))
        await store.purge_group(3, 5.0)
        return (
            await store.get(b"o", 0),
            store.put(make_copy(b"o", dated=5.0)),
            store.put(make_copy(b"o", dated=5.1)),
        )

    assert run_scenario(scenario) == (None, False, True)


def test_require_revalidation_marks_stored_copies_but_not_later_ones():
    async def scenario(store, files, log):
        store.put(make_copy(b"o"))
        store.require_revalidation()
        found = await store.get(b"o", 0)
        assert found.needs_revalidation
        store.put(make_copy(b"p"))
        return (await store.get(b"p", 0)).needs_revalidation

    assert run_scenario(scenario) is False


@pytest.mark.parametrize(
    "invalid", [dict(rank=4), dict(group=257), dict(dated=float("nan")), dict(tag=b"x" * 2000)]
)
def test_copy_with_a_field_out_of_range_is_rejected(invalid):
    async def scenario(store, files, log):
        with pytest.raises(ValueError, match=next(iter(invalid))):
            store.put(make_copy(b"o", **invalid))
        store.put(make_copy(b"o"))
        return (await store.get(b"o", 0)).size

    assert run_scenario(scenario) == 900


@given(st.lists(st.tuples(st.integers(0, 12), st.integers(0, 3), st.integers(1, 900)), max_size=60))
def test_memory_evicts_the_lowest_rank_first_then_the_least_recently_used(puts):
    memory, used = MemoryTier(4000), []
    for name, rank, size in puts:
        before = dict(memory.ranks)
        found = ReadResult(b"", 0.0, 0, rank, size, b"x" * size, False)
        was_stored = memory.put(name, found)
        assert memory.used_bytes == sum(len(f.body) + OVERHEAD_BYTES for _, f in memory.items()) <= 4000
        used = [n for n in used if n != name] + [name]
        evicted = [n for n in before if n not in memory.ranks and n != name]
        assert all(before[n] <= rank for n in evicted)
        for n in evicted:  # every part that stayed has a higher rank or was used later
            assert all(memory.ranks[m] > before[n] or used.index(m) > used.index(n) for m in memory.ranks)
        assert was_stored == (name in memory.ranks)


def test_sketch_never_undercounts_and_forgets_by_aging():
    sketch, true_counts, rng = FrequencySketch(1024), Counter(), random.Random(3)
    for _ in range(4000):
        key = index_key(int(rng.paretovariate(0.8)))
        sketch.count(key)
        true_counts[key] += 1
    assert all(sketch.estimate(key) >= min(15, n) for key, n in true_counts.items())
    overcounted_share = sum(sketch.estimate(key) > n + 1 for key, n in true_counts.items()) / len(true_counts)
    assert overcounted_share < 0.2
    most_frequent = true_counts.most_common(1)[0][0]
    for _ in range(4):
        sketch.age()
    assert sketch.estimate(most_frequent) <= 1


def test_large_part_requested_twice_does_not_evict_many_small_frequent_parts():
    admission = AdmissionPolicy(1024, size_exponent=0.5)
    small = [Victim(index_key(n), 1000) for n in range(100)]
    for key, _ in small:
        for _ in range(3):
            admission.record_use(key)
    large, rare, frequent = index_key(1000), index_key(1001), index_key(1002)
    for key, times in ((large, 2), (rare, 1), (frequent, 9)):
        for _ in range(times):
            admission.record_use(key)
    assert not admission.admits(large, 100_000, 0, iter(small))
    assert not admission.admits(rare, 1000, 0, iter(small))
    assert admission.admits(frequent, 1000, 0, iter(small))
    assert not admission.admits(frequent, 1000, 0, iter([]))  # no victims, so no space
    assert AdmissionPolicy(64, free_share=0.5).admits(rare, 1000, 2500, iter([]))


def test_health_doubles_the_pause_and_tolerates_a_clock_that_steps_back():
    health, states = DiskHealth(first_pause_s=1.0, longest_pause_s=8.0), []
    health.record_recovery(-100.0)
    assert (
        not health.record_fault(1.0, FaultKind.READ, "x")
        and not health.record_fault(2.0, FaultKind.READ, "x")
        and health.record_fault(3.0, FaultKind.READ, "x")
    )
    now = 3.0
    for _ in range(5):
        states.append((health.state, health.pause_s))
        now += health.pause_s
        assert health.is_probe_due(now) and not health.is_probe_due(now - 0.01)
        health.begin_probe()
        health.record_fault(now, FaultKind.WRITE, "x")
    health.begin_probe()
    health.record_recovery(now)
    health.record_fault(now + 1000.0, FaultKind.FULL, "x")
    states.append((health.state, health.pause_s))
    assert states == [("off", 1.0), ("off", 2.0), ("off", 4.0), ("off", 8.0), ("off", 8.0), ("off", 1.0)]
    assert health.is_probe_due(now - 5000.0)


@given(st.integers(4, 60), st.data())
def test_cleaning_chooses_a_segment_within_the_live_share_limit(count, data):
    segment = 1000
    limit = (count + 1) * segment
    sizes = dict.fromkeys(range(count), segment)
    remaining, live = max_live_bytes(limit, segment), {}
    for n in range(count):
        live[n] = data.draw(st.integers(0, min(segment, remaining)))
        remaining -= live[n]
    chosen = choose_segment(sizes, live, count - 1, limit, segment)
    assert chosen is not None and chosen != count - 1
    assert live[chosen] <= MAX_LIVE_SHARE * segment
    assert choose_segment(dict.fromkeys(range(count - 1), segment), live, 0, limit, segment) is None
