"""A router that stops itself (SIGSTOP) at named points of its code: `python -m tests.standstill.stoppable`.

`STOP_FILE` names a file with the points at which it is to stop next, one after another; `STOP_PORT` is the port of the servers whose answers
count. It goes on when somebody sends SIGCONT."""

import os
import selectors
import signal
import socket
import sys

POINTS = {}


def point(name):
    """Registers an installer of a stop point: called with the function to call when the point is reached."""

    def register(install):
        POINTS[name] = install
        return install

    return register


def stop_at(name):
    """Stops this process if the point is the next one in the file."""
    path = os.environ["STOP_FILE"]
    try:
        with open(path) as file:
            wanted = file.read().split()
    except FileNotFoundError:
        return
    if wanted[:1] != [name]:
        return
    with open(path + ".new", "w") as file:
        file.write(" ".join(wanted[1:]))
    os.replace(path + ".new", path)
    os.kill(os.getpid(), signal.SIGSTOP)


def after(owner, attribute, matters, reached):
    """Calls reached() each time when owner.attribute has returned something that matters."""
    real = getattr(owner, attribute)

    def watched(*args, **keywords):
        result = real(*args, **keywords)
        if matters(result, args):
            reached()
        return result

    setattr(owner, attribute, watched)


def is_server(key):
    """Whether a descriptor is a connection to a cache server."""
    try:
        with socket.socket(fileno=os.dup(key.fd)) as made:
            peer = made.getpeername()
    except OSError:
        return False
    ports = {int(port) for port in os.environ["STOP_PORT"].split(",")}
    return isinstance(peer, tuple) and peer[1] in ports


@point("selected")
def selected(reached):
    """The system has said what can be read, a server's answer among it."""
    after(
        selectors.DefaultSelector,
        "select",
        lambda ready, _: any(is_server(key) for key, _ in ready),
        reached,
    )


@point("read")
def read(reached):
    """The bytes of a server's answer have been read from its connection."""
    from brookhinge.net.stream import Stream

    def is_miss(count, args):
        return bool(count) and b" absent " in bytes(args[1][:count])

    after(Stream, "read_from_fd", is_miss, reached)


@point("posted")
def posted(reached):
    """A server's answer waits for the next round."""
    from brookhinge.engine.events import AttemptEnded
    from brookhinge.engine.scheduler import EventScheduler

    after(EventScheduler, "post", lambda _, args: isinstance(args[1], AttemptEnded), reached)


@point("waiting")
def waiting(reached):
    """A round that is late waits until what lies in the system has been read."""
    from brookhinge.engine.scheduler import EventScheduler

    after(EventScheduler, "run_round_after", lambda _, args: args[1] == 1, reached)


@point("decided")
def decided(reached):
    """A round has decided on an attempt that is not written yet."""
    from brookhinge.engine.effects import SendAttempt
    from brookhinge.engine.router_state import RouterState

    after(
        RouterState,
        "reduce",
        lambda effects, _: any(isinstance(effect, SendAttempt) for effect in effects),
        reached,
    )


@point("writing")
def writing(reached):
    """The bytes of an attempt are there, its connection is being chosen."""
    from brookhinge.net.upstream_connections import UpstreamConnections

    after(UpstreamConnections, "choose", lambda connection, _: connection is not None, reached)


def main():
    from brookhinge.__main__ import main as run

    for name, install in POINTS.items():
        install(lambda name=name: stop_at(name))
    return run()


if __name__ == "__main__":
    sys.exit(main())
