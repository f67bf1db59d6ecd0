"""Cleans segments by copying their live records to the end of the log, and verifies damaged segments."""

from typing import NamedTuple

from brookhinge.store import cleaning
from brookhinge.store.copies import CHUNK_BYTES, Copy, key_of
from brookhinge.store.folder_layout import segment_name
from brookhinge.store.record_format import encode_record, location_seed
from brookhinge.store.segment import ScannedRecord, Segment, SegmentScan
from brookhinge.store.segment_writer import SegmentWriter
from brookhinge.store.tier_state import TierState


class VerifiedSegment(NamedTuple):
    """Number of a segment that was verified, and how many of its records were dropped."""

    number: int
    dropped: int


class Cleaner:
    """Segment cleaner of a disk tier."""

    def __init__(self, state: TierState, writer: SegmentWriter) -> None:
        self._state = state
        self._writer = writer

    def clean_if_needed(self) -> bool:
        """Free one segment if there is no space for two more; return whether one was freed."""
        state = self._state
        with state.write_lock:
            with state.lock:
                active = self._writer.active
                number = cleaning.choose_segment(
                    {number: segment.size for number, segment in state.segments.items()},
                    state.index.live_bytes,
                    active.number if active else None,
                    state.limit_bytes,
                    state.segment_bytes,
                )
                if number is None:
                    return False
                segment = state.segments[number]
            self.clean_segment(segment)
            return True

    def clean_segment(self, segment: Segment) -> None:
        """Copy the live records of a segment to the end of the log, and remove the segment."""
        state = self._state
        with state.write_lock:
            if state.index.live_bytes.get(segment.number, 0):
                for record in SegmentScan(state.files, state.store_id, segment):
                    self._copy_if_live(segment, record)
                if self._writer.active is not None:
                    self._writer.sync()  # copies must be durable before the originals are removed
            self._remove_segment(segment)
            state.counters.cleaned += 1

    def _copy_if_live(self, segment: Segment, record: ScannedRecord) -> None:
        state = self._state
        index = state.index
        header = record.header
        key = key_of(header.object, header.part)
        with state.lock:
            entry = index.entry_at(key, segment.number, record.offset)
            if entry is None:
                return
            # Without a tag, the version is derived from the date in the record, which must not change.
            dated = index.dated[entry] if header.tag else header.dated
            rank = index.rank[entry]
            if state.ledger.is_purged(header.object, header.group, dated):
                index.drop_extent(entry)
                return
        if not self._writer.has_space(header.record_bytes):
            self._writer.seal()
            self._writer.begin_segment()
        target = self._writer.active
        copy = Copy(
            object=header.object,
            part=header.part,
            tag=header.tag,
            dated=dated,
            group=header.group,
            rank=rank,
            size=header.size,
            body=record.body,
            start=header.first_chunk * CHUNK_BYTES,
        )
        serial = state.next_serial()
        seed = location_seed(state.store_id, target.number, target.size)
        buffers = encode_record(copy, serial, seed, header.checksums)
        offset = self._writer.append(target, buffers, header.record_bytes)
        state.counters.copied_bytes += header.record_bytes
        with state.lock:
            # The record may have been dropped or replaced during the write.
            entry = index.entry_at(key, segment.number, record.offset)
            if entry is not None:
                index.move(entry, target.number, offset)

    def _remove_segment(self, segment: Segment) -> None:
        state = self._state
        with state.lock:
            if state.index.live_bytes.get(segment.number):  # records that were damaged and not copied
                state.counters.damaged += self._drop_entries(
                    segment, state.index.entries_of_segment(segment.number)
                )
            state.segments.pop(segment.number, None)
            state.index.live_bytes.pop(segment.number, None)
            state.suspects.discard(segment.number)
            if self._writer.active is segment:
                self._writer.active = None
            segment.is_removed = True
            if not segment.readers:
                state.files.close(segment.handle)
        state.files.remove(segment_name(segment.number))

    def _drop_entries(self, segment: Segment, entries: list[int]) -> int:
        """Drop entries of a segment that are still in use; return how many were dropped."""
        index = self._state.index
        dropped = 0
        for entry in entries:
            if index.segment[entry] == segment.number:
                index.drop_extent(entry)
                dropped += 1
        return dropped

    def verify_suspect(self) -> VerifiedSegment | None:
        """Verify one segment in which damage was found, and drop its damaged records from the index.

        Returns:
            The result, or None if there is no segment to verify.
        """
        state = self._state
        with state.write_lock:
            with state.lock:
                if not state.suspects:
                    return None
                number = state.suspects.pop()
                segment = state.segments.get(number)
                if segment is None:
                    return VerifiedSegment(number, 0)
                segment.readers += 1
            try:
                intact_offsets = {
                    record.offset for record in SegmentScan(state.files, state.store_id, segment)
                }
            finally:
                with state.lock:
                    state.release(segment)
            with state.lock:
                entries = state.index.entries_of_segment(number)
                damaged = [entry for entry in entries if state.index.byte_offset(entry) not in intact_offsets]
                self._drop_entries(segment, damaged)
            state.log_event("looked over", segment=number, good=len(intact_offsets), dropped=len(damaged))
            return VerifiedSegment(number, len(damaged))
