"""The memory tier: whole parts within a limit of bytes. No I/O, no clock.

Eviction takes the lowest rank first, in it the least recently used, and nothing for a copy of a lower rank.
"""

from collections import OrderedDict
from collections.abc import Hashable, Iterator

from brookhinge.store.copies import EVICTION_RANKS, ReadResult

OVERHEAD_BYTES = 400  # of a part beside its body: key, record, links


class MemoryTier:
    """Parts by key, which is (object, part) in the store."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.by_rank: list[OrderedDict[Hashable, ReadResult]] = [OrderedDict() for _ in range(EVICTION_RANKS)]
        self.ranks: dict[Hashable, int] = {}

    def get(self, key: Hashable) -> ReadResult | None:
        """The part, which counts as used."""
        rank = self.ranks.get(key)
        if rank is None:
            return None
        self.by_rank[rank].move_to_end(key)
        return self.by_rank[rank][key]

    def put(self, key: Hashable, copy: ReadResult) -> bool:
        """Store a part in place of the one under this key; False if there is no space that it may have."""
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
        """Put the same bytes with other metadata in the place of a part."""
        self.by_rank[self.ranks[key]][key] = copy

    def drop(self, key: Hashable) -> None:
        """Remove a part if it is stored."""
        rank = self.ranks.pop(key, None)
        if rank is not None:
            self.used_bytes -= len(self.by_rank[rank].pop(key).body) + OVERHEAD_BYTES

    def items(self) -> Iterator[tuple[Hashable, ReadResult]]:
        """All parts, by rank and last use; the tier may be changed meanwhile."""
        for parts in self.by_rank:
            yield from list(parts.items())


def _bytes_up_to(parts: OrderedDict[Hashable, ReadResult], enough: int) -> int:
    """Bytes of the parts, counted until there are enough."""
    total = 0
    for copy in parts.values():
        total += len(copy.body) + OVERHEAD_BYTES
        if total >= enough:
            break
    return total
