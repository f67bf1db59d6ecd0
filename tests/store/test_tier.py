"""Tests of the disk tier against a simple model.

What the tier serves must be byte-exact, must not match a known purge, and must need revalidation after a restart.
This must hold through crashes at every file operation, lost and torn writes, flipped bits and I/O errors.
"""

import errno
import itertools
import random
import struct
from collections import Counter

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from xxhash import xxh3_64_intdigest

from brookhinge.store.copies import CHUNK_BYTES, Copy, key_of
from brookhinge.store.disk_tier import DiskTier
from brookhinge.store.errors import FolderInUseError, StoreUnusableError
from brookhinge.store.files import Files
from brookhinge.store.purge_ledger import Purge, PurgeKind
from tests.store.simfiles import Crash, SimFiles

KEYS = [(b"%016x" % n, part) for n in range(3) for part in range(2)]
SIZES = (700, CHUNK_BYTES, CHUNK_BYTES + 9, 3 * CHUNK_BYTES + 100)
LIMIT, SEGMENT = 12 * 5 * CHUNK_BYTES, 5 * CHUNK_BYTES


def body_of(key, version, size):
    return random.Random(f"{key}{version}").randbytes(size)


class SimulatedTier:
    """A disk tier on simulated files, with a model of what was written and purged."""

    def __init__(self, seed):
        self.files = SimFiles(random.Random(seed))
        self.now, self.versions, self.purges, self.pending = 1000.0, {}, {}, {}
        self.log_events = []
        self.tier = self.make_tier()
        self.tier.open()

    def make_tier(self):
        return DiskTier(
            self.files,
            LIMIT,
            SEGMENT,
            log_event=lambda event, **values: self.log_events.append((event, values)),
        )

    def put(self, key, size, rank=1):
        self.now += 1
        tag = b"t%d" % self.now
        body = body_of(key, tag, size)
        self.versions[key, tag] = body
        return self.tier.write(
            Copy(key[0], key[1], tag, self.now, key[0][-1] % 2, rank, size, body), bypass_admission=True
        )

    def purge(self, kind, name):
        self.now += 1
        self.pending = {(kind, name): self.now}  # after a crash it may be in effect or not
        self.tier.purge(Purge(kind, name, self.now))
        self.purges[kind, name], self.pending = self.now, {}

    def reopen(self, crash=True):
        if crash:
            self.files.crash()
        else:
            self.tier.close()
        self.tier = self.make_tier()
        report = self.tier.open()
        return report

    def read_checked(self, key, start=0, stop=None):
        """Read a part and check it against the model; return its tag and needs_revalidation, or None."""
        found = self.tier.read(*key, start, stop)
        if found is None:
            return None
        body = self.versions[key, found.tag]
        assert found.body == body[start:stop], (key, found.tag)
        assert found.size == len(body)
        assert found.dated > max(
            self.purges.get((PurgeKind.OBJECT, key[0]), 0),
            self.purges.get((PurgeKind.GROUP, key[0][-1] % 2), 0),
        )
        return found.tag, found.needs_revalidation

    def read_all_checked(self):
        return {key: self.read_checked(key) for key in KEYS}


class TierStateMachine(RuleBasedStateMachine):
    """Long random sequences of operations."""

    @initialize(seed=st.integers(0, 1 << 30))
    def begin(self, seed):
        self.sim = SimulatedTier(seed)

    @rule(key=st.sampled_from(KEYS), size=st.sampled_from(SIZES), rank=st.integers(0, 3))
    def put(self, key, size, rank):
        self.sim.put(key, size, rank)

    @rule(
        key=st.sampled_from(KEYS),
        start=st.integers(0, 2 * CHUNK_BYTES),
        length=st.integers(1, 2 * CHUNK_BYTES),
    )
    def get(self, key, start, length):
        found_in_index = self.sim.tier.lookup(*key)
        if found_in_index and start < found_in_index.size:
            self.sim.read_checked(key, start, min(found_in_index.size, start + length))

    @rule(key=st.sampled_from(KEYS))
    def purge_object(self, key):
        self.sim.purge(PurgeKind.OBJECT, key[0])

    @rule(group=st.integers(0, 1))
    def purge_group(self, group):
        self.sim.purge(PurgeKind.GROUP, group)

    @rule(key=st.sampled_from(KEYS))
    def revalidate(self, key):
        found = self.sim.tier.read(*key)
        if found:
            self.sim.now += 1
            assert self.sim.tier.mark_revalidated(*key, found.tag, found.size, self.sim.now)
            assert not self.sim.tier.read(*key).needs_revalidation
            assert not self.sim.tier.mark_revalidated(*key, b"another", found.size, self.sim.now)

    @rule()
    def snapshot(self):
        self.sim.tier.snapshot()

    @rule()
    def sync(self):
        self.sim.tier.sync()

    @rule()
    def require_revalidation(self):
        self.sim.tier.require_revalidation()
        assert all(
            needs_revalidation for _, needs_revalidation in filter(None, self.sim.read_all_checked().values())
        )

    @rule(crash=st.booleans())
    def reopen(self, crash):
        self.sim.reopen(crash)
        assert all(
            needs_revalidation for _, needs_revalidation in filter(None, self.sim.read_all_checked().values())
        )

    @invariant()
    def accounting(self):
        if hasattr(self, "sim"):
            check_accounting(self.sim.tier)


def check_accounting(tier):
    """Check that the index is consistent and that the segments stay within the size limit."""
    index = tier.index
    live_bytes, bytes_by_rank, parts = Counter(), Counter(), 0
    for rank in range(4):
        for entry in index.victims(rank):
            if index.rank[entry] == rank:
                parts += 1
                assert index.find(index.key[entry]) == entry
                for extent in index.chain_of(entry):
                    live_bytes[index.segment[extent]] += index.record_bytes[extent]
                    bytes_by_rank[rank] += index.record_bytes[extent]
    assert parts == index.parts and [bytes_by_rank[r] for r in range(4)] == index.bytes_by_rank
    assert all(live_bytes[n] == index.live_bytes.get(n, 0) for n in set(live_bytes) | set(index.live_bytes))
    assert sum(s.size for s in tier.segments.values()) <= tier.limit_bytes


TestTierStateMachine = TierStateMachine.TestCase
TestTierStateMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

A, B = KEYS[0], KEYS[2]
OPERATIONS = {
    "put A": lambda sim: sim.put(A, 700),
    "put A'": lambda sim: sim.put(A, CHUNK_BYTES + 9),
    "put B": lambda sim: sim.put(B, 3 * CHUNK_BYTES),
    "purge A": lambda sim: sim.purge(PurgeKind.OBJECT, A[0]),
    "purge 0": lambda sim: sim.purge(PurgeKind.GROUP, A[0][-1] % 2),
    "snapshot": lambda sim: sim.tier.snapshot(),
    "sync": lambda sim: sim.tier.sync(),
    "crash": lambda sim: sim.reopen(),
}


def test_all_sequences_of_four_operations_survive_a_crash():
    """Runs all 4096 sequences of four operations out of eight, each followed by a crash."""
    for i, operations in enumerate(itertools.product(OPERATIONS, repeat=4)):
        sim = SimulatedTier(i)
        for operation in operations:
            OPERATIONS[operation](sim)
            sim.read_all_checked()
        sim.reopen()
        sim.read_all_checked()


def test_crash_during_any_file_operation_is_recovered():
    def run_scenario(sim):
        for i in range(3):
            for key in KEYS:
                sim.put(key, SIZES[(i + key[1]) % 4], rank=i % 4)
            sim.purge(PurgeKind.OBJECT, KEYS[i][0])
            sim.tier.snapshot()
        for _ in range(14):
            sim.put(KEYS[5], 3 * CHUNK_BYTES + 100)
        sim.purge(PurgeKind.GROUP, 1)

    sim = SimulatedTier(0)
    begin = sim.files.calls
    run_scenario(sim)
    assert sim.tier.counters.cleaned > 0
    for point in range(begin + 1, sim.files.calls):
        sim = SimulatedTier(point)
        sim.files.crash_at_call = point
        with pytest.raises(Crash):
            run_scenario(sim)
        sim.reopen()
        assert all(
            needs_revalidation for _, needs_revalidation in filter(None, sim.read_all_checked().values())
        )
        sim.put(A, 700)
        assert sim.read_checked(A) is not None
        # Crash again during the recovery from the first crash.
        sim.files.crash_at_call = sim.files.calls + 3 + point % 9
        try:
            sim.reopen(crash=False)
        except Crash:
            pass
        sim.reopen()
        sim.read_all_checked()


@pytest.mark.parametrize("name", ["s-00000001.seg", "index-00000001.snap", "purges.log", "store"])
def test_flipped_bit_is_never_served(name):
    rng, served = random.Random(name), 0
    for _ in range(120):
        sim = SimulatedTier(rng.random())
        for key in KEYS[:4]:
            sim.put(key, 900)
        sim.purge(PurgeKind.OBJECT, KEYS[2][0])
        sim.tier.close()
        data = sim.files.inodes[name].data
        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        sim.tier = sim.make_tier()
        try:
            sim.tier.open()
        except StoreUnusableError:
            assert name == "store"
            continue
        except Exception as raised:
            raise AssertionError(f"{name}: {raised!r}")
        served += sum(tag is not None for tag in sim.read_all_checked().values())
        sim.put(A, 900)
        assert sim.read_checked(A)
    assert served > 0 or name in ("store", "purges.log")


def test_damaged_record_does_not_affect_its_neighbors():
    sim = SimulatedTier(1)
    for key in KEYS:
        sim.put(key, 900)
    segment = sim.tier.segments[1]
    index = sim.tier.index
    places = {key: index.byte_offset(index.find(key_of(*key))) for key in KEYS}
    sim.tier.sync()
    sim.files.inodes["s-00000001.seg"].data[places[KEYS[2]] + 5] ^= 255  # damages the record header
    sim.files.inodes["s-00000001.seg"].data[places[KEYS[4]] + 500] ^= 255  # damages the record body
    assert [sim.read_checked(key) is None for key in KEYS] == [False, False, True, False, True, False]
    assert sim.tier.counters.damaged == 2 and segment.number in sim.tier.suspects
    assert sim.tier.verify_suspect() == (1, 0) and sim.tier.suspects == set()
    report = sim.reopen(crash=False)
    assert report.parts == 4
    sim.files.inodes.pop("index-00000001.snap")
    assert sim.reopen(crash=True).parts == 4


def test_stored_ranges_are_served_and_missing_ranges_are_reported():
    tier = SimulatedTier(0).tier
    body = random.Random(5).randbytes(3 * CHUNK_BYTES + 100)

    def write_chunks(first, end, tag=b"v1", dated=5.0):
        piece = body[first * CHUNK_BYTES : end * CHUNK_BYTES]
        tier.write(
            Copy(b"o", 0, tag, dated, 0, 1, len(body), piece, first * CHUNK_BYTES), bypass_admission=True
        )

    write_chunks(1, 2)
    found_in_index = tier.lookup(b"o", 0)
    assert found_in_index.missing(0, len(body)) == [(0, CHUNK_BYTES), (2 * CHUNK_BYTES, len(body))]
    assert (
        tier.read(b"o", 0, CHUNK_BYTES + 5, CHUNK_BYTES + 90).body == body[CHUNK_BYTES + 5 : CHUNK_BYTES + 90]
    )
    assert tier.read(b"o", 0, 0, 10) is None and tier.read(b"o", 0) is None
    write_chunks(2, 4)
    write_chunks(0, 1)
    assert tier.read(b"o", 0).body == body and tier.read(b"o", 0, 60000, 140000).body == body[60000:140000]
    write_chunks(0, 1, b"v2", 6.0)  # another version replaces all chunks of the first
    assert tier.lookup(b"o", 0).missing(0, len(body)) == [(CHUNK_BYTES, len(body))]
    write_chunks(1, 4, b"v1", 5.0)  # an older version that arrives later is ignored
    assert tier.lookup(b"o", 0).chunks == 1
    write_chunks(0, 4, b"v2", 6.0)
    assert tier.read(b"o", 0).body == body and tier.index.entries == 1
    check_accounting(tier)


def test_copy_does_not_evict_parts_of_higher_rank():
    sim = SimulatedTier(0)
    for i in range(6):
        sim.put((b"high%d" % i, 0), 3 * CHUNK_BYTES, rank=3)
    before = [sim.tier.lookup(b"high%d" % i, 0) is not None for i in range(6)]
    for i in range(30):
        sim.put((b"low%d" % i, 0), 3 * CHUNK_BYTES, rank=0)
    assert [sim.tier.lookup(b"high%d" % i, 0) is not None for i in range(6)] == before
    sim.put((b"mid", 0), 3 * CHUNK_BYTES, rank=2)
    assert sim.tier.lookup(b"mid", 0) and sim.tier.counters.evicted > 0
    check_accounting(sim.tier)


@pytest.mark.parametrize(
    "call, error",
    [
        ("write", errno.ENOSPC),
        ("write", errno.EIO),
        ("sync", errno.EIO),
        ("create", errno.EACCES),
        ("sync_folder", errno.EIO),
        ("rename", errno.EIO),
    ],
)
def test_disk_error_loses_only_records_that_were_not_durable(call, error):
    sim = SimulatedTier(3)
    sim.put(A, 900)
    sim.tier.sync()
    sim.put(B, 900)
    sim.files.errors = {call: error}
    for attempt in (lambda: sim.put(KEYS[1], 4 * CHUNK_BYTES), sim.tier.sync, sim.tier.snapshot):
        try:
            attempt()
        except OSError as raised:
            assert raised.errno == error
    sim.files.errors = {}
    assert sim.read_checked(A)
    if call == "sync":  # the failed sync may have lost B; a later successful sync does not bring it back
        assert sim.read_checked(B) is None
    sim.tier.probe()
    sim.put(KEYS[3], 900)
    sim.tier.sync()
    sim.tier.snapshot()
    sim.reopen()
    assert sim.read_checked(A) and sim.read_checked(KEYS[3])


def test_short_write_is_not_served_as_a_record():
    sim = SimulatedTier(4)
    sim.put(A, 900)
    sim.files.short_write_bytes = 500
    with pytest.raises(OSError):
        sim.put(B, 900)
    sim.files.short_write_bytes = None
    assert sim.read_checked(B) is None
    sim.put(KEYS[4], 900)
    assert sim.tier.segments.keys() == {1, 2} and sim.read_checked(KEYS[4])
    sim.tier.sync()
    sim.reopen()
    assert sim.read_checked(A) and sim.read_checked(B) is None and sim.read_checked(KEYS[4])


def test_purge_that_fails_to_sync_raises_but_takes_effect():
    sim = SimulatedTier(5)
    sim.put(A, 900)
    sim.files.errors = {"sync": errno.EIO}
    with pytest.raises(OSError):
        sim.tier.purge(Purge(PurgeKind.OBJECT, A[0], sim.now + 1))
    assert sim.read_checked(A) is None
    sim.files.errors = {}
    sim.tier.probe()  # rewrites the ledger, so that the purge is durable
    sim.reopen()
    assert sim.read_checked(A) is None and sim.tier.ledger.objects


def test_ledger_is_bounded_and_keeps_all_purges_in_effect():
    sim = SimulatedTier(6)
    sim.tier.ledger.max_objects = 8
    for i in range(20):
        sim.tier.purge(Purge(PurgeKind.OBJECT, b"o%d" % i, 100.0 + i))
    ledger = sim.tier.ledger
    assert len(ledger.objects) <= 8 and all(ledger.is_purged(b"o%d" % i, 0, 100.0 + i) for i in range(20))
    assert not ledger.is_purged(b"o19", 0, 119.5)
    sim.reopen()
    assert all(sim.tier.ledger.is_purged(b"o%d" % i, 0, 100.0 + i) for i in range(20))


def test_damaged_purge_record_drops_all_stored_parts():
    sim = SimulatedTier(7)
    sim.put(A, 900)
    sim.purge(PurgeKind.OBJECT, B[0])
    sim.purge(PurgeKind.OBJECT, KEYS[4][0])
    sim.tier.sync()
    data = sim.files.inodes["purges.log"].data
    data[32 + 20] ^= 255
    sim.files.inodes["purges.log"].durable[:] = data
    sim.reopen()
    assert sim.log_events[0][0] == "ledger damaged" and sim.read_checked(A) is None


def test_folder_in_use_or_unidentified_or_of_another_version_is_rejected(tmp_path):
    first, second = (
        DiskTier(Files(tmp_path / "s"), LIMIT, SEGMENT),
        DiskTier(Files(tmp_path / "s"), LIMIT, SEGMENT),
    )
    first.open()
    with pytest.raises(FolderInUseError, match="in use by process"):
        second.open()
    first.write(Copy(b"o", 0, b"t", 1.0, 0, 1, 5, b"hello"), bypass_admission=True)
    first.close()
    second.open()
    assert second.read(b"o", 0).body == b"hello"
    second.close()
    path = tmp_path / "s" / "store"
    header = bytearray(path.read_bytes())
    header[4:6] = struct.pack("<H", 9)
    fixed = bytes(header[:-8])
    path.write_bytes(fixed + struct.pack("<Q", xxh3_64_intdigest(fixed)))
    before = sorted(p.name for p in (tmp_path / "s").iterdir())
    with pytest.raises(StoreUnusableError, match="version 9, expected 1"):
        first.open()
    assert sorted(p.name for p in (tmp_path / "s").iterdir()) == before
    path.unlink()
    with pytest.raises(StoreUnusableError, match="without the file 'store'"):
        first.open()


def test_records_of_another_store_or_location_are_rejected(tmp_path):
    for name in ("a", "b"):
        tier = DiskTier(Files(tmp_path / name), LIMIT, SEGMENT)
        tier.open()
        for n in range(4):
            body = name.encode() * 500
            tier.write(Copy(b"o%d" % n, 0, b"t", 1.0, 0, 1, len(body), body), bypass_admission=True)
        tier.close()
    segment_a = (tmp_path / "a" / "s-00000001.seg").read_bytes()
    segment_b = (tmp_path / "b" / "s-00000001.seg").read_bytes()
    length = (len(segment_b) - 32) // 4
    # The second record comes from the other store, and the third is a copy of the first.
    forged = (
        segment_a[: 32 + length]
        + segment_b[32 + length : 32 + 2 * length]
        + segment_a[32 : 32 + length]
        + segment_a[32 + 3 * length :]
    )
    (tmp_path / "a" / "s-00000001.seg").write_bytes(forged)
    for snapshot in (tmp_path / "a").glob("*.snap"):
        snapshot.unlink()
    tier = DiskTier(Files(tmp_path / "a"), LIMIT, SEGMENT)
    assert tier.open().damaged == 1
    assert [tier.read(b"o%d" % n, 0) is not None for n in range(4)] == [True, False, False, True]
    tier.close()
    (tmp_path / "a" / "s-00000001.seg").write_bytes(segment_b)
    tier.open()
    assert [tier.read(b"o%d" % n, 0) for n in range(4)] == [None] * 4
    tier.close()
