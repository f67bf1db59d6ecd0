"""A process can stand still between any two of its steps, so each of them is tried: from the server's answer that asks for a further
attempt to the system call that would send it, the client leaves and the clock goes on at one step, and no attempt may follow.

Only what lies between the last look at the client and the system call itself cannot be helped; that way is kept short."""

import asyncio
import itertools
import sys
import time

import pytest

from brookhinge.net import client_connections
from tests.crossings.test_sockets import Raw, warm
from tests.helpers import LocalDeployment
from tests.test_service import caches, until

STOOD_STILL_S = (0.14, 0.3)  # one that no watch of the loop notices, and one that it does
MOST_STEPS_TO_SEND = 100  # calls and returns, of functions of Python and C, after the last look
EVERY = 3  # of the steps is tried: all of them in a minute, by EVERY = 1


class Steps:
    """Counts calls and returns from `begin` on, and acts at one of them."""

    def __init__(self, at, act):
        self.at, self.act, self.count = at, act, 0
        self.looked_at = self.sent_at = (
            None  # steps: the last look at the client, and the attempt's system call
        )

    def begin(self):
        sys.setprofile(self.step)

    def end(self):
        sys.setprofile(None)

    def step(self, frame, event, arg):
        self.count += 1
        code = frame.f_code
        if event in ("c_return", "c_exception") and code.co_name == "unread" and arg.__name__ == "recv":
            self.looked_at = self.count
        elif event == "c_call" and arg.__name__ == "send" and self.looked_at is not None:
            self.sent_at = self.count
            self.end()
            return
        if self.count == self.at:
            sys.setprofile(None)
            self.act()
            sys.setprofile(self.step)


class Clock:
    """The machine's steady clock, which goes on by leaps as well."""

    def __init__(self, monkeypatch):
        real, self.ahead_s = time.monotonic, 0.0
        monkeypatch.setattr(time, "monotonic", lambda: real() + self.ahead_s)

    def leap(self, seconds):
        self.ahead_s += seconds


class Scene:
    """One query after another, each with its client gone at another step."""

    def __init__(self, town, clock, how):
        self.town, self.clock, self.how, self.asked, self.begun = town, clock, how, 0, set()
        for machine in town.machines.values():
            machine.behavior = self.answer
        self.steps = None

    def answer(self, line):
        """A server's answer: nothing the first time; the steps are counted from there."""
        if line[1] in self.begun:
            return "data"
        self.begun.add(line[1])
        self.steps.begin()
        return "absent"

    async def play(self, at, seconds):
        """(the steps, how many attempts came after the client's end)."""
        town, clients = self.town, self.town.service.client_connections.clients
        town.service.state.decisions.retry_budget.tokens = 10.0
        others, raw = set(clients), Raw(town.address)
        await until(lambda: set(clients) - others)
        self.asked += 1
        name = f"{self.asked:016x}"

        def leave():
            self.leave(raw)
            self.clock.leap(seconds)

        self.steps = Steps(at, leave)
        raw.asks(self.asked).send()
        try:
            await until(lambda: name in self.begun and not town.service.state.requests.open)
        finally:
            self.steps.end()
        raw.close()
        await until(lambda: not set(clients) - others)
        attempts = sum(line.split()[2] == name for line in town.attempt_lines() if " PULL " in line)
        return self.steps, attempts - 1

    def leave(self, raw):
        if self.how == "cancels":
            raw.call.forget(1)
            raw.send()
        else:
            raw.close(reset=self.how == "resets")


def sent_on(folder, monkeypatch, how, every):
    """The steps at which the router stood still and sent an attempt on all the same; how many there were to try."""
    clock = Clock(monkeypatch)
    monkeypatch.setattr(client_connections, "EMPTY_CHECK_TTL_S", -1.0)  # each attempt is looked at

    async def scene(t):
        await warm(t)
        own_scene, found, spans = Scene(t, clock, how), [], itertools.cycle(STOOD_STILL_S)
        steps, attempts = await own_scene.play(0, 0.0)  # nobody leaves
        assert attempts == 1
        assert steps.sent_at - steps.looked_at <= MOST_STEPS_TO_SEND
        for at in range(1, steps.looked_at, every):
            own, attempts = await own_scene.play(at, next(spans))
            is_after_look = own.looked_at is not None and at >= own.looked_at
            if attempts and not is_after_look:
                found.append(at)
        return found, steps.looked_at

    async def play():  # without a limit: the clock leaps by minutes
        async with LocalDeployment(folder, machines=caches()) as town:
            return await scene(town)

    return asyncio.run(play())


@pytest.mark.parametrize("how", ["cancels", "closes", "resets"])
def test_no_attempt_follows_wherever_the_router_stood_still(tmp_path, monkeypatch, how):
    found, tried = sent_on(tmp_path, monkeypatch, how, EVERY)
    assert found == [] and tried > 300


def test_it_finds_a_router_that_looks_and_does_not_heed_it(tmp_path, monkeypatch):
    real = client_connections.ClientConnections.hold_reason
    monkeypatch.setattr(
        client_connections.ClientConnections, "hold_reason", lambda *args: real(*args) and None
    )
    found, _ = sent_on(tmp_path, monkeypatch, "closes", 10 * EVERY)
    assert found
