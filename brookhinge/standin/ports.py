"""Ports of loopback for processes that are started later and bind them themselves.

Between the choice of a port and its use another socket may take it. On 127.0.0.1 that does happen: the system hands out the
same range to every outgoing connection and every socket bound to port 0, of this and of any other process (21 of 3,000 sets
of 12 UDP ports were hit by the rig's own relays). So each process has a loopback address of its own, where nothing
else binds; what it must not share with anything listens there."""

import os
import socket

LOCALHOST = "127.0.0.1"
RESERVED = set()  # handed out by this process, maybe not bound yet


def own_host():
    """A loopback address that no other process uses; 127.0.0.1 where the system has no other."""
    pid = os.getpid()
    host = f"127.{1 + (pid >> 16) % 254}.{pid >> 8 & 255}.{pid & 255}"
    with socket.socket() as probe:
        try:
            probe.bind((host, 0))
        except OSError:
            return LOCALHOST
    return host


def free_port(host=LOCALHOST):
    """A port that is free at `host` now, for TCP and UDP alike; never the same one twice."""
    while True:
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            try:
                datagrams.bind((host, port))
            except OSError:
                continue
        if port not in RESERVED:
            RESERVED.add(port)
            return port
