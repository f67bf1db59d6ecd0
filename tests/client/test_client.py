"""The client library against a real router with emulated cache servers.

A retry keeps to the delay that the router sent, never overlaps an attempt in flight, and stays within the
request's timeout.
"""

import asyncio
import random
import subprocess
import sys
import time

from helpers import FakeCacheServer, LocalDeployment
from hypothesis import given
from hypothesis import strategies as st

from brookhinge.client import Client
from brookhinge.client.backoff import RETRY_AFTER_JITTER_S, retry_delay_s
from brookhinge.decisions.rules import CloseReason

OBJECT_KEY = "ab" * 8


def run_scenario(scenario, folder, machines=None):
    async def run():
        async with LocalDeployment(folder, machines) as deployment:
            return await scenario(deployment)

    return asyncio.run(run())


def cache_servers(**behavior):
    return {server: FakeCacheServer(**behavior) for server in ("s-21", "s-22", "s-23")}


def test_fetch_returns_the_bytes_or_the_error_of_the_router(tmp_path):
    async def scenario(deployment):
        async with Client(deployment.address) as client:
            answer = await client.fetch(OBJECT_KEY)
            unknown_class = await client.fetch(OBJECT_KEY, track="tune")
            concurrent = await asyncio.gather(*(client.fetch(OBJECT_KEY, part=n) for n in range(80)))
        return (
            answer.kind,
            answer.body,
            answer.tries,
            unknown_class.kind,
            unknown_class.why,
            {each.kind for each in concurrent},
        )

    assert run_scenario(scenario, tmp_path) == (
        "satisfied",
        b"bytes of the object",
        1,
        "failed",
        "service: no such class",
        {"satisfied"},
    )


def test_retries_of_failing_requests_end_within_the_timeout(tmp_path):
    async def scenario(deployment):
        started_at = time.monotonic()
        async with Client(deployment.address, tries=20) as client:
            answer = await client.fetch(OBJECT_KEY, patience_s=0.6)
        return answer.kind in ("refused", "failed"), answer.tries > 1, time.monotonic() - started_at < 0.9

    assert run_scenario(scenario, tmp_path, cache_servers(behavior="failed")) == (True, True, True)


def test_failed_request_is_not_retried_if_not_replayable(tmp_path):
    async def scenario(deployment):
        async with Client(deployment.address, replayable=False) as client:
            return (await client.fetch(OBJECT_KEY, track="order", patience_s=0.5)).tries

    assert run_scenario(scenario, tmp_path, cache_servers(behavior="failed")) == 1


def test_cancel_reaches_the_router_and_a_closed_connection_returns_gone(tmp_path):
    async def scenario(deployment):
        async with Client(deployment.address, tries=1) as client:
            fetching = asyncio.ensure_future(client.fetch(OBJECT_KEY))
            await asyncio.sleep(0.1)
            fetching.cancel()
            await asyncio.sleep(0.1)
            cancelled_count = deployment.service.state.totals.counts["left"]
            fetching = asyncio.ensure_future(client.fetch(OBJECT_KEY))
            await asyncio.sleep(0.05)
            for connection in list(deployment.service.client_connections.clients.values()):
                deployment.service.client_connections.drop(connection, CloseReason.STOPPING)
            return cancelled_count, (await fetching).kind

    assert run_scenario(scenario, tmp_path, cache_servers(behavior="silent")) == (1, "gone")


@given(
    st.floats(0, 10),
    st.integers(1, 9),
    st.integers(1, 9),
    st.sampled_from([0.0, 0.05, 0.5, 3.0]),
    st.integers(),
)
def test_retry_delay_respects_the_router_and_the_time_left(
    time_left_s, attempts, max_attempts, retry_after_s, seed
):
    delay_s = retry_delay_s(
        time_left_s=time_left_s,
        attempts=attempts,
        max_attempts=max_attempts,
        retry_after_s=retry_after_s,
        rng=random.Random(seed),
    )
    if delay_s is None:
        assert attempts >= max_attempts or time_left_s < retry_after_s + 1.1
    else:
        assert (
            delay_s >= retry_after_s
            and delay_s <= time_left_s
            and (not retry_after_s or delay_s <= retry_after_s + RETRY_AFTER_JITTER_S)
        )


def test_retry_delays_are_spread_if_the_router_sends_none():
    delays_s = sorted(
        retry_delay_s(time_left_s=9.0, attempts=4, max_attempts=9, retry_after_s=0.0, rng=random.Random(n))
        for n in range(1000)
    )
    assert delays_s[100] < 0.06 < delays_s[500] < delays_s[900] and delays_s[-1] <= 0.4


def test_ask_command_prints_the_outcome_and_sets_the_exit_status(tmp_path):
    async def scenario(deployment):
        def run(*args):
            process = subprocess.run(
                [sys.executable, "-m", "brookhinge", "ask", "%s:%d" % deployment.address, *args],
                capture_output=True,
                timeout=30,
            )
            return process.returncode, process.stdout, process.stderr.decode()

        success = await asyncio.to_thread(run, OBJECT_KEY, "--out", "-")
        invalid_object = await asyncio.to_thread(run, "xyz")
        return success, invalid_object[0], invalid_object[2].count("\n")

    assert run_scenario(scenario, tmp_path) == (
        (0, b"bytes of the object", "satisfied after 1 tries, 19 bytes\n"),
        2,
        1,
    )
