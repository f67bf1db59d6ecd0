"""Pictures of the index as files: a start reads the last one and the records that came after it. No I/O.

    head (32 bytes, number = serial of the picture) | 19 figures | segments: (number, bytes covered, bytes alive) each
    | the index's arrays as they stand in memory | check of all that

The arrays are those of a little-endian machine with four-byte `I`; another machine takes the file for damaged and reads
the segments instead."""

import struct
import sys
from array import array

from xxhash import xxh3_64

from brookhinge.store.index import FIELDS, Index
from brookhinge.store.records import FILE_HEAD, PICTURE, Damaged, file_head, read_file_head

FIGURES = struct.Struct("<21Q")
COVERED = struct.Struct("<QQQ")
FITS = sys.byteorder == "little" and array("I").itemsize == 4


def encode(store, number, serial, covered, live, picture):
    """Buffers of the file. covered: {segment: bytes}; picture: Index.picture()."""
    figures, arrays = picture
    rows = b"".join(COVERED.pack(n, size, live.get(n, 0)) for n, size in sorted(covered.items()))
    buffers = [
        file_head(PICTURE, store, number),
        FIGURES.pack(serial, len(covered), *figures, 0, 0),
        rows,
        *arrays,
    ]
    check = xxh3_64()
    for part in buffers:
        check.update(part)
    return buffers + [struct.pack("<Q", check.intdigest())]


def decode(data, store):
    """(number, serial, covered, index) of a file; Damaged if it can't be relied on."""
    if not FITS:
        raise Damaged("a picture of another kind of machine")
    whose, number = read_file_head(PICTURE, data)
    if whose != store:
        raise Damaged("a picture of another store")
    check = xxh3_64(memoryview(data)[:-8]).intdigest()
    if (
        len(data) < FILE_HEAD.size + FIGURES.size + 8
        or struct.unpack_from("<Q", data, len(data) - 8)[0] != check
    ):
        raise Damaged("a picture that does not fit its check")
    serial, segments, *figures = FIGURES.unpack_from(data, FILE_HEAD.size)
    figures = figures[:17]
    at = FILE_HEAD.size + FIGURES.size
    rows = [COVERED.unpack_from(data, at + COVERED.size * i) for i in range(segments)]
    at += COVERED.size * segments
    widths = sum(array(kind).itemsize for _, kind in FIELDS)
    if len(data) != at + figures[0] * widths + 4 * figures[1] + 8:
        raise Damaged("a picture of another length")
    index = Index.from_picture(figures, data, at)
    index.live = {n: live for n, _, live in rows}
    return number, serial, {n: size for n, size, _ in rows}, index
