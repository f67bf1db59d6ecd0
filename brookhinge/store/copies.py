"""Types of cached copies at the interface of the store. No I/O.

An object is stored in parts. The bytes of a part are split into chunks of `CHUNK_BYTES`, which the disk tier
verifies and serves independently of each other.
"""

import struct
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

CHUNK_BYTES = 65536
EVICTION_RANKS = 4
MAX_GROUP = 255
UNKNOWN_GROUP = 256  # such a copy is purged by every group purge
MAX_OBJECT_NAME_BYTES = 255
MAX_TAG_BYTES = 1024
MAX_CHUNKS = (1 << 16) - 1


class ReadResult(NamedTuple):
    """Verified bytes [start, start + len(body)) of a part."""

    tag: bytes
    dated: float
    group: int
    rank: int
    size: int
    body: bytes
    needs_revalidation: bool
    start: int = 0


class Copy(NamedTuple):
    """Bytes of a part to be stored.

    `start` is a multiple of the chunk size. The end is one as well unless it is the end of the part.
    """

    object: bytes
    part: int
    tag: bytes  # entity tag of this version of the part; b"" if it has none
    dated: float  # when the origin issued this copy, Unix seconds
    group: int  # purge group, 0 to 255, or UNKNOWN_GROUP
    rank: int  # eviction rank, 0 to 3; lower ranks are evicted first
    size: int  # bytes in the whole part
    body: bytes
    start: int = 0

    def as_read_result(self) -> ReadResult:
        """Return the copy in the form that a read returns."""
        return ReadResult(
            tag=self.tag,
            dated=self.dated,
            group=self.group,
            rank=self.rank,
            size=self.size,
            body=self.body,
            needs_revalidation=False,
            start=self.start,
        )


class LookupResult(NamedTuple):
    """Metadata of a part from the index of the disk tier."""

    dated: float
    group: int
    rank: int
    size: int
    needs_revalidation: bool  # must not be served until its source has confirmed that it is unchanged
    chunks: int  # bit mask of the stored chunks

    def missing(self, start: int, stop: int) -> list[tuple[int, int]]:
        """Return the byte ranges of [start, stop) that are not stored, extended to chunk boundaries."""
        ranges = []
        for chunk in range(start // CHUNK_BYTES, chunk_count(min(stop, self.size))):
            if self.chunks >> chunk & 1:
                continue
            first_byte = chunk * CHUNK_BYTES
            end_byte = min(self.size, first_byte + CHUNK_BYTES)
            if ranges and ranges[-1][1] == first_byte:
                ranges[-1] = (ranges[-1][0], end_byte)
            else:
                ranges.append((first_byte, end_byte))
        return ranges


def chunk_count(size: int) -> int:
    """Return the number of chunks that `size` bytes take."""
    return -(-size // CHUNK_BYTES)


def key_of(object_: bytes, part: int) -> int:
    """Return the 64-bit index key of a part. Collisions are detected by the full name in the record."""
    return xxh3_64_intdigest(b"%d/%b" % (part, object_))


def version_of(tag: bytes, dated: float, size: int) -> int:
    """Return a 32-bit hash of the version of a part, made from its tag, or from its date without one."""
    return xxh3_64_intdigest(tag or struct.pack("<d", dated), seed=size) & 0xFFFFFFFF


def validate_copy(copy: Copy) -> None:
    """Check that a copy can be stored.

    Raises:
        ValueError: A field is out of range; the message names it.
    """
    if not 0 < len(copy.object) <= MAX_OBJECT_NAME_BYTES:
        raise ValueError("object: expected 1 to 255 bytes")
    if not 0 <= copy.part < 1 << 32:
        raise ValueError("part: expected 0 to 4294967295")
    if len(copy.tag) > MAX_TAG_BYTES:
        raise ValueError("tag: expected at most 1024 bytes")
    if not 0 <= copy.group <= UNKNOWN_GROUP:
        raise ValueError("group: expected 0 to 255, or 256 for an unknown group")
    if not 0 <= copy.rank < EVICTION_RANKS:
        raise ValueError("rank: expected 0 to 3")
    if not 0 < copy.size < 1 << 32:
        raise ValueError("size: expected 1 to 4294967295")
    if copy.dated != copy.dated:
        raise ValueError("dated: expected a timestamp, got NaN")
    if chunk_count(copy.size) > MAX_CHUNKS:
        raise ValueError("size: expected at most 65535 chunks")
    if not _covers_whole_chunks(copy):
        raise ValueError("start, body: expected a non-empty range of whole chunks within the part")


def _covers_whole_chunks(copy: Copy) -> bool:
    end = copy.start + len(copy.body)
    if copy.start % CHUNK_BYTES or not copy.body or end > copy.size:
        return False
    return end % CHUNK_BYTES == 0 or end == copy.size
