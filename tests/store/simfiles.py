"""Simulated file access layer with crashes and I/O errors.

In a crash, writes that were not synced may be lost, torn at any byte or applied out of order. Folder changes that
were not synced may be lost. Any call can be made to fail, or to be the one during which the crash occurs.
"""

import errno
import os

from brookhinge.store.errors import FolderInUseError


class Crash(BaseException):
    """Raised by the call during which the simulated machine crashes."""


class Inode:
    def __init__(self):
        self.data, self.durable, self.pending = bytearray(), bytearray(), []


def write_at(data, offset, piece):
    if len(data) < offset:
        data.extend(b"\0" * (offset - len(data)))
    data[offset : offset + len(piece)] = piece


class SimFiles:
    """Simulated files of one folder.

    Attributes:
        errors: Error number by call name; these calls fail until the entry is removed.
        crash_at_call: Number of the call that raises `Crash` after a partial write; None for no crash.
        short_write_bytes: Number of bytes after which each write fails; None for no limit.
        delay: Function that is called with the name of each call and may block; None for no delay.
    """

    def __init__(self, rng):
        self.rng, self.inodes, self.durable_inodes, self.unsynced_changes = rng, {}, {}, []
        self.handles, self.next_handle, self.locked, self.errors = {}, 3, False, {}
        self.calls, self.crash_at_call, self.short_write_bytes, self.delay = 0, None, None, None

    def begin_call(self, call, partial_effect=None):
        self.calls += 1
        if self.calls == self.crash_at_call:
            if partial_effect:
                partial_effect()
            raise Crash
        if call in self.errors:
            raise OSError(self.errors[call], os.strerror(self.errors[call]))
        if self.delay:
            self.delay(call)

    def crash(self):
        """Simulate a power failure: reduce the files to a state that the disk may have after it."""
        for inode in {id(i): i for i in [*self.inodes.values(), *self.durable_inodes.values()]}.values():
            data = bytearray(inode.durable)
            for offset, piece in self.rng.sample(inode.pending, self.rng.randint(0, len(inode.pending))):
                write_at(
                    data,
                    offset,
                    piece[: self.rng.randint(0, len(piece))] if self.rng.random() < 0.5 else piece,
                )
            inode.data, inode.durable, inode.pending = data, bytearray(data), []
        for name, inode in self.unsynced_changes[: self.rng.randint(0, len(self.unsynced_changes))]:
            if inode is None:
                self.durable_inodes.pop(name, None)
            else:
                self.durable_inodes[name] = inode
        self.inodes, self.unsynced_changes = dict(self.durable_inodes), []
        self.handles, self.locked, self.crash_at_call, self.errors = {}, False, None, {}

    def inode(self, handle):
        if handle not in self.handles:  # opened before the crash
            raise OSError(errno.EBADF, "bad file descriptor")
        return self.handles[handle]

    def make_folder(self):
        self.begin_call("make_folder")

    def names(self):
        return sorted(self.inodes)

    def set_name(self, name, inode):
        if inode is None:
            del self.inodes[name]
        else:
            self.inodes[name] = inode
        self.unsynced_changes.append((name, inode))

    def new_handle(self, inode):
        self.next_handle += 1
        self.handles[self.next_handle] = inode
        return self.next_handle

    def create(self, name):
        self.begin_call("create")
        self.set_name(name, Inode())
        return self.new_handle(self.inodes[name])

    def open(self, name, write=False):
        self.begin_call("open")
        if name not in self.inodes:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.new_handle(self.inodes[name])

    def size(self, handle):
        return len(self.inode(handle).data)

    def write(self, handle, offset, buffers):
        inode, piece = self.inode(handle), b"".join(buffers)

        def apply_write(piece):
            write_at(inode.data, offset, piece)
            inode.pending.append((offset, piece))

        self.begin_call("write", lambda: apply_write(piece[: self.rng.randint(0, len(piece))]))
        if self.short_write_bytes:
            apply_write(piece[: self.short_write_bytes])
            raise OSError(errno.ENOSPC, "no space left")
        apply_write(piece)

    def read(self, handle, offset, size):
        self.begin_call("read")
        return bytes(self.inode(handle).data[offset : offset + size])

    def sync(self, handle):
        self.begin_call("sync")
        inode = self.inode(handle)
        inode.durable, inode.pending = bytearray(inode.data), []

    def sync_folder(self):
        self.begin_call("sync_folder")
        self.durable_inodes, self.unsynced_changes = dict(self.inodes), []

    def rename(self, old, new):
        self.begin_call("rename")
        inode = self.inodes[old]
        self.set_name(old, None)
        self.set_name(new, inode)

    def remove(self, name):
        self.begin_call("remove")
        self.set_name(name, None)

    def close(self, handle):
        if self.handles.pop(handle, None) == "lock":
            self.locked = False

    def lock(self, name):
        self.begin_call("lock")
        if self.locked:
            raise FolderInUseError(errno.EAGAIN, "in use by process 1")
        self.locked = True
        self.next_handle += 1
        self.handles[self.next_handle] = "lock"
        return self.next_handle
