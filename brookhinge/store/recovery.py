"""Startup recovery: reads the ledger, the latest usable index snapshot, and the records written after it."""

import secrets
import struct
from dataclasses import asdict, dataclass

from brookhinge.store.copies import key_of, version_of
from brookhinge.store.errors import DamagedError, StoreUnusableError, UnsupportedVersionError
from brookhinge.store.file_format import (
    FILE_HEADER_BYTES,
    FileKind,
    decode_file_header,
    encode_file_header,
)
from brookhinge.store.files import TEMPORARY_SUFFIX, read_file, write_file_atomically
from brookhinge.store.folder_layout import (
    LEDGER_FILE,
    STORE_FILE,
    segment_name,
    segment_numbers,
    snapshot_name,
    snapshot_numbers,
)
from brookhinge.store.index import Extent, Index
from brookhinge.store.index_snapshot import decode_snapshot
from brookhinge.store.purge_ledger_file import PurgeLedgerFile
from brookhinge.store.record_format import RECORD_ALIGN_BYTES
from brookhinge.store.segment import ScannedRecord, Segment, SegmentScan, open_segment
from brookhinge.store.tier_state import TierState


@dataclass(slots=True)
class RecoveryReport:
    """Result of a recovery. The field names appear in the log event `disk on`."""

    pictures: int = 0  # number of the index snapshot that was loaded, 0 if none
    segments: int = 0
    scanned_bytes: int = 0
    damaged: int = 0  # damaged places in segments, and skipped files
    purges: int = 0
    parts: int = 0
    bytes: int = 0  # size of the live records

    def log_values(self) -> dict[str, int]:
        """Return the report as the values of a log event."""
        return asdict(self)


class Recovery:
    """Restores the state of a tier from its folder. Each instance is used for one recovery."""

    def __init__(self, state: TierState, ledger_file: PurgeLedgerFile) -> None:
        self._state = state
        self._ledger_file = ledger_file
        self._report = RecoveryReport()

    def run(self) -> RecoveryReport:
        """Recover the state. All recovered copies need revalidation before they are served.

        Raises:
            StoreUnusableError: The folder is not a store, or is in an unsupported version of the format.
        """
        state = self._state
        names = state.files.names()
        state.reset()
        self._identify_store(names)
        for name in names:
            if name.endswith(TEMPORARY_SUFFIX):
                state.files.remove(name)
        ledger_is_damaged = self._read_ledger(names)
        covered_bytes = self._read_snapshot(names)
        self._read_segments(names, covered_bytes)
        state.epoch += 1
        if ledger_is_damaged:  # any copy may have been purged by the unreadable records
            state.index.drop_all()
        self._ledger_file.rewrite()
        self._report.parts = state.index.parts
        self._report.bytes = state.live_bytes()
        return self._report

    def _identify_store(self, names: list[str]) -> None:
        state = self._state
        if STORE_FILE not in names:
            if segment_numbers(names):
                raise StoreUnusableError(
                    "segments without the file 'store': can't tell which store they belong to"
                )
            header = encode_file_header(FileKind.STORE, secrets.randbits(63), 0)
            write_file_atomically(state.files, STORE_FILE, [header])
        try:
            state.store_id = decode_file_header(FileKind.STORE, read_file(state.files, STORE_FILE)).store_id
        except UnsupportedVersionError as error:
            raise StoreUnusableError(f"file 'store': {error}") from None
        except DamagedError as error:
            raise StoreUnusableError(f"file 'store': {error}") from None

    def _read_ledger(self, names: list[str]) -> bool:
        """Replay the ledger; return whether it has unreadable bytes."""
        if LEDGER_FILE not in names:
            return False
        result = self._ledger_file.replay()
        self._report.purges = result.records
        if result.unreadable_bytes:
            self._state.log_event("ledger damaged", bytes=result.unreadable_bytes)
        return result.unreadable_bytes > 0

    def _read_snapshot(self, names: list[str]) -> dict[int, int]:
        """Load the index from the latest usable snapshot; return how many bytes of each segment it covers."""
        state = self._state
        numbers = snapshot_numbers(names)
        state.next_snapshot = max(numbers, default=0) + 1
        for number in reversed(numbers):
            name = snapshot_name(number)
            try:
                snapshot = decode_snapshot(read_file(state.files, name), state.store_id)
            except (DamagedError, UnsupportedVersionError, OSError, struct.error) as error:
                state.log_event("picture skipped", name=name, why=str(error))
                self._report.damaged += 1
                continue
            state.last_serial = snapshot.last_serial
            state.index = snapshot.index
            state.epoch = max(state.index.epoch, default=0) + 1
            self._report.pictures = number
            return snapshot.covered_bytes
        state.index = Index()
        return {}

    def _read_segments(self, names: list[str], covered_bytes: dict[int, int]) -> None:
        state = self._state
        numbers = segment_numbers(names)
        state.next_segment = max([*numbers, *covered_bytes], default=0) + 1
        for number in numbers:
            self._open_segment(number)
        truncated = {
            number
            for number, segment in state.segments.items()
            if covered_bytes.get(number, 0) > segment.size
        }
        lost = {number for number in covered_bytes if number not in state.segments} | truncated
        if lost:
            state.index.drop_segments(lost)
        for number, segment in state.segments.items():
            self._report.segments += 1
            self._scan_uncovered(segment, 0 if number in lost else covered_bytes.get(number, 0))

    def _open_segment(self, number: int) -> None:
        state = self._state
        name = segment_name(number)
        try:
            state.segments[number] = open_segment(state.files, state.store_id, number)
        except (DamagedError, UnsupportedVersionError) as error:
            state.log_event("segment skipped", name=name, why=str(error))
            self._report.damaged += 1
            # Without a valid file header no record in it was ever acknowledged.
            state.files.remove(name)

    def _scan_uncovered(self, segment: Segment, covered: int) -> None:
        """Add the records after the first `covered` bytes of a segment to the index."""
        state = self._state
        start = max(covered, FILE_HEADER_BYTES)
        if segment.size <= start:
            return
        scan = SegmentScan(state.files, state.store_id, segment, start)
        for record in scan:
            self._index_record(segment.number, record)
        self._report.scanned_bytes += segment.size - covered
        self._report.damaged += scan.damaged_places

    def _index_record(self, segment: int, record: ScannedRecord) -> None:
        state = self._state
        header = record.header
        state.last_serial = max(state.last_serial, header.serial)
        if state.ledger.is_purged(header.object, header.group, header.dated):
            return
        state.index.add(
            Extent(
                key=key_of(header.object, header.part),
                version=version_of(header.tag, header.dated, header.size),
                segment=segment,
                aligned_offset=record.offset // RECORD_ALIGN_BYTES,
                record_bytes=header.record_bytes,
                part_bytes=header.size,
                dated=header.dated,
                epoch=state.epoch,
                first_chunk=header.first_chunk,
                chunk_count=len(header.checksums),
                group=header.group,
                rank=header.rank,
            )
        )
