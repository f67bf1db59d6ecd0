"""The header that every file of a store begins with, see docs/design/store.md. No I/O."""

import struct
from enum import Enum
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from brookhinge.store.errors import DamagedError, UnsupportedVersionError

FORMAT_VERSION = 1
CHUNK_SIZE_LOG2 = 16
_HEADER = struct.Struct("<4sHHQQQ")  # magic, version, log2 of the chunk size, store id, number, checksum
FILE_HEADER_BYTES = _HEADER.size
_CHECKSUM_OFFSET = _HEADER.size - 8


class FileKind(Enum):
    """Kinds of files by their magic bytes."""

    STORE = b"BKST"
    SEGMENT = b"BKSG"
    PURGE_LEDGER = b"BKPL"
    INDEX_SNAPSHOT = b"BKSN"


class FileHeader(NamedTuple):
    """Which store a file belongs to, and its number among the files of its kind (0 if there is but one)."""

    store_id: int
    number: int


def encode_file_header(kind: FileKind, store_id: int, number: int) -> bytes:
    """The first bytes of a file."""
    fixed = _HEADER.pack(kind.value, FORMAT_VERSION, CHUNK_SIZE_LOG2, store_id, number, 0)[:_CHECKSUM_OFFSET]
    return fixed + struct.pack("<Q", xxh3_64_intdigest(fixed))


def decode_file_header(kind: FileKind, data: bytes | memoryview) -> FileHeader:
    """Read the header at the beginning of `data`.

    Raises:
        DamagedError: Not a file of this kind, or the checksum does not match.
        UnsupportedVersionError: Another version or chunk size.
    """
    if len(data) < FILE_HEADER_BYTES or data[:4] != kind.value:
        raise DamagedError("no file of the store")
    _, version, chunk_log2, store_id, number, checksum = _HEADER.unpack_from(data)
    if xxh3_64_intdigest(bytes(data[:_CHECKSUM_OFFSET])) != checksum:
        raise DamagedError("a file's head that does not fit its check")
    if (version, chunk_log2) != (FORMAT_VERSION, CHUNK_SIZE_LOG2):
        raise UnsupportedVersionError(f"version {version}, expected {FORMAT_VERSION}")
    return FileHeader(store_id, number)
