"""The memory tier and the disk tier together, on an event loop: memory first, then disk.

Whatever the disk does, a response from here is never later than the stall limit: the disk is turned off,
which is logged, memory alone serves, and the disk comes back after a probe.
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

_TYPICAL_PART_BYTES = 32768  # sizes the sketch of the admission policy
_FREE_SHARE_FOR_NEW_PARTS = 0.5
_USES_OFFERED_TO_DISK = (2, 8)  # uses at which a part in memory is offered to the disk again
DEFAULT_READ_TIMEOUT_S = 60.0


def _ignore_event(event: str, **values: object) -> None:
    """Log nothing."""


class Store:
    """A two-tier store of whole parts.

    A `ReadResult` that `needs_revalidation` may not be served before its source has called it unchanged
    (`mark_revalidated`).
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
        """Make a store that has not started.

        Args:
            memory_bytes: Limit of the memory tier.
            disk: A tier that is not open yet; None for memory alone.
            log_event: Called with the event's name and its values as keywords.
            timings: Durations of the disk tier.
            admission: Decides what the disk admits.
            now: The clock of the pauses between probes.
            health: Decides when the disk is used.
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
        """Begin to open the disk; what it holds is there when `opened` is done. Memory serves meanwhile."""
        if self.supervisor is not None:
            self.supervisor.start()

    async def close(self, within_s: float = 2.0) -> None:
        """Write a last snapshot of the index if the disk takes it in time."""
        if self.supervisor is not None:
            await self.supervisor.close(within_s)

    @property
    def opened(self) -> asyncio.Task | None:
        """Done when the first attempt to open the disk has ended; None without a disk or before `start`."""
        return None if self.supervisor is None else self.supervisor.opened

    # Copies

    async def get(
        self, object_: bytes, part: int, within_s: float = DEFAULT_READ_TIMEOUT_S
    ) -> ReadResult | None:
        """A whole part, or None. Never later than `within_s` or the stall limit, whichever is less."""
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
        copy = await self.supervisor.read(object_, part, within_s)
        if copy is None:
            return None
        if copy.needs_revalidation:
            self.counters.aside += 1
        else:
            self.counters.disk_hits += 1
            self.memory.put(key, copy)
        return copy

    def _offer_to_disk(self, object_: bytes, part: int, index_key: int, copy: ReadResult) -> None:
        """Queue a part that is used again and was not admitted before."""
        if self.supervisor is None or not self.supervisor.health.is_on:
            return
        if self.admission.sketch.estimate(index_key) not in _USES_OFFERED_TO_DISK:
            return
        if self.disk.lookup(object_, part):
            return
        self.supervisor.write(
            Copy(object_, part, copy.tag, copy.dated, copy.group, copy.rank, copy.size, copy.body)
        )

    def put(self, copy: Copy) -> bool:
        """Store a whole part: in memory at once, on disk if it is worth it.

        Returns:
            False if a purge has hit it already.

        Raises:
            ValueError: The copy can't be stored, or is not a whole part.
        """
        validate_copy(copy)
        if len(copy.body) != copy.size:
            raise ValueError("body: expected the whole part")
        if self.purges.is_purged(copy.object, copy.group, copy.dated):
            return False
        self.memory.put((copy.object, copy.part), copy.as_read_result())
        if self.supervisor is not None:
            self.supervisor.write(copy)
        return True

    def drop(self, object_: bytes, part: int) -> None:
        """Forget a part in both tiers."""
        self.memory.drop((object_, part))
        if self._disk_is_open():
            self.disk.drop(object_, part)

    # Revalidation

    def mark_revalidated(
        self, object_: bytes, part: int, copy: ReadResult, dated: float
    ) -> ReadResult | None:
        """Note that the source has called a copy unchanged as of `dated`.

        Returns:
            The copy as it may be served now, or None if a purge has hit it.
        """
        if dated < copy.dated or self.purges.is_purged(object_, copy.group, dated):
            return None
        fresh = copy._replace(dated=dated, needs_revalidation=False)
        self.memory.put((object_, part), fresh)
        if self._disk_is_open():
            self.disk.mark_revalidated(object_, part, copy.tag, copy.size, dated)
        return fresh

    def require_revalidation(self) -> None:
        """Mark everything stored as needing revalidation, because purges may have been missed."""
        for key, copy in self.memory.items():
            self.memory.replace(key, copy._replace(needs_revalidation=True))
        if self._disk_is_open():
            self.disk.require_revalidation()

    # Purges

    def purge(self, purge: Purge) -> asyncio.Future:
        """Take a purge; from now on nothing that it hits is served.

        Returns:
            A future: True when the purge is durable, False while there is no disk that works.
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
        """Take purges that are dated later than `now`, by the wall clock, for purges of `now`.

        Such a purge was dated before the clock was set back. What it hits needs revalidation by then; with
        its date as it was, it would hit every copy until the clock has caught up.
        """
        self.purges.limit_dates(now)
        if self._disk_is_open():
            self.disk.limit_purge_dates(now)

    # Figures

    def _disk_is_open(self) -> bool:
        return self.supervisor is not None and self.supervisor.is_open

    def disk_state(self) -> DiskState:
        """Whether the disk tier is used."""
        return DiskState.OFF if self.supervisor is None else self.supervisor.health.state

    def waiting_reads(self) -> int:
        """Reads that wait for a thread."""
        return 0 if self.supervisor is None else self.supervisor.waiting_reads()

    def stats(self) -> dict[str, int | str]:
        """Counts since the start and what is held, for logs and metrics."""
        stats = asdict(self.counters)
        stats["memory_bytes"] = self.memory.used_bytes
        stats["disk"] = self.disk_state().value
        if self.disk is not None:
            stats.update({f"disk_{name}": value for name, value in self.disk.stats().items()})
        return stats
