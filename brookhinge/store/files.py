"""The file layer: every byte that the store keeps on disk goes through here, so that tests can lose, tear, reorder and
refuse any of it. Handles are descriptors; errors are OSError."""

import contextlib
import errno
import fcntl
import os


class Owned(OSError):
    """The folder belongs to another live process."""


class Files:
    """One folder."""

    def __init__(self, folder):
        self.folder = os.fspath(folder)

    def path(self, name):
        return os.path.join(self.folder, name)

    def make_folder(self):
        os.makedirs(self.folder, exist_ok=True)

    def names(self):
        return sorted(os.listdir(self.folder))

    def create(self, name):
        return os.open(self.path(name), os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o640)

    def open(self, name, write=False):
        return os.open(self.path(name), (os.O_RDWR if write else os.O_RDONLY) | os.O_CLOEXEC)

    def size(self, handle):
        return os.fstat(handle).st_size

    def write(self, handle, offset, buffers):
        """All of it or an error: a short write is gone on with until the disk says why."""
        left = sum(map(len, buffers))
        done = os.pwritev(handle, buffers, offset)
        if done == left:
            return
        data = memoryview(b"".join(buffers))
        while done < left:
            wrote = os.pwrite(handle, data[done:], offset + done)
            if wrote <= 0:
                raise OSError(errno.EIO, "nothing written")
            done += wrote

    def read(self, handle, offset, size):
        """Up to size bytes: fewer at the file's end alone."""
        data = os.pread(handle, size, offset)
        while data and len(data) < size:
            more = os.pread(handle, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def sync(self, handle):
        os.fdatasync(handle)

    def sync_folder(self):
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old, new):
        os.replace(self.path(old), self.path(new))

    def remove(self, name):
        os.unlink(self.path(name))

    def close(self, handle):
        os.close(handle)

    def lock(self, name):
        """The handle of the folder's lock, held as long as it is open. The text in it is for people."""
        handle = os.open(self.path(name), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            with contextlib.suppress(OSError):
                owner = os.pread(handle, 64, 0).decode("ascii", "replace").strip()
            os.close(handle)
            raise Owned(errno.EAGAIN, f"in use by process {owner or 'unknown'}") from None
        os.truncate(handle, 0)
        os.pwrite(handle, b"%d\n" % os.getpid(), 0)
        return handle


def write_whole(files, name, buffers):
    """A file that is there whole or not at all: written aside, synced, renamed, the folder synced."""
    aside = name + ".new"
    handle = files.create(aside)
    try:
        files.write(handle, 0, buffers)
        files.sync(handle)
    finally:
        files.close(handle)
    files.rename(aside, name)
    files.sync_folder()


def read_whole(files, name):
    handle = files.open(name)
    try:
        return files.read(handle, 0, files.size(handle))
    finally:
        files.close(handle)
