"""Records of the segment files as bytes, and what the store hands in and out. No I/O.

A record holds a run of a part's chunks: a head that is checked with its place (store, segment, offset), and the bytes,
each chunk of which is checked by the table in the head. Little-endian; docs/design/store.md has it to the byte."""

import struct
from typing import NamedTuple

from xxhash import xxh3_64_intdigest as check_of

CHUNK = 65536
ALIGN = 16
VERSION = 1
EXTENT = 1
RANKS = 4
ANY_GROUP = 256  # not told: every purge of a group hits it
HEAD = struct.Struct("<4sBBBBHHHHIIIIdQQ")  # magic kind rank 0 object tag first count group part size body
MAGIC = b"BKRC"  # spare dated serial check
CHECK_AT = HEAD.size - 8
FILE_HEAD = struct.Struct("<4sHHQQQ")  # magic version chunk_log2 store number check
SEGMENT, LEDGER, PICTURE, STORE = b"BKSG", b"BKPL", b"BKSN", b"BKST"
MASK = (1 << 64) - 1


class Damaged(Exception):
    """Bytes that are not what was written here."""


class OtherVersion(Exception):
    """A file of another version of the format."""


class Copy(NamedTuple):
    """Bytes of a part to be kept. `start` stands at a chunk, the end at a chunk or at the part's end."""

    object: bytes
    part: int
    tag: bytes  # of this version of the part; b"": the moment stands for it
    dated: float  # when the origin gave this copy out
    group: int  # 0 to 255, for purges, or ANY_GROUP
    rank: int  # 0 to 3: lower is dropped first
    size: int  # of the whole part
    body: bytes
    start: int = 0

    def found(self):
        """The same as a read would hand it out."""
        return Found(self.tag, self.dated, self.group, self.rank, self.size, self.body, False, self.start)


class Held(NamedTuple):
    """What the disk knows of a part without reading it."""

    dated: float
    group: int
    rank: int
    size: int
    aside: bool  # not to be served until its source says that it is unchanged
    chunks: int  # one bit a chunk that is there

    def missing(self, start, stop):
        """The ranges of [start, stop) that are not there, in whole chunks."""
        ranges = []
        for i in range(start // CHUNK, -(-min(stop, self.size) // CHUNK)):
            if not self.chunks >> i & 1:
                first, last = i * CHUNK, min(self.size, (i + 1) * CHUNK)
                if ranges and ranges[-1][1] == first:
                    ranges[-1] = ranges[-1][0], last
                else:
                    ranges.append((first, last))
        return ranges


class Found(NamedTuple):
    """Checked bytes [start, start + len(body)) of a part."""

    tag: bytes
    dated: float
    group: int
    rank: int
    size: int
    body: bytes
    aside: bool
    start: int = 0


def key_of(object_, part):
    """64 bits of an object's part; a record's own key is compared in full when it is read."""
    return check_of(b"%d/%b" % (part, object_))


def version_of(copy):
    """32 bits that tell versions of a part apart, of a Copy or a Head; tags are compared in full when they are read."""
    return check_of(copy.tag or struct.pack("<d", copy.dated), seed=copy.size) & 0xFFFFFFFF


def usable(copy):
    """Why a copy can't be kept, or None."""
    end = copy.start + len(copy.body)
    for good, why in (
        (0 < len(copy.object) <= 255, "object: expected 1 to 255 bytes"),
        (0 <= copy.part < 1 << 32, "part: expected 0 to 4294967295"),
        (len(copy.tag) <= 1024, "tag: too long"),
        (0 <= copy.group <= ANY_GROUP, "group: expected 0 to 255, or 256 for one that was not told"),
        (0 <= copy.rank < RANKS, "rank: expected 0 to 3"),
        (0 < copy.size < 1 << 32, "size: out of range"),
        (copy.dated == copy.dated, "dated: not a number"),
        (-(-copy.size // CHUNK) < 1 << 16, "size: too many chunks"),
        (
            copy.start % CHUNK == 0
            and copy.body
            and end <= copy.size
            and (end % CHUNK == 0 or end == copy.size),
            "range: expected whole chunks of the part",
        ),
    ):
        if not good:
            return why
    return None


def place_seed(store, segment, offset):
    """What binds a record to its place: one that turns up elsewhere is not taken."""
    return (store ^ segment * 0x9E3779B97F4A7C15 ^ offset * 0xC2B2AE3D27D4EB4F) & MASK


def length_of(object_size, tag_size, count, body_size):
    """Bytes of a record on disk, with what fills it up to the next place a record may stand."""
    return -(-(HEAD.size + object_size + tag_size + 8 * count + body_size) // ALIGN) * ALIGN


def encode(copy, serial, seed):
    """The buffers of a record, and its length."""
    body = memoryview(copy.body)
    table = [check_of(body[at : at + CHUNK]) for at in range(0, len(body), CHUNK)]
    return assemble(copy, serial, seed, table)


def assemble(copy, serial, seed, table):
    count = len(table)
    rest = copy.object + copy.tag + struct.pack(f"<{count}Q", *table)
    fixed = HEAD.pack(
        MAGIC,
        EXTENT,
        copy.rank,
        0,
        len(copy.object),
        len(copy.tag),
        copy.start // CHUNK,
        count,
        copy.group,
        copy.part,
        copy.size,
        len(copy.body),
        0,
        copy.dated,
        serial,
        0,
    )[:CHECK_AT]
    check = check_of(fixed + rest, seed=seed)
    length = length_of(len(copy.object), len(copy.tag), count, len(copy.body))
    fill = b"\0" * (length - HEAD.size - len(rest) - len(copy.body))
    return [fixed + struct.pack("<Q", check) + rest, copy.body, fill], length


class Head(NamedTuple):
    object: bytes
    part: int
    tag: bytes
    dated: float
    group: int
    rank: int
    size: int
    first: int  # chunk
    table: tuple  # the check of each chunk
    body_at: int  # from the record's begin
    body_size: int
    serial: int
    length: int


def decode(data, seed, at=0):
    """The checked head of the record at `at`. Damaged if it is not one that was written at this place."""
    if len(data) - at < HEAD.size:
        raise Damaged("a head that is cut off")
    (
        magic,
        kind,
        rank,
        _,
        object_size,
        tag_size,
        first,
        count,
        group,
        part,
        size,
        body_size,
        _,
        dated,
        serial,
        check,
    ) = HEAD.unpack_from(data, at)
    if magic != MAGIC or kind != EXTENT:
        raise Damaged("no record")
    rest_at = at + HEAD.size
    body_at = rest_at + object_size + tag_size + 8 * count
    if len(data) < body_at:
        raise Damaged("a head that is cut off")
    if check_of(bytes(data[at : at + CHECK_AT]) + bytes(data[rest_at:body_at]), seed=seed) != check:
        raise Damaged("a head that does not fit its check")
    object_ = bytes(data[rest_at : rest_at + object_size])
    tag = bytes(data[rest_at + object_size : rest_at + object_size + tag_size])
    table = struct.unpack_from(f"<{count}Q", data, body_at - 8 * count)
    return Head(
        object_,
        part,
        tag,
        dated,
        group,
        rank,
        size,
        first,
        table,
        body_at - at,
        body_size,
        serial,
        length_of(object_size, tag_size, count, body_size),
    )


def told_length(data, at):
    """The length of a record as its head tells it, unchecked; 0 where no record begins."""
    if data[at : at + 4] != MAGIC:
        return 0
    _, _, _, _, object_size, tag_size, _, count, _, _, _, body_size, *_ = HEAD.unpack_from(data, at)
    return length_of(object_size, tag_size, count, body_size)


def check_chunks(table, body, first=0):
    """Damaged unless every chunk of body fits the table from its `first` entry on."""
    view = memoryview(body)
    for i, at in enumerate(range(0, len(view), CHUNK), first):
        if check_of(view[at : at + CHUNK]) != table[i]:
            raise Damaged("a chunk that does not fit its check")


def file_head(kind, store, number):
    fixed = FILE_HEAD.pack(kind, VERSION, 16, store, number, 0)[:-8]
    return fixed + struct.pack("<Q", check_of(fixed))


def read_file_head(kind, data):
    """(store, number) of a file's first bytes."""
    if len(data) < FILE_HEAD.size or data[:4] != kind:
        raise Damaged("no file of the store")
    _, version, chunk, store, number, check = FILE_HEAD.unpack_from(data)
    if check_of(bytes(data[: FILE_HEAD.size - 8])) != check:
        raise Damaged("a file's head that does not fit its check")
    if (version, chunk) != (VERSION, 16):
        raise OtherVersion(f"version {version}, expected {VERSION}")
    return store, number
