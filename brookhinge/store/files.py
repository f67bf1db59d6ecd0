"""File access layer: all disk I/O of the store goes through `Files`.

Tests replace it with a simulation that loses, tears, reorders and rejects writes. Handles are file
descriptors; failures raise OSError.
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
    """Operations on the files of one folder."""

    def __init__(self, folder: str | os.PathLike) -> None:
        self.folder = os.fspath(folder)

    def path(self, name: str) -> str:
        """Return the path of a file in the folder."""
        return os.path.join(self.folder, name)

    def make_folder(self) -> None:
        """Create the folder if it does not exist."""
        os.makedirs(self.folder, exist_ok=True)

    def names(self) -> list[str]:
        """Return the names in the folder, sorted."""
        return sorted(os.listdir(self.folder))

    def create(self, name: str) -> int:
        """Create a file, or truncate an existing one, and open it for reading and writing."""
        return os.open(self.path(name), os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, _FILE_MODE)

    def open(self, name: str, write: bool = False) -> int:
        """Open an existing file."""
        return os.open(self.path(name), (os.O_RDWR if write else os.O_RDONLY) | os.O_CLOEXEC)

    def size(self, handle: int) -> int:
        """Return the size of a file in bytes."""
        return os.fstat(handle).st_size

    def write(self, handle: int, offset: int, buffers: list[bytes]) -> None:
        """Write all buffers at `offset`, continuing after short writes."""
        total = sum(map(len, buffers))
        written = os.pwritev(handle, buffers, offset)
        if written == total:
            return
        data = memoryview(b"".join(buffers))
        while written < total:
            count = os.pwrite(handle, data[written:], offset + written)
            if count <= 0:
                raise OSError(errno.EIO, "pwrite wrote no bytes")
            written += count

    def read(self, handle: int, offset: int, size: int) -> bytes:
        """Read `size` bytes from `offset`, or fewer if the file ends before."""
        data = os.pread(handle, size, offset)
        while data and len(data) < size:
            more = os.pread(handle, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def sync(self, handle: int) -> None:
        """Make the data written to a file durable."""
        os.fdatasync(handle)

    def sync_folder(self) -> None:
        """Make file creations, renames and removals in the folder durable."""
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any existing file of the new name."""
        os.replace(self.path(old), self.path(new))

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self.path(name))

    def close(self, handle: int) -> None:
        """Close a handle."""
        os.close(handle)

    def lock(self, name: str) -> int:
        """Lock the folder through a lock file, which also holds the process id for operators to read.

        Returns:
            The handle of the lock file. The lock is held until the handle is closed.

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
    """Replace a file atomically: after a crash it has either its old or its new content in full."""
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
    """Return the whole content of a file."""
    handle = files.open(name)
    try:
        return files.read(handle, 0, files.size(handle))
    finally:
        files.close(handle)
