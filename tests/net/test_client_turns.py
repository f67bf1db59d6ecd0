"""What one client makes the event loop do at once is bounded, in calls."""

import asyncio

from brookhinge.net import call_buffer, client_calls, client_protocol, thrift
from tests.helpers import ThriftClient
from tests.test_service import run_scenario, until

HEALTH_CHECK = thrift.encode_message(b"isWell", thrift.CALL, 1, bytes((thrift.STOP,)))
CANCEL = thrift.encode_message(
    b"forget",
    thrift.ONEWAY,
    0,
    thrift.FIELD_HEADER.pack(thrift.I32, 1),
    thrift.INT32.pack(7),
    bytes((thrift.STOP,)),
)


def decoded_per_pass(folder, monkeypatch, data, connections=1):
    """Returns how many calls were decoded in each iteration of the loop, and last after the scene."""
    counts, original = [0], client_protocol.read_call

    def read_call(frame):
        counts[-1] += 1
        return original(frame)

    async def tick():
        while True:
            counts.append(0)
            await asyncio.sleep(0)

    async def scene(t):
        clients = [await ThriftClient.connect(t.address) for _ in range(connections)]
        ticking = asyncio.ensure_future(tick())
        for client in clients:
            client.writer.write(data)
        await until(lambda: sum(counts) >= 3000)
        t.client.ask(1)
        response = await t.client.receive()
        ticking.cancel()
        return response

    monkeypatch.setattr(client_calls.client_protocol, "read_call", read_call)
    assert run_scenario(scene, folder) == (1, "satisfied 19")
    return counts


# One connection that sent health checks without pause had thousands of them answered in one turn of the loop.
def test_health_checks_without_pause_take_a_bounded_part_of_each_pass(tmp_path, monkeypatch):
    counts = decoded_per_pass(tmp_path, monkeypatch, HEALTH_CHECK * 3000)
    assert max(counts[:-1]) <= client_calls.CALLS_PER_PASS


def test_many_connections_share_the_bound_of_a_pass(tmp_path, monkeypatch):
    counts = decoded_per_pass(tmp_path, monkeypatch, HEALTH_CHECK * 150, connections=20)
    assert max(counts[:-1]) <= client_calls.CALLS_PER_PASS


# Each cancel looked through all calls that waited: 6,000 of them took the square of that.
def test_cancels_without_pause_take_a_bounded_part_of_each_pass(tmp_path, monkeypatch):
    bound = client_calls.CALLS_PER_PASS + client_calls.READS_PER_TURN * call_buffer.MAX_WHOLE_CALLS
    counts = decoded_per_pass(tmp_path, monkeypatch, CANCEL * 3000)
    assert max(counts[:-1]) <= bound
