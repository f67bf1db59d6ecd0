"""No attempt may follow a stall and a client's exit at any step between a miss and the next attempt.

A process can stall between any two of its steps, so these tests try them all: from the response that calls
for another attempt to the system call that would send it, the client leaves and the clock jumps at one
step. The steps between the last check of the client and the system call cannot be covered; their number is
kept small.
"""

import asyncio
import itertools
import sys
import time

import pytest

from brookhinge.net import client_connections
from tests.crossings.test_sockets import RawClient, warm_up_connections
from tests.helpers import LocalDeployment
from tests.test_service import caches, until

STALLS_S = (0.14, 0.3)  # one that the loop watch does not notice, and one that it does
MAX_STEPS_TO_SEND = 100  # calls and returns of Python and C functions after the last check of the client
STEP_STRIDE = 3  # every third step is tried; 1 tries all of them and takes about a minute


class StepCounter:
    """Counts calls and returns after `begin` and runs an action at one of them."""

    def __init__(self, action_step, action):
        self.action_step, self.action, self.count = action_step, action, 0
        # steps of the last check of the client and of the system call that sends the attempt
        self.checked_at = self.sent_at = None

    def begin(self):
        sys.setprofile(self.count_step)

    def end(self):
        sys.setprofile(None)

    def count_step(self, frame, event, arg):
        self.count += 1
        code = frame.f_code
        if event in ("c_return", "c_exception") and code.co_name == "unread" and arg.__name__ == "recv":
            self.checked_at = self.count
        elif event == "c_call" and arg.__name__ == "send" and self.checked_at is not None:
            self.sent_at = self.count
            self.end()
            return
        if self.count == self.action_step:
            sys.setprofile(None)
            self.action()
            sys.setprofile(self.count_step)


class JumpingClock:
    """The monotonic clock with jumps forward."""

    def __init__(self, monkeypatch):
        original, self.offset_s = time.monotonic, 0.0
        monkeypatch.setattr(time, "monotonic", lambda: original() + self.offset_s)

    def jump(self, seconds):
        self.offset_s += seconds


class ExitScenario:
    """Runs one request after another; the client of each leaves at another step."""

    def __init__(self, deployment, clock, how):
        self.deployment, self.clock, self.how, self.last_request, self.started = (
            deployment,
            clock,
            how,
            0,
            set(),
        )
        for machine in deployment.machines.values():
            machine.behavior = self.respond
        self.steps = None

    def respond(self, line):
        """A cache server's response: a miss for the first attempt, from which the steps are counted."""
        if line[1] in self.started:
            return "data"
        self.started.add(line[1])
        self.steps.begin()
        return "absent"

    async def run(self, exit_step, stall_s):
        """Runs one request; returns the step counter and the number of attempts after the first."""
        deployment, clients = self.deployment, self.deployment.service.client_connections.clients
        deployment.service.state.decisions.retry_budget.tokens = 10.0
        other_clients, raw_client = set(clients), RawClient(deployment.address)
        await until(lambda: set(clients) - other_clients)
        self.last_request += 1
        request_id = f"{self.last_request:016x}"

        def leave():
            self.leave(raw_client)
            self.clock.jump(stall_s)

        self.steps = StepCounter(exit_step, leave)
        raw_client.add_requests(self.last_request).send()
        try:
            await until(lambda: request_id in self.started and not deployment.service.state.requests.open)
        finally:
            self.steps.end()
        raw_client.close()
        await until(lambda: not set(clients) - other_clients)
        attempts = sum(
            line.split()[2] == request_id for line in deployment.attempt_lines() if " PULL " in line
        )
        return self.steps, attempts - 1

    def leave(self, raw_client):
        if self.how == "cancels":
            raw_client.encoder.forget(1)
            raw_client.send()
        else:
            raw_client.close(reset=self.how == "resets")


def steps_with_attempt(folder, monkeypatch, how, stride):
    """Returns the steps for which an attempt followed the stall and the client's exit, and the number of steps."""
    clock = JumpingClock(monkeypatch)
    # the client is checked before each attempt
    monkeypatch.setattr(client_connections, "EMPTY_CHECK_TTL_S", -1.0)

    async def scene(t):
        await warm_up_connections(t)
        scenario, found, stalls_s = ExitScenario(t, clock, how), [], itertools.cycle(STALLS_S)
        steps, attempts = await scenario.run(0, 0.0)  # step 0 is never reached: the client stays
        assert attempts == 1
        assert steps.sent_at - steps.checked_at <= MAX_STEPS_TO_SEND
        for exit_step in range(1, steps.checked_at, stride):
            counter, attempts = await scenario.run(exit_step, next(stalls_s))
            is_after_check = counter.checked_at is not None and exit_step >= counter.checked_at
            if attempts and not is_after_check:
                found.append(exit_step)
        return found, steps.checked_at

    async def run():  # without a timeout, as the clock jumps by minutes in total
        async with LocalDeployment(folder, machines=caches()) as deployment:
            return await scene(deployment)

    return asyncio.run(run())


@pytest.mark.parametrize("how", ["cancels", "closes", "resets"])
def test_no_attempt_follows_a_stall_and_client_exit_at_any_step(tmp_path, monkeypatch, how):
    found, step_count = steps_with_attempt(tmp_path, monkeypatch, how, STEP_STRIDE)
    assert found == [] and step_count > 300


def test_ignored_hold_reason_is_detected(tmp_path, monkeypatch):
    original = client_connections.ClientConnections.hold_reason
    monkeypatch.setattr(
        client_connections.ClientConnections, "hold_reason", lambda *args: original(*args) and None
    )
    found, _ = steps_with_attempt(tmp_path, monkeypatch, "closes", 10 * STEP_STRIDE)
    assert found
