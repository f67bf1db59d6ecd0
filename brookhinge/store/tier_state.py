"""What the parts of the disk tier share: the index, the ledger, the segments and the locks that guard them.

Lock order: `write_lock`, held over work on files, before `lock`, held over memory alone. Segments are
appended to and removed under `write_lock`; index, ledger and counters change under `lock`.
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
    """Counts since the tier was made. The names stand in logs and metrics."""

    reads: int = 0
    written: int = 0
    written_bytes: int = 0
    copied_bytes: int = 0  # by cleaning
    damaged: int = 0
    kept_out: int = 0  # copies that were not admitted or found no space
    evicted: int = 0
    purges: int = 0
    cleaned: int = 0  # segments
    renewed: int = 0  # copies revalidated


@dataclass(slots=True, eq=False)
class TierState:
    """State of one disk tier."""

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
    suspects: set[int] = field(default_factory=set)  # segments in which something was damaged
    store_id: int = 0
    last_serial: int = 0  # of the records
    epoch: int = 1  # copies of an earlier one need revalidation
    next_segment: int = 1
    next_snapshot: int = 1

    def reset(self) -> None:
        """Forget everything that was read from a folder."""
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
        """The serial number of a new record."""
        self.last_serial += 1
        return self.last_serial

    def disk_bytes(self) -> int:
        """Bytes of all segments."""
        return sum(segment.size for segment in self.segments.values())

    def live_bytes(self) -> int:
        """Bytes of the records in use."""
        return sum(self.index.bytes_by_rank)

    def release(self, segment: Segment) -> None:
        """End one read of a segment. The caller holds `lock`."""
        segment.readers -= 1
        if segment.is_removed and not segment.readers:
            self.files.close(segment.handle)
