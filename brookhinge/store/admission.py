"""Which copies are worth a place on disk. No I/O, no clock.

A count-min sketch of four-bit counters estimates how often a part was asked for lately; a doorkeeper, a Bloom
filter, keeps what was asked for once out of it, so that a scan costs a few bits a part. Both age together:
after a stated number of counts the counters are halved and the doorkeeper is emptied (TinyLFU: Einziger,
Friedman, Manes, 2017). A candidate is admitted if it is worth more than all that it would evict together, so
that one large part does not outweigh a hundred small ones because it beats each of them alone.
"""

from collections.abc import Iterable
from typing import NamedTuple

_MAX_COUNTER = 15
_HASH_MIX = 0x9E3779B97F4A7C15
_UINT64_MASK = 0xFFFFFFFFFFFFFFFF
_HALVED_NIBBLES = b"\x77"  # keeps the bits of a halved counter from running into its neighbour
_DOORKEEPER_BITS_PER_COUNTER = 8
DEFAULT_SIZE_EXPONENT = 0.5
DEFAULT_MAX_VICTIMS = 64


class Victim(NamedTuple):
    """A part that would be evicted, and its bytes on disk."""

    key: int
    size: int


class FrequencySketch:
    """Approximate counts of 64-bit keys, 0 to 16.

    Takes three bytes of memory for each counter of a row: four rows of four bits, and eight bits of the
    doorkeeper.
    """

    ROWS = 4

    def __init__(self, width: int, sample: int | None = None) -> None:
        """`width`: counters in a row, rounded up to a power of two; `sample`: counts between two ageings."""
        self.width = 1 << max(6, (int(width) - 1).bit_length())
        self.rows = [bytearray(self.width // 2) for _ in range(self.ROWS)]
        self.doorkeeper = bytearray(self.width * _DOORKEEPER_BITS_PER_COUNTER // 8)
        self.mask = self.width - 1
        self.counted = 0
        self.sample = sample or 10 * self.width

    def _positions(self, key: int) -> list[int]:
        # two halves make as many hashes as are wanted (Kirsch, Mitzenmacher, 2006)
        base = key & 0xFFFFFFFF
        step = key >> 32 | 1
        return [(base + row * step) & self.mask for row in range(self.ROWS)]

    def _doorkeeper_bits(self, key: int) -> tuple[int, int, int]:
        mask = len(self.doorkeeper) * 8 - 1
        mixed = key * _HASH_MIX & _UINT64_MASK
        return (mixed >> 40) & mask, (mixed >> 17) & mask, (mixed ^ key) & mask

    def _passed_doorkeeper(self, key: int) -> bool:
        return all(self.doorkeeper[bit >> 3] >> (bit & 7) & 1 for bit in self._doorkeeper_bits(key))

    def _counters(self, positions: list[int]) -> list[int]:
        return [
            row[position >> 1] >> 4 * (position & 1) & _MAX_COUNTER
            for row, position in zip(self.rows, positions, strict=True)
        ]

    def count(self, key: int) -> None:
        """Count one use of a key."""
        self.counted += 1
        if self.counted >= self.sample:
            self.age()
        if not self._passed_doorkeeper(key):
            for bit in self._doorkeeper_bits(key):
                self.doorkeeper[bit >> 3] |= 1 << (bit & 7)
            return
        positions = self._positions(key)
        counters = self._counters(positions)
        least = min(counters)
        if least == _MAX_COUNTER:
            return
        # the smallest alone: the others already count other keys as well
        for row, position, counter in zip(self.rows, positions, counters, strict=True):
            if counter == least:
                row[position >> 1] += 1 << 4 * (position & 1)

    def estimate(self, key: int) -> int:
        """Uses lately; up to 16, and never too few since the last ageing."""
        return min(self._counters(self._positions(key))) + self._passed_doorkeeper(key)

    def age(self) -> None:
        """Halve all counters and empty the doorkeeper."""
        for number, row in enumerate(self.rows):
            halved = int.from_bytes(row, "little") >> 1
            halved &= int.from_bytes(_HALVED_NIBBLES * len(row), "little")
            self.rows[number] = bytearray(halved.to_bytes(len(row), "little"))
        self.doorkeeper = bytearray(len(self.doorkeeper))
        self.counted //= 2


class AdmissionPolicy:
    """Decides what a tier of about `entries` parts admits."""

    SAMPLES_PER_ENTRY = 2  # ten, as in TinyLFU, keeps what was wanted yesterday (docs/design/store.md)

    def __init__(
        self,
        entries: int,
        size_exponent: float = DEFAULT_SIZE_EXPONENT,
        free_share: float = 0.0,
        max_victims: int = DEFAULT_MAX_VICTIMS,
    ) -> None:
        """Size the sketch.

        Args:
            entries: Parts that the tier holds, about.
            size_exponent: Weighs size: 0 values objects alone, 1 bytes alone.
            free_share: Share of the free space that a part asked for only once may take.
            max_victims: Parts that are compared with one candidate, at most.
        """
        entries = max(64, int(entries))
        self.sketch = FrequencySketch(2 * entries, self.SAMPLES_PER_ENTRY * entries)
        self.size_exponent = size_exponent
        self.free_share = free_share
        self.max_victims = max_victims

    def record_use(self, key: int) -> None:
        """Count one use of a part."""
        self.sketch.count(key)

    def value(self, key: int, size: int) -> float:
        """What keeping a part is worth: its uses lately, weighted by its size."""
        return self.sketch.estimate(key) * max(1, size) ** self.size_exponent

    def admits(self, key: int, size: int, free: int, victims: Iterable[Victim]) -> bool:
        """Whether a candidate is worth what it evicts.

        Args:
            key: Of the candidate.
            size: Bytes of the candidate on disk.
            free: Bytes that can be had without evicting anything.
            victims: What would be evicted, in that order. If it ends too soon there is no space.
        """
        if self.sketch.estimate(key) < 2 and size > free * self.free_share:
            return False
        if size <= free:
            return True
        return self._outweighs(self.value(key, size), size - free, victims)

    def _outweighs(self, value: float, needed: int, victims: Iterable[Victim]) -> bool:
        cost = 0.0
        for compared, victim in enumerate(victims, 1):
            cost += self.value(victim.key, victim.size)
            needed -= victim.size
            if cost >= value:
                return False
            if needed <= 0:
                return True
            if compared >= self.max_victims:
                return False
        return False
