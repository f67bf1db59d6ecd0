"""Runs a disk tier on threads: turns it off when it fails or stalls, probes it and maintains it.

Reads use a pool of threads. A single writer thread writes, syncs, cleans and takes snapshots. The event loop
waits for a read no longer than the stall limit, whatever the disk does.
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
_WRITE_STALL_FACTOR = 8  # writes may take longer than reads, because no response waits for them
_DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


@dataclass(slots=True)
class StoreCounters:
    """Counters since startup. The field names appear in logs and metrics."""

    memory_hits: int = 0
    disk_hits: int = 0
    misses: int = 0
    late: int = 0  # reads that timed out
    busy: int = 0  # reads rejected because the queue was full
    unwritten: int = 0  # writes rejected because the queue was full
    aside: int = 0  # disk reads that returned a copy that needs revalidation


@dataclass(frozen=True, slots=True)
class DiskTimings:
    """Durations of the disk tier in seconds."""

    stall_s: float = 0.25  # a read that takes longer than this turns the disk off
    sync_s: float = 0.5  # interval between syncs while there are writes
    snapshot_s: float = 30.0  # interval between index snapshots while there are writes


class DiskSupervisor:
    """Owns a disk tier, its threads and its health state."""

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
        """Create a supervisor. `start` starts it.

        Args:
            disk: A tier that is not open yet.
            purges: All purges known in memory, including those received before the disk is open.
            counters: Counters of reads and writes to update.
            timings: Durations of the disk tier.
            health: Decides when the disk is used.
            log_event: Called with the name of an event and its values as keyword arguments.
            now: Clock for the pauses between probes, in seconds.
        """
        self.disk = disk
        self.health = health
        self.stall_s = timings.stall_s
        self.sync_s = timings.sync_s
        self.snapshot_s = timings.snapshot_s
        self.opened: asyncio.Task | None = None  # done when the first attempt to open the disk has ended
        self.is_open = False
        self._purges = purges
        self._counters = counters
        self._log_event = log_event
        self._now = now
        self._readers: IOWorkers | None = None
        self._writer: IOWorkers | None = None
        self._maintenance: asyncio.Task | None = None
        self._purges_awaiting_probe: list[asyncio.Future] = []

    # Startup and shutdown

    def start(self) -> None:
        """Start opening and maintaining the disk."""
        self._readers = IOWorkers(_READ_THREADS, _MAX_WAITING_READS, _MAX_QUEUED_BYTES, "store-read")
        self._writer = IOWorkers(1, _MAX_WAITING_WRITES, _MAX_QUEUED_BYTES, "store-write")
        self.opened = asyncio.ensure_future(self._probe())
        self._maintenance = asyncio.ensure_future(self._maintain())

    async def close(self, timeout_s: float) -> None:
        """Close the disk with a last index snapshot, if this ends in time, and stop the threads."""
        if self._writer is None:
            return
        self._maintenance.cancel()
        closing = self._writer.submit(self.disk.close, urgent=not self.health.is_on)
        if closing is not None:
            try:
                await asyncio.wait_for(asyncio.shield(closing), timeout_s)
            except TimeoutError:
                self._log_event("store left open", why=f"the disk did not finish within {timeout_s:g} s")
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
        """Open the store if it is not open; otherwise test whether the disk works again.

        Purges received during the probe are durable if the probe succeeds.
        """
        self.health.begin_probe()
        try:
            await self._open_or_probe()
        finally:
            purge_futures = self._purges_awaiting_probe
            self._purges_awaiting_probe = []
            for done in purge_futures:
                if not done.done():
                    done.set_result(self.health.is_on)

    async def _open_or_probe(self) -> None:
        is_opening = not self.is_open
        fault_kind = FaultKind.CLOSED if is_opening else FaultKind.WRITE
        copied_serial = self._purges.serial
        try:
            recovery_values = await self._writer.submit(
                self._open if is_opening else self.disk.probe, urgent=True
            )
            self.is_open = True
            # Purges received meanwhile must reach the disk before it is used.
            while copied_serial != self._purges.serial:
                copied_serial = self._purges.serial
                await self._writer.submit(self._copy_purges_to_disk, urgent=True)
        except (OSError, StoreUnusableError) as error:
            self._record_fault(fault_kind, error)
            return
        except Exception as error:  # a bug must not stop the server
            self._record_fault(fault_kind, f"{type(error).__name__}: {error}")
            return
        if self.health.state == DiskState.OFF:  # a stall turned it off meanwhile
            return
        self.health.record_recovery(self._now())
        self._log_event("disk on", **(recovery_values or {}))

    def _open(self) -> dict[str, float]:
        """Open the store and add the purges received before. Runs on the writer thread.

        Returns:
            The values of the log event `disk on`.
        """
        started_at = time.monotonic()
        report = self.disk.open()
        self._copy_purges_to_disk()
        return {**report.log_values(), "open_s": round(time.monotonic() - started_at, 3)}

    def _copy_purges_to_disk(self) -> None:
        """Add all purges known in memory to the ledger on disk. Runs on the writer thread."""
        purges = self._purges.purges()
        for purge in purges:
            self.disk.add_purge(purge)
        if purges:
            self.disk.rewrite_ledger()

    # Maintenance

    async def _maintain(self) -> None:
        """Run a loop that syncs, takes snapshots, verifies damaged segments and probes a disk that is off."""
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
        """Run a maintenance task on the writer thread; an OSError is recorded as a fault of this kind."""
        try:
            await self._wait_and_check_stall(self._writer.submit(work, urgent=True))
        except OSError as error:
            self._record_fault(kind, error)
        except Exception as error:  # a bug must not stop the maintenance loop
            self._record_fault(FaultKind.WRITE, f"{type(error).__name__}: {error}")

    async def _wait_and_check_stall(self, running: asyncio.Future) -> None:
        """Wait for a maintenance task; turn the disk off if the task takes too long."""
        while not running.done():
            await asyncio.wait([running], timeout=_WRITE_STALL_FACTOR * self.stall_s)
            if not running.done() and self.health.is_on:
                duration_s = self._writer.longest_call_s()
                self._record_fault(FaultKind.STALL, f"maintenance has taken {duration_s:.2f} s")
        running.result()

    # Reads, writes, purges

    async def read(self, object_: bytes, part: int, timeout_s: float) -> ReadResult | None:
        """Return a whole part; None if not stored or not read within `timeout_s` and the stall limit."""
        if not self.health.is_on or timeout_s <= 0 or self.disk.lookup(object_, part) is None:
            self._counters.misses += 1
            return None
        reading = self._readers.submit(self.disk.read, object_, part)
        if reading is None:
            self._counters.busy += 1
            return None
        done, _ = await asyncio.wait([reading], timeout=min(self.stall_s, timeout_s))
        if not done:
            self._counters.late += 1
            if timeout_s >= self.stall_s:
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
        """Queue a copy to be written, if the disk is on and the queue has space."""
        if not self.health.is_on:
            return
        # The epoch may end while the copy waits; the copy then needs revalidation like all others of it.
        writing = self._writer.submit(self.disk.write, copy, False, self.disk.epoch, size=len(copy.body))
        if writing is None:
            self._counters.unwritten += 1
        else:
            writing.add_done_callback(self._on_written)

    def _on_written(self, writing: asyncio.Future) -> None:
        if not writing.cancelled() and isinstance(writing.exception(), Exception):
            self._record_fault(FaultKind.WRITE, writing.exception())

    def purge(self, purge: Purge) -> asyncio.Future:
        """Write a purge, which is already known in memory, to the disk.

        Returns:
            A future whose result is True once the purge is durable, or False if the disk is off or fails. The
            purge is then written when the disk is on again. If the server restarts before, all copies need
            revalidation in any case.
        """
        done = asyncio.get_running_loop().create_future()
        if self.health.state == DiskState.PROBING:
            if self.is_open:
                self.disk.add_purge(purge)
            self._purges_awaiting_probe.append(done)
            return done
        if not self.is_open:
            done.set_result(False)
            return done
        record = self.disk.add_purge(purge)
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

    # Queue lengths

    def waiting_reads(self) -> int:
        """Return the number of reads that wait for a thread."""
        return 0 if self._readers is None else self._readers.waiting()

    def waiting_writes(self) -> int:
        """Return the number of calls that wait for the writer thread."""
        return 0 if self._writer is None else self._writer.waiting()
