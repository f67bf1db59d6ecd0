"""The tests of tests/test_service.py with `storm` enabled, and an outage of all cache servers."""

import asyncio
import json
import random

import helpers
import pytest
from test_service import *

from brookhinge.emulator.local_deployment import LocalDeployment as ProcessDeployment

del test_slow_transfer_does_not_delay_other_attempts


@pytest.fixture(autouse=True)
def storm_enabled():
    helpers.EXTRA_CONFIGURATION["storm"] = True
    yield
    del helpers.EXTRA_CONFIGURATION["storm"]


def test_slow_transfer_delays_only_its_duplicates(tmp_path):
    """A duplicate of an open request waits for it without an attempt; other objects use other connections."""

    async def scene(t):
        t.client.ask(1)
        responses = [await t.client.receive()]
        for machine in t.machines.values():
            machine.behavior = lambda line: "half" if line[1].endswith("2") else "data"
        t.client.ask(2, allow="400")
        t.client.ask(3, allow="400")
        for n in (4, 5):
            t.client.ask(n, lookup=f"{n:02d}" * 8)
        responses += [await t.client.receive() for _ in range(4)]
        return responses, sum(line.split()[2].endswith("3") for line in t.attempt_lines() if "PULL" in line)

    responses, duplicate_attempts = run_scenario(scene, tmp_path)
    assert sorted(responses[1:3]) == [(4, "satisfied 19"), (5, "satisfied 19")] and duplicate_attempts == 0
    assert sorted(n for n, _ in responses[3:]) == [2, 3]


def test_outage_of_all_cache_servers_loses_no_response(tmp_path):
    """Each request gets one response, the router logs no fault, and service recovers."""

    async def scene():
        rng = random.Random(4)
        objects = [f"{rng.getrandbits(64):016x}" for _ in range(40)]
        async with ProcessDeployment(
            tmp_path / "deployment", boxes=2, disk=False, storm=True, longest_hint_s=1.0, warm_s=1.0
        ) as deployment:
            counts = dict.fromkeys(("satisfied", "nacked", "errored", "lost"), 0)
            delays_ms, is_ending = [], False

            async def run_client(waits_as_told):
                caller = await deployment.caller()
                while not is_ending:
                    outcome, delay_ms = await caller.ask(rng.choice(objects))
                    counts[outcome] += 1
                    if outcome == "nacked":
                        delays_ms.append(delay_ms)
                    await asyncio.sleep(delay_ms / 1000 if outcome == "nacked" and waits_as_told else 0.02)
                    if outcome != "satisfied" and not waits_as_told:  # retries on a new connection
                        caller.close()
                        caller = await deployment.caller()
                caller.close()

            clients = [asyncio.ensure_future(run_client(n % 2 == 0)) for n in range(8)]
            await asyncio.sleep(1.0)
            for name in deployment.names:
                await deployment.kill(name)
            await asyncio.sleep(1.0)
            counts_before_restart = dict(counts)
            for name in deployment.names:
                await deployment.restart(name)
            await asyncio.sleep(2.5)
            satisfied_after = counts["satisfied"] - counts_before_restart["satisfied"]
            is_ending = True
            await asyncio.wait(clients, timeout=5)
            faults = [
                line
                for line in (tmp_path / "deployment" / "router.log").read_text().splitlines()
                if "fault" in json.loads(line)["event"] or "Error" in line
            ]
            return counts, counts_before_restart, satisfied_after, delays_ms, faults

    counts, counts_before_restart, satisfied_after, delays_ms, faults = asyncio.run(scene())
    assert counts["lost"] == 0 and faults == []
    assert (
        counts_before_restart["satisfied"] > 20
        and counts_before_restart["nacked"] + counts_before_restart["errored"] > 10
        and satisfied_after > 50
    )
    assert delays_ms and all(0 <= delay_ms <= 1000 for delay_ms in delays_ms)


def test_connection_surge_is_detected_and_open_connections_keep_working(tmp_path):
    """Of 200 connections from one address only a share is kept; an earlier connection is still served."""

    async def scene(t):
        t.client.ask(1)
        responses = [await t.client.receive()]
        t.service.ingress.detector.observed_since = -300.0  # as if five minutes had been observed
        surge = await asyncio.gather(*(asyncio.open_connection(*t.address) for _ in range(200)))
        await asyncio.sleep(0.2)
        t.client.ask(2, lookup="cd" * 8)
        responses.append(await t.client.receive())
        open_connections = len(t.service.client_connections.clients)
        ingress = t.service.ingress
        for _, writer in surge:
            writer.close()
        await until(lambda: ingress.admission.open == len(t.service.client_connections.clients) == 1)
        return (
            responses,
            open_connections,
            ingress.admission.rejected,
            [line.split()[1] for line in t.lines if line.startswith("storm")],
        )

    responses, open_connections, rejected, states = run_scenario(
        scene, tmp_path, limits={"memory_mb": 192, "sockets": 160}
    )
    assert (
        responses == [(1, "satisfied 19"), (2, "satisfied 19")]
        and open_connections <= 83
        and rejected > 100
        and states[0] == "client"
    )
