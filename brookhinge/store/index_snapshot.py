"""Index snapshots as files: a start reads the last one and the records that were written after it. No I/O.

    file header (number: of the snapshot) | counters | for each segment: number, bytes covered, bytes in use
    | the arrays of the index as they stand in memory | checksum of all that

The arrays are those of a little-endian machine with four-byte `I`. Another machine takes the file for damaged
and reads the segments instead.
"""

import struct
import sys
from array import array
from typing import NamedTuple

from xxhash import xxh3_64

from brookhinge.store.errors import DamagedError
from brookhinge.store.file_format import (
    FILE_HEADER_BYTES,
    FileKind,
    decode_file_header,
    encode_file_header,
)
from brookhinge.store.index import DUMP_COUNTERS, Index, IndexDump

_COUNTERS = struct.Struct(f"<{2 + DUMP_COUNTERS + 2}Q")  # serial, segments, the index's counters, two spare
_SEGMENT_ROW = struct.Struct("<QQQ")
_CHECKSUM = struct.Struct("<Q")
_ARRAYS_ARE_PORTABLE = sys.byteorder == "little" and array("I").itemsize == 4


class IndexSnapshot(NamedTuple):
    """What a snapshot file holds."""

    number: int
    last_serial: int  # of the records it covers
    covered_bytes: dict[int, int]  # by segment; what lies behind them was written later
    index: Index


def encode_snapshot(
    store_id: int,
    number: int,
    last_serial: int,
    covered_bytes: dict[int, int],
    live_bytes: dict[int, int],
    dump: IndexDump,
) -> list[bytes]:
    """The buffers of a snapshot file."""
    rows = [
        _SEGMENT_ROW.pack(segment, size, live_bytes.get(segment, 0))
        for segment, size in sorted(covered_bytes.items())
    ]
    buffers = [
        encode_file_header(FileKind.INDEX_SNAPSHOT, store_id, number),
        _COUNTERS.pack(last_serial, len(covered_bytes), *dump.counters, 0, 0),
        b"".join(rows),
        *dump.buffers,
    ]
    checksum = xxh3_64()
    for buffer in buffers:
        checksum.update(buffer)
    return [*buffers, _CHECKSUM.pack(checksum.intdigest())]


def decode_snapshot(data: bytes, store_id: int) -> IndexSnapshot:
    """Read a snapshot file.

    Raises:
        DamagedError: The file can't be relied on, or belongs to another store or kind of machine.
        UnsupportedVersionError: It is in another version of the format.
    """
    if not _ARRAYS_ARE_PORTABLE:
        raise DamagedError("a picture of another kind of machine")
    header = decode_file_header(FileKind.INDEX_SNAPSHOT, data)
    if header.store_id != store_id:
        raise DamagedError("a picture of another store")
    checksum = xxh3_64(memoryview(data)[: -_CHECKSUM.size]).intdigest()
    if (
        len(data) < FILE_HEADER_BYTES + _COUNTERS.size + _CHECKSUM.size
        or _CHECKSUM.unpack_from(data, len(data) - _CHECKSUM.size)[0] != checksum
    ):
        raise DamagedError("a picture that does not fit its check")
    last_serial, segments, *counters = _COUNTERS.unpack_from(data, FILE_HEADER_BYTES)
    counters = counters[:DUMP_COUNTERS]
    rows_at = FILE_HEADER_BYTES + _COUNTERS.size
    arrays_at = rows_at + segments * _SEGMENT_ROW.size
    if len(data) != arrays_at + Index.dump_bytes(counters) + _CHECKSUM.size:
        raise DamagedError("a picture of another length")
    index = Index.load(counters, data, arrays_at)
    covered_bytes = {}
    for segment, covered, live in _SEGMENT_ROW.iter_unpack(data[rows_at:arrays_at]):
        covered_bytes[segment] = covered
        index.live_bytes[segment] = live
    return IndexSnapshot(header.number, last_serial, covered_bytes, index)
