"""The client library against a real service among stand-ins: it comes back when told, never beside what is out, and
never later than it said."""

import asyncio
import random
import subprocess
import sys
import time

from helpers import FakeCacheServer, LocalDeployment
from hypothesis import given
from hypothesis import strategies as st

from brookhinge.client import Client
from brookhinge.client.backoff import RETRY_AFTER_JITTER_S, retry_pause_s
from brookhinge.decisions.rules import CloseReason

X = "ab" * 8


def played(scene, folder, machines=None):
    async def run():
        async with LocalDeployment(folder, machines) as town:
            return await scene(town)

    return asyncio.run(run())


def boxes(**how):
    return {server: FakeCacheServer(**how) for server in ("s-21", "s-22", "s-23")}


def test_it_asks_and_has_the_bytes(tmp_path):
    async def scene(t):
        async with Client(t.address) as client:
            answer = await client.fetch(X)
            wrong = await client.fetch(X, track="tune")
            many = await asyncio.gather(*(client.fetch(X, part=n) for n in range(80)))
        return answer.kind, answer.body, answer.tries, wrong.kind, wrong.why, {a.kind for a in many}

    assert played(scene, tmp_path) == (
        "satisfied",
        b"bytes of the object",
        1,
        "failed",
        "service: no such class",
        {"satisfied"},
    )


def test_it_is_back_in_its_time_whatever_happens(tmp_path):
    async def scene(t):
        began = time.monotonic()
        async with Client(t.address, tries=20) as client:
            answer = await client.fetch(X, patience_s=0.6)
        return answer.kind in ("refused", "failed"), answer.tries > 1, time.monotonic() - began < 0.9

    assert played(scene, tmp_path, boxes(behavior="failed")) == (True, True, True)


def test_what_may_have_run_is_not_asked_again_unless_it_may(tmp_path):
    async def scene(t):
        async with Client(t.address, replayable=False) as client:
            return (await client.fetch(X, track="order", patience_s=0.5)).tries

    assert played(scene, tmp_path, boxes(behavior="failed")) == 1


def test_cancelled_it_is_forgotten_and_a_router_that_ends_is_gone(tmp_path):
    async def scene(t):
        async with Client(t.address, tries=1) as client:
            asking = asyncio.ensure_future(client.fetch(X))
            await asyncio.sleep(0.1)
            asking.cancel()
            await asyncio.sleep(0.1)
            left = t.service.state.totals.counts["left"]
            asking = asyncio.ensure_future(client.fetch(X))
            await asyncio.sleep(0.05)
            for client in list(t.service.client_connections.clients.values()):
                t.service.client_connections.drop(client, CloseReason.STOPPING)
            return left, (await asking).kind

    assert played(scene, tmp_path, boxes(behavior="silent")) == (1, "gone")


@given(
    st.floats(0, 10),
    st.integers(1, 9),
    st.integers(1, 9),
    st.sampled_from([0.0, 0.05, 0.5, 3.0]),
    st.integers(),
)
def test_pauses_keep_what_was_told_and_never_outlive_the_query(left, tries, most, told, seed):
    wait = retry_pause_s(
        time_left_s=left,
        attempts=tries,
        max_attempts=most,
        retry_after_s=told,
        chance=random.Random(seed),
    )
    if wait is None:
        assert tries >= most or left < told + 1.1
    else:
        assert wait >= told and wait <= left and (not told or wait <= told + RETRY_AFTER_JITTER_S)


def test_pauses_of_many_without_a_told_time_are_spread():
    waits = sorted(
        retry_pause_s(time_left_s=9.0, attempts=4, max_attempts=9, retry_after_s=0.0, chance=random.Random(n))
        for n in range(1000)
    )
    assert waits[100] < 0.06 < waits[500] < waits[900] and waits[-1] <= 0.4


def test_ask_from_the_command_line(tmp_path):
    async def scene(t):
        def run(*args):
            done = subprocess.run(
                [sys.executable, "-m", "brookhinge", "ask", "%s:%d" % t.address, *args],
                capture_output=True,
                timeout=30,
            )
            return done.returncode, done.stdout, done.stderr.decode()

        good = await asyncio.to_thread(run, X, "--out", "-")
        bad = await asyncio.to_thread(run, "xyz")
        return good, bad[0], bad[2].count("\n")

    assert played(scene, tmp_path) == (
        (0, b"bytes of the object", "satisfied after 1 tries, 19 bytes\n"),
        2,
        1,
    )
