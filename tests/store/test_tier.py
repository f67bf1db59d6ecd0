"""The disk tier against a plain model: what it serves is byte-exact, never older than a purge taken, and set aside after
a start; through crashes at every write, lost and torn writes, planted damage and a disk that refuses."""

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


class World:
    """A tier on a disk that forgets, and what was done to it."""

    def __init__(self, seed):
        self.files = SimFiles(random.Random(seed))
        self.now, self.versions, self.purges, self.pending = 1000.0, {}, {}, {}
        self.said = []
        self.tier = self.made()
        self.tier.open()

    def made(self):
        return DiskTier(
            self.files, LIMIT, SEGMENT, log_event=lambda event, **values: self.said.append((event, values))
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
        self.pending = {(kind, name): self.now}  # it may be known after a crash, or not
        self.tier.purge(Purge(kind, name, self.now))
        self.purges[kind, name], self.pending = self.now, {}

    def reopen(self, crash=True):
        if crash:
            self.files.crash()
        else:
            self.tier.close()
        self.tier = self.made()
        figures = self.tier.open()
        return figures

    def served(self, key, start=0, stop=None):
        """Checks what is read; its tag, or None."""
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

    def check(self):
        return {key: self.served(key) for key in KEYS}


class Tiers(RuleBasedStateMachine):
    """Long sequences by seed."""

    @initialize(seed=st.integers(0, 1 << 30))
    def begin(self, seed):
        self.world = World(seed)

    @rule(key=st.sampled_from(KEYS), size=st.sampled_from(SIZES), rank=st.integers(0, 3))
    def put(self, key, size, rank):
        self.world.put(key, size, rank)

    @rule(
        key=st.sampled_from(KEYS),
        start=st.integers(0, 2 * CHUNK_BYTES),
        length=st.integers(1, 2 * CHUNK_BYTES),
    )
    def get(self, key, start, length):
        held = self.world.tier.lookup(*key)
        if held and start < held.size:
            self.world.served(key, start, min(held.size, start + length))

    @rule(key=st.sampled_from(KEYS))
    def purge_object(self, key):
        self.world.purge(PurgeKind.OBJECT, key[0])

    @rule(group=st.integers(0, 1))
    def purge_group(self, group):
        self.world.purge(PurgeKind.GROUP, group)

    @rule(key=st.sampled_from(KEYS))
    def renew(self, key):
        found = self.world.tier.read(*key)
        if found:
            self.world.now += 1
            assert self.world.tier.mark_revalidated(*key, found.tag, found.size, self.world.now)
            assert not self.world.tier.read(*key).needs_revalidation
            assert not self.world.tier.mark_revalidated(*key, b"another", found.size, self.world.now)

    @rule()
    def snapshot(self):
        self.world.tier.snapshot()

    @rule()
    def sync(self):
        self.world.tier.sync()

    @rule()
    def miss_purges(self):
        self.world.tier.require_revalidation()
        assert all(aside for _, aside in filter(None, self.world.check().values()))

    @rule(crash=st.booleans())
    def reopen(self, crash):
        self.world.reopen(crash)
        assert all(aside for _, aside in filter(None, self.world.check().values()))

    @invariant()
    def accounts(self):
        if hasattr(self, "world"):
            check_accounts(self.world.tier)


def check_accounts(tier):
    """The index agrees with itself, and no more is on disk than may be."""
    i = tier.index
    live, by_rank, parts = Counter(), Counter(), 0
    for rank in range(4):
        for entry in i.victims(rank):
            if i.rank[entry] == rank:
                parts += 1
                assert i.find(i.key[entry]) == entry
                for e in i.chain_of(entry):
                    live[i.segment[e]] += i.record_bytes[e]
                    by_rank[rank] += i.record_bytes[e]
    assert parts == i.parts and [by_rank[r] for r in range(4)] == i.bytes_by_rank
    assert all(live[n] == i.live_bytes.get(n, 0) for n in set(live) | set(i.live_bytes))
    assert sum(s.size for s in tier.segments.values()) <= tier.limit_bytes


TestTiers = Tiers.TestCase
TestTiers.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

A, B = KEYS[0], KEYS[2]
SHORT = {
    "put A": lambda w: w.put(A, 700),
    "put A'": lambda w: w.put(A, CHUNK_BYTES + 9),
    "put B": lambda w: w.put(B, 3 * CHUNK_BYTES),
    "purge A": lambda w: w.purge(PurgeKind.OBJECT, A[0]),
    "purge 0": lambda w: w.purge(PurgeKind.GROUP, A[0][-1] % 2),
    "snap": lambda w: w.tier.snapshot(),
    "sync": lambda w: w.tier.sync(),
    "crash": lambda w: w.reopen(),
}


def test_all_short_sequences():
    """Four steps of eight kinds, then a crash: 4096 histories."""
    for i, steps in enumerate(itertools.product(SHORT, repeat=4)):
        world = World(i)
        for step in steps:
            SHORT[step](world)
            world.check()
        world.reopen()
        world.check()


def test_every_write_point_is_a_crash_point():
    def scene(world):
        for i in range(3):
            for key in KEYS:
                world.put(key, SIZES[(i + key[1]) % 4], rank=i % 4)
            world.purge(PurgeKind.OBJECT, KEYS[i][0])
            world.tier.snapshot()
        for _ in range(14):
            world.put(KEYS[5], 3 * CHUNK_BYTES + 100)
        world.purge(PurgeKind.GROUP, 1)

    world = World(0)
    begin = world.files.calls
    scene(world)
    assert world.tier.counters.cleaned > 0
    for point in range(begin + 1, world.files.calls):
        world = World(point)
        world.files.stop_at = point
        with pytest.raises(Crash):
            scene(world)
        world.reopen()
        assert all(aside for _, aside in filter(None, world.check().values()))
        world.put(A, 700)
        assert world.served(A) is not None
        # a second crash while the first one is being recovered from
        world.files.stop_at = world.files.calls + 3 + point % 9
        try:
            world.reopen(crash=False)
        except Crash:
            pass
        world.reopen()
        world.check()


@pytest.mark.parametrize("name", ["s-00000001.seg", "index-00000001.snap", "purges.log", "store"])
def test_no_flipped_bit_is_ever_served(name):
    chance, served = random.Random(name), 0
    for _ in range(120):
        world = World(chance.random())
        for key in KEYS[:4]:
            world.put(key, 900)
        world.purge(PurgeKind.OBJECT, KEYS[2][0])
        world.tier.close()
        data = world.files.names_[name].data
        data[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
        world.tier = world.made()
        try:
            world.tier.open()
        except StoreUnusableError:
            assert name == "store"
            continue
        except Exception as fault:
            raise AssertionError(f"{name}: {fault!r}")
        served += sum(tag is not None for tag in world.check().values())
        world.put(A, 900)
        assert world.served(A)
    assert served > 0 or name in ("store", "purges.log")


def test_a_damaged_record_does_not_cost_its_neighbours():
    world = World(1)
    for key in KEYS:
        world.put(key, 900)
    segment = world.tier.segments[1]
    i = world.tier.index
    places = {key: i.byte_offset(i.find(key_of(*key))) for key in KEYS}
    world.tier.sync()
    world.files.names_["s-00000001.seg"].data[places[KEYS[2]] + 5] ^= 255  # its head
    world.files.names_["s-00000001.seg"].data[places[KEYS[4]] + 500] ^= 255  # its bytes
    assert [world.served(key) is None for key in KEYS] == [False, False, True, False, True, False]
    assert world.tier.counters.damaged == 2 and segment.number in world.tier.suspects
    assert world.tier.verify_suspect() == (1, 0) and world.tier.suspects == set()
    figures = world.reopen(crash=False)
    assert figures.parts == 4
    world.files.names_.pop("index-00000001.snap")
    assert world.reopen(crash=True).parts == 4


def test_ranges_are_served_from_what_is_there_and_the_rest_is_named():
    tier = World(0).tier
    body = random.Random(5).randbytes(3 * CHUNK_BYTES + 100)

    def part(first, last, tag=b"v1", dated=5.0):
        piece = body[first * CHUNK_BYTES : last * CHUNK_BYTES]
        tier.write(
            Copy(b"o", 0, tag, dated, 0, 1, len(body), piece, first * CHUNK_BYTES), bypass_admission=True
        )

    part(1, 2)
    held = tier.lookup(b"o", 0)
    assert held.missing(0, len(body)) == [(0, CHUNK_BYTES), (2 * CHUNK_BYTES, len(body))]
    assert (
        tier.read(b"o", 0, CHUNK_BYTES + 5, CHUNK_BYTES + 90).body == body[CHUNK_BYTES + 5 : CHUNK_BYTES + 90]
    )
    assert tier.read(b"o", 0, 0, 10) is None and tier.read(b"o", 0) is None
    part(2, 4)
    part(0, 1)
    assert tier.read(b"o", 0).body == body and tier.read(b"o", 0, 60000, 140000).body == body[60000:140000]
    part(0, 1, b"v2", 6.0)  # another version: nothing of the first is mixed into it
    assert tier.lookup(b"o", 0).missing(0, len(body)) == [(CHUNK_BYTES, len(body))]
    part(1, 4, b"v1", 5.0)  # an older one comes late
    assert tier.lookup(b"o", 0).chunks == 1
    part(0, 4, b"v2", 6.0)
    assert tier.read(b"o", 0).body == body and tier.index.entries == 1
    check_accounts(tier)


def test_nothing_goes_for_a_copy_of_lower_rank():
    world = World(0)
    for i in range(6):
        world.put((b"high%d" % i, 0), 3 * CHUNK_BYTES, rank=3)
    before = [world.tier.lookup(b"high%d" % i, 0) is not None for i in range(6)]
    for i in range(30):
        world.put((b"low%d" % i, 0), 3 * CHUNK_BYTES, rank=0)
    assert [world.tier.lookup(b"high%d" % i, 0) is not None for i in range(6)] == before
    world.put((b"mid", 0), 3 * CHUNK_BYTES, rank=2)
    assert world.tier.lookup(b"mid", 0) and world.tier.counters.evicted > 0
    check_accounts(world.tier)


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
def test_a_disk_that_refuses_costs_no_more_than_what_was_not_durable(call, error):
    world = World(3)
    world.put(A, 900)
    world.tier.sync()
    world.put(B, 900)
    world.files.fail = {call: error}
    for attempt in (lambda: world.put(KEYS[1], 4 * CHUNK_BYTES), world.tier.sync, world.tier.snapshot):
        try:
            attempt()
        except OSError as fault:
            assert fault.errno == error
    world.files.fail = {}
    assert world.served(A)
    if (
        call == "sync"
    ):  # it said that B may be lost: B is not known any more, also if the next sync is said to be good
        assert world.served(B) is None
    world.tier.probe()
    world.put(KEYS[3], 900)
    world.tier.sync()
    world.tier.snapshot()
    world.reopen()
    assert world.served(A) and world.served(KEYS[3])


def test_a_short_write_is_not_a_record():
    world = World(4)
    world.put(A, 900)
    world.files.short = 500
    with pytest.raises(OSError):
        world.put(B, 900)
    world.files.short = None
    assert world.served(B) is None
    world.put(KEYS[4], 900)
    assert world.tier.segments.keys() == {1, 2} and world.served(KEYS[4])
    world.tier.sync()
    world.reopen()
    assert world.served(A) and world.served(B) is None and world.served(KEYS[4])


def test_a_purge_that_is_not_durable_is_not_taken_and_hits_all_the_same():
    world = World(5)
    world.put(A, 900)
    world.files.fail = {"sync": errno.EIO}
    with pytest.raises(OSError):
        world.tier.purge(Purge(PurgeKind.OBJECT, A[0], world.now + 1))
    assert world.served(A) is None
    world.files.fail = {}
    world.tier.probe()  # the ledger is written anew before the disk is trusted again
    world.reopen()
    assert world.served(A) is None and world.tier.ledger.objects


def test_the_ledger_is_bounded_and_forgets_nothing_that_it_was_told():
    world = World(6)
    world.tier.ledger.max_objects = 8
    for i in range(20):
        world.tier.purge(Purge(PurgeKind.OBJECT, b"o%d" % i, 100.0 + i))
    ledger = world.tier.ledger
    assert len(ledger.objects) <= 8 and all(ledger.is_purged(b"o%d" % i, 0, 100.0 + i) for i in range(20))
    assert not ledger.is_purged(b"o19", 0, 119.5)
    world.reopen()
    assert all(world.tier.ledger.is_purged(b"o%d" % i, 0, 100.0 + i) for i in range(20))


def test_a_lost_purge_record_costs_what_is_stored_and_never_serves_it():
    world = World(7)
    world.put(A, 900)
    world.purge(PurgeKind.OBJECT, B[0])
    world.purge(PurgeKind.OBJECT, KEYS[4][0])
    world.tier.sync()
    data = world.files.names_["purges.log"].data
    data[32 + 20] ^= 255
    world.files.names_["purges.log"].durable[:] = data
    world.reopen()
    assert world.said[0][0] == "ledger damaged" and world.served(A) is None


def test_whose_folder_it_is(tmp_path):
    one, two = (
        DiskTier(Files(tmp_path / "s"), LIMIT, SEGMENT),
        DiskTier(Files(tmp_path / "s"), LIMIT, SEGMENT),
    )
    one.open()
    with pytest.raises(FolderInUseError, match="in use by process"):
        two.open()
    one.write(Copy(b"o", 0, b"t", 1.0, 0, 1, 5, b"hello"), bypass_admission=True)
    one.close()
    two.open()
    assert two.read(b"o", 0).body == b"hello"
    two.close()
    path = tmp_path / "s" / "store"
    raw = bytearray(path.read_bytes())
    raw[4:6] = struct.pack("<H", 9)
    fixed = bytes(raw[:-8])
    path.write_bytes(fixed + struct.pack("<Q", xxh3_64_intdigest(fixed)))
    before = sorted(p.name for p in (tmp_path / "s").iterdir())
    with pytest.raises(StoreUnusableError, match="version 9, expected 1"):
        one.open()
    assert sorted(p.name for p in (tmp_path / "s").iterdir()) == before
    path.unlink()
    with pytest.raises(StoreUnusableError, match="without the file 'store'"):
        one.open()


def test_records_of_another_store_or_place_are_not_taken(tmp_path):
    for name in ("a", "b"):
        tier = DiskTier(Files(tmp_path / name), LIMIT, SEGMENT)
        tier.open()
        for n in range(4):
            body = name.encode() * 500
            tier.write(Copy(b"o%d" % n, 0, b"t", 1.0, 0, 1, len(body), body), bypass_admission=True)
        tier.close()
    mixed = (tmp_path / "a" / "s-00000001.seg").read_bytes()
    other = (tmp_path / "b" / "s-00000001.seg").read_bytes()
    length = (len(other) - 32) // 4
    # the second record comes from the other store, the third is the first one again
    forged = (
        mixed[: 32 + length]
        + other[32 + length : 32 + 2 * length]
        + mixed[32 : 32 + length]
        + mixed[32 + 3 * length :]
    )
    (tmp_path / "a" / "s-00000001.seg").write_bytes(forged)
    for snap in (tmp_path / "a").glob("*.snap"):
        snap.unlink()
    tier = DiskTier(Files(tmp_path / "a"), LIMIT, SEGMENT)
    assert tier.open().damaged == 1
    assert [tier.read(b"o%d" % n, 0) is not None for n in range(4)] == [True, False, False, True]
    tier.close()
    (tmp_path / "a" / "s-00000001.seg").write_bytes(other)
    tier.open()
    assert [tier.read(b"o%d" % n, 0) for n in range(4)] == [None] * 4
    tier.close()
