"""A listening socket on an asyncio loop: accepts whatever happens, and closes over no connection that came before its end."""

import asyncio
import contextlib
import enum
import errno
import socket

from brookhinge.net import stream

BACKLOG = 1024  # connections that the system keeps until they are accepted
IN_A_PASS = 64  # accepted in one pass of the loop: others must have their turn
PAUSE_S, AGAIN_S = 0.05, 0.02  # between two tries to accept: in service, and as it ends
SHORTAGES = stream.SHORTAGES | {errno.EMFILE, errno.ENFILE}  # what passes by itself, here descriptors as well


class Outcome(enum.Enum):
    """How a pass of accepting ended."""

    EMPTY = "empty"  # the system says that nothing is left
    MORE = "more"  # as many as were to be taken
    SHORTAGE = "shortage"  # nothing can be taken now


def bound(host, port):
    """A socket that listens; where that fails nothing is left of it."""
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind((host, port))
        made.listen(BACKLOG)
    except OSError:
        made.close()
        raise
    return made


class Listener:
    """take(socket, address) gets each connection; has_room() tells whether one more may be taken; say(event, **values) is the
    log; in_a_pass() tells how many connections one pass may take."""

    def __init__(self, take, say, has_room=lambda: True, in_a_pass=lambda: IN_A_PASS):
        self.take, self.say, self.has_room, self.in_a_pass = take, say, has_room, in_a_pass
        self.socket, self.stopping, self.paused = None, False, False
        self.on_shortage = self.on_empty = lambda: None

    @property
    def open(self):
        return self.socket is not None

    def listen(self, host, port, handed=None):
        """The address. handed: the descriptor of a socket that listens already, which outlives this process."""
        self.socket = socket.socket(fileno=handed) if handed is not None else bound(host, port)
        self.socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self.socket, self.accept)
        return self.socket.getsockname()

    def accept(self):
        """One pass; without room or descriptors it looks again in a moment, it never ends."""
        outcome, why = self.accept_some(self.in_a_pass())
        if outcome is Outcome.SHORTAGE:
            self.pause(why)

    def accept_some(self, most):
        """Takes up to `most` connections: (how it ended, why nothing can be taken now or None)."""
        for _ in range(most):
            if not self.has_room():
                return Outcome.SHORTAGE, "connections hold their share of descriptors"
            try:
                made, address = self.socket.accept()
            except BlockingIOError:
                self.on_empty()
                return Outcome.EMPTY, None
            except OSError as fault:
                if fault.errno in SHORTAGES:
                    return Outcome.SHORTAGE, f"no descriptor: {fault.strerror}"
                continue  # that connection ended before it was taken
            self.paused = False
            with contextlib.suppress(OSError):  # without it small answers come a little later
                made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.take(made, address[0])
        return Outcome.MORE, None

    def pause(self, why):
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        if not self.paused:  # once, not at each look
            self.say("not accepting", why=why)
        self.paused = True
        self.on_shortage()
        loop.call_later(PAUSE_S, self.resume)

    def resume(self):
        if self.open and not self.stopping:
            asyncio.get_running_loop().add_reader(self.socket, self.accept)

    def stop(self):
        """Accepts no more once all that came before is taken: a close over connections that were not accepted resets
        them, with the queries on them. Where none can be taken now it looks again until `close`."""
        if not self.open:
            return
        self.stopping = True
        asyncio.get_running_loop().remove_reader(self.socket)
        outcome, _ = self.accept_some(BACKLOG)
        if outcome is Outcome.EMPTY:
            self.close()
        else:
            asyncio.get_running_loop().call_later(AGAIN_S, self.stop)

    def close(self):
        """At once, whatever was not accepted."""
        if self.open:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None
