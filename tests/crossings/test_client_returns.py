"""Clients that leave with much unread, and ids of requests that come again after their client has left."""

import asyncio

import pytest

from brookhinge.engine.events import ClientDisconnected, RequestReceived
from brookhinge.net import thrift
from tests.crossings.test_sockets import RawClient
from tests.helpers import StateHarness
from tests.test_service import caches, run_scenario, until

RETURNING_ID = b"r-returning"


def ask(harness, client, number, request_id, allow=2.5):
    request = RequestReceived(
        client, number, request_id, b"page", b"ab" * 8, b"0", 0, 4, 100.0, allow, None, b"", harness.now
    )
    return harness.process(request)


def played_return(folder, others, **options):
    """Returns what happens to an id that comes again after its client and `others` have gone."""
    harness = StateHarness(folder, **options)
    sent = ask(harness, 1, 1, RETURNING_ID)
    assert sent[0].startswith("pull")
    harness.process(ClientDisconnected(1))
    for number in range(1, others + 1):
        ask(harness, 2, number, b"r%08d" % number, allow=0.0001)  # no time is left: refused, so it never ran
    return ask(harness, 3, 1, RETURNING_ID)


# An id whose request may have run was forgotten after 1,024 others, and ran twice when it came again.
@pytest.mark.parametrize("others", [0, 1000, 5000])
def test_id_that_may_have_run_is_refused_when_it_comes_again(tmp_path, others):
    assert played_return(tmp_path, others) == ["reject 3 1 ref: used before"]


def test_number_of_remembered_ids_is_bounded_by_the_memory(tmp_path):
    harness = StateHarness(tmp_path)
    table = harness.state.requests
    table.max_ran_ids = 10
    for number in range(1, 31):
        ask(harness, number, 1, b"r%08d" % number)
        harness.process(ClientDisconnected(number))
    assert len(table.ran) == 10 and len(table.finished) <= 30
    assert ask(harness, 99, 1, b"r%08d" % 30) == ["reject 99 1 ref: used before"]


# Reading paused for lack of memory before the close was seen; a connection just accepted counted as checked.
def test_client_that_left_before_it_was_accepted_is_sent_nothing_on_while_memory_is_short(tmp_path):
    async def scene(t):
        for number in range(200, 230):  # establishes connections to the servers
            t.client.ask(number, lookup=f"{number:016x}")
            await t.client.receive()
        t.service.memory.limits = t.service.memory.limits._replace(call_bytes=0)
        await asyncio.sleep(0.1)
        sent_before = len(t.attempt_lines())
        RawClient(t.address).add_requests(*range(1, 25)).send().close()
        await asyncio.sleep(0.5)
        return len(t.attempt_lines()) - sent_before, len(t.service.client_connections.clients)

    assert run_scenario(scene, tmp_path, machines=caches()) == (0, 1)


# Requests of a client that had closed its connection, with much behind them unread, were sent on.
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("behind", [0, 300_000, 3_000_000])
def test_requests_of_a_client_that_left_with_much_unread_are_not_sent_on_later(tmp_path, behind, reset):
    """Nothing begins more than 0.1 s after the close, however much lies unread behind the requests."""

    async def scene(t):
        raw_client = RawClient(t.address)
        raw_client.socket.setblocking(False)
        raw_client.add_requests(*range(1, 9))
        for _ in range(behind // 100_000):
            raw_client.encoder.call(
                b"serve",
                thrift.FIELD_HEADER.pack(thrift.STRING, 2),
                thrift.encode_string(b"x" * 100_000),
            )
        data, loop = raw_client.unsent, asyncio.get_running_loop()
        for machine in t.machines.values():
            machine.behavior = lambda line: pulled_at.append(loop.time()) or "full"
        pulled_at = []
        await asyncio.wait_for(loop.sock_sendall(raw_client.socket, data), 5.0)
        raw_client.close(reset=reset)
        closed_at = loop.time()
        await asyncio.sleep(0.8)
        await until(lambda: len(t.service.client_connections.clients) == 1)
        assert not t.service.state.requests.open
        return [at - closed_at for at in pulled_at]

    assert all(after < 0.1 for after in run_scenario(scene, tmp_path, machines=caches()))
