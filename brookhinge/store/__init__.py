"""Two-tier store for cached object parts: a memory tier over a crash-safe disk tier.

    store = Store(memory_bytes, disk, log_event=log)
    copy = await store.get(b"7f3a9c21e0b4d655", 3)  # ReadResult or None
    store.put(Copy(...)); store.purge_object(...); await store.close()

Objects are stored in parts, and the bytes of a part in chunks of 64 KB that each have a checksum. Sizes are
in bytes; times are Unix timestamps in seconds, as floats. Policy lives in modules that do no I/O and use
neither the clock nor random numbers: admission, health, cleaning, index and purge_ledger. The disk tier is a
log-structured store of segments: segment_writer, part_writer and cleaner append to it, part_reader reads from
it, and recovery rebuilds its state at startup. docs/design/store.md specifies the on-disk format.
"""

from brookhinge.store.copies import Copy, LookupResult, ReadResult
from brookhinge.store.disk_supervisor import DiskTimings
from brookhinge.store.disk_tier import DiskTier
from brookhinge.store.errors import StoreUnusableError
from brookhinge.store.store import Store

__all__ = ["Copy", "DiskTier", "DiskTimings", "LookupResult", "ReadResult", "Store", "StoreUnusableError"]
