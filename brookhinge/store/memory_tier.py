"""Memory tier: a cache of whole parts with a size limit in bytes. No I/O, no clock.

Eviction starts at the lowest rank and within a rank with the least recently used part. A copy never evicts
parts of a higher rank.
"""

from collections import OrderedDict
from collections.abc import Hashable, Iterator

from brookhinge.store.copies import EVICTION_RANKS, ReadResult

OVERHEAD_BYTES = 400  # per part in addition to its body: key, record, links


class MemoryTier:
    """Parts by key. The store uses (object, part) as the key."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.by_rank: list[OrderedDict[Hashable, ReadResult]] = [OrderedDict() for _ in range(EVICTION_RANKS)]
        self.ranks: dict[Hashable, int] = {}

    def get(self, key: Hashable) -> ReadResult | None:
        """Return a part and mark it as most recently used; None if it is not stored."""
        rank = self.ranks.get(key)
        if rank is None:
            return None
        self.by_rank[rank].move_to_end(key)
        return self.by_rank[rank][key]

    def put(self, key: Hashable, copy: ReadResult) -> bool:
        """Store a part under a key, replacing the one stored there.

        Returns:
            Whether the part was stored. False if eviction can't make enough space; the old part is dropped
            nevertheless.
        """
        needed = len(copy.body) + OVERHEAD_BYTES
        self.drop(key)
        free = self.limit_bytes - self.used_bytes
        evictable = sum(_bytes_up_to(parts, needed) for parts in self.by_rank[: copy.rank + 1])
        if needed > self.limit_bytes or needed > free + evictable:
            return False
        for rank in range(copy.rank + 1):
            while self.used_bytes + needed > self.limit_bytes and self.by_rank[rank]:
                self.drop(next(iter(self.by_rank[rank])))
        self.by_rank[copy.rank][key] = copy
        self.ranks[key] = copy.rank
        self.used_bytes += needed
        return True

    def replace(self, key: Hashable, copy: ReadResult) -> None:
        """Replace a stored part by a copy with the same bytes and rank but other metadata."""
        self.by_rank[self.ranks[key]][key] = copy

    def drop(self, key: Hashable) -> None:
        """Remove a part if it is stored."""
        rank = self.ranks.pop(key, None)
        if rank is not None:
            self.used_bytes -= len(self.by_rank[rank].pop(key).body) + OVERHEAD_BYTES

    def items(self) -> Iterator[tuple[Hashable, ReadResult]]:
        """Yield all parts by rank and last use. The tier may change during the iteration."""
        for parts in self.by_rank:
            yield from list(parts.items())


def _bytes_up_to(parts: OrderedDict[Hashable, ReadResult], enough_bytes: int) -> int:
    """Return the total size of the parts; stops counting at `enough_bytes`."""
    total = 0
    for copy in parts.values():
        total += len(copy.body) + OVERHEAD_BYTES
        if total >= enough_bytes:
            break
    return total
