"""Two-tier store on an event loop: lookups try the memory tier first, then the disk tier.

A lookup never takes longer than the stall limit, whatever the disk does. If the disk stalls or fails, it is
turned off, which is logged, and memory alone serves until a probe of the disk succeeds.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import asdict

from brookhinge.store.admission import AdmissionPolicy
from brookhinge.store.copies import Copy, ReadResult, key_of, validate_copy
from brookhinge.store.disk_supervisor import DiskSupervisor, DiskTimings, StoreCounters
from brookhinge.store.disk_tier import DiskTier
from brookhinge.store.health import DiskHealth, DiskState
from brookhinge.store.memory_tier import MemoryTier
from brookhinge.store.purge_ledger import Purge, PurgeKind, PurgeLedger
from brookhinge.store.tier_state import LogEvent

_TYPICAL_PART_BYTES = 32768  # determines the sketch size of the default admission policy
_FREE_SHARE_FOR_NEW_PARTS = 0.5
_USES_OFFERED_TO_DISK = (2, 8)  # use counts at which a part in memory is offered to the disk again
DEFAULT_READ_TIMEOUT_S = 60.0


def _ignore_event(event: str, **values: object) -> None:
    """Ignore a log event."""


class Store:
    """A two-tier store of whole parts.

    A `ReadResult` with `needs_revalidation` set must not be served until its source has confirmed that it is
    unchanged; see `mark_revalidated`.
    """

    def __init__(
        self,
        memory_bytes: int,
        disk: DiskTier | None = None,
        *,
        log_event: LogEvent = _ignore_event,
        timings: DiskTimings | None = None,
        admission: AdmissionPolicy | None = None,
        now: Callable[[], float] = time.monotonic,
        health: DiskHealth | None = None,
    ) -> None:
        """Create a store. `start` starts it.

        Args:
            memory_bytes: Size limit of the memory tier in bytes.
            disk: A tier that is not open yet; None for a store in memory only.
            log_event: Called with the name of an event and its values as keyword arguments.
            timings: Durations of the disk tier; None for the defaults.
            admission: Admission policy of the disk tier; None for the default policy.
            now: Clock for the pauses between probes, in seconds.
            health: Decides when the disk is used; None for the default settings.
        """
        self.memory = MemoryTier(memory_bytes)
        self.disk = disk
        self.purges = PurgeLedger()
        self.counters = StoreCounters()
        limit_bytes = disk.limit_bytes if disk else memory_bytes
        self.admission = admission or AdmissionPolicy(
            limit_bytes // _TYPICAL_PART_BYTES, free_share=_FREE_SHARE_FOR_NEW_PARTS
        )
        self.now = now
        self._revalidations_required = 0  # how often all stored copies were marked
        self.supervisor: DiskSupervisor | None = None
        if disk is not None:
            disk.set_admission(self.admission.admits)
            self.supervisor = DiskSupervisor(
                disk,
                self.purges,
                self.counters,
                timings or DiskTimings(),
                health=health or DiskHealth(),
                log_event=log_event,
                now=now,
            )

    async def start(self) -> None:
        """Start opening the disk. Until `opened` is done, only the memory tier serves."""
        if self.supervisor is not None:
            self.supervisor.start()

    async def close(self, timeout_s: float = 2.0) -> None:
        """Close the disk tier with a last index snapshot, if this ends within `timeout_s`."""
        if self.supervisor is not None:
            await self.supervisor.close(timeout_s)

    @property
    def opened(self) -> asyncio.Task | None:
        """Task of the first attempt to open the disk; None without a disk or before `start`."""
        return None if self.supervisor is None else self.supervisor.opened

    # Copies

    async def get(
        self, object_: bytes, part: int, timeout_s: float = DEFAULT_READ_TIMEOUT_S
    ) -> ReadResult | None:
        """Return a whole part, or None if it is not available within `timeout_s` and the stall limit."""
        key = (object_, part)
        index_key = key_of(object_, part)
        self.admission.record_use(index_key)
        copy = self.memory.get(key)
        if copy is not None:
            if not self.purges.is_purged(object_, copy.group, copy.dated):
                self.counters.memory_hits += 1
                self._offer_to_disk(object_, part, index_key, copy)
                return copy
            self.memory.drop(key)
        if self.supervisor is None:
            self.counters.misses += 1
            return None
        marked_before = self._revalidations_required
        copy = await self.supervisor.read(object_, part, timeout_s)
        if copy is None:
            return None
        if marked_before != self._revalidations_required:  # it was read before all copies were marked
            copy = copy._replace(needs_revalidation=True)
        if copy.needs_revalidation:
            self.counters.aside += 1
        else:
            self.counters.disk_hits += 1
            self.memory.put(key, copy)
        return copy

    def _offer_to_disk(self, object_: bytes, part: int, index_key: int, copy: ReadResult) -> None:
        """Queue a part for the disk if it is not stored there and its use count is one of the thresholds."""
        if self.supervisor is None or not self.supervisor.health.is_on or copy.needs_revalidation:
            return
        if self.admission.sketch.estimate(index_key) not in _USES_OFFERED_TO_DISK:
            return
        if self.disk.lookup(object_, part):
            return
        self.supervisor.write(
            Copy(object_, part, copy.tag, copy.dated, copy.group, copy.rank, copy.size, copy.body)
        )

    def put(self, copy: Copy, needs_revalidation: bool = False) -> bool:
        """Store a whole part in memory, and queue it for the disk, which may not admit it.

        Args:
            copy: The part.
            needs_revalidation: Whether its source has to confirm it; it is then kept in memory only.

        Returns:
            False if the copy has already been purged, else True.

        Raises:
            ValueError: A field of the copy is out of range, or the copy is not a whole part.
        """
        validate_copy(copy)
        if len(copy.body) != copy.size:
            raise ValueError("body: expected the whole part")
        if self.purges.is_purged(copy.object, copy.group, copy.dated):
            return False
        stored = copy.as_read_result()._replace(needs_revalidation=needs_revalidation)
        self.memory.put((copy.object, copy.part), stored)
        if self.supervisor is not None and not needs_revalidation:
            self.supervisor.write(copy)
        return True

    def drop(self, object_: bytes, part: int) -> None:
        """Drop a part from both tiers."""
        self.memory.drop((object_, part))
        if self._disk_is_open():
            self.disk.drop(object_, part)

    # Revalidation

    def mark_revalidated(
        self, object_: bytes, part: int, copy: ReadResult, dated: float
    ) -> ReadResult | None:
        """Record that the source of a part has confirmed a copy as unchanged, with the date `dated`.

        Returns:
            The copy with its new date, which may be served; None if the copy has been purged or is dated
            later than `dated`.
        """
        if dated < copy.dated or self.purges.is_purged(object_, copy.group, dated):
            return None
        fresh = copy._replace(dated=dated, needs_revalidation=False)
        self.memory.put((object_, part), fresh)
        if self._disk_is_open():
            self.disk.mark_revalidated(object_, part, copy.tag, copy.size, dated)
        return fresh

    def require_revalidation(self) -> None:
        """Mark all stored copies as needing revalidation, because purges may have been missed."""
        self._revalidations_required += 1
        for key, copy in self.memory.items():
            self.memory.replace(key, copy._replace(needs_revalidation=True))
        if self._disk_is_open():
            self.disk.require_revalidation()

    # Purges

    def purge(self, purge: Purge) -> asyncio.Future:
        """Add a purge. Copies that it matches are no longer served.

        Returns:
            A future whose result is True once the purge is durable, or False without a working disk.
        """
        self.purges.add(purge)
        if self.supervisor is not None:
            return self.supervisor.purge(purge)
        done = asyncio.get_running_loop().create_future()
        done.set_result(False)
        return done

    def purge_object(self, object_: bytes, when: float) -> asyncio.Future:
        """Purge one object; see `purge`."""
        return self.purge(Purge(PurgeKind.OBJECT, object_, when))

    def purge_group(self, group: int, when: float) -> asyncio.Future:
        """Purge a group of objects; see `purge`."""
        return self.purge(Purge(PurgeKind.GROUP, group, when))

    def limit_purge_dates(self, now: float) -> None:
        """Set the date of each purge that is dated later than `now` to `now`, a time of the wall clock.

        Such a purge was dated before the clock was set back. The copies that it matches already need
        revalidation at that point. With its old date it would match every new copy until the clock has caught
        up.
        """
        self.purges.limit_dates(now)
        if self._disk_is_open():
            self.disk.limit_purge_dates(now)

    # Statistics

    def _disk_is_open(self) -> bool:
        return self.supervisor is not None and self.supervisor.is_open

    def disk_state(self) -> DiskState:
        """Return whether the disk tier is in use."""
        return DiskState.OFF if self.supervisor is None else self.supervisor.health.state

    def waiting_reads(self) -> int:
        """Return the number of disk reads that wait for a thread."""
        return 0 if self.supervisor is None else self.supervisor.waiting_reads()

    def stats(self) -> dict[str, int | str]:
        """Return counters since startup and current sizes, for logs and metrics."""
        stats = asdict(self.counters)
        stats["memory_bytes"] = self.memory.used_bytes
        stats["disk"] = self.disk_state().value
        if self.disk is not None:
            stats.update({f"disk_{name}": value for name, value in self.disk.stats().items()})
        return stats
