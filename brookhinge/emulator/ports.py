"""Ports of loopback for processes that are started later and bind them themselves.

Between the choice of a port and its use another socket may take it: the system serves every outgoing connection and every
socket bound to port 0, of any process, from one range (21 of 3,000 sets of 12 UDP ports chosen in it were hit by the rig's
own relays). So ports are chosen below that range; and as two processes that choose may still choose the same, what must
not fail by that listens on a loopback address that this process has for itself."""

import os
import random
import socket
from pathlib import Path

LOCALHOST = "127.0.0.1"
LOWEST_PORT = 12000
USUAL_FIRST_EPHEMERAL_PORT = 32768
RESERVED = set()  # handed out by this process, maybe not bound yet


def own_host():
    """A loopback address that no other process uses; 127.0.0.1 where the system has no other."""
    pid = os.getpid()
    host = f"127.{1 + (pid >> 16) % 254}.{pid >> 8 & 255}.{pid & 255}"
    return host if can_bind(host, 0, socket.SOCK_STREAM) else LOCALHOST


def free_port(host=LOCALHOST):
    """A port that is free at `host` now, for TCP and UDP alike; never the same one twice."""
    while True:
        port = random.SystemRandom().randrange(LOWEST_PORT, first_ephemeral_port())
        kinds = socket.SOCK_STREAM, socket.SOCK_DGRAM
        if port not in RESERVED and all(can_bind(host, port, kind) for kind in kinds):
            RESERVED.add(port)
            return port


def first_ephemeral_port():
    """The first of the ports that the system chooses from by itself."""
    try:
        return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except OSError:
        return USUAL_FIRST_EPHEMERAL_PORT


def can_bind(host, port, kind):
    """Whether a socket of that kind can be bound there now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
