"""The two tiers together, on an event loop: memory first, then disk by threads. Whatever the disk does, an answer from
here is never later than the stated stall: the tier goes off to memory alone, says so, and comes back by trial."""

import asyncio
import errno
import time

from brookhinge.store.admission import Admission
from brookhinge.store.disk_tier import StoreUnusable
from brookhinge.store.health import TRIAL, Health
from brookhinge.store.io_workers import Hands
from brookhinge.store.memory_tier import Memory
from brookhinge.store.purge_ledger import FLOOR, GROUP, OBJECT, Ledger
from brookhinge.store.records import Copy, key_of, usable

READERS, MOST_READS = 4, 64
MOST_WRITES, MOST_BYTES = 256, 32 * 1024 * 1024
TEND_S = 0.05
USUAL_PART = 32768  # bytes: how many parts a disk may hold, for the size of the sketch
WRITE_STALLS = 8  # a write may take so many times what a read may: it waits for nothing that is asked for
FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
LATER = (2, 8)  # uses at which a part in memory is offered to the disk again


class Store:
    """memory_bytes: of the memory tier. disk: a DiskTier that is not open yet, or None. say(event, **values): the log.
    stall_s: the longest that a read may take. Chunks on disk are checked at each read; what is `aside` in a Found may
    not be served before its source has said that it is unchanged (`renew`)."""

    def __init__(
        self,
        memory_bytes,
        disk=None,
        say=lambda event, **values: None,
        stall_s=0.25,
        sync_s=0.5,
        snapshot_s=30.0,
        admission=None,
        now=time.monotonic,
        health=None,
    ):
        self.memory, self.disk, self.say, self.now = Memory(memory_bytes), disk, say, now
        self.stall_s, self.sync_s, self.snapshot_s = stall_s, sync_s, snapshot_s
        self.admission = admission or Admission(
            (disk.limit if disk else memory_bytes) // USUAL_PART, room=0.5
        )
        self.health, self.purges = health or Health(), Ledger()
        self.counts = dict.fromkeys(
            ("memory_hits", "disk_hits", "misses", "late", "busy", "unwritten", "aside"), 0
        )
        self.readers = self.writer = self.tending = self.opened = None
        self.open_tier, self.unsure = False, []  # unsure: purges that wait for the end of a trial
        if disk is not None:
            disk.admit = self.admission.admit

    # life

    async def start(self):
        """Begins to open the disk; what it holds is there when `opened` is done. Memory serves meanwhile."""
        if self.disk is None:
            return
        self.readers = Hands(READERS, MOST_READS, MOST_BYTES, "store-read")
        self.writer = Hands(1, MOST_WRITES, MOST_BYTES, "store-write")
        self.opened = asyncio.ensure_future(self.try_disk())
        self.tending = asyncio.ensure_future(self.tend())

    async def close(self, within_s=2.0):
        """A last picture of the index, if the disk gives it in time."""
        if self.disk is None or self.writer is None:
            return
        self.tending.cancel()
        closing = self.writer.call(self.disk.close, front=self.health.on is False)
        if closing is not None:
            try:
                await asyncio.wait_for(asyncio.shield(closing), within_s)
            except TimeoutError:
                self.say("store left open", why=f"the disk did not answer in {within_s:g} s")
            except OSError as fault:
                self.say("store closed without a picture", why=str(fault))
        self.readers.end()
        self.writer.end()

    def failed(self, kind, fault):
        """A failure of the disk: it may go off."""
        if isinstance(fault, OSError) and fault.errno in FULL_ERRORS:
            kind = "full"
        if self.health.fault(self.now(), kind, str(fault)):
            self.say("disk off", why=self.health.why, again_s=round(self.health.pause_s, 2))

    async def try_disk(self):
        """A trial: opens the store if it is not open, or sees whether the disk works again. Purges that come meanwhile
        are durable if it goes well."""
        self.health.trying()
        try:
            await self.trial()
        finally:
            unsure, self.unsure = self.unsure, []
            for done in unsure:
                if not done.done():
                    done.set_result(self.health.on)

    async def trial(self):
        fresh, told = not self.open_tier, self.purges.serial
        try:
            figures = await self.writer.call(self.open_disk if fresh else self.disk.trial, front=True)
            self.open_tier = True
            while told != self.purges.serial:  # purges that came meanwhile: the disk must know them first
                told = self.purges.serial
                await self.writer.call(self.pass_purges, front=True)
        except (OSError, StoreUnusable) as fault:
            return self.failed("closed" if fresh else "write", fault)
        except Exception as fault:  # a fault of ours must not end the box either
            return self.failed("closed" if fresh else "write", f"{type(fault).__name__}: {fault}")
        if self.health.state == "off":  # it stalled meanwhile
            return
        self.health.proved(self.now())
        self.say("disk on", **(figures or {}))

    def open_disk(self):
        """Opens the store; purges that came before it was open are written into it."""
        began = time.monotonic()
        figures = self.disk.open()
        self.pass_purges()
        figures["open_s"] = round(time.monotonic() - began, 3)
        return figures

    def pass_purges(self):
        """What memory knows of purges, into the disk's ledger and its file."""
        rows = [(GROUP, *row) for row in list(self.purges.groups.items())]
        rows += [(OBJECT, *row) for row in list(self.purges.objects.items())]
        if self.purges.floor > float("-inf"):
            rows.append((FLOOR, 0, self.purges.floor))
        for row in rows:
            self.disk.note_purge(*row)
        if rows:
            self.disk.rewrite_ledger()

    async def tend(self):
        """Syncs, pictures, looking over, trials."""
        synced = pictured = time.monotonic()
        written = -1
        while True:
            await asyncio.sleep(TEND_S)
            if self.writer.longest_s() > WRITE_STALLS * self.stall_s and self.health.on:
                self.failed("stall", f"a write has taken {self.writer.longest_s():.2f} s")
            now = time.monotonic()
            if not self.health.on:
                if self.health.due(self.now()) and not self.writer.begun:
                    await self.try_disk()
                continue
            if self.disk.suspects:
                await self.care("read", self.disk.look_over)
            changes = self.disk.counts["written"] + self.disk.counts["purges"]
            snapshot_due = changes != written and now - pictured >= self.snapshot_s
            if self.disk.dirty and (snapshot_due or now - synced >= self.sync_s):
                synced = now
                await self.care("sync", self.disk.sync)
            if snapshot_due and self.health.on:
                pictured, written = now, changes
                await self.care("snapshot", self.disk.snapshot)

    async def care(self, kind, work):
        """Runs one piece of maintenance on the writer's thread; a failure of it counts as one of that kind."""
        try:
            await self.done_within(self.writer.call(work, front=True))
        except OSError as fault:
            self.failed(kind, fault)
        except Exception as fault:  # a fault of ours must not end the loop that tends the disk
            self.failed("write", f"{type(fault).__name__}: {fault}")

    async def done_within(self, future):
        """Waits for care of the disk, and looks at how long it takes meanwhile."""
        while not future.done():
            await asyncio.wait([future], timeout=WRITE_STALLS * self.stall_s)
            if not future.done() and self.health.on:
                self.failed("stall", f"care has taken {self.writer.longest_s():.2f} s")
        return future.result()

    # use

    async def get(self, object_, part, within_s=60.0):
        """Found, whole, or None. Never later than within_s or the stall, whichever is less."""
        key = object_, part
        code = key_of(object_, part)
        self.admission.used(code)
        found = self.memory.get(key)
        if found is not None:
            if not self.purges.purged(object_, found.group, found.dated):
                self.counts["memory_hits"] += 1
                if (
                    self.health.on
                    and self.admission.sketch.estimate(code) in LATER
                    and not self.disk.look(object_, part)
                ):
                    self.queue(
                        Copy(
                            object_,
                            part,
                            found.tag,
                            found.dated,
                            found.group,
                            found.rank,
                            found.size,
                            found.body,
                        )
                    )
                return found
            self.memory.drop(key)
        if not self.health.on or within_s <= 0 or self.disk.look(object_, part) is None:
            self.counts["misses"] += 1
            return None
        reading = self.readers.call(self.disk.read, object_, part)
        if reading is None:
            self.counts["busy"] += 1
            return None
        done, _ = await asyncio.wait([reading], timeout=min(self.stall_s, within_s))
        if not done:
            self.counts["late"] += 1
            if within_s >= self.stall_s:
                self.failed("stall", f"a read has taken {self.stall_s:g} s")
            return None
        try:
            found = reading.result()
        except OSError as fault:
            self.disk.drop(object_, part)
            self.failed("read", fault)
            return None
        if found is None or self.purges.purged(object_, found.group, found.dated):
            self.counts["misses"] += 1
            return None
        if found.aside:
            self.counts["aside"] += 1
        else:
            self.counts["disk_hits"] += 1
            self.memory.put(key, found)
        return found

    def put(self, copy):
        """Keeps a whole part: in memory at once, on disk if it is worth it. False if a purge has hit it already.
        ValueError says what of it can't be kept."""
        why = usable(copy)
        if why or len(copy.body) != copy.size:
            raise ValueError(why or "body: expected the whole part")
        if self.purges.purged(copy.object, copy.group, copy.dated):
            return False
        self.memory.put((copy.object, copy.part), copy.found())
        if self.health.on:
            self.queue(copy)
        return True

    def queue(self, copy):
        writing = self.writer.call(self.disk.write, copy, size=len(copy.body))
        if writing is None:
            self.counts["unwritten"] += 1
        else:
            writing.add_done_callback(self.wrote)

    def wrote(self, writing):
        if not writing.cancelled() and isinstance(writing.exception(), Exception):
            self.failed("write", writing.exception())

    def purge(self, kind, name, when):
        """From now on nothing that it hits is served. A future: True when it is durable, False while the disk is off
        (it is written when the disk comes back; until then a restart sets everything aside in any case)."""
        self.purges.take(kind, name, when)
        done = asyncio.get_running_loop().create_future()
        if self.disk is not None and self.health.state == TRIAL:
            if self.open_tier:
                self.disk.note_purge(kind, name, when)
            self.unsure.append(done)
            return done
        if self.disk is None or not self.open_tier:
            done.set_result(False)
            return done
        raw = self.disk.note_purge(kind, name, when)
        writing = self.writer.call(self.disk.write_purge, raw, front=True) if self.health.on else None
        if writing is None:
            done.set_result(False)
            return done

        def told(writing):
            fault = writing.exception()
            if fault is not None:
                self.failed("ledger", fault)
            if not done.done():
                done.set_result(fault is None)

        writing.add_done_callback(told)
        return done

    def bound_purges(self, now):
        """No purge that is known took place after `now`, by the wall clock: one that seems to was dated before that clock
        was set back. What it hits is aside by then; left as it is, it would hit every copy of the next hour."""
        self.purges.bound(now)
        if self.disk is not None and self.open_tier:
            self.disk.bound_purges(now)

    def purge_object(self, object_, when):
        return self.purge(OBJECT, object_, when)

    def purge_group(self, group, when):
        return self.purge(GROUP, group, when)

    def renew(self, object_, part, found, dated):
        """The source says that this copy is unchanged as of `dated`. The copy as it may be served now, or None if a
        purge has hit it."""
        if dated < found.dated or self.purges.purged(object_, found.group, dated):
            return None
        fresh = found._replace(dated=dated, aside=False)
        self.memory.put((object_, part), fresh)
        if self.disk is not None and self.open_tier:
            self.disk.renew(object_, part, found.tag, found.size, dated)
        return fresh

    def aside_all(self):
        """Purges may have been missed while this process ran: nothing kept is served before its source says so."""
        for key, found in self.memory.items():
            self.memory.replace(key, found._replace(aside=True))
        if self.disk is not None and self.open_tier:
            self.disk.aside_all()

    def drop(self, object_, part):
        self.memory.drop((object_, part))
        if self.disk is not None and self.open_tier:
            self.disk.drop(object_, part)

    def figures(self):
        """Counts since the start, for the log and metrics."""
        told = dict(self.counts, memory_bytes=self.memory.bytes, disk=self.health.state)
        if self.disk is not None:
            told.update({f"disk_{name}": value for name, value in self.disk.figures().items()})
        return told
