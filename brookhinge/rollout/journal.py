"""Append-only journal of rollout decisions, synced to disk before a decision takes effect.

Each record is one line:

    line     = checksum, a space, JSON object, line feed
    checksum = 16 hex digits of xxh64 over the JSON text, seeded with the record's number

The first record names the format and its owner. Opening a journal reads the intact prefix and truncates a
torn tail: a record is synced before the action it describes, so nothing after a torn line was ever acted on.
An unreadable line with intact lines behind it is damage, and the journal is refused.
"""

import fcntl
import os
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import msgspec
import xxhash

FORMAT_VERSION = 1
CHECKSUM_DIGITS = 16
SHORTEST_LINE_BYTES = CHECKSUM_DIGITS + len(b" {}") + 1

Record = dict[str, Any]

_encode_json = msgspec.json.Encoder().encode
_decode_json = msgspec.json.Decoder().decode


class JournalError(ValueError):
    """The journal cannot be used: it is damaged, in use, in another format or belongs to another plan."""


def encode_record(number: int, record: Record) -> bytes:
    """Encode a record as a line; `number` is its position in the journal, from 0."""
    text = _encode_json(record)
    return b"%016x %b\n" % (xxhash.xxh64_intdigest(text, seed=number), text)


def decode_journal(data: bytes) -> tuple[list[Record], int]:
    """Return the intact records and the length of their lines in bytes.

    Raises:
        JournalError: A damaged line is followed by intact ones, or the format is unknown.
    """
    records: list[Record] = []
    offset = 0
    while offset < len(data):
        end = data.find(b"\n", offset)
        record = _decode_line(data[offset:end], len(records)) if end >= 0 else None
        if record is None:
            _check_torn_tail(data, offset)
            break
        records.append(record)
        offset = end + 1
    if records and records[0].get("form") != FORMAT_VERSION:
        raise JournalError(
            f"unsupported journal format {records[0].get('form')!r}, expected {FORMAT_VERSION}"
        )
    return records, offset


def _decode_line(line: bytes, number: int) -> Record | None:
    """Decode one line, or return None if it is not an intact record with that number."""
    if line[CHECKSUM_DIGITS : CHECKSUM_DIGITS + 1] != b" ":
        return None
    text = line[CHECKSUM_DIGITS + 1 :]
    try:
        if int(line[:CHECKSUM_DIGITS], 16) != xxhash.xxh64_intdigest(text, seed=number):
            return None
        return _decode_json(text)
    except (ValueError, msgspec.DecodeError):
        return None


def _check_torn_tail(data: bytes, offset: int) -> None:
    """Raise JournalError if intact lines follow the unreadable line at `offset`."""
    following = data[offset:].split(b"\n")[1:]
    if any(_looks_intact(line) for line in following):
        raise JournalError(f"damaged record at byte {offset}, followed by intact ones")


def _looks_intact(line: bytes) -> bool:
    """Return whether a line has the form of a record, whatever its number; the checksum is not verified."""
    if line[CHECKSUM_DIGITS : CHECKSUM_DIGITS + 1] != b" " or len(line) < SHORTEST_LINE_BYTES:
        return False
    try:
        int(line[:CHECKSUM_DIGITS], 16)
        return isinstance(_decode_json(line[CHECKSUM_DIGITS + 1 :]), dict)
    except (ValueError, msgspec.DecodeError):
        return False


class Journal:
    """A journal file, locked for one process at a time.

    Attributes:
        records: All records so far, in order.
    """

    def __init__(self, path: str | Path, sync: Callable[[int], None] = os.fsync):
        """Open or create the file at `path`, read its records and truncate a torn tail.

        Args:
            path: Path of the journal file.
            sync: Flushes a file descriptor to disk; tests pass one that fails.

        Raises:
            JournalError: The file is damaged, in another format or open in another process.
            OSError: The file cannot be opened, read or truncated.
        """
        self._sync = sync
        self._file = open(path, "a+b")  # noqa: SIM115 - closed by close()
        try:
            self._lock()
            self._file.seek(0)
            self.records, intact_bytes = decode_journal(self._file.read())
            self._file.truncate(intact_bytes)
        except BaseException:
            self._file.close()
            raise

    def _lock(self) -> None:
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise JournalError("in use by another process") from None

    def append(self, *records: Record) -> None:
        """Append records with a single sync.

        Raises:
            OSError: The write failed; the journal is truncated to its previous end and no record is kept.
        """
        intact_bytes = self._file.seek(0, os.SEEK_END)
        first = len(self.records)
        lines = [encode_record(first + i, record) for i, record in enumerate(records)]
        try:
            self._file.write(b"".join(lines))
            self._file.flush()
            self._sync(self._file.fileno())
        except OSError:
            self._file.truncate(intact_bytes)
            raise
        self.records += records

    def close(self) -> None:
        """Close the file, which releases the lock."""
        self._file.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()
