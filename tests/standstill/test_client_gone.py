"""Guards against attempts for clients that disconnected while the router process was stalled.

A router made five attempts at once, 0.5 to 1.8 s after the servers' responses that caused them, for clients
that had left. The process had stalled after it received a response, or while a late round was deferred;
afterwards the response was taken for new and its round ran before the clients' disconnects were read. The
cause was that loop passes were counted to guess when all input had been read, and that the client was not
checked again when the attempt was written. These tests stop a real process at each point between the two;
the former check of the response's age helped only where the response had been queued before the stop.
"""

import asyncio
import itertools

from tests.crossings.test_sockets import RawClient
from tests.standstill.program import run_cases
from tests.test_service import until

POINTS = ("selected", "read", "posted", "decided", "writing")  # stop points of tests/standstill/stoppable.py
CLIENT_EXITS = ("cancels", "closes", "resets")
REQUEST_ID = 1
STOPPED_S, OBSERVED_S = 0.3, 0.4  # how long a router is stopped, and is observed after that


async def open_request(router):
    """Returns a client whose request has an open attempt at a cache server."""
    await router.warm_up()
    client = RawClient(router.address).add_requests(REQUEST_ID).send()
    await until(lambda: router.attempts_for(REQUEST_ID))
    return client


async def stop_after_miss(router, *points):
    """Lets the cache server report a miss; returns when the router is stopped at the last of the points."""
    router.stop_next_at(*points)
    router.miss_released.set()
    for remaining in reversed(range(len(points))):
        await router.until_stopped(remaining)
        if remaining:
            await asyncio.sleep(STOPPED_S)
            await router.resume()


def leave(client, how):
    if how == "cancels":
        client.encoder.forget(REQUEST_ID)
        client.send()
    else:
        client.close(reset=how == "resets")


async def attempts_after_exit(router, how, *points):
    """Returns the number of attempts made after the client left while the router was stopped."""
    client = await open_request(router)
    await stop_after_miss(router, *points)
    leave(client, how)
    await asyncio.sleep(STOPPED_S)
    await router.resume()
    await asyncio.sleep(OBSERVED_S)
    return len(router.attempts_for(REQUEST_ID)) - 1


def test_no_attempt_follows_for_a_client_that_left_while_the_router_was_stopped(tmp_path):
    cases = list(itertools.product(CLIENT_EXITS, POINTS))
    assert run_cases(attempts_after_exit, tmp_path, *cases) == dict.fromkeys(cases, 0)


def test_no_attempt_follows_for_a_client_that_left_in_a_second_stop(tmp_path):
    """The client leaves during the second stop; since the first one the round is deferred until all input is read."""
    cases = [(how, "posted", "waiting") for how in CLIENT_EXITS]
    assert run_cases(attempts_after_exit, tmp_path, *cases) == dict.fromkeys(cases, 0)


def test_client_that_stays_while_the_router_is_stopped_gets_its_response(tmp_path):
    async def response_after_stop(router, point):
        client = await open_request(router)
        await stop_after_miss(router, point)
        await asyncio.sleep(STOPPED_S)
        await router.resume()
        return await (await client.to_thrift_client()).receive()

    cases = [(point,) for point in POINTS]
    assert run_cases(response_after_stop, tmp_path, *cases) == dict.fromkeys(
        cases, (REQUEST_ID, "satisfied 19")
    )
