"""The daemon's own tests with `storm` on, and a cut of all boxes among real processes."""

import asyncio
import json
import random

import helpers
import pytest
from test_service import *

from brookhinge.emulator.local_deployment import LocalDeployment as Processes

del test_a_slow_transfer_does_not_hold_up_the_rest


@pytest.fixture(autouse=True)
def storm():
    helpers.EXTRA_CONFIGURATION["storm"] = True
    yield
    del helpers.EXTRA_CONFIGURATION["storm"]


def test_a_slow_transfer_holds_up_its_own_repeats_alone(tmp_path):
    """Who asks again for what is out waits for it, never beside it; other objects go by other connections."""

    async def scene(t):
        t.client.ask(1)
        heard = [await t.client.receive()]
        for machine in t.machines.values():
            machine.behavior = lambda line: "half" if line[1].endswith("2") else "data"
        t.client.ask(2, allow="400")
        t.client.ask(3, allow="400")
        for n in (4, 5):
            t.client.ask(n, lookup=f"{n:02d}" * 8)
        heard += [await t.client.receive() for _ in range(4)]
        return heard, sum(line.split()[2].endswith("3") for line in t.attempt_lines() if "PULL" in line)

    heard, beside = played(scene, tmp_path)
    assert sorted(heard[1:3]) == [(4, "satisfied 19"), (5, "satisfied 19")] and beside == 0
    assert sorted(n for n, _ in heard[3:]) == [2, 3]


def test_a_cut_of_all_boxes_among_processes(tmp_path):
    """Whatever clients do: each query has one answer, nothing is doubled, and service comes back."""

    async def scene():
        chance = random.Random(4)
        objects = [f"{chance.getrandbits(64):016x}" for _ in range(40)]
        async with Processes(
            tmp_path / "town", boxes=2, disk=False, storm=True, longest_hint_s=1.0, warm_s=1.0
        ) as town:
            counts = dict.fromkeys(("satisfied", "nacked", "errored", "lost"), 0)
            waits, ending = [], False

            async def client(heeds):
                caller = await town.caller()
                while not ending:
                    word, told = await caller.ask(chance.choice(objects))
                    counts[word] += 1
                    if word == "nacked":
                        waits.append(told)
                    await asyncio.sleep(told / 1000 if word == "nacked" and heeds else 0.02)
                    if word != "satisfied" and not heeds:  # comes back over a new connection
                        caller.close()
                        caller = await town.caller()
                caller.close()

            clients = [asyncio.ensure_future(client(n % 2 == 0)) for n in range(8)]
            await asyncio.sleep(1.0)
            for name in town.names:
                await town.kill(name)
            await asyncio.sleep(1.0)
            cut = dict(counts)
            for name in town.names:
                await town.restart(name)
            await asyncio.sleep(2.5)
            back = counts["satisfied"] - cut["satisfied"]
            ending = True
            await asyncio.wait(clients, timeout=5)
            faults = [
                line
                for line in (tmp_path / "town" / "router.log").read_text().splitlines()
                if "fault" in json.loads(line)["event"] or "Error" in line
            ]
            return counts, cut, back, waits, faults

    counts, cut, back, waits, faults = asyncio.run(scene())
    assert counts["lost"] == 0 and faults == []
    assert cut["satisfied"] > 20 and cut["nacked"] + cut["errored"] > 10 and back > 50
    assert waits and all(0 <= wait <= 1000 for wait in waits)


def test_a_crowd_at_the_door_is_seen_and_costs_open_connections_nothing(tmp_path):
    """Two hundred connections from one address: the descriptors' share holds, who is open goes on."""

    async def scene(t):
        t.client.ask(1)
        heard = [await t.client.receive()]
        t.service.ingress.detector.observed_since = -300.0  # as after five calm minutes
        crowd = await asyncio.gather(*(asyncio.open_connection(*t.address) for _ in range(200)))
        await asyncio.sleep(0.2)
        t.client.ask(2, lookup="cd" * 8)
        heard.append(await t.client.receive())
        kept = len(t.service.client_connections.clients)
        ingress = t.service.ingress
        for _, writer in crowd:
            writer.close()
        await until(lambda: ingress.admission.open == len(t.service.client_connections.clients) == 1)
        return (
            heard,
            kept,
            ingress.admission.rejected,
            [line.split()[1] for line in t.lines if line.startswith("storm")],
        )

    heard, kept, away, states = played(scene, tmp_path, limits={"memory_mb": 192, "sockets": 160})
    assert (
        heard == [(1, "satisfied 19"), (2, "satisfied 19")]
        and kept <= 83
        and away > 100
        and states[0] == "client"
    )
