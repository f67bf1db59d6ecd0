"""Probe that tests whether a failed disk works again."""

import errno

from brookhinge.store.files import Files
from brookhinge.store.folder_layout import PROBE_FILE

_PROBE_DATA = b"brookhinge" * 410  # slightly more than one 4 KB page


def probe_disk(files: Files) -> None:
    """Write, sync, read back and remove a file.

    Raises:
        OSError: An operation failed, or the bytes read differ from the bytes written.
    """
    handle = files.create(PROBE_FILE)
    try:
        files.write(handle, 0, [_PROBE_DATA])
        files.sync(handle)
        if files.read(handle, 0, len(_PROBE_DATA)) != _PROBE_DATA:
            raise OSError(errno.EIO, "bytes read differ from the bytes written")
    finally:
        files.close(handle)
    files.remove(PROBE_FILE)
