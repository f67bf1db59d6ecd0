"""Tornado's IOStream, but for failures that pass by themselves."""

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


def unread(made):
    """What lies unread on a socket that does not block, or on none."""
    try:
        return Unread.BYTES if made.recv(1, socket.MSG_PEEK) else Unread.END
    except BlockingIOError:
        return Unread.NOTHING
    except AttributeError:
        return Unread.END
    except OSError as fault:
        return Unread.UNKNOWN if fault.errno in SHORTAGES else Unread.END


class Stream(IOStream):
    """A connection that a shortage of the system does not end: what was to be read or written is tried again. Tornado's
    own stream closes on every failure but 'would block', with all that is open on it."""

    def read_from_fd(self, buf):
        try:
            return super().read_from_fd(buf)
        except OSError as fault:
            if fault.errno not in SHORTAGES:
                raise
            return None
        finally:
            del buf  # an error that ends the stream is kept by it, with this frame

    def write_to_fd(self, data):
        try:
            return super().write_to_fd(data)
        except OSError as fault:
            if fault.errno not in SHORTAGES:
                raise
            raise BlockingIOError(fault.errno, fault.strerror) from None
        finally:
            del data
