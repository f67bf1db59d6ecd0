"""Purge ledger: the dates of all known purges. No I/O; `purge_ledger_file` writes its records to disk.

A copy is purged if its date is not later than the latest purge of its object or its group. This is checked
when a copy is looked up, so the cost of a purge does not depend on the number of copies that it matches. The
ledger is bounded: beyond `max_objects` object purges, the oldest half is replaced by a floor, a date up to
which every copy counts as purged. The local clock is not used: the dates of copies come from the origin, and
those of purges from the command channel.
"""

import struct
from enum import IntEnum
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from brookhinge.store.copies import UNKNOWN_GROUP
from brookhinge.store.errors import DamagedError

DEFAULT_MAX_OBJECTS = 65536
NEVER = float("-inf")
_RECORD = struct.Struct("<4sBBHdQQ")  # magic, kind, group, object bytes, date, serial, checksum
_MAGIC = b"BKPG"
_CHECKSUM = struct.Struct("<Q")
_ALIGN_BYTES = 8


class PurgeKind(IntEnum):
    """What a purge applies to. The values are written to the ledger file."""

    OBJECT = 1
    GROUP = 2
    FLOOR = 3  # all objects


_KINDS = frozenset(kind.value for kind in PurgeKind)


class Purge(NamedTuple):
    """One purge.

    Attributes:
        kind: What the purge applies to.
        name: The object name, the group number, or 0 for the floor.
        when: Date of the purge, a Unix timestamp in seconds. It matches copies dated no later than this.
    """

    kind: PurgeKind
    name: bytes | int
    when: float


class ReplayResult(NamedTuple):
    """Number of records read from a ledger file, and of bytes that could not be read."""

    records: int
    unreadable_bytes: int


class _DecodedRecord(NamedTuple):
    purge: Purge
    serial: int
    size: int


class PurgeLedger:
    """All known purges. Dates are Unix timestamps in seconds."""

    def __init__(self, max_objects: int = DEFAULT_MAX_OBJECTS) -> None:
        self.max_objects = max_objects
        self.objects: dict[bytes, float] = {}
        self.groups: dict[int, float] = {}
        self.floor = NEVER
        self.latest_group_purge = NEVER  # date of the latest purge of any group
        self.serial = 0

    def purged_at(self, object_: bytes, group: int) -> float:
        """Return the date of the latest purge that applies to an object, or `NEVER` if there is none."""
        in_any_group = group == UNKNOWN_GROUP
        group_purge = self.latest_group_purge if in_any_group else self.groups.get(group, self.floor)
        return max(self.objects.get(object_, self.floor), group_purge, self.floor)

    def is_purged(self, object_: bytes, group: int, dated: float) -> bool:
        """Return whether a copy with this date has been purged."""
        return dated <= self.purged_at(object_, group)

    def add(self, purge: Purge) -> bytes:
        """Add a purge and return its encoded record for the ledger file."""
        self._apply(purge)
        self._fold_oldest()
        return self._encode(purge)

    def _apply(self, purge: Purge) -> None:
        if purge.kind == PurgeKind.FLOOR:
            self.floor = max(self.floor, purge.when)
            return
        dates = self.objects if purge.kind == PurgeKind.OBJECT else self.groups
        dates[purge.name] = max(purge.when, dates.get(purge.name, purge.when))
        if purge.kind == PurgeKind.GROUP:
            self.latest_group_purge = max(self.latest_group_purge, purge.when)

    def limit_dates(self, now: float) -> None:
        """Set the date of each purge that is dated later than `now` to `now`."""
        for dates in (self.objects, self.groups):
            for name, when in dates.items():
                dates[name] = min(when, now)
        self.floor = min(self.floor, now)
        self.latest_group_purge = min(self.latest_group_purge, now)

    def _fold_oldest(self) -> None:
        if len(self.objects) <= self.max_objects:
            return
        by_date = sorted(self.objects.items(), key=lambda item: item[1])
        for name, when in by_date[: len(by_date) // 2]:
            self.floor = max(self.floor, when)
            del self.objects[name]

    def purges(self) -> list[Purge]:
        """Return the smallest list of purges that is equivalent to the ledger."""
        floor = [Purge(PurgeKind.FLOOR, 0, self.floor)] if self.floor > NEVER else []
        groups = [Purge(PurgeKind.GROUP, group, when) for group, when in sorted(self.groups.items())]
        objects = [Purge(PurgeKind.OBJECT, name, when) for name, when in sorted(self.objects.items())]
        return [*floor, *groups, *objects]

    def encode_all(self) -> list[bytes]:
        """Return the encoded records for a rewritten ledger file."""
        return [self._encode(purge) for purge in self.purges()]

    def _encode(self, purge: Purge) -> bytes:
        self.serial += 1
        name = purge.name if purge.kind == PurgeKind.OBJECT else b""
        group = purge.name if purge.kind == PurgeKind.GROUP else 0
        packed = _RECORD.pack(_MAGIC, purge.kind, group, len(name), purge.when, self.serial, 0)
        fixed = packed[: -_CHECKSUM.size]
        checksum = xxh3_64_intdigest(fixed + name, seed=purge.kind)
        record = fixed + _CHECKSUM.pack(checksum) + name
        return record + b"\0" * (-len(record) % _ALIGN_BYTES)

    def replay(self, data: bytes | memoryview) -> ReplayResult:
        """Add all purges that can be read from the content of a ledger file.

        Zero bytes at the end are space that was never written. All other unreadable bytes are counted,
        because they may have been a purge.
        """
        offset = 0
        records = 0
        unreadable = 0
        gap = 0  # unreadable bytes since the last record
        while offset + _RECORD.size <= len(data):
            try:
                record = _decode(data, offset)
            except DamagedError:
                offset += _ALIGN_BYTES
                gap += _ALIGN_BYTES
                continue
            self._apply(record.purge)
            self.serial = max(self.serial, record.serial)
            records += 1
            offset += record.size
            unreadable += gap
            gap = 0
        self._fold_oldest()
        tail = bytes(data[max(0, offset - gap) :])
        return ReplayResult(records, unreadable + len(tail.rstrip(b"\0")))


def _decode(data: bytes | memoryview, offset: int) -> _DecodedRecord:
    magic, kind, group, name_bytes, when, serial, checksum = _RECORD.unpack_from(data, offset)
    name_start = offset + _RECORD.size
    name = bytes(data[name_start : name_start + name_bytes])
    if magic != _MAGIC or len(name) < name_bytes or kind not in _KINDS:
        raise DamagedError("purge record: wrong magic number, kind or length")
    checked = bytes(data[offset : name_start - _CHECKSUM.size]) + name
    if xxh3_64_intdigest(checked, seed=kind) != checksum:
        raise DamagedError("purge record: checksum mismatch")
    purge = Purge(PurgeKind(kind), name if kind == PurgeKind.OBJECT else group, when)
    size = -(-(_RECORD.size + name_bytes) // _ALIGN_BYTES) * _ALIGN_BYTES
    return _DecodedRecord(purge, serial, size)
