"""A two-tier store of parts of objects: memory before disk, with recovery after a crash.

    store = Store(memory_bytes, disk, log_event=log)
    copy = await store.get(b"7f3a9c21e0b4d655", 3)  # ReadResult or None
    store.put(Copy(...)); store.purge_object(...); await store.close()

An object is stored in parts, the bytes of a part in verified chunks of 64 KB. Sizes are bytes, times float
seconds by the Unix clock. Decisions stand in modules without I/O, clock or chance of their own: admission,
health, cleaning, index and purge_ledger. The disk tier is a log of segments: segment_writer, part_writer and
cleaner append to it, part_reader reads, recovery finds it again. The format is written to the byte in
docs/design/store.md.
"""

from brookhinge.store.copies import Copy, LookupResult, ReadResult
from brookhinge.store.disk_supervisor import DiskTimings
from brookhinge.store.disk_tier import DiskTier
from brookhinge.store.errors import StoreUnusableError
from brookhinge.store.store import Store

__all__ = ["Copy", "DiskTier", "DiskTimings", "LookupResult", "ReadResult", "Store", "StoreUnusableError"]
