"""Encoding of the records in segment files; see docs/design/store.md for the format. No I/O.

A record holds an extent, a run of consecutive chunks of a part. It consists of a header and the body bytes.
The checksum of the header is seeded with the location of the record (store, segment, offset), and the header
holds a checksum of each chunk.
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
_SEGMENT_MULTIPLIER = 0x9E3779B97F4A7C15
_OFFSET_MULTIPLIER = 0xC2B2AE3D27D4EB4F
_UINT64_MASK = (1 << 64) - 1


class _FixedFields(NamedTuple):
    """Fixed-size header fields. The object name, the tag and the chunk checksums follow them."""

    magic: bytes
    kind: int
    rank: int
    reserved1: int
    object_bytes: int
    tag_bytes: int
    first_chunk: int
    chunks: int
    group: int
    part: int
    size: int
    body_bytes: int
    reserved2: int
    dated: float
    serial: int
    checksum: int


class RecordHeader(NamedTuple):
    """Decoded header of a record, verified against its checksum."""

    object: bytes
    part: int
    tag: bytes
    dated: float
    group: int
    rank: int
    size: int  # bytes in the whole part
    first_chunk: int
    checksums: tuple[int, ...]  # one per chunk
    body_offset: int  # relative to the start of the record
    body_bytes: int
    serial: int
    record_bytes: int


def location_seed(store_id: int, segment: int, offset: int) -> int:
    """Return the checksum seed for a record header; it makes a record invalid at any other location."""
    return (store_id ^ segment * _SEGMENT_MULTIPLIER ^ offset * _OFFSET_MULTIPLIER) & _UINT64_MASK


def record_bytes(object_bytes: int, tag_bytes: int, chunks: int, body_bytes: int) -> int:
    """Return the size of a record on disk, including the padding to the next aligned offset."""
    unpadded = RECORD_HEADER_BYTES + object_bytes + tag_bytes + 8 * chunks + body_bytes
    return -(-unpadded // RECORD_ALIGN_BYTES) * RECORD_ALIGN_BYTES


def chunk_checksums(body: bytes | memoryview) -> list[int]:
    """Return the checksum of each chunk of a body."""
    view = memoryview(body)
    return [
        xxh3_64_intdigest(view[offset : offset + CHUNK_BYTES]) for offset in range(0, len(view), CHUNK_BYTES)
    ]


def encode_record(copy: Copy, serial: int, seed: int, checksums: list[int] | tuple[int, ...]) -> list[bytes]:
    """Encode a record as a list of buffers. The body is not copied."""
    chunks = len(checksums)
    variable = copy.object + copy.tag + struct.pack(f"<{chunks}Q", *checksums)
    fields = _FixedFields(
        magic=RECORD_MAGIC,
        kind=_EXTENT_KIND,
        rank=copy.rank,
        reserved1=0,
        object_bytes=len(copy.object),
        tag_bytes=len(copy.tag),
        first_chunk=copy.start // CHUNK_BYTES,
        chunks=chunks,
        group=copy.group,
        part=copy.part,
        size=copy.size,
        body_bytes=len(copy.body),
        reserved2=0,
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
    """Decode and verify the header of the record at position `at` of `data`.

    Raises:
        DamagedError: `data` holds no valid record header for the location that `seed` was made from.
    """
    if len(data) - at < RECORD_HEADER_BYTES:
        raise DamagedError("record header: truncated")
    fixed = _FixedFields._make(_HEADER.unpack_from(data, at))
    if fixed.magic != RECORD_MAGIC or fixed.kind != _EXTENT_KIND:
        raise DamagedError("record header: wrong magic number or kind")
    object_at = at + RECORD_HEADER_BYTES
    tag_at = object_at + fixed.object_bytes
    checksums_at = tag_at + fixed.tag_bytes
    body_at = checksums_at + 8 * fixed.chunks
    if len(data) < body_at:
        raise DamagedError("record header: truncated")
    checked = bytes(data[at : at + _CHECKSUM_OFFSET]) + bytes(data[object_at:body_at])
    if xxh3_64_intdigest(checked, seed=seed) != fixed.checksum:
        raise DamagedError("record header: checksum mismatch")
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
    """Return the record size that an unverified header declares, or 0 if no record header begins at `at`."""
    if data[at : at + 4] != RECORD_MAGIC:
        return 0
    fixed = _FixedFields._make(_HEADER.unpack_from(data, at))
    return record_bytes(fixed.object_bytes, fixed.tag_bytes, fixed.chunks, fixed.body_bytes)


def verify_chunks(checksums: tuple[int, ...], body: bytes | memoryview, first: int = 0) -> None:
    """Verify the chunks of `body` against the checksums from index `first` on.

    Raises:
        DamagedError: A chunk does not match its checksum.
    """
    view = memoryview(body)
    for index, offset in enumerate(range(0, len(view), CHUNK_BYTES), first):
        if xxh3_64_intdigest(view[offset : offset + CHUNK_BYTES]) != checksums[index]:
            raise DamagedError("chunk: checksum mismatch")
