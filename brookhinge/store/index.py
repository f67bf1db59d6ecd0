"""The index of what is on disk: parallel arrays under an open-addressing table, some 75 bytes a part where a dict of
objects takes several times that (measured in benchmarks/store.py). No I/O.

An entry is an extent: a run of a part's chunks in one record. The entries of a part form a chain, all of one version;
the first of them stands in the table and in the list of its rank by last use."""

from array import array

NONE = 0xFFFFFFFF
FIELDS = (
    ("key", "Q"),
    ("version", "I"),
    ("segment", "I"),
    ("place", "I"),
    ("length", "I"),
    ("size", "I"),
    ("dated", "d"),
    ("epoch", "I"),
    ("first", "H"),
    ("count", "H"),
    ("group", "H"),
    ("rank", "B"),
    ("chain", "I"),
    ("older", "I"),
    ("newer", "I"),
)
RANKS = 4


class Index:
    """Entries are small integers. `live` counts the bytes of records in use by segment."""

    def __init__(self):
        self.set_columns([array(kind) for _, kind in FIELDS])
        self.slots = array("I", [NONE]) * 1024
        self.free, self.parts, self.entries = NONE, 0, 0
        self.oldest, self.newest = [NONE] * RANKS, [NONE] * RANKS
        self.bytes = [0] * RANKS
        self.live = {}

    def set_columns(self, columns):
        self.columns = columns
        for (name, _), column in zip(FIELDS, columns):
            setattr(self, name, column)

    # the table

    def find(self, key):
        """The first entry of a part, or None."""
        slots, keys = self.slots, self.key
        mask = len(slots) - 1
        i = key & mask
        while (entry := slots[i]) != NONE:
            if keys[entry] == key:
                return entry
            i = i + 1 & mask
        return None

    def slot_of(self, entry):
        mask = len(self.slots) - 1
        i = self.key[entry] & mask
        while self.slots[i] != entry:
            i = i + 1 & mask
        return i

    def enter(self, entry):
        if 3 * (self.parts + 1) > 2 * len(self.slots):
            old, self.slots = self.slots, array("I", [NONE]) * (2 * len(self.slots))
            for known in old:
                if known != NONE:
                    self.put_slot(known)
        self.put_slot(entry)
        self.parts += 1

    def put_slot(self, entry):
        mask = len(self.slots) - 1
        i = self.key[entry] & mask
        while self.slots[i] != NONE:
            i = i + 1 & mask
        self.slots[i] = entry

    def clear_slot(self, i):
        """Empties a slot and moves up what stood behind it, so that no search ends early."""
        slots, keys = self.slots, self.key
        mask = len(slots) - 1
        j = i
        while True:
            j = j + 1 & mask
            if slots[j] == NONE:
                break
            home = keys[slots[j]] & mask
            if (j - home & mask) >= (j - i & mask):
                slots[i] = slots[j]
                i = j
        slots[i] = NONE
        self.parts -= 1

    # use

    def link(self, entry):
        rank = self.rank[entry]
        last = self.newest[rank]
        self.older[entry], self.newer[entry] = last, NONE
        if last != NONE:
            self.newer[last] = entry
        else:
            self.oldest[rank] = entry
        self.newest[rank] = entry

    def unlink(self, entry):
        rank, older, newer = self.rank[entry], self.older[entry], self.newer[entry]
        if older != NONE:
            self.newer[older] = newer
        else:
            self.oldest[rank] = newer
        if newer != NONE:
            self.older[newer] = older
        else:
            self.newest[rank] = older

    def touch(self, entry):
        if self.newest[self.rank[entry]] != entry:
            self.unlink(entry)
            self.link(entry)

    def set_rank(self, entry, rank):
        if self.rank[entry] == rank:
            return
        self.unlink(entry)
        moved = sum(self.length[e] for e in self.chain_of(entry))
        self.bytes[self.rank[entry]] -= moved
        self.bytes[rank] += moved
        for e in self.chain_of(entry):
            self.rank[e] = rank
        self.link(entry)

    def victims(self, rank):
        """Parts in the order in which they are dropped for a copy of that rank: the lowest rank first, then what was
        unused longest; never one of a higher rank."""
        for lower in range(rank + 1):
            entry = self.oldest[lower]
            while entry != NONE:
                after = self.newer[entry]
                yield entry
                entry = after

    # entries

    def chain_of(self, entry):
        while entry != NONE:
            after = self.chain[entry]
            yield entry
            entry = after

    def chunks(self, entry):
        held = 0
        for e in self.chain_of(entry):
            held |= (1 << self.count[e]) - 1 << self.first[e]
        return held

    def add(self, key, version, segment, place, length, size, dated, epoch, first, count, group, rank):
        """Takes a record. One of another version than what is held takes its place, unless it is older; of the same
        version it joins it. Returns the part's first entry, or None if the record is older."""
        known = self.find(key)
        if known is not None and self.version[known] != version:
            if dated < self.dated[known]:
                return None
            self.drop(known)
            known = None
        entry = self.free
        values = (
            key,
            version,
            segment,
            place,
            length,
            size,
            dated,
            epoch,
            first,
            count,
            group,
            rank,
            NONE,
            NONE,
            NONE,
        )
        if entry != NONE:
            self.free = self.chain[entry]
            for column, value in zip(self.columns, values):
                column[entry] = value
        else:
            entry = len(self.key)
            for column, value in zip(self.columns, values):
                column.append(value)
        self.entries += 1
        self.live[segment] = self.live.get(segment, 0) + length
        self.bytes[rank] += length
        if known is None:
            self.enter(entry)
            self.link(entry)
            return entry
        self.set_rank(known, rank)
        self.shed(known, first, count)
        if self.find(key) is None:  # all that was held is in the new record
            self.enter(entry)
            self.link(entry)
            return entry
        known = self.find(key)
        self.chain[entry], self.chain[known] = self.chain[known], entry
        for e in self.chain_of(known):  # one copy has one moment
            self.dated[e] = max(dated, self.dated[e])
            self.epoch[e] = epoch
        return known

    def shed(self, entry, first, count):
        """Drops the extents of a part that lie whole within a newer one."""
        for e in list(self.chain_of(entry)):
            if first <= self.first[e] and self.first[e] + self.count[e] <= first + count:
                self.drop_extent(e)

    def drop(self, entry):
        """Forgets a part."""
        self.clear_slot(self.slot_of(entry))
        self.unlink(entry)
        for e in list(self.chain_of(entry)):
            self.release(e)

    def drop_extent(self, entry):
        """Forgets one record of a part; the part goes with its last."""
        head = self.find(self.key[entry])
        if entry == head:
            after = self.chain[entry]
            if after == NONE:
                return self.drop(entry)
            self.unlink(entry)
            self.slots[self.slot_of(entry)] = after
            self.link(after)
        else:
            before = next(e for e in self.chain_of(head) if self.chain[e] == entry)
            self.chain[before] = self.chain[entry]
        self.release(entry)

    def release(self, entry):
        segment = self.segment[entry]
        if segment in self.live:  # else the segment has gone before what was known of it
            self.live[segment] -= self.length[entry]
        self.bytes[self.rank[entry]] -= self.length[entry]
        self.entries -= 1
        self.segment[entry] = NONE
        self.chain[entry], self.free = self.free, entry

    def move(self, entry, segment, place):
        """A record has been copied elsewhere by cleaning."""
        length = self.length[entry]
        if self.segment[entry] in self.live:
            self.live[self.segment[entry]] -= length
        self.live[segment] = self.live.get(segment, 0) + length
        self.segment[entry], self.place[entry] = segment, place

    def of_segment(self, segment):
        """The entries whose records lie there, by place."""
        places = self.segment
        found = [e for e in range(len(places)) if places[e] == segment]
        return sorted(found, key=self.place.__getitem__)

    def at(self, key, segment, place):
        """The entry of the record at a place, if the part still uses it."""
        head = self.find(key)
        if head is not None:
            for e in self.chain_of(head):
                if self.segment[e] == segment and self.place[e] == place:
                    return e
        return None

    def forget_segments(self, gone):
        for e in range(len(self.segment)):
            if self.segment[e] != NONE and self.segment[e] in gone:
                self.drop_extent(e)
        for segment in gone:
            self.live.pop(segment, None)

    # a picture

    def picture(self):
        """(figures, buffers): all of it as it stands, copied."""
        return (
            [
                len(self.key),
                len(self.slots),
                self.free,
                self.parts,
                self.entries,
                *self.oldest,
                *self.newest,
                *self.bytes,
            ],
            [column.tobytes() for column in self.columns] + [self.slots.tobytes()],
        )

    @classmethod
    def from_picture(cls, figures, data, at):
        index = cls()
        count, slots, index.free, index.parts, index.entries = figures[:5]
        index.oldest, index.newest, index.bytes = (
            list(figures[5 + RANKS * i : 5 + RANKS * (i + 1)]) for i in range(3)
        )
        for column in index.columns:
            end = at + count * column.itemsize
            column.frombytes(data[at:end])
            at = end
        index.slots = array("I")
        index.slots.frombytes(data[at : at + 4 * slots])
        return index
