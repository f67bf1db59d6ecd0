"""Writes index snapshots, so that the next startup need not scan the segments that they cover."""

from brookhinge.store.files import write_file_atomically
from brookhinge.store.folder_layout import snapshot_name, snapshot_numbers
from brookhinge.store.index_snapshot import encode_snapshot
from brookhinge.store.segment_writer import SegmentWriter
from brookhinge.store.tier_state import TierState

_KEPT_SNAPSHOTS = 2


def write_snapshot(state: TierState, writer: SegmentWriter) -> None:
    """Sync the segments, write an index snapshot and remove outdated snapshots."""
    with state.write_lock:
        writer.sync()
        with state.lock:
            covered_bytes = {number: segment.size for number, segment in state.segments.items()}
            dump = state.index.dump()
            live_bytes = dict(state.index.live_bytes)
            last_serial = state.last_serial
        number = state.next_snapshot
        state.next_snapshot += 1
        buffers = encode_snapshot(state.store_id, number, last_serial, covered_bytes, live_bytes, dump)
        write_file_atomically(state.files, snapshot_name(number), buffers)
        for old_number in snapshot_numbers(state.files.names())[:-_KEPT_SNAPSHOTS]:
            state.files.remove(snapshot_name(old_number))
