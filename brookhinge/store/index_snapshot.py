"""File format of index snapshots. Startup loads the latest one and the records written after it. No I/O.

    file header (number: of the snapshot) | counters | per segment: number, bytes covered, bytes of live
    records | the arrays of the index as in memory | checksum of everything before it

The arrays have the layout of a little-endian machine with a four-byte `I`. Any other machine treats the file
as damaged and scans the segments instead.
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

# Last serial number, number of segments, counters of the index, two reserved.
_COUNTERS = struct.Struct(f"<{2 + DUMP_COUNTERS + 2}Q")
_SEGMENT_ROW = struct.Struct("<QQQ")
_CHECKSUM = struct.Struct("<Q")
_ARRAYS_ARE_PORTABLE = sys.byteorder == "little" and array("I").itemsize == 4


class IndexSnapshot(NamedTuple):
    """Decoded content of a snapshot file."""

    number: int
    last_serial: int  # highest serial number of the records that the snapshot covers
    covered_bytes: dict[int, int]  # by segment; records beyond these bytes were written later
    index: Index


def encode_snapshot(
    store_id: int,
    number: int,
    last_serial: int,
    covered_bytes: dict[int, int],
    live_bytes: dict[int, int],
    dump: IndexDump,
) -> list[bytes]:
    """Encode a snapshot file as a list of buffers."""
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
    """Decode a snapshot file.

    Raises:
        DamagedError: The file is damaged, belongs to another store, or can't be loaded on this machine.
        UnsupportedVersionError: The file is in an unsupported version of the format.
    """
    if not _ARRAYS_ARE_PORTABLE:
        raise DamagedError("index snapshot: needs a little-endian machine with 4-byte integers")
    header = decode_file_header(FileKind.INDEX_SNAPSHOT, data)
    if header.store_id != store_id:
        raise DamagedError("index snapshot: belongs to another store")
    checksum = xxh3_64(memoryview(data)[: -_CHECKSUM.size]).intdigest()
    if (
        len(data) < FILE_HEADER_BYTES + _COUNTERS.size + _CHECKSUM.size
        or _CHECKSUM.unpack_from(data, len(data) - _CHECKSUM.size)[0] != checksum
    ):
        raise DamagedError("index snapshot: checksum mismatch")
    last_serial, segments, *counters = _COUNTERS.unpack_from(data, FILE_HEADER_BYTES)
    counters = counters[:DUMP_COUNTERS]
    rows_at = FILE_HEADER_BYTES + _COUNTERS.size
    arrays_at = rows_at + segments * _SEGMENT_ROW.size
    if len(data) != arrays_at + Index.dump_bytes(counters) + _CHECKSUM.size:
        raise DamagedError("index snapshot: file size does not match its counters")
    index = Index.load(counters, data, arrays_at)
    covered_bytes = {}
    for segment, covered, live in _SEGMENT_ROW.iter_unpack(data[rows_at:arrays_at]):
        covered_bytes[segment] = covered
        index.live_bytes[segment] = live
    return IndexSnapshot(header.number, last_serial, covered_bytes, index)
