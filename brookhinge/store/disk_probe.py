"""Finds out whether a disk that has failed works again."""

import errno

from brookhinge.store.files import Files
from brookhinge.store.folder_layout import PROBE_FILE

_PROBE_DATA = b"brookhinge" * 410  # a little over a page


def probe_disk(files: Files) -> None:
    """Write, sync, read and remove a file.

    Raises:
        OSError: The disk refuses one of these, or returns other bytes.
    """
    handle = files.create(PROBE_FILE)
    try:
        files.write(handle, 0, [_PROBE_DATA])
        files.sync(handle)
        if files.read(handle, 0, len(_PROBE_DATA)) != _PROBE_DATA:
            raise OSError(errno.EIO, "what was read is not what was written")
    finally:
        files.close(handle)
    files.remove(PROBE_FILE)
