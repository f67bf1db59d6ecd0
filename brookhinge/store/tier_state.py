"""State shared by the components of the disk tier: index, ledger, segments and the locks that protect them.

Lock order: `write_lock` is acquired before `lock`. `write_lock` is held during file operations, `lock` only
during operations in memory. Segments are appended to and removed under `write_lock`; index, ledger and
counters change under `lock`.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from brookhinge.store.files import Files
from brookhinge.store.index import Index
from brookhinge.store.purge_ledger import PurgeLedger
from brookhinge.store.segment import Segment

LogEvent = Callable[..., None]  # log_event(event, **values)


@dataclass(slots=True)
class DiskCounters:
    """Counters since the tier was created. The field names appear in logs and metrics."""

    reads: int = 0
    written: int = 0
    written_bytes: int = 0
    copied_bytes: int = 0  # copied by cleaning
    damaged: int = 0
    kept_out: int = 0  # copies that were not admitted or for which there was no space
    evicted: int = 0
    purges: int = 0
    cleaned: int = 0  # segments freed by cleaning
    renewed: int = 0  # copies marked as revalidated


@dataclass(slots=True, eq=False)
class TierState:
    """Shared state of one disk tier."""

    files: Files
    limit_bytes: int
    segment_bytes: int
    log_event: LogEvent
    max_purged_objects: int
    lock: threading.RLock = field(default_factory=threading.RLock)
    write_lock: threading.RLock = field(default_factory=threading.RLock)
    counters: DiskCounters = field(default_factory=DiskCounters)
    index: Index = field(default_factory=Index)
    ledger: PurgeLedger = field(default_factory=PurgeLedger)
    segments: dict[int, Segment] = field(default_factory=dict)
    suspects: set[int] = field(default_factory=set)  # segments in which a read found damage
    store_id: int = 0
    last_serial: int = 0  # highest serial number given to a record
    epoch: int = 1  # copies from an earlier epoch need revalidation
    next_segment: int = 1
    next_snapshot: int = 1

    def reset(self) -> None:
        """Reset everything that is read from a folder."""
        self.index = Index()
        self.ledger = PurgeLedger(self.max_purged_objects)
        self.segments = {}
        self.suspects = set()
        self.store_id = 0
        self.last_serial = 0
        self.epoch = 1
        self.next_segment = 1
        self.next_snapshot = 1

    def next_serial(self) -> int:
        """Return the serial number for a new record."""
        self.last_serial += 1
        return self.last_serial

    def disk_bytes(self) -> int:
        """Return the size of all segments in bytes."""
        return sum(segment.size for segment in self.segments.values())

    def live_bytes(self) -> int:
        """Return the total size in bytes of the records in use."""
        return sum(self.index.bytes_by_rank)

    def release(self, segment: Segment) -> None:
        """End a read of a segment; a removed one is closed after its last read. The caller holds `lock`."""
        segment.readers -= 1
        if segment.is_removed and not segment.readers:
            self.files.close(segment.handle)
