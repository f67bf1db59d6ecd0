"""Index of the disk tier: parallel arrays with an open-addressing hash table. No I/O.

With a million parts it takes about 70 bytes per part; a dict of objects takes several times as much
(benchmarks/store.py).

An entry describes an extent, a run of consecutive chunks of a part in one record. The entries of a part all
have the same version and form a linked list, the chain. The first entry of the chain is in the hash table and
in the LRU list of its eviction rank.
"""

from array import array
from collections.abc import Iterator
from typing import NamedTuple

from brookhinge.store.copies import EVICTION_RANKS
from brookhinge.store.record_format import RECORD_ALIGN_BYTES

NONE = 0xFFFFFFFF
_INITIAL_SLOTS = 1024


class Extent(NamedTuple):
    """Index data of one record. The fields match the first columns of the index, in order."""

    key: int
    version: int
    segment: int
    aligned_offset: int  # of the record in its segment, in units of RECORD_ALIGN_BYTES
    record_bytes: int
    part_bytes: int
    dated: float
    epoch: int  # copies from an epoch before the tier's current one need revalidation
    first_chunk: int
    chunk_count: int
    group: int
    rank: int


class IndexDump(NamedTuple):
    """Copy of the raw memory of an index."""

    counters: list[int]
    buffers: list[bytes]


DUMP_COUNTERS = 5 + 3 * EVICTION_RANKS


class Index:
    """Index of the records in use. An entry is identified by its row number in the columns."""

    def __init__(self) -> None:
        self.key = array("Q")
        self.version = array("I")
        self.segment = array("I")  # NONE in a free row
        self.aligned_offset = array("I")
        self.record_bytes = array("I")
        self.part_bytes = array("I")
        self.dated = array("d")
        self.epoch = array("I")
        self.first_chunk = array("H")
        self.chunk_count = array("H")
        self.group = array("H")
        self.rank = array("B")
        self.next_extent = array("I")  # next entry in the chain of the part; in a free row, the next free row
        self.older = array("I")
        self.newer = array("I")
        self.columns = (  # in the order of the snapshot format
            self.key,
            self.version,
            self.segment,
            self.aligned_offset,
            self.record_bytes,
            self.part_bytes,
            self.dated,
            self.epoch,
            self.first_chunk,
            self.chunk_count,
            self.group,
            self.rank,
            self.next_extent,
            self.older,
            self.newer,
        )
        self.slots = array("I", [NONE]) * _INITIAL_SLOTS
        self.first_free_row = NONE
        self.parts = 0
        self.entries = 0
        self.oldest = [NONE] * EVICTION_RANKS
        self.newest = [NONE] * EVICTION_RANKS
        self.bytes_by_rank = [0] * EVICTION_RANKS
        self.live_bytes: dict[int, int] = {}  # bytes of the records in use, by segment

    # Hash table

    def find(self, key: int) -> int | None:
        """Return the first entry of a part, or None if the part is not stored."""
        slots = self.slots
        keys = self.key
        mask = len(slots) - 1
        slot = key & mask
        while (entry := slots[slot]) != NONE:
            if keys[entry] == key:
                return entry
            slot = slot + 1 & mask
        return None

    def _slot_of(self, entry: int) -> int:
        mask = len(self.slots) - 1
        slot = self.key[entry] & mask
        while self.slots[slot] != entry:
            slot = slot + 1 & mask
        return slot

    def _insert_slot(self, entry: int) -> None:
        if 3 * (self.parts + 1) > 2 * len(self.slots):
            self._grow_slots()
        self._fill_slot(entry)
        self.parts += 1

    def _grow_slots(self) -> None:
        old_slots = self.slots
        self.slots = array("I", [NONE]) * (2 * len(old_slots))
        for entry in old_slots:
            if entry != NONE:
                self._fill_slot(entry)

    def _fill_slot(self, entry: int) -> None:
        mask = len(self.slots) - 1
        slot = self.key[entry] & mask
        while self.slots[slot] != NONE:
            slot = slot + 1 & mask
        self.slots[slot] = entry

    def _clear_slot(self, slot: int) -> None:
        """Empty a slot and shift back later entries of its probe sequence, which lookups would miss."""
        slots = self.slots
        keys = self.key
        mask = len(slots) - 1
        probe = slot
        while True:
            probe = probe + 1 & mask
            if slots[probe] == NONE:
                break
            home = keys[slots[probe]] & mask
            if (probe - home & mask) >= (probe - slot & mask):
                slots[slot] = slots[probe]
                slot = probe
        slots[slot] = NONE
        self.parts -= 1

    # LRU lists by rank

    def _link_newest(self, entry: int) -> None:
        rank = self.rank[entry]
        last = self.newest[rank]
        self.older[entry] = last
        self.newer[entry] = NONE
        if last != NONE:
            self.newer[last] = entry
        else:
            self.oldest[rank] = entry
        self.newest[rank] = entry

    def _unlink(self, entry: int) -> None:
        rank = self.rank[entry]
        older = self.older[entry]
        newer = self.newer[entry]
        if older != NONE:
            self.newer[older] = newer
        else:
            self.oldest[rank] = newer
        if newer != NONE:
            self.older[newer] = older
        else:
            self.newest[rank] = older

    def touch(self, entry: int) -> None:
        """Mark a part, given its first entry, as most recently used."""
        if self.newest[self.rank[entry]] != entry:
            self._unlink(entry)
            self._link_newest(entry)

    def _set_rank(self, entry: int, rank: int) -> None:
        old_rank = self.rank[entry]
        if old_rank == rank:
            return
        self._unlink(entry)
        moved = self.chain_bytes(entry)
        self.bytes_by_rank[old_rank] -= moved
        self.bytes_by_rank[rank] += moved
        for extent in self.chain_of(entry):
            self.rank[extent] = rank
        self._link_newest(entry)

    def victims(self, rank: int) -> Iterator[int]:
        """Yield the parts in the order in which they are evicted for a copy of this rank.

        The lowest rank comes first, and within a rank the least recently used part. Parts of a higher rank
        than `rank` are never evicted.
        """
        for victim_rank in range(rank + 1):
            entry = self.oldest[victim_rank]
            while entry != NONE:
                newer = self.newer[entry]
                yield entry
                entry = newer

    # Parts and their extents

    def chain_of(self, entry: int) -> Iterator[int]:
        """Yield the entries of a part from `entry` on."""
        while entry != NONE:
            next_entry = self.next_extent[entry]
            yield entry
            entry = next_entry

    def chain_bytes(self, entry: int) -> int:
        """Return the bytes on disk of the records of a part, given its first entry."""
        return sum(self.record_bytes[extent] for extent in self.chain_of(entry))

    def stored_chunks(self, entry: int) -> int:
        """Return a bit mask of the stored chunks of a part, given its first entry."""
        chunks = 0
        for extent in self.chain_of(entry):
            chunks |= (1 << self.chunk_count[extent]) - 1 << self.first_chunk[extent]
        return chunks

    def add(self, extent: Extent) -> int | None:
        """Add a record to its part.

        A record of a different version replaces the part unless it is older.

        Returns:
            The first entry of the part, or None if the record was not added because it is older than the
            stored version.
        """
        stored = self.find(extent.key)
        if stored is not None and self.version[stored] != extent.version:
            if extent.dated < self.dated[stored]:
                return None
            self.drop(stored)
            stored = None
        entry = self._new_row(extent)
        self.entries += 1
        self.live_bytes[extent.segment] = self.live_bytes.get(extent.segment, 0) + extent.record_bytes
        self.bytes_by_rank[extent.rank] += extent.record_bytes
        if stored is None:
            self._insert_slot(entry)
            self._link_newest(entry)
            return entry
        self._set_rank(stored, extent.rank)
        self._drop_covered(stored, extent.first_chunk, extent.chunk_count)
        first = self.find(extent.key)
        if first is None:  # the new record replaces all stored chunks
            self._insert_slot(entry)
            self._link_newest(entry)
            return entry
        self.next_extent[entry] = self.next_extent[first]
        self.next_extent[first] = entry
        for member in self.chain_of(first):  # all extents of a part have the same date
            self.dated[member] = max(extent.dated, self.dated[member])
            self.epoch[member] = extent.epoch
        return first

    def _new_row(self, extent: Extent) -> int:
        values = (*extent, NONE, NONE, NONE)
        entry = self.first_free_row
        if entry != NONE:
            self.first_free_row = self.next_extent[entry]
            for column, value in zip(self.columns, values, strict=True):
                column[entry] = value
            return entry
        entry = len(self.key)
        for column, value in zip(self.columns, values, strict=True):
            column.append(value)
        return entry

    def _drop_covered(self, entry: int, first_chunk: int, chunk_count: int) -> None:
        end_chunk = first_chunk + chunk_count
        for extent in list(self.chain_of(entry)):
            begin = self.first_chunk[extent]
            if first_chunk <= begin and begin + self.chunk_count[extent] <= end_chunk:
                self.drop_extent(extent)

    def drop(self, entry: int) -> None:
        """Remove a part, given its first entry."""
        self._clear_slot(self._slot_of(entry))
        self._unlink(entry)
        for extent in list(self.chain_of(entry)):
            self._free_row(extent)

    def drop_extent(self, entry: int) -> None:
        """Remove one record of a part; removes the part if this was its last record."""
        first = self.find(self.key[entry])
        if entry == first:
            next_entry = self.next_extent[entry]
            if next_entry == NONE:
                self.drop(entry)
                return
            self._unlink(entry)
            self.slots[self._slot_of(entry)] = next_entry
            self._link_newest(next_entry)
        else:
            previous = next(e for e in self.chain_of(first) if self.next_extent[e] == entry)
            self.next_extent[previous] = self.next_extent[entry]
        self._free_row(entry)

    def _free_row(self, entry: int) -> None:
        segment = self.segment[entry]
        if segment in self.live_bytes:  # not if the segment was removed before its records were dropped
            self.live_bytes[segment] -= self.record_bytes[entry]
        self.bytes_by_rank[self.rank[entry]] -= self.record_bytes[entry]
        self.entries -= 1
        self.segment[entry] = NONE
        self.next_extent[entry] = self.first_free_row
        self.first_free_row = entry

    # Segments

    def byte_offset(self, entry: int) -> int:
        """Return the byte offset of a record in its segment."""
        return self.aligned_offset[entry] * RECORD_ALIGN_BYTES

    def move(self, entry: int, segment: int, offset: int) -> None:
        """Update an entry after its record was copied to byte `offset` of another segment."""
        length = self.record_bytes[entry]
        if self.segment[entry] in self.live_bytes:
            self.live_bytes[self.segment[entry]] -= length
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) + length
        self.segment[entry] = segment
        self.aligned_offset[entry] = offset // RECORD_ALIGN_BYTES

    def entries_of_segment(self, segment: int) -> list[int]:
        """Return the entries whose records are in a segment, ordered by offset."""
        segments = self.segment
        entries = [entry for entry in range(len(segments)) if segments[entry] == segment]
        return sorted(entries, key=self.aligned_offset.__getitem__)

    def entry_at(self, key: int, segment: int, offset: int) -> int | None:
        """Return the entry of the record at a byte offset of a segment, or None if it is not in use."""
        aligned = offset // RECORD_ALIGN_BYTES
        first = self.find(key)
        if first is None:
            return None
        for entry in self.chain_of(first):
            if self.segment[entry] == segment and self.aligned_offset[entry] == aligned:
                return entry
        return None

    def drop_segments(self, numbers: set[int]) -> None:
        """Remove all records of segments that no longer exist."""
        for entry in range(len(self.segment)):
            if self.segment[entry] != NONE and self.segment[entry] in numbers:
                self.drop_extent(entry)
        for number in numbers:
            self.live_bytes.pop(number, None)

    def drop_all(self) -> None:
        """Remove all records. The segments remain known."""
        for entry in range(len(self.segment)):
            if self.segment[entry] != NONE:
                self.drop_extent(entry)

    # Snapshots

    def dump(self) -> IndexDump:
        """Return a copy of the whole index."""
        counters = [
            len(self.key),
            len(self.slots),
            self.first_free_row,
            self.parts,
            self.entries,
            *self.oldest,
            *self.newest,
            *self.bytes_by_rank,
        ]
        return IndexDump(counters, [column.tobytes() for column in (*self.columns, self.slots)])

    @classmethod
    def load(cls, counters: list[int], data: bytes, offset: int) -> "Index":
        """Return the index of a dump whose buffers begin at `offset` in `data`, without its `live_bytes`."""
        index = cls()
        rows, slots, index.first_free_row, index.parts, index.entries = counters[:5]
        ranks = EVICTION_RANKS
        index.oldest = list(counters[5 : 5 + ranks])
        index.newest = list(counters[5 + ranks : 5 + 2 * ranks])
        index.bytes_by_rank = list(counters[5 + 2 * ranks : DUMP_COUNTERS])
        for column in index.columns:
            end = offset + rows * column.itemsize
            column.frombytes(data[offset:end])
            offset = end
        index.slots = array("I")
        index.slots.frombytes(data[offset : offset + slots * index.slots.itemsize])
        return index

    @classmethod
    def dump_bytes(cls, counters: list[int]) -> int:
        """Return the total size in bytes of the buffers of a dump with these counters."""
        rows, slots = counters[:2]
        empty = cls()
        return rows * sum(column.itemsize for column in empty.columns) + slots * empty.slots.itemsize
