"""What is worth a place on disk. No I/O, no clock.

A count-min sketch of four-bit counters tells how often a part was asked for lately; a doorkeeper keeps what was asked
for once out of it, so that a scan costs one bit a part. Both age together: after a stated number of counts the counters
are halved and the doorkeeper is emptied (TinyLFU). A newcomer is let in if it is worth more than all that it would
push out together, so that one giant does not outweigh a hundred small parts because it beats each of them alone."""


class Sketch:
    """Counts of 64-bit keys, 0 to 15. `width` counters a row, four rows, and eight bits a counter for the doorkeeper:
    three bytes of memory a counter of width. Halved after `sample` counts."""

    ROWS = 4

    def __init__(self, width, sample=None):
        self.width = 1 << max(6, (int(width) - 1).bit_length())
        self.rows = [bytearray(self.width // 2) for _ in range(self.ROWS)]
        self.door = bytearray(self.width // 8 * 8)  # 8 bits a counter of width
        self.mask, self.counted, self.limit = self.width - 1, 0, sample or 10 * self.width

    def places(self, key):
        # two halves make as many hashes as are wanted (Kirsch, Mitzenmacher, 2006)
        a, b = key & 0xFFFFFFFF, key >> 32 | 1
        return [(a + i * b) & self.mask for i in range(self.ROWS)]

    def bits(self, key):
        size = len(self.door) * 8 - 1
        mixed = key * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
        return (mixed >> 40) & size, (mixed >> 17) & size, (mixed ^ key) & size

    def known(self, key):
        return all(self.door[i >> 3] >> (i & 7) & 1 for i in self.bits(key))

    def count(self, key):
        """One more use of a key."""
        self.counted += 1
        if self.counted >= self.limit:
            self.age()
        if not self.known(key):
            for i in self.bits(key):
                self.door[i >> 3] |= 1 << (i & 7)
            return
        places = self.places(key)
        values = [self.rows[r][i >> 1] >> 4 * (i & 1) & 15 for r, i in enumerate(places)]
        least = min(values)
        if least == 15:
            return
        for r, i in enumerate(places):  # the smallest alone: the others already count somebody else's
            if values[r] == least:
                self.rows[r][i >> 1] += 1 << 4 * (i & 1)

    def estimate(self, key):
        """Uses lately: never under the truth since the last ageing, up to 16."""
        return min(
            self.rows[r][i >> 1] >> 4 * (i & 1) & 15 for r, i in enumerate(self.places(key))
        ) + self.known(key)

    def age(self):
        """Halves all counters; the doorkeeper forgets."""
        for r, row in enumerate(self.rows):
            halved = int.from_bytes(row, "little") >> 1 & int.from_bytes(b"\x77" * len(row), "little")
            self.rows[r] = bytearray(halved.to_bytes(len(row), "little"))
        self.door = bytearray(len(self.door))
        self.counted //= 2


class Admission:
    """Decides on a tier of about `entries` parts. bend weighs size: 0 counts objects alone, 1 bytes alone; room: the share
    of free space that one part which nobody asked for before may take; most: victims that are looked at."""

    SAMPLE = 2  # counts an entry before ageing: ten (TinyLFU) kept what was wanted yesterday (docs/design/store.md)

    def __init__(self, entries, bend=0.5, room=0.0, most=64):
        entries = max(64, int(entries))
        self.sketch, self.bend, self.room, self.most = (
            Sketch(2 * entries, self.SAMPLE * entries),
            bend,
            room,
            most,
        )

    def used(self, key):
        self.sketch.count(key)

    def worth(self, key, size):
        return self.sketch.estimate(key) * max(1, size) ** self.bend

    def admit(self, key, size, free, victims):
        """Whether a newcomer is worth what it pushes out. `free`: bytes that nothing has to go for; `victims`: pairs
        (key, bytes) in the order in which they would go. A list that ends too soon leaves no place."""
        known = self.sketch.estimate(key)
        good = known >= 2 or size <= free * self.room  # once asked for: only where there is much room
        if good and size > free:
            # as long as the next one would go anyway, it costs nothing to be worth more; the sum may not be
            worth, need, cost, seen = self.worth(key, size), size - free, 0.0, 0
            good = False
            for victim, bytes_ in victims:
                cost += self.worth(victim, bytes_)
                need -= bytes_
                seen += 1
                if cost >= worth or seen >= self.most and need > 0:
                    break
                if need <= 0:
                    good = True
                    break
        return good
