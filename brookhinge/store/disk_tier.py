"""The disk tier: segments, index, ledger and pictures in one folder. All calls may come from any thread; none is made on
an event loop but `look`, `drop`, `renew`, `note_purge`, `aside_all` and `figures`, which touch memory alone.

Files of a store:
    store                  which store this is, and the version of its format
    lock                   held by the process that uses it
    s-00000001.seg ...     records, append-only; only the last is written to
    purges.log             the ledger
    index-00000001.snap    pictures of the index, two generations
"""

import contextlib
import secrets
import struct
import threading

from brookhinge.store import cleaning, index_snapshot
from brookhinge.store.files import read_whole, write_whole
from brookhinge.store.index import NONE, Index
from brookhinge.store.purge_ledger import GROUP, OBJECT, Ledger
from brookhinge.store.records import (
    ALIGN,
    CHUNK,
    FILE_HEAD,
    HEAD,
    LEDGER,
    MAGIC,
    SEGMENT,
    STORE,
    Copy,
    Damaged,
    Found,
    Held,
    OtherVersion,
    assemble,
    check_chunks,
    decode,
    encode,
    file_head,
    key_of,
    length_of,
    place_seed,
    read_file_head,
    told_length,
    usable,
    version_of,
)

PIECE = 4 * 1024 * 1024  # read at once when a segment is looked through
GENERATIONS = 2
LOOSE = 4  # a ledger of over so many times its necessary records is written anew
TRIED = 4  # segments that are cleaned for one record at most


class StoreUnusable(Exception):
    """A folder that can't be used as a store, and why. Nothing in it was changed."""


class Segment:
    """One file of records. `pins`: reads under way, which a removal waits for."""

    __slots__ = ("number", "handle", "size", "synced", "pins", "removed")

    def __init__(self, number, handle, size, synced):
        self.number, self.handle, self.size, self.synced = number, handle, size, synced
        self.pins, self.removed = 0, False


def segment_name(number):
    return f"s-{number:08d}.seg"


def picture_name(number):
    return f"index-{number:08d}.snap"


def numbered(names, before, after):
    return sorted(
        int(n[len(before) : -len(after)])
        for n in names
        if n.startswith(before) and n.endswith(after) and n[len(before) : -len(after)].isdigit()
    )


class DiskTier:
    """limit, segment_bytes: bytes on disk in all and in a segment. admit(key, size, free, victims) decides on what is
    not asked to be kept at any price; say(event, **values) is the log."""

    def __init__(
        self, files, limit, segment_bytes, say=lambda event, **values: None, admit=None, most_purges=65536
    ):
        self.files, self.limit, self.segment_bytes = files, int(limit), int(segment_bytes)
        self.room = cleaning.room(self.limit, self.segment_bytes)
        self.say, self.admit, self.most_purges = say, admit, most_purges
        self.lock, self.writing = threading.RLock(), threading.RLock()
        self.lock_handle = self.ledger_handle = None
        self.counts = dict.fromkeys(
            (
                "reads",
                "written",
                "written_bytes",
                "copied_bytes",
                "damaged",
                "kept_out",
                "evicted",
                "purges",
                "cleaned",
                "renewed",
            ),
            0,
        )
        self.blank()

    def blank(self):
        self.index, self.ledger = Index(), Ledger(self.most_purges)
        self.segments, self.active, self.store, self.serial = {}, None, 0, 0
        self.epoch, self.next_segment, self.next_picture, self.ledger_size = 1, 1, 1, 0
        self.suspects, self.dirty, self.unwritten = set(), 0, False

    # opening

    def open(self):
        """Takes the folder: the last picture that can be relied on and the records after it. Everything found is set
        aside. Returns figures of the recovery."""
        with self.writing, self.lock:
            files = self.files
            files.make_folder()
            self.lock_handle = files.lock("lock")
            try:
                return self.recover(files.names())
            except BaseException:
                self.abandon()
                raise

    def recover(self, names):
        files, figures = self.files, dict(pictures=0, segments=0, scanned_bytes=0, damaged=0, purges=0)
        self.blank()
        if "store" not in names:
            if numbered(names, "s-", ".seg"):
                raise StoreUnusable(
                    "segments without the file 'store': which store they belong to is not known"
                )
            write_whole(files, "store", [file_head(STORE, secrets.randbits(63), 0)])
        try:
            self.store, _ = read_file_head(STORE, read_whole(files, "store"))
        except OtherVersion as fault:
            raise StoreUnusable(f"a store of {fault}") from None
        except Damaged as fault:
            raise StoreUnusable(f"the file 'store': {fault}") from None
        for name in names:
            if name.endswith(".new"):  # a file that was being written when the process ended
                files.remove(name)
        figures["purges"], lost = self.read_ledger(names)
        if lost:
            self.say("ledger damaged", bytes=lost)
        covered = self.read_picture(names, figures)
        self.read_segments(names, covered, figures)
        self.epoch += 1  # nothing found is served before its source said that it is unchanged
        if lost:  # what was purged there is not known: nothing on disk can be relied on
            self.forget_all()
        self.rewrite_ledger()
        figures["parts"], figures["bytes"] = self.index.parts, sum(self.index.bytes)
        return figures

    def read_ledger(self, names):
        if "purges.log" not in names:
            return 0, 0
        data = read_whole(self.files, "purges.log")
        try:
            whose, _ = read_file_head(LEDGER, data)
            if whose != self.store:
                raise Damaged("a ledger of another store")
        except OtherVersion as fault:
            raise StoreUnusable(f"a ledger of {fault}") from None
        except Damaged:
            self.ledger.replay(data[FILE_HEAD.size :])
            return 0, len(data)
        return self.ledger.replay(memoryview(data)[FILE_HEAD.size :])

    def read_picture(self, names, figures):
        """{segment: bytes} that the newest usable picture covers; its index is taken."""
        numbers = numbered(names, "index-", ".snap")
        self.next_picture = max(numbers, default=0) + 1
        for number in reversed(numbers):
            try:
                _, self.serial, covered, self.index = index_snapshot.decode(
                    read_whole(self.files, picture_name(number)), self.store
                )
            except (Damaged, OtherVersion, OSError, struct.error) as fault:
                self.say("picture skipped", name=picture_name(number), why=str(fault))
                figures["damaged"] += 1
                continue
            figures["pictures"] = number
            self.epoch = max(self.index.epoch, default=0) + 1
            return covered
        self.index = Index()
        return {}

    def read_segments(self, names, covered, figures):
        numbers = numbered(names, "s-", ".seg")
        self.next_segment = max([*numbers, *covered], default=0) + 1
        for number in numbers:
            try:
                self.segments[number] = self.open_segment(number)
            except (Damaged, OtherVersion) as fault:
                self.say("segment skipped", name=segment_name(number), why=str(fault))
                figures["damaged"] += 1
                self.files.remove(
                    segment_name(number)
                )  # its head was never written: nothing in it was ever known
        gone = {n for n in covered if n not in self.segments}
        gone |= {
            n for n, s in self.segments.items() if covered.get(n, 0) > s.size
        }  # shorter than what was known
        if gone:
            self.index.forget_segments(gone)
        for number, segment in self.segments.items():
            figures["segments"] += 1
            begin = 0 if number in gone else covered.get(number, 0)
            if segment.size > max(begin, FILE_HEAD.size):
                _, damaged = self.scan(
                    segment,
                    max(begin, FILE_HEAD.size),
                    lambda place, head, _, number=number: self.take_scanned(number, place, head),
                )
                figures["scanned_bytes"] += segment.size - begin
                figures["damaged"] += damaged

    def open_segment(self, number):
        handle = self.files.open(segment_name(number))
        try:
            whose, named = read_file_head(SEGMENT, self.files.read(handle, 0, FILE_HEAD.size))
            if (whose, named) != (self.store, number):
                raise Damaged("a segment of another store, or under another name")
        except BaseException:
            self.files.close(handle)
            raise
        size = self.files.size(handle)
        return Segment(number, handle, size, size)

    def scan(self, segment, begin, take):
        """Looks through a segment from `begin` on; take(place, head, body) for every record that is whole. Returns how
        many there were, and how many places could not be read; what follows a damage is found again."""
        at, found, damaged, lost, size = begin, 0, 0, False, segment.size
        data, base = b"", begin

        def window(need):
            """Where `at` stands in data, which holds `need` bytes from there on, or all there are."""
            nonlocal data, base
            if at - base + need > len(data):
                data, base = self.files.read(segment.handle, at, min(max(PIECE, need), size - at)), at
            return at - base

        while at + HEAD.size <= size:
            place = window(HEAD.size)
            if len(data) - place < HEAD.size:
                break
            need = told_length(data, place)
            if HEAD.size <= need <= size - at:
                place = window(need)
                try:
                    head = decode(data, place_seed(self.store, segment.number, at), place)
                    body = memoryview(data)[place + head.body_at : place + head.body_at + head.body_size]
                    if len(body) < head.body_size:
                        raise Damaged("a record that is cut off")
                    check_chunks(head.table, body)
                    take(at, head, body)
                    found, at, lost = found + 1, at + head.length, False
                    continue
                except Damaged:
                    pass
            damaged, lost = damaged + (not lost), True
            near = data.find(MAGIC, place + 1)
            while near >= 0 and (base + near) % ALIGN:
                near = data.find(MAGIC, near + 1)
            at = base + near if near >= 0 else max(at + ALIGN, (base + len(data) - 3) // ALIGN * ALIGN)
        return found, damaged

    def take_scanned(self, segment, place, head):
        self.serial = max(self.serial, head.serial)
        if not self.ledger.purged(head.object, head.group, head.dated):
            self.index.add(
                key_of(head.object, head.part),
                version_of(head),
                segment,
                place // ALIGN,
                head.length,
                head.size,
                head.dated,
                self.epoch,
                head.first,
                len(head.table),
                head.group,
                head.rank,
            )

    def forget_all(self):
        for entry in [e for e in range(len(self.index.segment)) if self.index.segment[e] != NONE]:
            if self.index.segment[entry] != NONE:
                self.index.drop_extent(entry)

    # looking and reading

    def look(self, object_, part):
        """Held or None, from memory alone; what was purged is not held."""
        with self.lock:
            entry = self.index.find(key_of(object_, part))
            if entry is None:
                return None
            i = self.index
            if self.ledger.purged(object_, i.group[entry], i.dated[entry]):
                i.drop(entry)
                return None
            return Held(
                i.dated[entry],
                i.group[entry],
                i.rank[entry],
                i.size[entry],
                i.epoch[entry] != self.epoch,
                i.chunks(entry),
            )

    def read(self, object_, part, start=0, stop=None):
        """Found with the checked bytes of [start, stop), or None if not all of them are there. What does not fit its
        check is a miss, is counted, and its segment is looked over at leisure. OSError is the disk's."""
        key, wanted = key_of(object_, part), []
        with self.lock:
            i = self.index
            entry = i.find(key)
            if entry is None:
                return None
            dated, group, rank, size = i.dated[entry], i.group[entry], i.rank[entry], i.size[entry]
            if self.ledger.purged(object_, group, dated):
                i.drop(entry)
                return None
            aside, at = i.epoch[entry] != self.epoch, start
            stop = size if stop is None else min(stop, size)
            i.touch(entry)
            extents = (
                (entry,) if i.chain[entry] == NONE else sorted(i.chain_of(entry), key=i.first.__getitem__)
            )
            for e in extents:
                first = i.first[e] * CHUNK
                last = min(size, first + i.count[e] * CHUNK)
                if first <= at < last and at < stop:
                    wanted.append(
                        (
                            self.segments[i.segment[e]],
                            i.place[e] * ALIGN,
                            i.length[e],
                            at - first,
                            min(stop, last) - first,
                        )
                    )
                    at = min(stop, last)
            if at < stop or start >= stop:
                return None
            for segment, *_ in wanted:
                segment.pins += 1
            self.counts["reads"] += 1
        try:
            pieces, tag = [], None
            for segment, place, length, begin, end in wanted:
                head, body, got = self.read_extent(segment, place, length, begin, end)
                if (
                    head.object != object_
                    or head.part != part
                    or head.size != size
                    or tag not in (None, head.tag)
                ):
                    raise Damaged("a record of something else")
                tag = head.tag
                pieces.append(body[begin - got : end - got])
            return Found(tag, dated, group, rank, size, b"".join(pieces), aside, start)
        except Damaged as fault:
            with self.lock:
                self.counts["damaged"] += 1
                self.suspects.update(segment.number for segment, *_ in wanted)
                entry = self.index.find(key)
                if entry is not None:
                    self.index.drop(entry)
            self.say(
                "damaged",
                why=str(fault),
                object=object_.decode("latin-1"),
                part=part,
                segments=sorted({segment.number for segment, *_ in wanted}),
            )
            return None
        finally:
            with self.lock:
                for segment, *_ in wanted:
                    self.unpin(segment)

    def read_extent(self, segment, place, length, begin, end):
        """(head, checked bytes, where they begin) of the whole chunks around [begin, end) of a record's body."""
        first, last = begin // CHUNK, -(-end // CHUNK)
        seed = place_seed(self.store, segment.number, place)
        whole = length <= 2 * CHUNK or (last - first) * CHUNK * 2 >= length
        data = self.files.read(segment.handle, place, length if whole else 4096)
        head = decode(data, seed)
        if head.length != length or last > len(head.table):
            raise Damaged("a record of another length")
        at, size = head.body_at + first * CHUNK, min(last * CHUNK, head.body_size) - first * CHUNK
        body = (
            memoryview(data)[at : at + size] if whole else self.files.read(segment.handle, place + at, size)
        )
        if len(body) < size:
            raise Damaged("a record that is cut off")
        check_chunks(head.table, body, first)
        return head, body, first * CHUNK

    def unpin(self, segment):
        segment.pins -= 1
        if segment.removed and not segment.pins:
            self.files.close(segment.handle)

    # writing

    def write(self, copy, surely=False):
        """Keeps a copy if it is worth its place (`surely`: without asking). True if it was written. OSError is the
        disk's: what was half written is never known."""
        why = usable(copy)
        if why:
            raise ValueError(why)
        key, need = (
            key_of(copy.object, copy.part),
            length_of(len(copy.object), len(copy.tag), -(-len(copy.body) // CHUNK), len(copy.body)),
        )
        if need > self.segment_bytes - FILE_HEAD.size:
            self.counts["kept_out"] += 1
            return False
        with self.writing:
            with self.lock:
                if self.ledger.purged(copy.object, copy.group, copy.dated):
                    return False
                free = self.room - sum(self.index.bytes)
                if (
                    not surely
                    and self.admit
                    and not self.admit(key, need, free, self.weigh_victims(copy.rank, key))
                ):
                    self.counts["kept_out"] += 1
                    return False
                if not self.make_place(need, copy.rank, key):
                    self.counts["kept_out"] += 1
                    return False
            segment = self.place_for(need)
            if segment is None:
                self.counts["kept_out"] += 1
                return False
            self.serial += 1
            buffers, _ = encode(copy, self.serial, place_seed(self.store, segment.number, segment.size))
            place = self.append(segment, buffers, need)
            with self.lock:
                # a purge may have come meanwhile: looked at again, for it did not see this copy
                if not self.ledger.purged(copy.object, copy.group, copy.dated):
                    self.index.add(
                        key,
                        version_of(copy),
                        segment.number,
                        place // ALIGN,
                        need,
                        copy.size,
                        copy.dated,
                        self.epoch,
                        copy.start // CHUNK,
                        -(-len(copy.body) // CHUNK),
                        copy.group,
                        copy.rank,
                    )
                self.counts["written"] += 1
                self.counts["written_bytes"] += need
            return True

    def weigh_victims(self, rank, but):
        for entry in self.index.victims(rank):
            if self.index.key[entry] != but:
                yield self.index.key[entry], sum(self.index.length[e] for e in self.index.chain_of(entry))

    def make_place(self, need, rank, but):
        """Drops what has to go for a record; False if nothing of that rank or below is left to go."""
        over = sum(self.index.bytes) + need - self.room
        if over <= 0:
            return True
        gone = []
        for entry in self.index.victims(rank):
            if over <= 0:
                break
            if self.index.key[entry] != but:
                gone.append(entry)
                over -= sum(self.index.length[e] for e in self.index.chain_of(entry))
        if over > 0:
            return False
        for entry in gone:
            self.index.drop(entry)
        self.counts["evicted"] += len(gone)
        return True

    def place_for(self, need):
        """The segment that a record of so many bytes goes to, or None if no space can be made for a new one."""
        if self.active is None or self.active.size + need > self.segment_bytes:
            self.seal()
            for _ in range(TRIED):
                if not self.clean():
                    break
            if self.active is not None and self.active.size + need <= self.segment_bytes:
                return self.active  # cleaning has begun it
            if sum(s.size for s in self.segments.values()) + need > self.limit:
                return None
            self.active = self.new_segment()
        return self.active

    def new_segment(self):
        number, self.next_segment = self.next_segment, self.next_segment + 1
        handle = self.files.create(segment_name(number))
        try:
            self.files.write(handle, 0, [file_head(SEGMENT, self.store, number)])
        except OSError:
            self.files.close(handle)
            with contextlib.suppress(OSError):
                self.files.remove(segment_name(number))
            raise
        segment = Segment(number, handle, FILE_HEAD.size, 0)
        with self.lock:
            self.segments[number] = segment
            self.index.live[number] = 0
        self.unwritten = True  # its name in the folder is not durable yet
        return segment

    def append(self, segment, buffers, need):
        place = segment.size
        try:
            self.files.write(segment.handle, place, buffers)
        except OSError:
            # what stands there now is not known: nothing is ever written behind it
            segment.size = max(segment.size, FILE_HEAD.size)
            self.active = None
            raise
        segment.size += need
        self.dirty += need
        return place

    def seal(self):
        """The last segment takes no more."""
        if self.active is not None:
            self.sync()
            self.active = None

    def sync(self):
        """What was written so far is durable after this, or is not known any more: a sync that failed may have lost
        any of it, and a second one would not say so."""
        with self.writing:
            for segment in [s for s in self.segments.values() if s.synced < s.size]:
                size = segment.size
                try:
                    self.files.sync(segment.handle)
                    if self.unwritten:
                        self.files.sync_folder()
                        self.unwritten = False
                except OSError:
                    self.distrust(segment)
                    raise
                segment.synced = size
            self.dirty = 0

    def distrust(self, segment):
        with self.lock:
            for entry in self.index.of_segment(segment.number):
                if (
                    self.index.place[entry] * ALIGN >= segment.synced
                    and self.index.segment[entry] == segment.number
                ):
                    self.index.drop_extent(entry)
            segment.synced = segment.size  # of what is still known
            if self.active is segment:
                self.active = None

    # purges

    def purge(self, kind, name, when):
        """Durable when this comes back. What it hits is not served from the moment of the call on."""
        self.write_purge(self.note_purge(kind, name, when))

    def note_purge(self, kind, name, when):
        """The purge as memory knows it: enough to serve nothing that it hits, not enough to call it taken. Returns
        its record."""
        with self.lock:
            self.counts["purges"] += 1
            return self.ledger.take(kind, name, when)

    def bound_purges(self, now):
        with self.lock:
            self.ledger.bound(now)

    def write_purge(self, raw):
        with self.writing:
            if self.ledger_handle is None:
                raise OSError(5, "the ledger is closed")
            try:
                self.files.write(self.ledger_handle, self.ledger_size, [raw])
                self.files.sync(self.ledger_handle)
            except OSError:
                handle, self.ledger_handle = self.ledger_handle, None
                with contextlib.suppress(OSError):
                    self.files.close(handle)
                raise
            self.ledger_size += len(raw)
            if self.ledger_size > 65536 + LOOSE * 64 * (len(self.ledger.objects) + len(self.ledger.groups)):
                self.rewrite_ledger()

    def rewrite_ledger(self):
        """The ledger anew from memory, in the fewest records."""
        with self.writing:
            if self.ledger_handle is not None:
                self.files.close(self.ledger_handle)
                self.ledger_handle = None
            with self.lock:
                data = [file_head(LEDGER, self.store, 0), *self.ledger.records()]
            write_whole(self.files, "purges.log", [b"".join(data)])
            self.ledger_handle = self.files.open("purges.log", write=True)
            self.ledger_size = sum(map(len, data))

    # trust

    def aside_all(self):
        """Purges may have been missed: nothing that is held now is served before its source says it is unchanged."""
        with self.lock:
            self.epoch += 1

    def renew(self, object_, part, tag, size, dated):
        """The source says that the copy it was asked about is unchanged, and gave out its own at `dated`. Whether the
        copy counts again: one from before a known purge does not."""
        with self.lock:
            entry = self.index.find(key_of(object_, part))
            i = self.index
            version = version_of(Copy(object_, part, tag, dated, 0, 0, size, b""))
            if entry is None or not tag or i.version[entry] != version:
                return False
            if self.ledger.purged(object_, i.group[entry], dated) or dated < i.dated[entry]:
                return False
            for e in i.chain_of(entry):
                i.dated[e], i.epoch[e] = dated, self.epoch
            self.counts["renewed"] += 1
            return True

    def drop(self, object_, part):
        with self.lock:
            entry = self.index.find(key_of(object_, part))
            if entry is not None:
                self.index.drop(entry)

    # care

    def clean(self):
        """Frees one segment if there is not room for two more. False if there was nothing to do."""
        with self.writing:
            with self.lock:
                sizes = {n: s.size for n, s in self.segments.items()}
                number = cleaning.choose(
                    sizes,
                    self.index.live,
                    self.active.number if self.active else None,
                    self.limit,
                    self.segment_bytes,
                )
                if number is None:
                    return False
                segment = self.segments[number]
            self.clean_segment(segment)
            return True

    def clean_segment(self, segment):
        """Copies what lives in a segment to the end of the log, and removes it."""
        with self.writing:
            if self.index.live.get(segment.number, 0):
                self.scan(
                    segment,
                    FILE_HEAD.size,
                    lambda place, head, body: self.copy_record(segment, place, head, body),
                )
                if self.active is not None:
                    self.sync()  # what was copied must be there before its first place goes
            self.remove_segment(segment)
            self.counts["cleaned"] += 1

    def copy_record(self, segment, place, head, body):
        """Moves one record, checked already, to the end of the log, if it is in use."""
        i, key = self.index, key_of(head.object, head.part)
        with self.lock:
            entry = i.at(key, segment.number, place // ALIGN)
            if entry is None:
                return
            dated, rank = i.dated[entry] if head.tag else head.dated, i.rank[entry]
            if self.ledger.purged(head.object, head.group, dated):
                return i.drop_extent(entry)
        target = self.active
        if target is None or target.size + head.length > self.segment_bytes:
            self.seal()
            target = self.active = self.new_segment()
        self.serial += 1
        copy = Copy(
            head.object, head.part, head.tag, dated, head.group, rank, head.size, body, head.first * CHUNK
        )
        buffers, _ = assemble(
            copy, self.serial, place_seed(self.store, target.number, target.size), head.table
        )
        at = self.append(target, buffers, head.length)
        self.counts["copied_bytes"] += head.length
        with self.lock:
            entry = i.at(key, segment.number, place // ALIGN)  # dropped or replaced meanwhile?
            if entry is not None:
                i.move(entry, target.number, at // ALIGN)

    def remove_segment(self, segment):
        with self.lock:
            if self.index.live.get(segment.number):  # what was damaged in it
                for entry in self.index.of_segment(segment.number):
                    if self.index.segment[entry] == segment.number:
                        self.counts["damaged"] += 1
                        self.index.drop_extent(entry)
            self.segments.pop(segment.number, None)
            self.index.live.pop(segment.number, None)
            self.suspects.discard(segment.number)
            if self.active is segment:
                self.active = None
            segment.removed = True
            if not segment.pins:
                self.files.close(segment.handle)
        self.files.remove(segment_name(segment.number))

    def look_over(self):
        """Reads through one segment in which something was damaged, and drops what does not fit its check. Returns the
        segment's number and how many records went, or None."""
        with self.writing:
            with self.lock:
                if not self.suspects:
                    return None
                number = self.suspects.pop()
                segment = self.segments.get(number)
                if segment is None:
                    return number, 0
                segment.pins += 1
            good = set()
            try:
                self.scan(segment, FILE_HEAD.size, lambda place, *_: good.add(place // ALIGN))
            finally:
                with self.lock:
                    self.unpin(segment)
            with self.lock:
                bad = [e for e in self.index.of_segment(number) if self.index.place[e] not in good]
                for entry in bad:
                    if self.index.segment[entry] == number:
                        self.index.drop_extent(entry)
            self.say("looked over", segment=number, good=len(good), dropped=len(bad))
            return number, len(bad)

    def snapshot(self):
        """A picture of the index, so that the next start need not read the segments that it covers."""
        with self.writing:
            self.sync()
            with self.lock:
                covered = {n: s.size for n, s in self.segments.items()}
                taken, live, serial = self.index.picture(), dict(self.index.live), self.serial
            number, self.next_picture = self.next_picture, self.next_picture + 1
            write_whole(
                self.files,
                picture_name(number),
                index_snapshot.encode(self.store, number, serial, covered, live, taken),
            )
            for old in numbered(self.files.names(), "index-", ".snap")[:-GENERATIONS]:
                self.files.remove(picture_name(old))

    # trial and end

    def trial(self):
        """Whether the disk does again what it should: a file is written, synced, read and removed, the purges that
        memory knows are written down. OSError if not."""
        with self.writing:
            handle = self.files.create("trial")
            try:
                text = b"brookhinge" * 410
                self.files.write(handle, 0, [text])
                self.files.sync(handle)
                if self.files.read(handle, 0, len(text)) != text:
                    raise OSError(5, "what was read is not what was written")
            finally:
                self.files.close(handle)
            self.files.remove("trial")
            self.rewrite_ledger()

    def abandon(self):
        """Lets everything go without another word to the disk."""
        with self.lock:
            handles = [s.handle for s in self.segments.values()] + [self.ledger_handle, self.lock_handle]
            self.segments, self.active = {}, None
            self.ledger_handle = self.lock_handle = None
            self.index = Index()
        for handle in handles:
            if handle is not None:
                with contextlib.suppress(OSError):
                    self.files.close(handle)

    def close(self):
        """A planned end: a last picture, and the folder is free."""
        with self.writing:
            try:
                if self.lock_handle is not None:
                    self.snapshot()
            finally:
                self.abandon()

    def figures(self):
        with self.lock:
            return dict(
                self.counts,
                parts=self.index.parts,
                entries=self.index.entries,
                live_bytes=sum(self.index.bytes),
                disk_bytes=sum(s.size for s in self.segments.values()),
                segments=len(self.segments),
                suspects=len(self.suspects),
            )


__all__ = ["DiskTier", "GROUP", "OBJECT", "StoreUnusable"]
