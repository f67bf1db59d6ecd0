"""Header at the beginning of every file of a store; see docs/design/store.md. No I/O."""

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
    """File types; each value is the magic number at the beginning of the file."""

    STORE = b"BKST"
    SEGMENT = b"BKSG"
    PURGE_LEDGER = b"BKPL"
    INDEX_SNAPSHOT = b"BKSN"


class FileHeader(NamedTuple):
    """Identity of a file.

    Attributes:
        store_id: Random id of the store that the file belongs to.
        number: Number among the files of the same kind; 0 if the store has only one of them.
    """

    store_id: int
    number: int


def encode_file_header(kind: FileKind, store_id: int, number: int) -> bytes:
    """Return the header of a file."""
    fixed = _HEADER.pack(kind.value, FORMAT_VERSION, CHUNK_SIZE_LOG2, store_id, number, 0)[:_CHECKSUM_OFFSET]
    return fixed + struct.pack("<Q", xxh3_64_intdigest(fixed))


def decode_file_header(kind: FileKind, data: bytes | memoryview) -> FileHeader:
    """Decode the file header at the beginning of `data`.

    Raises:
        DamagedError: The file is not of this kind, or the checksum does not match.
        UnsupportedVersionError: The format version or the chunk size is not supported.
    """
    if len(data) < FILE_HEADER_BYTES or data[:4] != kind.value:
        raise DamagedError("not a store file: wrong magic number or too short")
    _, version, chunk_log2, store_id, number, checksum = _HEADER.unpack_from(data)
    if xxh3_64_intdigest(bytes(data[:_CHECKSUM_OFFSET])) != checksum:
        raise DamagedError("file header: checksum mismatch")
    if (version, chunk_log2) != (FORMAT_VERSION, CHUNK_SIZE_LOG2):
        raise UnsupportedVersionError(f"format version {version}, expected {FORMAT_VERSION}")
    return FileHeader(store_id, number)
