"""Ports of the router processes in tests.

No other socket can take a port before its router binds it, and a router that cannot start fails at its start rather than by
a view that never forms."""

import asyncio
import socket

import pytest

from brookhinge.emulator import process_cluster as rig_module
from brookhinge.emulator.ports import LOCALHOST, free_port, own_host
from brookhinge.emulator.process_cluster import ProcessCluster


def datagram_socket(host, port):
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.bind((host, port))
    return sock


def test_sockets_on_localhost_leave_the_ports_of_the_own_host_free():
    host = own_host()
    assert host != LOCALHOST
    ports = [free_port(host) for _ in range(20)]
    assert len(set(ports)) == len(ports)
    for port in ports:
        try:
            elsewhere = datagram_socket(LOCALHOST, port)
        except OSError:  # the port is in use on localhost already, which tests the same
            elsewhere = None
        with datagram_socket(host, port):
            pass
        if elsewhere:
            elsewhere.close()


def test_router_that_cannot_bind_its_fleet_port_fails_to_start(tmp_path, monkeypatch):
    sockets = []

    def port_in_use(host=LOCALHOST):
        port = free_port(host)
        sockets.append(datagram_socket(host, port))
        return port

    async def run():
        monkeypatch.setattr(rig_module, "free_port", port_in_use)
        with pytest.raises(RuntimeError, match="n1 is not up.*Address already in use"):
            async with ProcessCluster(tmp_path, routers=1, boxes=0):
                pass

    try:
        asyncio.run(run())
    finally:
        for sock in sockets:
            sock.close()
