"""A router that stops itself (SIGSTOP) at named points of its code: `python -m tests.standstill.stoppable`.

The environment variable `STOP_FILE` names a file that lists the points at which to stop next, in order; `STOP_PORT` lists the
ports of the cache servers whose responses reach the points. SIGCONT resumes the process."""

import os
import selectors
import signal
import socket
import sys

POINTS = {}


def stop_point(name):
    """Registers an installer of a stop point; it gets the function to call when the point is reached."""

    def register(install):
        POINTS[name] = install
        return install

    return register


def stop_at(name):
    """Stops this process if the point is the next one in the stop file."""
    path = os.environ["STOP_FILE"]
    try:
        with open(path) as file:
            pending_points = file.read().split()
    except FileNotFoundError:
        return
    if pending_points[:1] != [name]:
        return
    with open(path + ".new", "w") as file:
        file.write(" ".join(pending_points[1:]))
    os.replace(path + ".new", path)
    os.kill(os.getpid(), signal.SIGSTOP)


def call_after(owner, method, is_relevant, on_reached):
    """Patches owner.method to call on_reached() after each return for which is_relevant(result, args) holds."""
    original = getattr(owner, method)

    def patched(*args, **keywords):
        result = original(*args, **keywords)
        if is_relevant(result, args):
            on_reached()
        return result

    setattr(owner, method, patched)


def is_server_connection(key):
    """Returns whether a selector key belongs to a connection to a cache server."""
    try:
        with socket.socket(fileno=os.dup(key.fd)) as duplicate:
            peer = duplicate.getpeername()
    except OSError:
        return False
    ports = {int(port) for port in os.environ["STOP_PORT"].split(",")}
    return isinstance(peer, tuple) and peer[1] in ports


@stop_point("selected")
def selected(on_reached):
    """The selector has reported readable connections, among them one with a cache server's response."""
    call_after(
        selectors.DefaultSelector,
        "select",
        lambda ready, _: any(is_server_connection(key) for key, _ in ready),
        on_reached,
    )


@stop_point("read")
def read(on_reached):
    """A cache server's response has been read from its connection."""
    from brookhinge.net.stream import Stream

    def is_miss(count, args):
        return bool(count) and b" absent " in bytes(args[1][:count])

    call_after(Stream, "receive_into", is_miss, on_reached)


@stop_point("posted")
def posted(on_reached):
    """The event of a cache server's response has been queued for the next round."""
    from brookhinge.engine.events import AttemptEnded
    from brookhinge.engine.scheduler import EventScheduler

    call_after(EventScheduler, "post", lambda _, args: isinstance(args[1], AttemptEnded), on_reached)


@stop_point("waiting")
def waiting(on_reached):
    """A late round has been deferred until pending input has been read from the sockets."""
    from brookhinge.engine.scheduler import EventScheduler

    call_after(EventScheduler, "run_round_after", lambda _, args: args[1] == 1, on_reached)


@stop_point("decided")
def decided(on_reached):
    """A round has decided on an attempt that has not been written yet."""
    from brookhinge.engine.effects import SendAttempt
    from brookhinge.engine.router_state import RouterState

    call_after(
        RouterState,
        "reduce",
        lambda effects, _: any(isinstance(effect, SendAttempt) for effect in effects),
        on_reached,
    )


@stop_point("writing")
def writing(on_reached):
    """The connection for an encoded attempt has been chosen."""
    from brookhinge.net.upstream_connections import UpstreamConnections

    call_after(UpstreamConnections, "choose", lambda connection, _: connection is not None, on_reached)


def main():
    from brookhinge.__main__ import main as run

    for name, install in POINTS.items():
        install(lambda name=name: stop_at(name))
    return run()


if __name__ == "__main__":
    sys.exit(main())
