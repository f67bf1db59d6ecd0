"""Runs a disk tier on threads: turns it off when it fails or stalls, probes it, and maintains it.

Reads have a pool of threads; one thread writes, syncs, cleans and takes snapshots. Whatever the disk does,
the loop waits for a read no longer than the stall limit.
"""

import asyncio
import errno
import time
from collections.abc import Callable
from dataclasses import dataclass

from brookhinge.store.copies import Copy, ReadResult
from brookhinge.store.disk_tier import DiskTier
from brookhinge.store.errors import StoreUnusableError
from brookhinge.store.health import DiskHealth, DiskState, FaultKind
from brookhinge.store.io_workers import IOWorkers
from brookhinge.store.purge_ledger import Purge, PurgeLedger
from brookhinge.store.tier_state import LogEvent

_READ_THREADS = 4
_MAX_WAITING_READS = 64
_MAX_WAITING_WRITES = 256
_MAX_QUEUED_BYTES = 32 * 1024 * 1024
_MAINTENANCE_INTERVAL_S = 0.05
_WRITE_STALL_FACTOR = 8  # no response waits for a write, so it may take longer than a read
_DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


@dataclass(slots=True)
class StoreCounters:
    """Counts since the start. The names stand in logs and metrics."""

    memory_hits: int = 0
    disk_hits: int = 0
    misses: int = 0
    late: int = 0  # reads that did not end in time
    busy: int = 0  # reads that found the queue full
    unwritten: int = 0  # writes that found the queue full
    aside: int = 0  # reads of copies that need revalidation


@dataclass(frozen=True, slots=True)
class DiskTimings:
    """Durations of the disk tier in seconds."""

    stall_s: float = 0.25  # a read that takes longer turns the disk off
    sync_s: float = 0.5  # between syncs while something was written
    snapshot_s: float = 30.0  # between snapshots while something was written


class DiskSupervisor:
    """Owns a disk tier, its threads and its health."""

    def __init__(
        self,
        disk: DiskTier,
        purges: PurgeLedger,
        counters: StoreCounters,
        timings: DiskTimings,
        *,
        health: DiskHealth,
        log_event: LogEvent,
        now: Callable[[], float],
    ) -> None:
        """Make a supervisor that has not started.

        Args:
            disk: The tier, not open yet.
            purges: The purges that memory knows, also those from before the disk was open.
            counters: Where reads and writes are counted.
            timings: See `DiskTimings`.
            health: Decides when the disk is used.
            log_event: Called with the event's name and its values as keywords.
            now: The clock of the health's pauses.
        """
        self.disk = disk
        self.health = health
        self.stall_s = timings.stall_s
        self.sync_s = timings.sync_s
        self.snapshot_s = timings.snapshot_s
        self.opened: asyncio.Task | None = None  # done when the first attempt to open has ended
        self.is_open = False
        self._purges = purges
        self._counters = counters
        self._log_event = log_event
        self._now = now
        self._readers: IOWorkers | None = None
        self._writer: IOWorkers | None = None
        self._maintenance: asyncio.Task | None = None
        self._purges_awaiting_probe: list[asyncio.Future] = []

    # Start and end

    def start(self) -> None:
        """Begin to open the disk and to maintain it."""
        self._readers = IOWorkers(_READ_THREADS, _MAX_WAITING_READS, _MAX_QUEUED_BYTES, "store-read")
        self._writer = IOWorkers(1, _MAX_WAITING_WRITES, _MAX_QUEUED_BYTES, "store-write")
        self.opened = asyncio.ensure_future(self._probe())
        self._maintenance = asyncio.ensure_future(self._maintain())

    async def close(self, within_s: float) -> None:
        """Write a last snapshot if the disk takes it in time, and end the threads."""
        if self._writer is None:
            return
        self._maintenance.cancel()
        closing = self._writer.submit(self.disk.close, urgent=not self.health.is_on)
        if closing is not None:
            try:
                await asyncio.wait_for(asyncio.shield(closing), within_s)
            except TimeoutError:
                self._log_event("store left open", why=f"the disk did not answer in {within_s:g} s")
            except OSError as error:
                self._log_event("store closed without a picture", why=str(error))
        self._readers.stop()
        self._writer.stop()

    # Faults and probes

    def _record_fault(self, kind: FaultKind, error: BaseException | str) -> None:
        if isinstance(error, OSError) and error.errno in _DISK_FULL_ERRORS:
            kind = FaultKind.FULL
        if self.health.record_fault(self._now(), kind, str(error)):
            self._log_event("disk off", why=self.health.reason, again_s=round(self.health.pause_s, 2))

    async def _probe(self) -> None:
        """Open the store if it is not open, or find out whether the disk works again.

        Purges that come meanwhile are durable if it goes well.
        """
        self.health.begin_probe()
        try:
            await self._open_or_probe()
        finally:
            waiting = self._purges_awaiting_probe
            self._purges_awaiting_probe = []
            for done in waiting:
                if not done.done():
                    done.set_result(self.health.is_on)

    async def _open_or_probe(self) -> None:
        is_opening = not self.is_open
        fault_kind = FaultKind.CLOSED if is_opening else FaultKind.WRITE
        known_serial = self._purges.serial
        try:
            found = await self._writer.submit(self._open if is_opening else self.disk.probe, urgent=True)
            self.is_open = True
            # purges that came meanwhile: the disk must know them before it is used
            while known_serial != self._purges.serial:
                known_serial = self._purges.serial
                await self._writer.submit(self._pass_purges, urgent=True)
        except (OSError, StoreUnusableError) as error:
            self._record_fault(fault_kind, error)
            return
        except Exception as error:  # a fault of the program must not end the server either
            self._record_fault(fault_kind, f"{type(error).__name__}: {error}")
            return
        if self.health.state == DiskState.OFF:  # it stalled meanwhile
            return
        self.health.record_recovery(self._now())
        self._log_event("disk on", **(found or {}))

    def _open(self) -> dict[str, float]:
        """Open the store and pass on the purges from before. Runs on the writer.

        Returns:
            Values of the log line `disk on`.
        """
        began = time.monotonic()
        report = self.disk.open()
        self._pass_purges()
        return {**report.log_values(), "open_s": round(time.monotonic() - began, 3)}

    def _pass_purges(self) -> None:
        """Add all purges that memory knows to the ledger of the disk. Runs on the writer."""
        purges = self._purges.purges()
        for purge in purges:
            self.disk.note_purge(purge)
        if purges:
            self.disk.rewrite_ledger()

    # Maintenance

    async def _maintain(self) -> None:
        """Sync, take snapshots, verify damaged segments, and probe a disk that is off."""
        synced_at = time.monotonic()
        snapshot_at = synced_at
        changes_in_snapshot = -1
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            self._check_write_stall()
            now = time.monotonic()
            if not self.health.is_on:
                if self.health.is_probe_due(self._now()) and not self._writer.is_busy:
                    await self._probe()
                continue
            if self.disk.suspects:
                await self._run_maintenance(FaultKind.READ, self.disk.verify_suspect)
            changes = self.disk.counters.written + self.disk.counters.purges
            snapshot_due = changes != changes_in_snapshot and now - snapshot_at >= self.snapshot_s
            if self.disk.unsynced_bytes and (snapshot_due or now - synced_at >= self.sync_s):
                synced_at = now
                await self._run_maintenance(FaultKind.SYNC, self.disk.sync)
            if snapshot_due and self.health.is_on:
                snapshot_at = now
                changes_in_snapshot = changes
                await self._run_maintenance(FaultKind.SNAPSHOT, self.disk.snapshot)

    def _check_write_stall(self) -> None:
        duration_s = self._writer.longest_call_s()
        if duration_s > _WRITE_STALL_FACTOR * self.stall_s and self.health.is_on:
            self._record_fault(FaultKind.STALL, f"a write has taken {duration_s:.2f} s")

    async def _run_maintenance(self, kind: FaultKind, work: Callable[[], object]) -> None:
        """Run one piece of maintenance on the writer; a failure of it counts as a fault of that kind."""
        try:
            await self._finish_or_stall(self._writer.submit(work, urgent=True))
        except OSError as error:
            self._record_fault(kind, error)
        except Exception as error:  # a fault of the program must not end the maintenance
            self._record_fault(FaultKind.WRITE, f"{type(error).__name__}: {error}")

    async def _finish_or_stall(self, running: asyncio.Future) -> None:
        """Wait for maintenance; turn the disk off while it takes too long."""
        while not running.done():
            await asyncio.wait([running], timeout=_WRITE_STALL_FACTOR * self.stall_s)
            if not running.done() and self.health.is_on:
                duration_s = self._writer.longest_call_s()
                self._record_fault(FaultKind.STALL, f"care has taken {duration_s:.2f} s")
        running.result()

    # Reads, writes, purges

    async def read(self, object_: bytes, part: int, within_s: float) -> ReadResult | None:
        """A whole part, or None if it is not stored or not read within `within_s` and the stall limit."""
        if not self.health.is_on or within_s <= 0 or self.disk.lookup(object_, part) is None:
            self._counters.misses += 1
            return None
        reading = self._readers.submit(self.disk.read, object_, part)
        if reading is None:
            self._counters.busy += 1
            return None
        done, _ = await asyncio.wait([reading], timeout=min(self.stall_s, within_s))
        if not done:
            self._counters.late += 1
            if within_s >= self.stall_s:
                self._record_fault(FaultKind.STALL, f"a read has taken {self.stall_s:g} s")
            return None
        try:
            copy = reading.result()
        except OSError as error:
            self.disk.drop(object_, part)
            self._record_fault(FaultKind.READ, error)
            return None
        if copy is None or self._purges.is_purged(object_, copy.group, copy.dated):
            self._counters.misses += 1
            return None
        return copy

    def write(self, copy: Copy) -> None:
        """Queue a copy for the disk, if the disk is on and the queue has space."""
        if not self.health.is_on:
            return
        writing = self._writer.submit(self.disk.write, copy, size=len(copy.body))
        if writing is None:
            self._counters.unwritten += 1
        else:
            writing.add_done_callback(self._on_written)

    def _on_written(self, writing: asyncio.Future) -> None:
        if not writing.cancelled() and isinstance(writing.exception(), Exception):
            self._record_fault(FaultKind.WRITE, writing.exception())

    def purge(self, purge: Purge) -> asyncio.Future:
        """Take a purge that memory knows already to the disk.

        Returns:
            A future: True when the purge is durable, False while the disk is off. It is then written when the
            disk comes back; until then a restart revalidates everything in any case.
        """
        done = asyncio.get_running_loop().create_future()
        if self.health.state == DiskState.PROBING:
            if self.is_open:
                self.disk.note_purge(purge)
            self._purges_awaiting_probe.append(done)
            return done
        if not self.is_open:
            done.set_result(False)
            return done
        record = self.disk.note_purge(purge)
        writing = None
        if self.health.is_on:
            writing = self._writer.submit(self.disk.write_purge, record, urgent=True)
        if writing is None:
            done.set_result(False)
            return done

        def on_written(writing: asyncio.Future) -> None:
            error = writing.exception()
            if error is not None:
                self._record_fault(FaultKind.LEDGER, error)
            if not done.done():
                done.set_result(error is None)

        writing.add_done_callback(on_written)
        return done

    # Load

    def waiting_reads(self) -> int:
        """Reads that wait for a thread."""
        return 0 if self._readers is None else self._readers.waiting()

    def waiting_writes(self) -> int:
        """Writes that wait for the writer."""
        return 0 if self._writer is None else self._writer.waiting()
