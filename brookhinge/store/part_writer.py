"""Writes copies to the log: admission, eviction and the choice of the segment."""

from collections.abc import Callable, Iterable, Iterator

from brookhinge.store import cleaning
from brookhinge.store.admission import Victim
from brookhinge.store.cleaner import Cleaner
from brookhinge.store.copies import CHUNK_BYTES, Copy, chunk_count, key_of, validate_copy, version_of
from brookhinge.store.file_format import FILE_HEADER_BYTES
from brookhinge.store.index import Extent
from brookhinge.store.record_format import (
    RECORD_ALIGN_BYTES,
    chunk_checksums,
    encode_record,
    location_seed,
    record_bytes,
)
from brookhinge.store.segment import Segment
from brookhinge.store.segment_writer import SegmentWriter
from brookhinge.store.tier_state import TierState

AdmissionCheck = Callable[[int, int, int, Iterable[Victim]], bool]  # admits(key, size, free, victims)

_MAX_CLEANED_PER_RECORD = 4


class PartWriter:
    """Write path of a disk tier.

    Attributes:
        admits: Admission check for copies that do not bypass admission; None admits all of them.
        max_live_bytes: Limit for the bytes of live records.
    """

    def __init__(
        self, state: TierState, writer: SegmentWriter, cleaner: Cleaner, admits: AdmissionCheck | None
    ) -> None:
        self._state = state
        self._writer = writer
        self._cleaner = cleaner
        self.admits = admits
        self.max_live_bytes = cleaning.max_live_bytes(state.limit_bytes, state.segment_bytes)

    def write(self, copy: Copy, bypass_admission: bool = False, epoch: int | None = None) -> bool:
        """Store a copy if it is admitted and space can be made for it.

        Args:
            copy: Bytes of a part.
            bypass_admission: Whether to skip the admission check.
            epoch: Epoch of the tier in which the copy was obtained; None for the current one. A copy from an
                earlier epoch needs revalidation.

        Returns:
            Whether the copy was written.

        Raises:
            ValueError: A field of the copy is out of range.
            OSError: The disk failed. An incomplete record is never served.
        """
        validate_copy(copy)
        state = self._state
        key = key_of(copy.object, copy.part)
        length = record_bytes(len(copy.object), len(copy.tag), chunk_count(len(copy.body)), len(copy.body))
        if length > state.segment_bytes - FILE_HEADER_BYTES:
            state.counters.kept_out += 1
            return False
        with state.write_lock:
            with state.lock:
                if state.ledger.is_purged(copy.object, copy.group, copy.dated):
                    return False
                admitted = bypass_admission or self._is_admitted(key, length, copy.rank)
                if not admitted or not self._evict_for(key, length, copy.rank):
                    state.counters.kept_out += 1
                    return False
            segment = self._segment_for(length)
            if segment is None:
                state.counters.kept_out += 1
                return False
            self._append(copy, key, length, segment, state.epoch if epoch is None else epoch)
            return True

    def _is_admitted(self, key: int, length: int, rank: int) -> bool:
        if not self.admits:
            return True
        free = self.max_live_bytes - self._state.live_bytes()
        return self.admits(key, length, free, self._victims(key, rank))

    def _victims(self, key: int, rank: int) -> Iterator[Victim]:
        """Yield the parts that may be evicted for a copy of this rank, except the part itself."""
        index = self._state.index
        for entry in index.victims(rank):
            if index.key[entry] != key:
                yield Victim(index.key[entry], index.chain_bytes(entry))

    def _evict_for(self, key: int, length: int, rank: int) -> bool:
        """Evict parts until a record of `length` bytes fits; return False and evict nothing if it can't."""
        state = self._state
        index = state.index
        excess = state.live_bytes() + length - self.max_live_bytes
        if excess <= 0:
            return True
        evicted = []
        for entry in index.victims(rank):
            if excess <= 0:
                break
            if index.key[entry] != key:
                evicted.append(entry)
                excess -= index.chain_bytes(entry)
        if excess > 0:
            return False
        for entry in evicted:
            index.drop(entry)
        state.counters.evicted += len(evicted)
        return True

    def _segment_for(self, length: int) -> Segment | None:
        """Return a segment with space for a record, or None if there is no space for a new segment."""
        writer = self._writer
        if writer.has_space(length):
            return writer.active
        writer.seal()
        for _ in range(_MAX_CLEANED_PER_RECORD):
            if not self._cleaner.clean_if_needed():
                break
        if writer.has_space(length):  # cleaning has started a new segment
            return writer.active
        if self._state.disk_bytes() + length > self._state.limit_bytes:
            return None
        return writer.begin_segment()

    def _append(self, copy: Copy, key: int, length: int, segment: Segment, epoch: int) -> None:
        state = self._state
        serial = state.next_serial()
        seed = location_seed(state.store_id, segment.number, segment.size)
        checksums = chunk_checksums(copy.body)
        offset = self._writer.append(segment, encode_record(copy, serial, seed, checksums), length)
        with state.lock:
            # A purge received during the write did not find this copy in the index.
            if not state.ledger.is_purged(copy.object, copy.group, copy.dated):
                state.index.add(
                    Extent(
                        key=key,
                        version=version_of(copy.tag, copy.dated, copy.size),
                        segment=segment.number,
                        aligned_offset=offset // RECORD_ALIGN_BYTES,
                        record_bytes=length,
                        part_bytes=copy.size,
                        dated=copy.dated,
                        epoch=epoch,
                        first_chunk=copy.start // CHUNK_BYTES,
                        chunk_count=len(checksums),
                        group=copy.group,
                        rank=copy.rank,
                    )
                )
            state.counters.written += 1
            state.counters.written_bytes += length
