"""The memory tier: whole parts, dropped in the brief's order: the lowest rank first, then what was unused longest, and
nothing for a copy of lower rank. No I/O, no clock."""

from collections import OrderedDict

RANKS = 4
OVERHEAD = 400  # bytes a part beside its own: key, record, links (measured with tracemalloc: 350 to 420)


class Memory:
    """`limit` bytes. Keys are (object, part)."""

    def __init__(self, limit):
        self.limit, self.bytes = limit, 0
        self.shelves = [OrderedDict() for _ in range(RANKS)]
        self.rank = {}

    def get(self, key):
        rank = self.rank.get(key)
        if rank is None:
            return None
        self.shelves[rank].move_to_end(key)
        return self.shelves[rank][key]

    def put(self, key, found):
        """Keeps a part; False if nothing may go for it."""
        rank, need = found.rank, len(found.body) + OVERHEAD
        self.drop(key)
        if need > self.limit or need > self.limit - self.bytes + sum(
            self.weight(shelf, need) for shelf in self.shelves[: rank + 1]
        ):
            return False
        for lower in range(rank + 1):
            while self.bytes + need > self.limit and self.shelves[lower]:
                self.drop(next(iter(self.shelves[lower])))
        self.shelves[rank][key] = found
        self.rank[key] = rank
        self.bytes += need
        return True

    @staticmethod
    def weight(shelf, enough):
        """Bytes on a shelf, counted no further than what is needed."""
        total = 0
        for found in shelf.values():
            total += len(found.body) + OVERHEAD
            if total >= enough:
                break
        return total

    def replace(self, key, found):
        """The same bytes with another moment."""
        self.shelves[self.rank[key]][key] = found

    def drop(self, key):
        rank = self.rank.pop(key, None)
        if rank is not None:
            self.bytes -= len(self.shelves[rank].pop(key).body) + OVERHEAD

    def items(self):
        for shelf in self.shelves:
            yield from list(shelf.items())
