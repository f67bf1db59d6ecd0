"""Looks up parts in the index, and reads and verifies their bytes from the segments."""

from typing import NamedTuple

from brookhinge.store.copies import CHUNK_BYTES, LookupResult, ReadResult, chunk_count, key_of
from brookhinge.store.errors import DamagedError
from brookhinge.store.index import NONE
from brookhinge.store.record_format import (
    RecordHeader,
    decode_record_header,
    location_seed,
    verify_chunks,
)
from brookhinge.store.segment import Segment
from brookhinge.store.tier_state import TierState

_HEADER_READ_BYTES = 4096  # enough for the header of any record with up to about 300 chunks


class _ExtentRange(NamedTuple):
    """Range [start, stop) of the body of a record that a read needs."""

    segment: Segment
    offset: int
    record_bytes: int
    start: int
    stop: int


class _ExtentBytes(NamedTuple):
    header: RecordHeader
    body: bytes | memoryview
    start: int  # offset of `body` in the body of the record


class _ReadPlan(NamedTuple):
    dated: float
    group: int
    rank: int
    size: int
    needs_revalidation: bool
    ranges: list[_ExtentRange]


class PartReader:
    """Read path of a disk tier. All methods are thread-safe."""

    def __init__(self, state: TierState) -> None:
        self._state = state

    def lookup(self, object_: bytes, part: int) -> LookupResult | None:
        """Return the metadata of a part without disk I/O; None if it is not stored or was purged."""
        state = self._state
        with state.lock:
            entry = self._find_unpurged(object_, part)
            if entry is None:
                return None
            index = state.index
            return LookupResult(
                index.dated[entry],
                index.group[entry],
                index.rank[entry],
                index.part_bytes[entry],
                index.epoch[entry] != state.epoch,
                index.stored_chunks(entry),
            )

    def read(self, object_: bytes, part: int, start: int = 0, stop: int | None = None) -> ReadResult | None:
        """Return the verified bytes [start, stop) of a part, or None if not all of them are stored.

        Damaged bytes are a miss: the damage is counted and logged, the part is dropped, and the segments read
        are marked for verification.

        Raises:
            OSError: The disk failed.
        """
        plan = self._plan_read(object_, part, start, stop)
        if plan is None:
            return None
        try:
            return self._read_planned(object_, part, start, plan)
        except DamagedError as error:
            self._report_damage(object_, part, plan, error)
            return None
        finally:
            with self._state.lock:
                for extent in plan.ranges:
                    self._state.release(extent.segment)

    def _find_unpurged(self, object_: bytes, part: int) -> int | None:
        """Return the first entry of a part; drops a purged part. The caller holds the lock."""
        index = self._state.index
        entry = index.find(key_of(object_, part))
        if entry is None:
            return None
        if self._state.ledger.is_purged(object_, index.group[entry], index.dated[entry]):
            index.drop(entry)
            return None
        return entry

    def _plan_read(self, object_: bytes, part: int, start: int, stop: int | None) -> _ReadPlan | None:
        """Find the records that hold a range, and keep their segments open until the read has ended."""
        state = self._state
        with state.lock:
            index = state.index
            entry = self._find_unpurged(object_, part)
            if entry is None:
                return None
            size = index.part_bytes[entry]
            stop = size if stop is None else min(stop, size)
            index.touch(entry)
            ranges = self._extent_ranges(entry, start, stop)
            if ranges is None:
                return None
            for extent in ranges:
                extent.segment.readers += 1
            state.counters.reads += 1
            return _ReadPlan(
                index.dated[entry],
                index.group[entry],
                index.rank[entry],
                size,
                index.epoch[entry] != state.epoch,
                ranges,
            )

    def _extent_ranges(self, entry: int, start: int, stop: int) -> list[_ExtentRange] | None:
        index = self._state.index
        if index.next_extent[entry] == NONE:
            extents = (entry,)
        else:
            extents = sorted(index.chain_of(entry), key=index.first_chunk.__getitem__)
        ranges = []
        at = start
        for extent in extents:
            first_byte = index.first_chunk[extent] * CHUNK_BYTES
            end_byte = min(index.part_bytes[entry], first_byte + index.chunk_count[extent] * CHUNK_BYTES)
            if not (first_byte <= at < end_byte and at < stop):
                continue
            range_stop = min(stop, end_byte)
            ranges.append(
                _ExtentRange(
                    self._state.segments[index.segment[extent]],
                    index.byte_offset(extent),
                    index.record_bytes[extent],
                    at - first_byte,
                    range_stop - first_byte,
                )
            )
            at = range_stop
        if at < stop or start >= stop:
            return None
        return ranges

    def _read_planned(self, object_: bytes, part: int, start: int, plan: _ReadPlan) -> ReadResult:
        slices = []
        tag = None
        for extent in plan.ranges:
            header, body, body_start = self._read_extent(extent)
            if (header.object, header.part, header.size) != (object_, part, plan.size):
                raise DamagedError("record: object, part or size does not match the index")
            if tag not in (None, header.tag):
                raise DamagedError("record: tag differs from the other records of the part")
            tag = header.tag
            slices.append(body[extent.start - body_start : extent.stop - body_start])
        return ReadResult(
            tag,
            plan.dated,
            plan.group,
            plan.rank,
            plan.size,
            b"".join(slices),
            plan.needs_revalidation,
            start,
        )

    def _read_extent(self, extent: _ExtentRange) -> _ExtentBytes:
        """Read and verify the chunks that contain a range of the body of a record."""
        state = self._state
        files = state.files
        first_chunk = extent.start // CHUNK_BYTES
        end_chunk = chunk_count(extent.stop)
        body_start = first_chunk * CHUNK_BYTES
        needed_bytes = (end_chunk - first_chunk) * CHUNK_BYTES
        # Read the whole record if it is small or mostly needed; otherwise read header and chunks separately.
        reads_whole = extent.record_bytes <= 2 * CHUNK_BYTES or needed_bytes * 2 >= extent.record_bytes
        data = files.read(
            extent.segment.handle, extent.offset, extent.record_bytes if reads_whole else _HEADER_READ_BYTES
        )
        header = decode_record_header(
            data, location_seed(state.store_id, extent.segment.number, extent.offset)
        )
        if header.record_bytes != extent.record_bytes or end_chunk > len(header.checksums):
            raise DamagedError("record header: size does not match the index")
        at = header.body_offset + body_start
        size = min(end_chunk * CHUNK_BYTES, header.body_bytes) - body_start
        if reads_whole:
            body = memoryview(data)[at : at + size]
        else:
            body = files.read(extent.segment.handle, extent.offset + at, size)
        if len(body) < size:
            raise DamagedError("record body: truncated")
        verify_chunks(header.checksums, body, first_chunk)
        return _ExtentBytes(header, body, body_start)

    def _report_damage(self, object_: bytes, part: int, plan: _ReadPlan, error: DamagedError) -> None:
        state = self._state
        segments = {extent.segment.number for extent in plan.ranges}
        with state.lock:
            state.counters.damaged += 1
            state.suspects.update(segments)
            entry = state.index.find(key_of(object_, part))
            if entry is not None:
                state.index.drop(entry)
        state.log_event(
            "damaged",
            why=str(error),
            object=object_.decode("latin-1"),
            part=part,
            segments=sorted(segments),
        )
