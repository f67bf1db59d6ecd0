"""The purge ledger: what was purged, and when. No I/O; `purge_ledger_file` writes its records to disk.

A copy is purged if it is no younger than the last purge of its object or its group. Copies are judged when
they are asked for, so a purge costs the same whatever it hits. The ledger is bounded: beyond `max_objects`
the oldest half is folded into a floor, at or before which every copy counts as purged. The clock of this
machine plays no part: both dates come from the origin and the command channel.
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
    """What a purge names; the values are those of the file."""

    OBJECT = 1
    GROUP = 2
    FLOOR = 3  # everything


_KINDS = frozenset(kind.value for kind in PurgeKind)


class Purge(NamedTuple):
    """One purge. `name` is the object's name (bytes), the group's number, or 0 for the floor."""

    kind: PurgeKind
    name: bytes | int
    when: float


class ReplayResult(NamedTuple):
    """What became of the bytes of a ledger."""

    records: int
    unreadable_bytes: int


class _DecodedRecord(NamedTuple):
    purge: Purge
    serial: int
    size: int


class PurgeLedger:
    """The purges that are known. Dates are Unix seconds."""

    def __init__(self, max_objects: int = DEFAULT_MAX_OBJECTS) -> None:
        self.max_objects = max_objects
        self.objects: dict[bytes, float] = {}
        self.groups: dict[int, float] = {}
        self.floor = NEVER
        self.last_group = NEVER  # date of the latest purge of any group
        self.serial = 0

    def purged_at(self, object_: bytes, group: int) -> float:
        """The date of the latest purge that hits an object of a group; -inf if there is none."""
        any_group = group == UNKNOWN_GROUP
        group_purge = self.last_group if any_group else self.groups.get(group, self.floor)
        return max(self.objects.get(object_, self.floor), group_purge, self.floor)

    def is_purged(self, object_: bytes, group: int, dated: float) -> bool:
        """Whether a copy of that date has been purged."""
        return dated <= self.purged_at(object_, group)

    def add(self, purge: Purge) -> bytes:
        """Note a purge and return its record for the file."""
        self._note(purge)
        self._fold_oldest()
        return self._encode(purge)

    def _note(self, purge: Purge) -> None:
        if purge.kind == PurgeKind.FLOOR:
            self.floor = max(self.floor, purge.when)
            return
        known = self.objects if purge.kind == PurgeKind.OBJECT else self.groups
        known[purge.name] = max(purge.when, known.get(purge.name, purge.when))
        if purge.kind == PurgeKind.GROUP:
            self.last_group = max(self.last_group, purge.when)

    def limit_dates(self, now: float) -> None:
        """Take purges that are dated later than `now` for purges of `now`."""
        for known in (self.objects, self.groups):
            for name, when in known.items():
                known[name] = min(when, now)
        self.floor = min(self.floor, now)
        self.last_group = min(self.last_group, now)

    def _fold_oldest(self) -> None:
        if len(self.objects) <= self.max_objects:
            return
        by_date = sorted(self.objects.items(), key=lambda item: item[1])
        for name, when in by_date[: len(by_date) // 2]:
            self.floor = max(self.floor, when)
            del self.objects[name]

    def purges(self) -> list[Purge]:
        """The fewest purges that say all that is known."""
        floor = [Purge(PurgeKind.FLOOR, 0, self.floor)] if self.floor > NEVER else []
        groups = [Purge(PurgeKind.GROUP, group, when) for group, when in sorted(self.groups.items())]
        objects = [Purge(PurgeKind.OBJECT, name, when) for name, when in sorted(self.objects.items())]
        return [*floor, *groups, *objects]

    def encode_all(self) -> list[bytes]:
        """The records of a file that is written anew."""
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
        """Note all purges of a file that can be read.

        Zeros at the end were never written; any other bytes that can't be read may have been a purge.
        """
        at = 0
        records = 0
        unreadable = 0
        gap = 0
        while at + _RECORD.size <= len(data):
            try:
                record = _decode(data, at)
            except DamagedError:
                at += _ALIGN_BYTES
                gap += _ALIGN_BYTES
                continue
            self._note(record.purge)
            self.serial = max(self.serial, record.serial)
            records += 1
            at += record.size
            unreadable += gap
            gap = 0
        self._fold_oldest()
        tail = bytes(data[max(0, at - gap) :])
        return ReplayResult(records, unreadable + len(tail.rstrip(b"\0")))


def _decode(data: bytes | memoryview, at: int) -> _DecodedRecord:
    magic, kind, group, name_bytes, when, serial, checksum = _RECORD.unpack_from(data, at)
    name_at = at + _RECORD.size
    name = bytes(data[name_at : name_at + name_bytes])
    if magic != _MAGIC or len(name) < name_bytes or kind not in _KINDS:
        raise DamagedError("no purge")
    checked = bytes(data[at : name_at - _CHECKSUM.size]) + name
    if xxh3_64_intdigest(checked, seed=kind) != checksum:
        raise DamagedError("a purge that does not fit its check")
    purge = Purge(PurgeKind(kind), name if kind == PurgeKind.OBJECT else group, when)
    size = -(-(_RECORD.size + name_bytes) // _ALIGN_BYTES) * _ALIGN_BYTES
    return _DecodedRecord(purge, serial, size)
