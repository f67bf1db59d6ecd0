"""Calls that lie unread for a while count from when they came, and unread replies are not held for good."""

import asyncio
import errno
import socket
import time

import pytest

from brookhinge.decisions.rules import CloseReason
from brookhinge.net import client_connections, thrift
from tests.crossings.test_rare import FailingListener, attempt_timeouts_ms, record_attempt_fields
from tests.crossings.test_sockets import RawClient
from tests.helpers import ThriftClient
from tests.test_service import caches, run_scenario, until

STALL_S = 0.6
CALLS = 16
BODY = b"x" * 20_000


# Calls that are read some turns after a stall counted as just arrived, however long the loop had stood still.
def test_deadline_of_every_call_that_waited_through_a_stall_counts_from_before_it(tmp_path):
    async def scene(t):
        record_attempt_fields(t)
        raw_client = RawClient(t.address)
        raw_client.socket.setblocking(False)
        await until(lambda: len(t.service.client_connections.clients) == 2)
        fields = {"service": "page", "allow": "2900", "piece": "0", "lot": "3", "room": "100.0"}
        for number in range(1, CALLS + 1):
            names = {**fields, "ref": f"{number:016x}", "lookup": f"{number:016x}"}
            raw_client.encoder.call(
                b"serve",
                thrift.FIELD_HEADER.pack(thrift.MAP, 1),
                thrift.encode_string_map({k.encode(): v.encode() for k, v in names.items()}),
                thrift.FIELD_HEADER.pack(thrift.STRING, 2),
                thrift.encode_string(BODY),
            )
        await asyncio.sleep(0.05)
        assert raw_client.socket.send(raw_client.unsent) == len(raw_client.unsent)
        time.sleep(STALL_S)  # noqa: ASYNC251
        await until(lambda: len(t.attempt_fields) >= CALLS / 2)
        await asyncio.sleep(0.3)
        return attempt_timeouts_ms(t)

    assert max(run_scenario(scene, tmp_path)) <= 2900 - 1000 * STALL_S + 150


# A read that failed for lack of memory counted as one that found nothing: what waited looked as if just come.
@pytest.mark.parametrize("error", [errno.ENOMEM, errno.ENOBUFS, errno.EAGAIN])
def test_failed_read_does_not_make_a_call_look_younger(tmp_path, error):
    async def scene(t, patch):
        record_attempt_fields(t)
        accepted, original = set(), socket.socket.recv_into

        def fail_first(self, *args):
            if self.fileno() not in accepted and self.getsockname() == t.address:
                accepted.add(self.fileno())
                raise OSError(error, "injected")
            return original(self, *args)

        listener = FailingListener(t.service.client_connections.listener.socket, errno.ENFILE)
        t.service.client_connections.listener.socket = listener
        accepted.update(
            client.stream.socket.fileno() for client in t.service.client_connections.clients.values()
        )
        patch.setattr(socket.socket, "recv_into", fail_first, raising=False)
        asyncio.get_running_loop().call_later(STALL_S, setattr, listener, "fails", False)
        client = await RawClient(t.address).add_requests(1).send().to_thrift_client()
        await client.receive()
        return attempt_timeouts_ms(t)

    with pytest.MonkeyPatch.context() as patch:
        timeouts = run_scenario(lambda t: scene(t, patch), tmp_path)
    assert max(timeouts) <= 2900 - 1000 * STALL_S + 150


def test_later_call_of_a_client_that_sent_much_before_a_stall_has_all_its_time(tmp_path):
    """What was read in full before the stall tells nothing of what comes long after it."""

    async def scene(t):
        record_attempt_fields(t)
        raw_client = RawClient(t.address)
        raw_client.add_requests(*range(1, 31)).send()
        await until(lambda: t.attempt_fields and not t.service.state.requests.open)
        await asyncio.sleep(0.1)
        stalled_at = t.service.now()
        time.sleep(STALL_S)  # noqa: ASYNC251
        await asyncio.sleep(0.5)
        t.attempt_fields.clear()
        raw_client.add_requests(40).send()
        await until(lambda: t.attempt_fields)
        assert t.service.now() > stalled_at + STALL_S
        return attempt_timeouts_ms(t)

    assert min(run_scenario(scene, tmp_path)) > 1600  # six tenths of the time, so that another attempt fits


# A client that never read its replies kept its connection, and the replies, for good.
def test_client_that_reads_nothing_for_long_is_closed(tmp_path, monkeypatch):
    monkeypatch.setattr(client_connections, "IDLE_TIMEOUT_S", 0.3)

    async def scene(t):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(t.address)
        slow = ThriftClient(*await asyncio.open_connection(sock=sock, limit=4096))
        for number in range(100, 120):
            slow.ask(number, lookup=f"{number:016x}", room="1")
        clients = t.service.client_connections
        await until(lambda: t.service.memory.reply_bytes)
        await until(lambda: not t.service.memory.reply_bytes)
        return clients.closes[CloseReason.UNREAD]

    assert run_scenario(scene, tmp_path, machines=caches(body=b"x" * 240_000)) == 1
