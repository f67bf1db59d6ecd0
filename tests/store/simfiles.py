"""A file layer that forgets: what was not synced may be lost, torn at any byte or written in another order at a crash,
and so may names in the folder. Any call can be told to fail, or to be the last one before the crash."""

import errno
import os

from brookhinge.store.errors import FolderInUseError


class Crash(BaseException):
    """The machine stops here."""


class Inode:
    def __init__(self):
        self.data, self.durable, self.pending = bytearray(), bytearray(), []


def put(data, offset, piece):
    if len(data) < offset:
        data.extend(b"\0" * (offset - len(data)))
    data[offset : offset + len(piece)] = piece


class SimFiles:
    """`fail`: {call: error number} while it lasts; `stop_at`: the call of that number is a crash (half done)."""

    def __init__(self, chance):
        self.chance, self.names_, self.durable_names, self.steps = chance, {}, {}, []
        self.handles, self.next, self.locked, self.fail = {}, 3, False, {}
        self.calls, self.stop_at, self.short, self.delay = 0, None, None, None

    def step(self, call, half=None):
        self.calls += 1
        if self.calls == self.stop_at:
            if half:
                half()
            raise Crash
        if call in self.fail:
            raise OSError(self.fail[call], os.strerror(self.fail[call]))
        if self.delay:
            self.delay(call)

    def crash(self):
        """Power is lost and comes back: what the disk shows then."""
        for inode in {id(i): i for i in [*self.names_.values(), *self.durable_names.values()]}.values():
            data = bytearray(inode.durable)
            for offset, piece in self.chance.sample(
                inode.pending, self.chance.randint(0, len(inode.pending))
            ):
                put(
                    data,
                    offset,
                    piece[: self.chance.randint(0, len(piece))] if self.chance.random() < 0.5 else piece,
                )
            inode.data, inode.durable, inode.pending = data, bytearray(data), []
        for name, inode in self.steps[: self.chance.randint(0, len(self.steps))]:
            if inode is None:
                self.durable_names.pop(name, None)
            else:
                self.durable_names[name] = inode
        self.names_, self.steps = dict(self.durable_names), []
        self.handles, self.locked, self.stop_at, self.fail = {}, False, None, {}

    def inode(self, handle):
        if handle not in self.handles:  # of before the crash
            raise OSError(errno.EBADF, "bad file descriptor")
        return self.handles[handle]

    def make_folder(self):
        self.step("make_folder")

    def names(self):
        return sorted(self.names_)

    def name(self, name, inode):
        if inode is None:
            del self.names_[name]
        else:
            self.names_[name] = inode
        self.steps.append((name, inode))

    def handle(self, inode):
        self.next += 1
        self.handles[self.next] = inode
        return self.next

    def create(self, name):
        self.step("create")
        self.name(name, Inode())
        return self.handle(self.names_[name])

    def open(self, name, write=False):
        self.step("open")
        if name not in self.names_:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.handle(self.names_[name])

    def size(self, handle):
        return len(self.inode(handle).data)

    def write(self, handle, offset, buffers):
        inode, piece = self.inode(handle), b"".join(buffers)

        def store(piece):
            put(inode.data, offset, piece)
            inode.pending.append((offset, piece))

        self.step("write", lambda: store(piece[: self.chance.randint(0, len(piece))]))
        if self.short:
            store(piece[: self.short])
            raise OSError(errno.ENOSPC, "no space left")
        store(piece)

    def read(self, handle, offset, size):
        self.step("read")
        return bytes(self.inode(handle).data[offset : offset + size])

    def sync(self, handle):
        self.step("sync")
        inode = self.inode(handle)
        inode.durable, inode.pending = bytearray(inode.data), []

    def sync_folder(self):
        self.step("sync_folder")
        self.durable_names, self.steps = dict(self.names_), []

    def rename(self, old, new):
        self.step("rename")
        inode = self.names_[old]
        self.name(old, None)
        self.name(new, inode)

    def remove(self, name):
        self.step("remove")
        self.name(name, None)

    def close(self, handle):
        if self.handles.pop(handle, None) == "lock":
            self.locked = False

    def lock(self, name):
        self.step("lock")
        if self.locked:
            raise FolderInUseError(errno.EAGAIN, "in use by process 1")
        self.locked = True
        self.next += 1
        self.handles[self.next] = "lock"
        return self.next
