"""The file layer: every byte that the store keeps on disk goes through `Files`.

Tests put another layer in its place that loses, tears, reorders and refuses writes. Handles are file
descriptors; errors are OSError.
"""

import contextlib
import errno
import fcntl
import os

from brookhinge.store.errors import FolderInUseError

_FILE_MODE = 0o640
_LOCK_OWNER_BYTES = 64
TEMPORARY_SUFFIX = ".new"


class Files:
    """The files of one folder."""

    def __init__(self, folder: str | os.PathLike) -> None:
        self.folder = os.fspath(folder)

    def path(self, name: str) -> str:
        """The path of a file of the folder."""
        return os.path.join(self.folder, name)

    def make_folder(self) -> None:
        """Create the folder if it does not exist."""
        os.makedirs(self.folder, exist_ok=True)

    def names(self) -> list[str]:
        """The names in the folder, sorted."""
        return sorted(os.listdir(self.folder))

    def create(self, name: str) -> int:
        """Open a new or emptied file for reading and writing."""
        return os.open(self.path(name), os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, _FILE_MODE)

    def open(self, name: str, write: bool = False) -> int:
        """Open a file that exists."""
        return os.open(self.path(name), (os.O_RDWR if write else os.O_RDONLY) | os.O_CLOEXEC)

    def size(self, handle: int) -> int:
        """Bytes in a file."""
        return os.fstat(handle).st_size

    def write(self, handle: int, offset: int, buffers: list[bytes]) -> None:
        """Write all buffers at `offset`; a short write is continued until it is complete or fails."""
        total = sum(map(len, buffers))
        done = os.pwritev(handle, buffers, offset)
        if done == total:
            return
        data = memoryview(b"".join(buffers))
        while done < total:
            wrote = os.pwrite(handle, data[done:], offset + done)
            if wrote <= 0:
                raise OSError(errno.EIO, "nothing written")
            done += wrote

    def read(self, handle: int, offset: int, size: int) -> bytes:
        """Up to `size` bytes from `offset`; fewer only at the end of the file."""
        data = os.pread(handle, size, offset)
        while data and len(data) < size:
            more = os.pread(handle, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def sync(self, handle: int) -> None:
        """Make what was written to a file durable."""
        os.fdatasync(handle)

    def sync_folder(self) -> None:
        """Make creations, renames and removals of files durable."""
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file over another one."""
        os.replace(self.path(old), self.path(new))

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self.path(name))

    def close(self, handle: int) -> None:
        """Close a handle."""
        os.close(handle)

    def lock(self, name: str) -> int:
        """Lock the folder by a file of this name, which holds the process id for people to read.

        Returns:
            A handle; the lock is held while it is open.

        Raises:
            FolderInUseError: Another process holds the lock.
        """
        handle = os.open(self.path(name), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, _FILE_MODE)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            owner = ""
            with contextlib.suppress(OSError):
                owner = os.pread(handle, _LOCK_OWNER_BYTES, 0).decode("ascii", "replace").strip()
            os.close(handle)
            raise FolderInUseError(errno.EAGAIN, f"in use by process {owner or 'unknown'}") from None
        os.truncate(handle, 0)
        os.pwrite(handle, b"%d\n" % os.getpid(), 0)
        return handle


def write_file_atomically(files: Files, name: str, buffers: list[bytes]) -> None:
    """Replace a file so that after a crash either the old or the new one is there, whole."""
    temporary = name + TEMPORARY_SUFFIX
    handle = files.create(temporary)
    try:
        files.write(handle, 0, buffers)
        files.sync(handle)
    finally:
        files.close(handle)
    files.rename(temporary, name)
    files.sync_folder()


def read_file(files: Files, name: str) -> bytes:
    """All bytes of a file."""
    handle = files.open(name)
    try:
        return files.read(handle, 0, files.size(handle))
    finally:
        files.close(handle)
