"""Records of the segment files as bytes. No I/O; docs/design/store.md has the format to the byte.

A record holds a run of a part's chunks: a header, whose checksum also covers where the record stands (store,
segment, offset), and the bytes, each chunk of which has a checksum in the header.
"""

import struct
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from brookhinge.store.copies import CHUNK_BYTES, Copy
from brookhinge.store.errors import DamagedError

RECORD_ALIGN_BYTES = 16
RECORD_MAGIC = b"BKRC"
_HEADER = struct.Struct("<4sBBBBHHHHIIIIdQQ")  # see _FixedFields
RECORD_HEADER_BYTES = _HEADER.size
_CHECKSUM_OFFSET = _HEADER.size - 8
_EXTENT_KIND = 1
_SEGMENT_MIX = 0x9E3779B97F4A7C15
_OFFSET_MIX = 0xC2B2AE3D27D4EB4F
_UINT64_MASK = (1 << 64) - 1


class _FixedFields(NamedTuple):
    """The fields at the beginning of every header; object, tag and checksums of the chunks follow."""

    magic: bytes
    kind: int
    rank: int
    zero1: int
    object_bytes: int
    tag_bytes: int
    first_chunk: int
    chunks: int
    group: int
    part: int
    size: int
    body_bytes: int
    zero2: int
    dated: float
    serial: int
    checksum: int


class RecordHeader(NamedTuple):
    """The verified header of a record."""

    object: bytes
    part: int
    tag: bytes
    dated: float
    group: int
    rank: int
    size: int  # bytes of the whole part
    first_chunk: int
    checksums: tuple[int, ...]  # of each chunk
    body_offset: int  # from the beginning of the record
    body_bytes: int
    serial: int
    record_bytes: int


def location_seed(store_id: int, segment: int, offset: int) -> int:
    """Seed of the header's checksum, so that a record is rejected anywhere but where it was written."""
    return (store_id ^ segment * _SEGMENT_MIX ^ offset * _OFFSET_MIX) & _UINT64_MASK


def record_bytes(object_bytes: int, tag_bytes: int, chunks: int, body_bytes: int) -> int:
    """Bytes of a record on disk, with the padding up to the next aligned offset."""
    unpadded = RECORD_HEADER_BYTES + object_bytes + tag_bytes + 8 * chunks + body_bytes
    return -(-unpadded // RECORD_ALIGN_BYTES) * RECORD_ALIGN_BYTES


def chunk_checksums(body: bytes | memoryview) -> list[int]:
    """The checksum of each chunk of a body."""
    view = memoryview(body)
    return [xxh3_64_intdigest(view[at : at + CHUNK_BYTES]) for at in range(0, len(view), CHUNK_BYTES)]


def encode_record(copy: Copy, serial: int, seed: int, checksums: list[int] | tuple[int, ...]) -> list[bytes]:
    """The buffers of a record; the body is passed through uncopied."""
    chunks = len(checksums)
    variable = copy.object + copy.tag + struct.pack(f"<{chunks}Q", *checksums)
    fields = _FixedFields(
        magic=RECORD_MAGIC,
        kind=_EXTENT_KIND,
        rank=copy.rank,
        zero1=0,
        object_bytes=len(copy.object),
        tag_bytes=len(copy.tag),
        first_chunk=copy.start // CHUNK_BYTES,
        chunks=chunks,
        group=copy.group,
        part=copy.part,
        size=copy.size,
        body_bytes=len(copy.body),
        zero2=0,
        dated=copy.dated,
        serial=serial,
        checksum=0,
    )
    fixed = _HEADER.pack(*fields)[:_CHECKSUM_OFFSET]
    checksum = xxh3_64_intdigest(fixed + variable, seed=seed)
    length = record_bytes(len(copy.object), len(copy.tag), chunks, len(copy.body))
    padding = b"\0" * (length - RECORD_HEADER_BYTES - len(variable) - len(copy.body))
    return [fixed + struct.pack("<Q", checksum) + variable, copy.body, padding]


def decode_record_header(data: bytes | memoryview, seed: int, at: int = 0) -> RecordHeader:
    """Read the header of the record at `at`.

    Raises:
        DamagedError: There is no record that was written at this location.
    """
    if len(data) - at < RECORD_HEADER_BYTES:
        raise DamagedError("a head that is cut off")
    fixed = _FixedFields._make(_HEADER.unpack_from(data, at))
    if fixed.magic != RECORD_MAGIC or fixed.kind != _EXTENT_KIND:
        raise DamagedError("no record")
    object_at = at + RECORD_HEADER_BYTES
    tag_at = object_at + fixed.object_bytes
    checksums_at = tag_at + fixed.tag_bytes
    body_at = checksums_at + 8 * fixed.chunks
    if len(data) < body_at:
        raise DamagedError("a head that is cut off")
    checked = bytes(data[at : at + _CHECKSUM_OFFSET]) + bytes(data[object_at:body_at])
    if xxh3_64_intdigest(checked, seed=seed) != fixed.checksum:
        raise DamagedError("a head that does not fit its check")
    return RecordHeader(
        bytes(data[object_at:tag_at]),
        fixed.part,
        bytes(data[tag_at:checksums_at]),
        fixed.dated,
        fixed.group,
        fixed.rank,
        fixed.size,
        fixed.first_chunk,
        struct.unpack_from(f"<{fixed.chunks}Q", data, checksums_at),
        body_at - at,
        fixed.body_bytes,
        fixed.serial,
        record_bytes(fixed.object_bytes, fixed.tag_bytes, fixed.chunks, fixed.body_bytes),
    )


def declared_record_bytes(data: bytes | memoryview, at: int) -> int:
    """The length of a record as its unverified header states it; 0 where no record begins."""
    if data[at : at + 4] != RECORD_MAGIC:
        return 0
    fixed = _FixedFields._make(_HEADER.unpack_from(data, at))
    return record_bytes(fixed.object_bytes, fixed.tag_bytes, fixed.chunks, fixed.body_bytes)


def verify_chunks(checksums: tuple[int, ...], body: bytes | memoryview, first: int = 0) -> None:
    """Compare each chunk of `body` with the checksums from entry `first` on.

    Raises:
        DamagedError: A chunk does not match.
    """
    view = memoryview(body)
    for entry, at in enumerate(range(0, len(view), CHUNK_BYTES), first):
        if xxh3_64_intdigest(view[at : at + CHUNK_BYTES]) != checksums[entry]:
            raise DamagedError("a chunk that does not fit its check")
