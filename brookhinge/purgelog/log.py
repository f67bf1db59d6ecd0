"""Bounded log of one source, held by a control machine. No I/O, no clock.

Recent entries are held in full, older ones as fingerprints.
"""

import collections
from typing import NamedTuple

import xxhash

from brookhinge.purgelog.messages import Batch, Entry, Kind
from brookhinge.purgelog.positions import START, Position

RECENT_ENTRIES = 4096  # entries held in full
SEGMENT_ENTRIES = 256  # entries per segment; at 4 bytes each their fingerprints fit into a datagram
MAX_SEGMENTS = 1024  # segments held: 262,144 entries, 14 hours at 5.1 purges a second
FINGERPRINT_BYTES = 4


class Digest(NamedTuple):
    """Fingerprints of the purges after one position through another."""

    after: Position
    through: Position
    fingerprints: bytes


class EpochStart(NamedTuple):
    """An epoch and the position before its first entry."""

    epoch: int
    after: Position


def object_fingerprint(key: str) -> int:
    """Return the 32-bit fingerprint of an object's key."""
    return xxhash.xxh32_intdigest(b"o" + key.encode())


def group_fingerprint(group: int) -> int:
    """Return the 32-bit fingerprint of a group."""
    return xxhash.xxh32_intdigest(b"g%d" % group)


def fingerprint(entry: Entry) -> bytes:
    """Return the 4-byte fingerprint of the purged object or group; b"" if the entry is not a purge."""
    if entry.kind != Kind.PURGE:
        return b""
    value = object_fingerprint(entry.text) if entry.text else group_fingerprint(entry.number)
    return value.to_bytes(FINGERPRINT_BYTES, "big")


class SourceLog:
    """Log of one source. Indexes are contiguous.

    Attributes:
        start: position from which this log was continued without history.
        origin: position through which nothing is held.
        base: position after which entries are held in full.
        head: position of the last entry.
        epoch_starts: epochs held, oldest first, each with the position before its first entry.
        open_segment: fingerprints of the segment that is not complete yet.
        open_segment_after: position before the first entry of that segment.
    """

    def __init__(self, source: int, recent: int = RECENT_ENTRIES, segments: int = MAX_SEGMENTS):
        self.source = source
        self.limit = recent
        self.segments = segments
        self.entries = collections.deque()
        self.digests = collections.deque()
        self.restart(START)

    def restart(self, position: Position) -> None:
        """Continue from a position without any history."""
        self.start = self.origin = self.base = self.head = position
        self.epoch_starts = [EpochStart(position.epoch, position)]
        self.entries.clear()
        self.digests.clear()
        self.open_segment = []
        self.open_segment_after = position

    def append(self, batch: Batch) -> list[Entry] | None:
        """Append the new entries of a batch and return them.

        Returns None if the batch leaves a gap or belongs to an older epoch. When a new epoch begins, entries
        after its start are dropped: no majority held them.
        """
        after = batch.after
        if batch.epoch < self.head.epoch:
            return None
        if batch.epoch == self.head.epoch:
            skip = self.head.index - after.index
            if skip < 0:
                return None
            new = batch.entries[skip:]
        else:
            if self.common_position(after) != after or after.index < self.base.index:
                return None
            new = batch.entries
            if new:
                self.begin_epoch(batch.epoch, after)
        for entry in new:
            self.entries.append(entry)
            self.head = Position(batch.epoch, self.head.index + 1)
        self.trim()
        return new

    def begin_epoch(self, epoch: int, after: Position) -> None:
        """Drop the entries after `after`, which the new epoch does not contain, and begin it there."""
        for _ in range(self.head.index - after.index):
            self.entries.pop()
        self.epoch_starts = [
            start for start in self.epoch_starts if start.after.index < after.index
        ] or self.epoch_starts[:1]
        self.epoch_starts.append(EpochStart(epoch, after))
        self.head = after

    def common_position(self, position: Position) -> Position | None:
        """Return the last position that this log shares with a log whose head is `position`.

        None if this log does not hold that part of the epoch of `position`.
        """
        for k, start in enumerate(self.epoch_starts):
            if start.epoch == position.epoch and position.index >= start.after.index:
                return Position(position.epoch, min(position.index, self.end_of(k)))
        return None

    def end_of(self, k: int) -> int:
        """Return the last index of the epoch at `epoch_starts[k]`."""
        return self.epoch_starts[k + 1].after.index if k + 1 < len(self.epoch_starts) else self.head.index

    def epoch_of(self, index: int) -> int:
        """Return the epoch of an index."""
        return next(start.epoch for start in reversed(self.epoch_starts) if start.after.index < index)

    def trim(self) -> None:
        """Reduce the oldest entries beyond `limit` to fingerprints; drop the oldest excess segments."""
        while len(self.entries) > self.limit:
            index = self.base.index + 1
            self.base = Position(self.epoch_of(index), index)
            self.open_segment.append(fingerprint(self.entries.popleft()))
            if len(self.open_segment) == SEGMENT_ENTRIES:
                self.digests.append(Digest(self.open_segment_after, self.base, b"".join(self.open_segment)))
                self.open_segment = []
                self.open_segment_after = self.base
        while len(self.digests) > self.segments:
            self.origin = self.digests.popleft().through
            while len(self.epoch_starts) > 1 and self.epoch_starts[1].after.index < self.origin.index:
                self.epoch_starts.pop(0)
            self.epoch_starts[0] = EpochStart(self.origin.epoch, self.origin)

    def since(self, position: Position, max_entries: int = SEGMENT_ENTRIES) -> list[Batch] | None:
        """Return batches of up to `max_entries` entries after a position; None if not held in full."""
        if position == self.head:
            return []
        common = self.common_position(position)
        if common is None or common.index < self.base.index:
            return None
        batches = []
        remaining = max_entries
        for k, start in enumerate(self.epoch_starts):
            if start.epoch < common.epoch:
                continue
            after = common if start.epoch == common.epoch else start.after
            end = min(self.end_of(k), after.index + remaining)
            if end > after.index:
                batches.append(
                    Batch(self.source, start.epoch, *after, self.entries_between(after.index, end))
                )
                remaining -= end - after.index
            if remaining <= 0:
                break
        return batches

    def entries_between(self, after: int, end: int) -> list[Entry]:
        """Return the entries after one index through another."""
        first = after - self.base.index
        return [self.entries[k] for k in range(first, end - self.base.index)]

    def digest_after(self, position: Position) -> Digest | None:
        """Return fingerprints of entries after a position; None if none are held."""
        common = self.common_position(position)
        if common is None or common == self.head:
            return None
        if common.index >= self.base.index:
            return self.digest_of_recent(position, common)
        for digest in self.digests:
            if digest.after.index <= common.index < digest.through.index:
                return digest
        if self.open_segment and common.index >= self.open_segment_after.index:
            return Digest(self.open_segment_after, self.base, b"".join(self.open_segment))
        return None

    def digest_of_recent(self, position: Position, common: Position) -> Digest:
        """Return fingerprints of entries held in full, from `common` on."""
        end = min(self.head.index, common.index + SEGMENT_ENTRIES)
        fingerprints = b"".join(fingerprint(entry) for entry in self.entries_between(common.index, end))
        return Digest(position, Position(self.epoch_of(end), end), fingerprints)
