"""File of the purge ledger: each purge is appended, and the file is rewritten when it has grown too large."""

import contextlib
import errno

from brookhinge.store.errors import DamagedError, StoreUnusableError, UnsupportedVersionError
from brookhinge.store.file_format import (
    FILE_HEADER_BYTES,
    FileKind,
    decode_file_header,
    encode_file_header,
)
from brookhinge.store.files import read_file, write_file_atomically
from brookhinge.store.folder_layout import LEDGER_FILE
from brookhinge.store.purge_ledger import ReplayResult
from brookhinge.store.tier_state import TierState

_REWRITE_MIN_BYTES = 65536
_REWRITE_BYTES_PER_PURGE = 4 * 64  # about four times the size of a purge record


class PurgeLedgerFile:
    """The ledger file of one store, and its open handle."""

    def __init__(self, state: TierState) -> None:
        self._state = state
        self._handle: int | None = None
        self._size = 0

    def replay(self) -> ReplayResult:
        """Read the file into the ledger of the tier.

        If the file header is damaged, the whole file counts as unreadable, but its intact records are added.

        Raises:
            StoreUnusableError: The file is in an unsupported version of the format.
        """
        state = self._state
        data = read_file(state.files, LEDGER_FILE)
        try:
            if decode_file_header(FileKind.PURGE_LEDGER, data).store_id != state.store_id:
                raise DamagedError("purge ledger: belongs to another store")
        except UnsupportedVersionError as error:
            raise StoreUnusableError(f"purge ledger: {error}") from None
        except DamagedError:
            state.ledger.replay(data[FILE_HEADER_BYTES:])
            return ReplayResult(records=0, unreadable_bytes=len(data))
        return state.ledger.replay(memoryview(data)[FILE_HEADER_BYTES:])

    def append(self, record: bytes) -> None:
        """Append the record of one purge; the record is durable on return.

        Raises:
            OSError: The write failed, or the file is not open. A failed write closes it until `rewrite`
                succeeds.
        """
        state = self._state
        with state.write_lock:
            if self._handle is None:
                raise OSError(errno.EIO, "purge ledger file is not open")
            try:
                state.files.write(self._handle, self._size, [record])
                state.files.sync(self._handle)
            except OSError:
                handle = self._handle
                self._handle = None
                with contextlib.suppress(OSError):
                    state.files.close(handle)
                raise
            self._size += len(record)
            purges = len(state.ledger.objects) + len(state.ledger.groups)
            if self._size > _REWRITE_MIN_BYTES + _REWRITE_BYTES_PER_PURGE * purges:
                self.rewrite()

    def rewrite(self) -> None:
        """Replace the file with the smallest set of records that is equivalent to the ledger in memory."""
        state = self._state
        with state.write_lock:
            if self._handle is not None:
                state.files.close(self._handle)
                self._handle = None
            with state.lock:
                header = encode_file_header(FileKind.PURGE_LEDGER, state.store_id, 0)
                data = b"".join([header, *state.ledger.encode_all()])
            write_file_atomically(state.files, LEDGER_FILE, [data])
            self._handle = state.files.open(LEDGER_FILE, write=True)
            self._size = len(data)

    def detach(self) -> int | None:
        """Return the open handle, if any, for the caller to close, and forget it."""
        handle = self._handle
        self._handle = None
        return handle
