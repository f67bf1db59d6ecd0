"""Tornado's IOStream with tolerance for shortages of the system that pass by themselves."""

import enum
import errno
import socket

from tornado.iostream import IOStream

# The system is short of memory for a moment: recv(2) and send(2) fail, the connection is as good as before.
SHORTAGES = frozenset((errno.ENOMEM, errno.ENOBUFS))


class Unread(enum.Enum):
    """What lies in the system of a connection, not read by this process."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"  # the other side closed or reset it, or it is closed here
    UNKNOWN = "unknown"  # a shortage: nobody can tell


def unread(connection: socket.socket | None) -> Unread:
    """Return what lies unread on a socket that does not block; a closed stream has None."""
    if connection is None:
        return Unread.END
    try:
        return Unread.BYTES if connection.recv(1, socket.MSG_PEEK) else Unread.END
    except BlockingIOError:
        return Unread.NOTHING
    except OSError as error:
        return Unread.UNKNOWN if error.errno in SHORTAGES else Unread.END


class Stream(IOStream):
    """A connection that a shortage of the system does not end: reads and writes are tried again.

    Tornado's own stream closes on every failure but 'would block', with everything that is open on it.
    """

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into `buf`; return the number of bytes, or None if there is nothing to read now."""
        try:
            return super().read_from_fd(buf)
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            return None
        finally:
            # The stream keeps the error that ended it, and with it this frame and the buffer.
            del buf

    def write_to_fd(self, data: memoryview) -> int:
        """Write `data` and return the number of bytes written.

        Raises:
            BlockingIOError: Nothing can be written now.
            OSError: The connection is broken.
        """
        try:
            return super().write_to_fd(data)
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            raise BlockingIOError(error.errno, error.strerror) from None
        finally:
            del data
