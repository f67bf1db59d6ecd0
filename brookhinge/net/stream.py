"""Tornado's IOStream, made tolerant of temporary memory shortages in the kernel."""

import enum
import errno
import socket

from tornado.iostream import IOStream

# The kernel is temporarily out of memory: recv(2) and send(2) fail, but the connection stays intact.
SHORTAGES = frozenset((errno.ENOMEM, errno.ENOBUFS))


class Unread(enum.Enum):
    """What a connection holds in the kernel that this process has not read."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"  # the peer closed or reset it, or it is closed on this side
    UNKNOWN = "unknown"  # the check failed for lack of memory


def unread(connection: socket.socket | None) -> Unread:
    """Return what is unread on a non-blocking socket; pass None for a closed stream."""
    if connection is None:
        return Unread.END
    try:
        return Unread.BYTES if connection.recv(1, socket.MSG_PEEK) else Unread.END
    except BlockingIOError:
        return Unread.NOTHING
    except OSError as error:
        return Unread.UNKNOWN if error.errno in SHORTAGES else Unread.END


class Stream(IOStream):
    """A stream that retries reads and writes when the kernel is short of memory.

    On every error except 'would block', Tornado's IOStream closes the connection with all requests on it.
    """

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into `buf`; return the number of bytes, or None if nothing can be read now."""
        try:
            return super().read_from_fd(buf)
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            return None
        finally:
            # The stream keeps the error that closed it, which would keep this frame and the buffer alive.
            del buf

    def write_to_fd(self, data: memoryview) -> int:
        """Write `data` and return the number of bytes written.

        Raises:
            BlockingIOError: Nothing can be written now.
            OSError: The connection failed.
        """
        try:
            return super().write_to_fd(data)
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            raise BlockingIOError(error.errno, error.strerror) from None
        finally:
            del data
