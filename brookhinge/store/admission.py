"""Admission policy of the disk tier, based on TinyLFU (Einziger, Friedman, Manes, 2017). No I/O, no clock.

A count-min sketch of four-bit counters estimates how often a part was requested recently. A Bloom filter in
front of it, the doorkeeper, holds parts that were requested only once, so that a scan costs a few bits per
part. Both age together: after a given number of counts the counters are halved and the doorkeeper is cleared.
A candidate is admitted if its value exceeds the total value of all parts that it would evict. Otherwise one
large part could replace a hundred small ones because its value is higher than that of each of them.
"""

from collections.abc import Iterable
from typing import NamedTuple

_MAX_COUNTER = 15
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_UINT64_MASK = 0xFFFFFFFFFFFFFFFF
_HALVED_NIBBLES = b"\x77"  # masks the bit that a right shift moves into the neighboring counter
_DOORKEEPER_BITS_PER_COUNTER = 8
DEFAULT_SIZE_EXPONENT = 0.5
DEFAULT_MAX_VICTIMS = 64


class Victim(NamedTuple):
    """A part that would be evicted, and its size on disk in bytes."""

    key: int
    size: int


class FrequencySketch:
    """Approximate counts of 64-bit keys, from 0 to 16.

    Memory use is three bytes per unit of `width`: four rows of four-bit counters and eight bits of the
    doorkeeper.
    """

    ROWS = 4

    def __init__(self, width: int, sample_size: int | None = None) -> None:
        """Create an empty sketch.

        Args:
            width: Counters per row, rounded up to a power of two.
            sample_size: Number of counts before the sketch ages; ten times the rounded width by default.
        """
        self.width = 1 << max(6, (int(width) - 1).bit_length())
        self.rows = [bytearray(self.width // 2) for _ in range(self.ROWS)]
        self.doorkeeper = bytearray(self.width * _DOORKEEPER_BITS_PER_COUNTER // 8)
        self.mask = self.width - 1
        self.counted = 0
        self.sample_size = sample_size or 10 * self.width

    def _positions(self, key: int) -> list[int]:
        # Double hashing: any number of hashes from the two halves of the key (Kirsch, Mitzenmacher, 2006).
        base = key & 0xFFFFFFFF
        step = key >> 32 | 1
        return [(base + row * step) & self.mask for row in range(self.ROWS)]

    def _doorkeeper_bits(self, key: int) -> tuple[int, int, int]:
        mask = len(self.doorkeeper) * 8 - 1
        mixed = key * _HASH_MULTIPLIER & _UINT64_MASK
        return (mixed >> 40) & mask, (mixed >> 17) & mask, (mixed ^ key) & mask

    def _is_in_doorkeeper(self, key: int) -> bool:
        return all(self.doorkeeper[bit >> 3] >> (bit & 7) & 1 for bit in self._doorkeeper_bits(key))

    def _counters(self, positions: list[int]) -> list[int]:
        return [
            row[position >> 1] >> 4 * (position & 1) & _MAX_COUNTER
            for row, position in zip(self.rows, positions, strict=True)
        ]

    def count(self, key: int) -> None:
        """Count one use of a key."""
        self.counted += 1
        if self.counted >= self.sample_size:
            self.age()
        if not self._is_in_doorkeeper(key):
            for bit in self._doorkeeper_bits(key):
                self.doorkeeper[bit >> 3] |= 1 << (bit & 7)
            return
        positions = self._positions(key)
        counters = self._counters(positions)
        lowest = min(counters)
        if lowest == _MAX_COUNTER:
            return
        # Conservative update: higher counters already include the counts of other keys.
        for row, position, counter in zip(self.rows, positions, counters, strict=True):
            if counter == lowest:
                row[position >> 1] += 1 << 4 * (position & 1)

    def estimate(self, key: int) -> int:
        """Return the approximate recent use count, up to 16; never too low for uses since the last aging."""
        return min(self._counters(self._positions(key))) + self._is_in_doorkeeper(key)

    def age(self) -> None:
        """Halve all counters and clear the doorkeeper."""
        for row_index, row in enumerate(self.rows):
            halved = int.from_bytes(row, "little") >> 1
            halved &= int.from_bytes(_HALVED_NIBBLES * len(row), "little")
            self.rows[row_index] = bytearray(halved.to_bytes(len(row), "little"))
        self.doorkeeper = bytearray(len(self.doorkeeper))
        self.counted //= 2


class AdmissionPolicy:
    """Decides which parts a tier with space for about `entries` parts admits."""

    SAMPLES_PER_ENTRY = 2  # TinyLFU's value of 10 retains outdated parts (docs/design/store.md)

    def __init__(
        self,
        entries: int,
        size_exponent: float = DEFAULT_SIZE_EXPONENT,
        free_share: float = 0.0,
        max_victims: int = DEFAULT_MAX_VICTIMS,
    ) -> None:
        """Create a policy with an empty sketch.

        Args:
            entries: Approximate number of parts that the tier holds.
            size_exponent: Exponent of the size in the value of a part: 0 ignores size, 1 counts every byte.
            free_share: Share of the free space that a part requested only once may take, from 0 to 1.
            max_victims: Maximum number of victims compared with one candidate.
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
        """Return the value of keeping a part: its recent use count, weighted by its size."""
        return self.sketch.estimate(key) * max(1, size) ** self.size_exponent

    def admits(self, key: int, size: int, free: int, victims: Iterable[Victim]) -> bool:
        """Return whether a candidate is worth more than the parts that it would evict.

        Args:
            key: Index key of the candidate.
            size: Size of the candidate on disk in bytes.
            free: Bytes that are available without eviction.
            victims: Parts that would be evicted, in order. The candidate is rejected if they free too little.
        """
        if self.sketch.estimate(key) < 2 and size > free * self.free_share:
            return False
        if size <= free:
            return True
        return self._outweighs(self.value(key, size), size - free, victims)

    def _outweighs(self, value: float, needed: int, victims: Iterable[Victim]) -> bool:
        victims_value = 0.0
        for count, victim in enumerate(victims, 1):
            victims_value += self.value(victim.key, victim.size)
            needed -= victim.size
            if victims_value >= value:
                return False
            if needed <= 0:
                return True
            if count >= self.max_victims:
                return False
        return False
