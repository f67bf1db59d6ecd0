"""The disk tier: one folder with segments, an index, a purge ledger and snapshots.

Calls may come from any thread. On an event loop only those may be made that touch memory alone: `lookup`,
`drop`, `mark_revalidated`, `note_purge`, `limit_purge_dates`, `require_revalidation` and `stats`.
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
    """Log nothing."""


class DiskTier:
    """A tier of at most `limit_bytes` on disk, in segments of `segment_bytes`."""

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
        """Make a tier that is not open yet.

        Args:
            files: The file layer of its folder.
            limit_bytes: Bytes of all segments.
            segment_bytes: Bytes of a full segment.
            log_event: Called with the event's name and its values as keywords.
            admits: Decides on copies that do not bypass admission; without it all are admitted.
            max_purged_objects: Beyond so many the ledger folds the older half into its floor.
        """
        self._state = TierState(files, int(limit_bytes), int(segment_bytes), log_event, max_purged_objects)
        self._state.reset()
        self._lock_handle: int | None = None
        self._writer = SegmentWriter(self._state)
        self._cleaner = Cleaner(self._state, self._writer)
        self._part_writer = PartWriter(self._state, self._writer, self._cleaner, admits)
        self._part_reader = PartReader(self._state)
        self._ledger_file = PurgeLedgerFile(self._state)

    # What is inside, for tools and tests

    @property
    def files(self) -> Files:
        """The file layer."""
        return self._state.files

    @property
    def limit_bytes(self) -> int:
        """Bytes that all segments may take."""
        return self._state.limit_bytes

    @property
    def index(self) -> Index:
        """The index of what is stored."""
        return self._state.index

    @property
    def ledger(self) -> PurgeLedger:
        """The purges that are known."""
        return self._state.ledger

    @property
    def segments(self) -> dict[int, Segment]:
        """The open segments by number."""
        return self._state.segments

    @property
    def suspects(self) -> set[int]:
        """Numbers of the segments that are to be verified."""
        return self._state.suspects

    @property
    def counters(self) -> DiskCounters:
        """Counts since the tier was made."""
        return self._state.counters

    @property
    def store_id(self) -> int:
        """The random number that all files of this store carry."""
        return self._state.store_id

    @property
    def unsynced_bytes(self) -> int:
        """Bytes appended since the last sync."""
        return self._writer.unsynced_bytes

    # Opening and closing

    def open(self) -> RecoveryReport:
        """Lock the folder and recover what is in it; all of it needs revalidation.

        Raises:
            StoreUnusableError: The folder can't be used as a store.
            FolderInUseError: Another process uses it.
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
        """Write a last snapshot and free the folder."""
        with self._state.write_lock:
            try:
                if self._lock_handle is not None:
                    self.snapshot()
            finally:
                self.abandon()

    def abandon(self) -> None:
        """Free the folder without writing anything."""
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
        """What the index knows of a part, from memory alone; None if it is not stored or was purged."""
        return self._part_reader.lookup(object_, part)

    def read(self, object_: bytes, part: int, start: int = 0, stop: int | None = None) -> ReadResult | None:
        """The verified bytes [start, stop) of a part, or None if not all of them are stored.

        Raises:
            OSError: The disk failed.
        """
        return self._part_reader.read(object_, part, start, stop)

    def write(self, copy: Copy, bypass_admission: bool = False) -> bool:
        """Store a copy if it is worth its place; True if it was written.

        Raises:
            ValueError: The copy can't be stored at all.
            OSError: The disk failed; what was half written is never served.
        """
        return self._part_writer.write(copy, bypass_admission)

    def set_admission(self, admits: AdmissionCheck) -> None:
        """Set what decides on copies that do not bypass admission."""
        self._part_writer.admits = admits

    def drop(self, object_: bytes, part: int) -> None:
        """Forget a part if it is stored."""
        state = self._state
        with state.lock:
            entry = state.index.find(key_of(object_, part))
            if entry is not None:
                state.index.drop(entry)

    # Revalidation

    def require_revalidation(self) -> None:
        """Mark everything stored as needing revalidation, because purges may have been missed."""
        with self._state.lock:
            self._state.epoch += 1

    def mark_revalidated(self, object_: bytes, part: int, tag: bytes, size: int, dated: float) -> bool:
        """Note that the source has called a copy unchanged and issued its own at `dated`.

        Returns:
            Whether the copy may be served again. One from before a known purge may not.
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
        """Take a purge, durable on return; what it hits is not served from the moment of the call on.

        Raises:
            OSError: It is known, but not durable.
        """
        self.write_purge(self.note_purge(purge))

    def note_purge(self, purge: Purge) -> bytes:
        """Take a purge into memory, so that nothing it hits is served.

        Returns:
            Its record for `write_purge`.
        """
        with self._state.lock:
            self._state.counters.purges += 1
            return self._state.ledger.add(purge)

    def write_purge(self, record: bytes) -> None:
        """Make a noted purge durable.

        Raises:
            OSError: It is not durable until `rewrite_ledger` succeeds.
        """
        self._ledger_file.append(record)

    def rewrite_ledger(self) -> None:
        """Write the ledger's file anew from memory, in the fewest records."""
        self._ledger_file.rewrite()

    def limit_purge_dates(self, now: float) -> None:
        """Take purges that are dated later than `now` for purges of `now`."""
        with self._state.lock:
            self._state.ledger.limit_dates(now)

    # Maintenance

    def sync(self) -> None:
        """Make all that was written durable.

        Raises:
            OSError: What was not durable is forgotten.
        """
        self._writer.sync()

    def snapshot(self) -> None:
        """Write a snapshot of the index, so that the next start need not scan what it covers."""
        write_snapshot(self._state, self._writer)

    def clean_segment(self, segment: Segment) -> None:
        """Copy the live records of a segment to the end of the log, and remove it."""
        self._cleaner.clean_segment(segment)

    def verify_suspect(self) -> VerifiedSegment | None:
        """Read through one segment in which damage was met, and drop the records that are not whole."""
        return self._cleaner.verify_suspect()

    def probe(self) -> None:
        """Find out whether the disk works again, and write down the purges that memory knows.

        Raises:
            OSError: It does not.
        """
        with self._state.write_lock:
            probe_disk(self._state.files)
            self.rewrite_ledger()

    def stats(self) -> dict[str, int]:
        """Counts since the tier was made and what it holds, for logs and metrics."""
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
