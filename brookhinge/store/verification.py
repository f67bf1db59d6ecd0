"""Verifies all files of an open disk tier and lists the damaged places."""

from collections.abc import Callable
from typing import NamedTuple

from brookhinge.store.disk_tier import DiskTier
from brookhinge.store.errors import DamagedError, UnsupportedVersionError
from brookhinge.store.file_format import FILE_HEADER_BYTES
from brookhinge.store.files import read_file
from brookhinge.store.folder_layout import LEDGER_FILE, segment_name, snapshot_name, snapshot_numbers
from brookhinge.store.index_snapshot import decode_snapshot
from brookhinge.store.segment import Segment, SegmentScan


class DamagedPlace(NamedTuple):
    """A damaged place in a file. `place` is a byte offset, or "" if the offset is unknown."""

    file: str
    place: int | str
    why: str


class VerificationReport(NamedTuple):
    """Number of intact records, and the damaged places."""

    whole_records: int
    damaged: list[DamagedPlace]


def verify_tier(
    tier: DiskTier, ledger_unreadable_bytes: list[int], on_progress: Callable[[int], None]
) -> VerificationReport:
    """Verify every segment and snapshot.

    Records at the end of the log that were never synced may be torn without any disk fault. They are reported
    as well.

    Args:
        tier: An open tier.
        ledger_unreadable_bytes: Byte counts of the ledger damage events that the tier logged when it was
            opened.
        on_progress: Called after each segment with its size in bytes.
    """
    damaged = [
        DamagedPlace(LEDGER_FILE, "", f"{unreadable} unreadable bytes")
        for unreadable in ledger_unreadable_bytes
    ]
    whole_records = 0
    for number, segment in sorted(tier.segments.items()):
        scan = SegmentScan(tier.files, tier.store_id, segment)
        places = _damaged_offsets(scan, segment)
        whole_records += scan.whole_records
        damaged += [
            DamagedPlace(segment_name(number), place, "no intact record at this offset") for place in places
        ]
        on_progress(segment.size)
    for number in snapshot_numbers(tier.files.names()):
        name = snapshot_name(number)
        try:
            decode_snapshot(read_file(tier.files, name), tier.store_id)
        except (DamagedError, UnsupportedVersionError) as error:
            damaged.append(DamagedPlace(name, "", str(error)))
    return VerificationReport(whole_records, damaged)


def _damaged_offsets(scan: SegmentScan, segment: Segment) -> list[int]:
    """Return the offsets at which an intact record was expected but not found."""
    places = []
    expected = FILE_HEADER_BYTES
    for record in scan:
        if record.offset != expected:
            places.append(expected)
        expected = record.offset + record.header.record_bytes
    if expected < segment.size:
        places.append(expected)
    return places
