"""Appends records to the active segment, creates and seals segments, and syncs them."""

import contextlib

from brookhinge.store.file_format import FILE_HEADER_BYTES, FileKind, encode_file_header
from brookhinge.store.folder_layout import segment_name
from brookhinge.store.segment import Segment
from brookhinge.store.tier_state import TierState


class SegmentWriter:
    """Writer at the end of the log. Callers hold the tier's `write_lock`; only `sync` acquires it itself."""

    def __init__(self, state: TierState) -> None:
        self._state = state
        self.active: Segment | None = None
        self.unsynced_bytes = 0
        self._folder_is_unsynced = False

    def reset(self) -> None:
        """Discard all state, so that there is no active segment."""
        self.active = None
        self.unsynced_bytes = 0
        self._folder_is_unsynced = False

    def has_space(self, needed: int) -> bool:
        """Return whether the active segment has space for a record of `needed` bytes."""
        return self.active is not None and self.active.size + needed <= self._state.segment_bytes

    def begin_segment(self) -> Segment:
        """Create the next segment and make it the active one."""
        state = self._state
        files = state.files
        number = state.next_segment
        state.next_segment += 1
        handle = files.create(segment_name(number))
        try:
            files.write(handle, 0, [encode_file_header(FileKind.SEGMENT, state.store_id, number)])
        except OSError:
            files.close(handle)
            with contextlib.suppress(OSError):
                files.remove(segment_name(number))
            raise
        segment = Segment(number, handle, size=FILE_HEADER_BYTES, synced_size=0)
        with state.lock:
            state.segments[number] = segment
            state.index.live_bytes[number] = 0
        self._folder_is_unsynced = True
        self.active = segment
        return segment

    def append(self, segment: Segment, buffers: list[bytes], length: int) -> int:
        """Append a record to the active segment.

        Returns:
            The offset of the record in the segment.

        Raises:
            OSError: The write failed. The content at the end of the segment is now unknown, so the segment
                takes no more records.
        """
        offset = segment.size
        try:
            self._state.files.write(segment.handle, offset, buffers)
        except OSError:
            segment.size = max(segment.size, FILE_HEADER_BYTES)
            self.active = None
            raise
        segment.size += length
        self.unsynced_bytes += length
        return offset

    def seal(self) -> None:
        """Sync the active segment, which then takes no more records."""
        if self.active is not None:
            self.sync()
            self.active = None

    def sync(self) -> None:
        """Make all appended records durable.

        Raises:
            OSError: A sync failed, and the unsynced records of that segment were dropped from the index. Any
                of them may be lost, and a second sync would not report that.
        """
        state = self._state
        with state.write_lock:
            for segment in [s for s in state.segments.values() if s.synced_size < s.size]:
                size = segment.size
                try:
                    state.files.sync(segment.handle)
                    if self._folder_is_unsynced:
                        state.files.sync_folder()
                        self._folder_is_unsynced = False
                except OSError:
                    self._drop_unsynced(segment)
                    raise
                segment.synced_size = size
            self.unsynced_bytes = 0

    def _drop_unsynced(self, segment: Segment) -> None:
        index = self._state.index
        with self._state.lock:
            for entry in index.entries_of_segment(segment.number):
                # Dropping an earlier entry may already have dropped this one.
                is_indexed = index.segment[entry] == segment.number
                if is_indexed and index.byte_offset(entry) >= segment.synced_size:
                    index.drop_extent(entry)
            segment.synced_size = segment.size
            if self.active is segment:
                self.active = None
