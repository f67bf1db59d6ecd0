"""A router sent requests on after their clients had left.

Seen: five attempts of one router in the same moment, 0.5 to 1.8 s after the servers' answers that asked for them, for clients that had
left meanwhile. How it came about: the process stood still (here: it is stopped) after the system had handed it a server's answer, or
while a late round waited; as it went on, that answer was taken for new, and its round ran before the clients' ends were read. Cause:
passes of the loop were counted to guess when everything had been read, and nothing looked at the client again where the attempt was
written. What proved it: the stop forced at each point between the two, with real processes; only where the answer had already been
posted before the stop did the old check of its age hold the round back."""

import asyncio
import itertools

from tests.crossings.test_sockets import Raw
from tests.standstill.program import played
from tests.test_service import until

POINTS = ("selected", "read", "posted", "decided", "writing")  # of tests/standstill/stoppable.py
ENDS = ("cancels", "closes", "resets")
ASKED = 1
STOPPED_S, AFTER_S = 0.3, 0.4  # how long a router is stopped, and is watched then


async def asks(program):
    """A client whose request is out at a server."""
    await program.warm()
    raw = Raw(program.address).asks(ASKED).send()
    await until(lambda: program.attempts_for(ASKED))
    return raw


async def stopped(program, *points):
    """The server answers; the router is stopped at the last of the points when this comes back."""
    program.stop_next_at(*points)
    program.answer.set()
    for left in reversed(range(len(points))):
        await program.until_stopped(left)
        if left:
            await asyncio.sleep(STOPPED_S)
            await program.go_on()


def leave(raw, how):
    if how == "cancels":
        raw.call.forget(ASKED)
        raw.send()
    else:
        raw.close(reset=how == "resets")


async def sent_on(program, how, *points):
    """How many attempts are made after the client has left while the router was stopped."""
    raw = await asks(program)
    await stopped(program, *points)
    leave(raw, how)
    await asyncio.sleep(STOPPED_S)
    await program.go_on()
    await asyncio.sleep(AFTER_S)
    return len(program.attempts_for(ASKED)) - 1


def test_a_router_that_was_stopped_sends_nothing_on_for_a_client_that_left_meanwhile(tmp_path):
    cases = list(itertools.product(ENDS, POINTS))
    assert played(sent_on, tmp_path, *cases) == dict.fromkeys(cases, 0)


def test_a_router_that_was_stopped_twice_sends_nothing_on(tmp_path):
    """The client leaves during the second stop; since the first the round waits for what is to be read."""
    cases = [(how, "posted", "waiting") for how in ENDS]
    assert played(sent_on, tmp_path, *cases) == dict.fromkeys(cases, 0)


def test_a_client_that_stays_while_its_router_is_stopped_has_its_answer(tmp_path):
    async def answer(program, point):
        raw = await asks(program)
        await stopped(program, point)
        await asyncio.sleep(STOPPED_S)
        await program.go_on()
        return await (await raw.client()).receive()

    cases = [(point,) for point in POINTS]
    assert played(answer, tmp_path, *cases) == dict.fromkeys(cases, (ASKED, "satisfied 19"))
