"""Segment files and the sequential scan over their records."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from brookhinge.store.errors import DamagedError
from brookhinge.store.file_format import FILE_HEADER_BYTES, FileKind, decode_file_header
from brookhinge.store.files import Files
from brookhinge.store.folder_layout import segment_name
from brookhinge.store.record_format import (
    RECORD_ALIGN_BYTES,
    RECORD_HEADER_BYTES,
    RECORD_MAGIC,
    RecordHeader,
    declared_record_bytes,
    decode_record_header,
    location_seed,
    verify_chunks,
)

_SCAN_WINDOW_BYTES = 4 * 1024 * 1024


@dataclass(slots=True, eq=False)
class Segment:
    """An open segment file."""

    number: int
    handle: int
    size: int  # bytes written
    synced_size: int  # bytes that are durable
    readers: int = 0  # reads in progress; the handle of a removed segment is closed after the last one
    is_removed: bool = False


class ScannedRecord(NamedTuple):
    """An intact record found by a scan."""

    offset: int
    header: RecordHeader
    body: memoryview


def open_segment(files: Files, store_id: int, number: int) -> Segment:
    """Open a segment file for reading.

    Raises:
        DamagedError: The file header is damaged, or belongs to another store or segment number.
        UnsupportedVersionError: The file is in an unsupported version of the format.
    """
    handle = files.open(segment_name(number))
    try:
        header = decode_file_header(FileKind.SEGMENT, files.read(handle, 0, FILE_HEADER_BYTES))
        if header != (store_id, number):
            raise DamagedError("segment header: store id or segment number does not match")
    except BaseException:
        files.close(handle)
        raise
    size = files.size(handle)
    return Segment(number, handle, size=size, synced_size=size)


class SegmentScan:
    """Iterates over the intact records of a segment and skips damaged places between them.

    Attributes:
        whole_records: Number of intact records found so far.
        damaged_places: Number of damaged places found so far; adjacent damaged records count as one.
    """

    def __init__(self, files: Files, store_id: int, segment: Segment, start: int = FILE_HEADER_BYTES) -> None:
        self.whole_records = 0
        self.damaged_places = 0
        self._files = files
        self._store_id = store_id
        self._segment = segment
        self._size = segment.size
        self._offset = start
        self._window = b""
        self._window_offset = start

    def __iter__(self) -> Iterator[ScannedRecord]:
        in_damaged_place = False
        while self._offset + RECORD_HEADER_BYTES <= self._size:
            position = self._read_window(RECORD_HEADER_BYTES)
            if len(self._window) - position < RECORD_HEADER_BYTES:
                break
            record = self._decode_record(position)
            if record is not None:
                yield record
                self.whole_records += 1
                self._offset += record.header.record_bytes
                in_damaged_place = False
                continue
            if not in_damaged_place:
                self.damaged_places += 1
            in_damaged_place = True
            self._skip_to_next_magic()

    def _read_window(self, needed: int) -> int:
        """Make the window hold `needed` bytes from the current offset, or fewer if the file ends before.

        Returns:
            The position of the current offset in the window.
        """
        if self._offset - self._window_offset + needed > len(self._window):
            wanted = min(max(_SCAN_WINDOW_BYTES, needed), self._size - self._offset)
            self._window = self._files.read(self._segment.handle, self._offset, wanted)
            self._window_offset = self._offset
        return self._offset - self._window_offset

    def _decode_record(self, position: int) -> ScannedRecord | None:
        needed = declared_record_bytes(self._window, position)
        if not RECORD_HEADER_BYTES <= needed <= self._size - self._offset:
            return None
        position = self._read_window(needed)
        seed = location_seed(self._store_id, self._segment.number, self._offset)
        try:
            header = decode_record_header(self._window, seed, position)
            body_at = position + header.body_offset
            body = memoryview(self._window)[body_at : body_at + header.body_bytes]
            if len(body) < header.body_bytes:
                return None
            verify_chunks(header.checksums, body)
        except DamagedError:
            return None
        return ScannedRecord(self._offset, header, body)

    def _skip_to_next_magic(self) -> None:
        window = self._window
        base = self._window_offset
        found = window.find(RECORD_MAGIC, self._offset - base + 1)
        while found >= 0 and (base + found) % RECORD_ALIGN_BYTES:
            found = window.find(RECORD_MAGIC, found + 1)
        if found >= 0:
            self._offset = base + found
            return
        # The magic number may straddle the end of the window.
        last_start = base + len(window) - len(RECORD_MAGIC) + 1
        aligned = last_start // RECORD_ALIGN_BYTES * RECORD_ALIGN_BYTES
        self._offset = max(self._offset + RECORD_ALIGN_BYTES, aligned)
