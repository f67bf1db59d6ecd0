"""A two-tier store of parts of objects: memory before disk, with recovery after a crash.

    store = Store(memory_bytes, disk, say=log, ...)     # see store.py
    found = await store.get(b"7f3a9c21e0b4d655", 3)      # Found or None
    store.put(Copy(...)); store.purge_object(...); await store.close()

An object is kept in parts, a part's bytes in checked chunks of 64 KB. Sizes are bytes, times float seconds by the Unix
clock. What is decided stands in modules without I/O, clock or chance of their own: admission, health, cleaning, ledger,
index. The format is written to the byte in docs/design/store.md; the sketch and its ageing are after TinyLFU (Einziger,
Friedman, Manes, 2017), the log and its cleaning after LFS (Rosenblum, Ousterhout, 1992)."""

from brookhinge.store.disk_tier import DiskTier, StoreUnusable
from brookhinge.store.records import Copy, Found, Held
from brookhinge.store.store import Store

__all__ = ["Copy", "DiskTier", "Found", "Held", "Store", "StoreUnusable"]
