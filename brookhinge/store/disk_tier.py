"""Disk tier: a folder with segments, a purge ledger and index snapshots, and the index in memory.

All methods may be called from any thread. An event loop may call only those that do no disk I/O: `lookup`,
`drop`, `mark_revalidated`, `add_purge`, `limit_purge_dates`, `require_revalidation` and `stats`.
"""

import contextlib
from dataclasses import asdict

from brookhinge.store.cleaner import Cleaner, VerifiedSegment
from brookhinge.store.copies import Copy, LookupResult, ReadResult, key_of, version_of
from brookhinge.store.disk_probe import probe_disk
from brookhinge.store.files import Files
from brookhinge.store.folder_layout import LOCK_FILE
from brookhinge.store.index import Index
from brookhinge.store.part_reader import PartReader
from brookhinge.store.part_writer import AdmissionCheck, PartWriter
from brookhinge.store.purge_ledger import DEFAULT_MAX_OBJECTS, Purge, PurgeLedger
from brookhinge.store.purge_ledger_file import PurgeLedgerFile
from brookhinge.store.recovery import Recovery, RecoveryReport
from brookhinge.store.segment import Segment
from brookhinge.store.segment_writer import SegmentWriter
from brookhinge.store.snapshotting import write_snapshot
from brookhinge.store.tier_state import DiskCounters, LogEvent, TierState


def _ignore_event(event: str, **values: object) -> None:
    """Ignore a log event."""


class DiskTier:
    """Disk tier of at most `limit_bytes`, in segments of at most `segment_bytes`."""

    def __init__(
        self,
        files: Files,
        limit_bytes: int,
        segment_bytes: int,
        *,
        log_event: LogEvent = _ignore_event,
        admits: AdmissionCheck | None = None,
        max_purged_objects: int = DEFAULT_MAX_OBJECTS,
    ) -> None:
        """Create a tier. `open` opens its folder.

        Args:
            files: File access layer for the folder.
            limit_bytes: Maximum size of all segments together.
            segment_bytes: Maximum size of a segment.
            log_event: Called with the name of an event and its values as keyword arguments.
            admits: Admission check for copies that do not bypass admission; None admits all of them.
            max_purged_objects: Maximum number of object purges before the ledger replaces the older half by
                a floor.
        """
        self._state = TierState(files, int(limit_bytes), int(segment_bytes), log_event, max_purged_objects)
        self._state.reset()
        self._lock_handle: int | None = None
        self._writer = SegmentWriter(self._state)
        self._cleaner = Cleaner(self._state, self._writer)
        self._part_writer = PartWriter(self._state, self._writer, self._cleaner, admits)
        self._part_reader = PartReader(self._state)
        self._ledger_file = PurgeLedgerFile(self._state)

    # Internal state, for tools and tests

    @property
    def files(self) -> Files:
        """File access layer of the folder."""
        return self._state.files

    @property
    def limit_bytes(self) -> int:
        """Maximum size of all segments together."""
        return self._state.limit_bytes

    @property
    def index(self) -> Index:
        """Index of the stored records."""
        return self._state.index

    @property
    def ledger(self) -> PurgeLedger:
        """Ledger of all known purges."""
        return self._state.ledger

    @property
    def segments(self) -> dict[int, Segment]:
        """Open segments by number."""
        return self._state.segments

    @property
    def suspects(self) -> set[int]:
        """Numbers of the segments that need verification."""
        return self._state.suspects

    @property
    def counters(self) -> DiskCounters:
        """Counters since the tier was created."""
        return self._state.counters

    @property
    def store_id(self) -> int:
        """Random id in the header of every file of this store."""
        return self._state.store_id

    @property
    def unsynced_bytes(self) -> int:
        """Bytes appended since the last sync."""
        return self._writer.unsynced_bytes

    # Opening and closing

    def open(self) -> RecoveryReport:
        """Lock the folder and recover its content; all recovered copies need revalidation.

        Raises:
            StoreUnusableError: The folder can't be used as a store.
            FolderInUseError: Another process has locked the folder.
            OSError: The disk failed.
        """
        state = self._state
        with state.write_lock, state.lock:
            state.files.make_folder()
            self._lock_handle = state.files.lock(LOCK_FILE)
            try:
                self._writer.reset()
                return Recovery(state, self._ledger_file).run()
            except BaseException:
                self.abandon()
                raise

    def close(self) -> None:
        """Write a last index snapshot and release the folder."""
        with self._state.write_lock:
            try:
                if self._lock_handle is not None:
                    self.snapshot()
            finally:
                self.abandon()

    def abandon(self) -> None:
        """Release the folder without writing anything."""
        state = self._state
        with state.lock:
            handles = [segment.handle for segment in state.segments.values()]
            handles += [self._ledger_file.detach(), self._lock_handle]
            state.segments = {}
            state.index = Index()
            self._writer.active = None
            self._lock_handle = None
        for handle in handles:
            if handle is not None:
                with contextlib.suppress(OSError):
                    state.files.close(handle)

    # Copies

    def lookup(self, object_: bytes, part: int) -> LookupResult | None:
        """Return the metadata of a part without disk I/O; None if it is not stored or was purged."""
        return self._part_reader.lookup(object_, part)

    def read(self, object_: bytes, part: int, start: int = 0, stop: int | None = None) -> ReadResult | None:
        """Return the verified bytes [start, stop) of a part, or None if not all of them are stored.

        Raises:
            OSError: The disk failed.
        """
        return self._part_reader.read(object_, part, start, stop)

    @property
    def epoch(self) -> int:
        """Number of the current epoch; copies from earlier ones need revalidation."""
        return self._state.epoch

    def write(self, copy: Copy, bypass_admission: bool = False, epoch: int | None = None) -> bool:
        """Store a copy that was obtained in `epoch`, or in the current one; return whether it was written.

        It is not written if it is not admitted or if no space can be made for it.

        Raises:
            ValueError: A field of the copy is out of range.
            OSError: The disk failed. An incomplete record is never served.
        """
        return self._part_writer.write(copy, bypass_admission, epoch)

    def set_admission(self, admits: AdmissionCheck) -> None:
        """Set the admission check for copies that do not bypass admission."""
        self._part_writer.admits = admits

    def drop(self, object_: bytes, part: int) -> None:
        """Drop a part if it is stored."""
        state = self._state
        with state.lock:
            entry = state.index.find(key_of(object_, part))
            if entry is not None:
                state.index.drop(entry)

    # Revalidation

    def require_revalidation(self) -> None:
        """Mark all stored copies as needing revalidation, because purges may have been missed."""
        with self._state.lock:
            self._state.epoch += 1

    def mark_revalidated(self, object_: bytes, part: int, tag: bytes, size: int, dated: float) -> bool:
        """Record that the source of a part has confirmed a copy as unchanged.

        Args:
            object_: Name of the object.
            part: Number of the part.
            tag: Entity tag of the confirmed copy.
            size: Bytes in the whole part.
            dated: Date of the copy that the source has, a Unix timestamp in seconds.

        Returns:
            Whether the stored copy may be served. It may not if it is another version, is dated later than
            `dated`, or has been purged.
        """
        state = self._state
        with state.lock:
            index = state.index
            entry = index.find(key_of(object_, part))
            if entry is None or not tag or index.version[entry] != version_of(tag, dated, size):
                return False
            if state.ledger.is_purged(object_, index.group[entry], dated) or dated < index.dated[entry]:
                return False
            for extent in index.chain_of(entry):
                index.dated[extent] = dated
                index.epoch[extent] = state.epoch
            state.counters.renewed += 1
            return True

    # Purges

    def purge(self, purge: Purge) -> None:
        """Add a purge, which is durable on return. Copies that it matches are no longer served.

        Raises:
            OSError: The purge is in effect, but not durable.
        """
        self.write_purge(self.add_purge(purge))

    def add_purge(self, purge: Purge) -> bytes:
        """Add a purge to the ledger in memory. Copies that it matches are no longer served.

        Returns:
            The encoded record of the purge for `write_purge`.
        """
        with self._state.lock:
            self._state.counters.purges += 1
            return self._state.ledger.add(purge)

    def write_purge(self, record: bytes) -> None:
        """Write the record of a purge to the ledger file; it is durable on return.

        Raises:
            OSError: The purge is not durable until `rewrite_ledger` succeeds.
        """
        self._ledger_file.append(record)

    def rewrite_ledger(self) -> None:
        """Replace the ledger file with the smallest set of records that is equivalent to the ledger."""
        self._ledger_file.rewrite()

    def limit_purge_dates(self, now: float) -> None:
        """Set the date of each purge that is dated later than `now` to `now`."""
        with self._state.lock:
            self._state.ledger.limit_dates(now)

    # Maintenance

    def sync(self) -> None:
        """Make all written records durable.

        Raises:
            OSError: A sync failed, and the unsynced records of that segment were dropped.
        """
        self._writer.sync()

    def snapshot(self) -> None:
        """Write an index snapshot, so that the next startup need not scan the segments that it covers."""
        write_snapshot(self._state, self._writer)

    def clean_segment(self, segment: Segment) -> None:
        """Copy the live records of a segment to the end of the log, and remove the segment."""
        self._cleaner.clean_segment(segment)

    def verify_suspect(self) -> VerifiedSegment | None:
        """Verify one segment in which damage was found, if there is one, and drop its damaged records."""
        return self._cleaner.verify_suspect()

    def probe(self) -> None:
        """Test whether the disk works again, and write all purges known in memory to it.

        Raises:
            OSError: The disk still fails.
        """
        with self._state.write_lock:
            probe_disk(self._state.files)
            self.rewrite_ledger()

    def stats(self) -> dict[str, int]:
        """Return counters and current sizes, for logs and metrics."""
        state = self._state
        with state.lock:
            return {
                **asdict(state.counters),
                "parts": state.index.parts,
                "entries": state.index.entries,
                "live_bytes": state.live_bytes(),
                "disk_bytes": state.disk_bytes(),
                "segments": len(state.segments),
                "suspects": len(state.suspects),
            }
