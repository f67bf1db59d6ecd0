"""What was purged, and when: looked at before anything is served, and durable before a purge counts as taken.

A copy is purged if it is no younger than the purge of its object or group. Nothing is looked for at a purge: copies are
judged when they are asked for, so a purge costs the same whatever it hits. The ledger is bounded: past `most` objects the
oldest half is folded into the floor, under which every copy counts as purged. Clocks of this machine play no part:
both moments come from the origin and the command channel. Records are bytes here; the tier writes them."""

import struct

from brookhinge.store.records import ANY_GROUP, Damaged, check_of

RECORD = struct.Struct("<4sBBHdQQ")  # magic kind group length when serial check
MAGIC = b"BKPG"
OBJECT, GROUP, FLOOR = 1, 2, 3
ALIGN = 8


class Ledger:
    """Moments are Unix seconds."""

    def __init__(self, most=65536):
        self.most, self.objects, self.groups, self.floor, self.serial = most, {}, {}, float("-inf"), 0
        self.last_group = float("-inf")  # of all groups

    def purged_at(self, object_, group):
        of_group = self.last_group if group == ANY_GROUP else self.groups.get(group, self.floor)
        return max(self.objects.get(object_, self.floor), of_group, self.floor)

    def purged(self, object_, group, dated):
        return dated <= self.purged_at(object_, group)

    def take(self, kind, name, when):
        """A purge of an object (bytes) or a group (number). Returns its record."""
        self.note(kind, name, when)
        self.fold()
        return self.record(kind, name, when)

    def note(self, kind, name, when):
        if kind == FLOOR:
            self.floor = max(self.floor, when)
            return
        known = self.objects if kind == OBJECT else self.groups
        known[name] = max(when, known.get(name, when))
        if kind == GROUP:
            self.last_group = max(self.last_group, when)

    def bound(self, now):
        """Takes no purge for later than `now`."""
        for known in (self.objects, self.groups):
            for name, when in known.items():
                known[name] = min(when, now)
        self.floor, self.last_group = min(self.floor, now), min(self.last_group, now)

    def fold(self):
        if len(self.objects) <= self.most:
            return
        by_age = sorted(self.objects.items(), key=lambda pair: pair[1])
        for name, when in by_age[: len(by_age) // 2]:
            self.floor = max(self.floor, when)
            del self.objects[name]

    def record(self, kind, name, when):
        self.serial += 1
        text = name if kind == OBJECT else b""
        fixed = RECORD.pack(MAGIC, kind, name if kind == GROUP else 0, len(text), when, self.serial, 0)[:-8]
        check = check_of(fixed + text, seed=kind)
        raw = fixed + struct.pack("<Q", check) + text
        return raw + b"\0" * (-len(raw) % ALIGN)

    def records(self):
        """The ledger as it stands, in the fewest records: what a file written anew holds."""
        rows = [(FLOOR, 0, self.floor)] if self.floor > float("-inf") else []
        rows += [(GROUP, group, when) for group, when in sorted(self.groups.items())]
        rows += [(OBJECT, name, when) for name, when in sorted(self.objects.items())]
        return [self.record(*row) for row in rows]

    def replay(self, data):
        """Takes all records in data that can be read. Returns how many there were, and how many bytes could not be
        read. Zeros at the end were never written; anything else may have been a purge that counted as taken."""
        at, count, bad, gap = 0, 0, 0, 0
        while at + RECORD.size <= len(data):
            try:
                kind, name, when, serial, size = read_record(data, at)
            except Damaged:
                at, gap = at + ALIGN, gap + ALIGN
                continue
            self.note(kind, name, when)
            self.serial, count, at = max(self.serial, serial), count + 1, at + size
            bad, gap = bad + gap, 0
        self.fold()
        tail = bytes(data[max(0, at - gap) :])
        return count, bad + len(tail.rstrip(b"\0"))


def read_record(data, at):
    """(kind, name, when, serial, bytes) of the record at `at`."""
    magic, kind, group, size, when, serial, check = RECORD.unpack_from(data, at)
    text = bytes(data[at + RECORD.size : at + RECORD.size + size])
    if magic != MAGIC or len(text) < size or kind not in (OBJECT, GROUP, FLOOR):
        raise Damaged("no purge")
    if check_of(bytes(data[at : at + RECORD.size - 8]) + text, seed=kind) != check:
        raise Damaged("a purge that does not fit its check")
    return kind, text if kind == OBJECT else group, when, serial, -(-(RECORD.size + size) // ALIGN) * ALIGN
