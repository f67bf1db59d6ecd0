"""The bounded log of one source as a control machine holds it. No I/O, no clock.

Recent entries are held in full, older ones as fingerprints.
"""

import collections
from typing import NamedTuple

import xxhash

from brookhinge.purgelog.messages import Batch, Entry, Kind
from brookhinge.purgelog.positions import START, Position

RECENT = 4096  # entries held in full
SEGMENT = 256  # entries whose fingerprints make one segment: with 4 bytes each it fits into a datagram
SEGMENTS = 1024  # segments held: 262,144 entries, 14 hours at 5.1 purges a second
FINGERPRINT_BYTES = 4


class Digest(NamedTuple):
    """Fingerprints of the purges after one position through another."""

    after: Position
    through: Position
    fingerprints: bytes


class EpochStart(NamedTuple):
    """The first entry of an epoch follows on this position."""

    epoch: int
    after: Position


def object_fingerprint(key: str) -> int:
    """Return the 32-bit fingerprint of an object's key."""
    return xxhash.xxh32_intdigest(b"o" + key.encode())


def group_fingerprint(group: int) -> int:
    """Return the 32-bit fingerprint of a group."""
    return xxhash.xxh32_intdigest(b"g%d" % group)


def fingerprint(entry: Entry) -> bytes:
    """Return four bytes that stand for what an entry purges; none for an entry that purges nothing."""
    if entry.kind != Kind.PURGE:
        return b""
    value = object_fingerprint(entry.text) if entry.text else group_fingerprint(entry.number)
    return value.to_bytes(FINGERPRINT_BYTES, "big")


class SourceLog:
    """The log of one source. Indexes are contiguous.

    Attributes:
        origin: nothing is held of what came before.
        base: what came before is not held in full.
        head: the last position.
        chain: which epoch each index belongs to.
    """

    def __init__(self, source: int, recent: int = RECENT, segments: int = SEGMENTS):
        self.source = source
        self.limit = recent
        self.segments = segments
        self.entries = collections.deque()
        self.digests = collections.deque()
        self.restart(START)

    def restart(self, position: Position) -> None:
        """Go on from a position without any history."""
        self.origin = self.base = self.head = position
        self.chain = [EpochStart(position.epoch, position)]
        self.entries.clear()
        self.digests.clear()
        self.gathering = []
        self.gathered_after = position

    def append(self, batch: Batch) -> list[Entry] | None:
        """Take what is new of a batch and return those entries.

        None if the batch does not follow on what is held, or its epoch is over. Entries of an older epoch
        that the new one does not follow on are dropped: no majority held them.
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
            if self.on_chain(after) != after or after.index < self.base.index:
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
        """Drop what stands behind `after`: the new epoch does not contain it."""
        for _ in range(self.head.index - after.index):
            self.entries.pop()
        self.chain = [start for start in self.chain if start.after.index < after.index] or self.chain[:1]
        self.chain.append(EpochStart(epoch, after))
        self.head = after

    def on_chain(self, position: Position) -> Position | None:
        """Return the last position that whoever stands at `position` surely holds, or None if unknown."""
        for k, start in enumerate(self.chain):
            if start.epoch == position.epoch and position.index >= start.after.index:
                return Position(position.epoch, min(position.index, self.end_of(k)))
        return None

    def end_of(self, k: int) -> int:
        """Return the last index of the k-th epoch held."""
        return self.chain[k + 1].after.index if k + 1 < len(self.chain) else self.head.index

    def epoch_of(self, index: int) -> int:
        """Return the epoch of an index."""
        return next(start.epoch for start in reversed(self.chain) if start.after.index < index)

    def trim(self) -> None:
        """Turn entries beyond the limit into fingerprints, and forget fingerprints beyond theirs."""
        while len(self.entries) > self.limit:
            index = self.base.index + 1
            self.base = Position(self.epoch_of(index), index)
            self.gathering.append(fingerprint(self.entries.popleft()))
            if len(self.gathering) == SEGMENT:
                self.digests.append(Digest(self.gathered_after, self.base, b"".join(self.gathering)))
                self.gathering = []
                self.gathered_after = self.base
        while len(self.digests) > self.segments:
            self.origin = self.digests.popleft().through
            while len(self.chain) > 1 and self.chain[1].after.index < self.origin.index:
                self.chain.pop(0)
            self.chain[0] = EpochStart(self.origin.epoch, self.origin)

    def since(self, position: Position, most: int = SEGMENT) -> list[Batch] | None:
        """Return batches of up to `most` entries that follow on a position; None where they are not held."""
        if position == self.head:
            return []
        known = self.on_chain(position)
        if known is None or known.index < self.base.index:
            return None
        batches = []
        room = most
        for k, start in enumerate(self.chain):
            if start.epoch < known.epoch:
                continue
            after = known if start.epoch == known.epoch else start.after
            end = min(self.end_of(k), after.index + room)
            if end > after.index:
                batches.append(
                    Batch(self.source, start.epoch, *after, self.entries_between(after.index, end))
                )
                room -= end - after.index
            if room <= 0:
                break
        return batches

    def entries_between(self, after: int, end: int) -> list[Entry]:
        """Return the entries after one index through another."""
        first = after - self.base.index
        return [self.entries[k] for k in range(first, end - self.base.index)]

    def digest_after(self, position: Position) -> Digest | None:
        """Return fingerprints that follow on a position; None if not held or nothing follows."""
        known = self.on_chain(position)
        if known is None or known == self.head:
            return None
        if known.index >= self.base.index:
            return self.digest_of_recent(position, known)
        for digest in self.digests:
            if digest.after.index <= known.index < digest.through.index:
                return digest
        if self.gathering and known.index >= self.gathered_after.index:
            return Digest(self.gathered_after, self.base, b"".join(self.gathering))
        return None

    def digest_of_recent(self, position: Position, known: Position) -> Digest:
        """Return fingerprints of entries held in full."""
        end = min(self.head.index, known.index + SEGMENT)
        prints = b"".join(fingerprint(entry) for entry in self.entries_between(known.index, end))
        return Digest(position, Position(self.epoch_of(end), end), prints)
