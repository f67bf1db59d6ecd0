"""Chooses loopback ports for processes that are started later and bind the ports themselves.

Another socket may take a port between its choice and its use: the system assigns ports to outgoing
connections and to sockets bound to port 0, of all processes, from one ephemeral range (of 3,000 sets of 12
UDP ports chosen in that range, 21 collided with the cluster's own relays). Ports are therefore chosen below
the ephemeral range. Two processes may still choose the same port, so listeners that must not fail use a
loopback address that belongs to this process alone.
"""

import os
import random
import socket
from pathlib import Path

LOCALHOST = "127.0.0.1"
LOWEST_PORT = 12000
DEFAULT_FIRST_EPHEMERAL_PORT = 32768
RESERVED = set()  # ports returned by free_port in this process, possibly not bound yet


def own_host():
    """Returns a loopback address that no other process uses; 127.0.0.1 where the system has no other."""
    pid = os.getpid()
    host = f"127.{1 + (pid >> 16) % 254}.{pid >> 8 & 255}.{pid & 255}"
    return host if can_bind(host, 0, socket.SOCK_STREAM) else LOCALHOST


def free_port(host=LOCALHOST):
    """Returns a port that is free at `host` for both TCP and UDP; never returns the same port twice."""
    while True:
        port = random.SystemRandom().randrange(LOWEST_PORT, first_ephemeral_port())
        socket_types = socket.SOCK_STREAM, socket.SOCK_DGRAM
        if port not in RESERVED and all(can_bind(host, port, socket_type) for socket_type in socket_types):
            RESERVED.add(port)
            return port


def first_ephemeral_port():
    """Returns the lowest port of the system's ephemeral range."""
    try:
        return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except OSError:
        return DEFAULT_FIRST_EPHEMERAL_PORT


def can_bind(host, port, socket_type):
    """Returns whether a socket of this type can be bound to the address now."""
    with socket.socket(socket.AF_INET, socket_type) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
