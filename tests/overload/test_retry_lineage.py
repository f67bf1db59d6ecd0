"""Retries are recognized and never run while the first request is open, and a wrong guess costs no client its response."""

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from brookhinge.engine.events import (
    AttemptEnded,
    ClientConnected,
    ClientDisconnected,
    RequestCancelled,
    RequestReceived,
    ShutdownBegan,
)
from brookhinge.overload.retry_lineage import MAX_CONNECTIONS_PER_CLIENT, RetryLineage
from tests.helpers import StateHarness

A, B, PROXY = "192.0.2.1", "192.0.2.2", "198.51.100.1"
NAME = (0, "aa", 0)


def harness_with_clients(folder, *addresses):
    d = StateHarness(folder)
    d.state.coalescer.lineage = RetryLineage()
    for client, address in enumerate(addresses, 1):
        d.process(ClientConnected(client, address))
    return d


def without_deadlines(lines):
    return [line.split(" for ")[0] for line in lines]


def test_duplicates_get_the_response_of_the_open_request_on_any_connection(tmp_path):
    d = harness_with_clients(tmp_path, A, A)
    assert without_deadlines(d.ask(client=1)) == ["pull q0.1 r1 s-21 from s-12 rank 1"]
    assert d.ask(client=1) == [] and d.ask(client=2) == []
    assert d.end(0, 1, "satisfied", b"x") == [
        "satisfy 1 1 b'x' False",
        "satisfy 1 2 b'x' False",
        "satisfy 2 3 b'x' False",
    ]
    assert (
        not d.state.requests.open
        and not d.state.coalescer.followers
        and not d.state.coalescer.lineage.keys_by_request
    )


def test_requests_that_are_not_retries_run_separately(tmp_path):
    d = harness_with_clients(tmp_path, A, B, A)
    d.ask(client=1)
    assert len(d.ask(client=2)) == 1  # another address
    assert len(d.ask(client=1, key=b"bb")) == 1  # another object
    assert len(d.ask(client=3, tag=b"t")) == 1  # has another version: the response may not apply to it
    assert (
        len(d.ask(client=1, kind=b"order", key=b"cc")) == len(d.ask(client=1, kind=b"order", key=b"cc")) == 1
    )
    assert d.state.totals.counts["beside"] == 0


def test_behind_a_shared_address_clients_are_identified_by_connection(tmp_path):
    d = harness_with_clients(tmp_path, *[PROXY] * (MAX_CONNECTIONS_PER_CLIENT + 1))
    d.ask(client=1)
    assert len(d.ask(client=2)) == 1 and d.ask(client=1) == []


def test_one_follower_takes_over_when_the_leader_is_cancelled_or_fails(tmp_path):
    d = harness_with_clients(tmp_path, A, A, A)
    d.ask(client=1, number=1)
    d.ask(client=2, number=2, allow=0.5)
    d.ask(client=3, number=3)
    lines = d.process(RequestCancelled(1, 1))
    assert [line.split()[0] for line in lines] == ["kill", "pull"] and " q1.1 " in lines[
        1
    ]  # one of the two followers runs, not both
    assert d.state.requests.open[2].leader == 1
    assert without_deadlines(d.end(1, 1, "broken")) == ["pull q1.2 r2 s-22 from s-12 rank 1"]
    assert d.end(1, 2, "broken") == ["nack 2 2 0.0", "nack 3 3 0.0"] and not d.state.coalescer.followers


def test_follower_runs_when_the_decisions_raise_for_the_leader(tmp_path):
    d = harness_with_clients(tmp_path, A, A)
    d.ask(client=1)
    d.ask(client=2)
    retry, d.router.retry = d.router.retry, lambda request, result: 1 / 0
    log_line, *lines = d.end(0, 1, "broken")
    assert "ZeroDivisionError" in log_line
    assert lines[0] == "error 1 1" and without_deadlines(lines[1:]) == ["pull q1.1 r2 s-21 from s-12 rank 1"]
    d.router.retry = retry
    assert d.end(1, 1, "satisfied", b"x") == ["satisfy 2 2 b'x' False"]
    assert not d.state.requests.open and not d.router.requests and sum(d.router.endpoints.in_flight) == 0


def test_follower_fails_before_its_own_deadline(tmp_path):
    d = harness_with_clients(tmp_path, A, A)
    d.ask(client=1, allow=1.0)
    d.ask(client=2, allow=0.2)
    at = d.state.requests.open[1].deadline
    assert d.state.next_at() <= at and d.process(at=at - 0.015) == ["error 2 2"]
    assert d.end(0, 1, "satisfied", b"x") == ["satisfy 1 1 b'x' False"]


def test_rejection_reaches_all_followers_with_the_same_retry_time(tmp_path):
    d = harness_with_clients(tmp_path, A, A)
    d.ask(client=1)
    d.ask(client=2)
    d.state.context.effects = []
    d.state.sink.reject(0, 0.25)
    assert [d.format_effect(e) for e in d.state.context.effects] == ["nack 1 1 0.25", "nack 2 2 0.25"]


def test_retry_counts_from_the_first_request_and_expires():
    lineage, recognized = RetryLineage(memory_s=5.0), []

    def recognize(now, request):
        recognition = lineage.recognize(now, request, A, 1, NAME)
        recognized.append((recognition.kind, round(recognition.since_first_s, 3)))

    recognize(0.0, 1)
    lineage.end(0.5, 1, was_served=False)
    recognize(0.75, 2)
    lineage.end(1.0, 2, was_served=False)
    recognize(5.9, 3)
    lineage.end(6.0, 3, was_served=False)
    recognize(11.1, 4)
    lineage.end(11.2, 4, was_served=True)
    recognize(11.3, 5)
    lineage.end(11.4, 5, was_served=False)
    recognize(3.0, 6)  # the clock stepped back
    assert recognized == [
        ("new", 0.0),
        ("again", 0.75),
        ("again", 5.9),
        ("new", 0.0),
        ("new", 0.0),
        ("new", 0.0),
    ]


def test_remembered_requests_are_bounded():
    lineage = RetryLineage(max_attempts=100)
    for n in range(5000):
        lineage.recognize(n * 0.001, n, f"a{n % 777}", n, (0, n, 0))
        if n % 2:
            lineage.end(n * 0.001, n, was_served=False)
    assert len(lineage.attempts) == 100 and len(lineage.keys_by_request) <= 100


class ResponseMachine(RuleBasedStateMachine):
    """For any order of events each request gets exactly one final response by its own deadline, and there is never more
    than one open attempt for an address and object."""

    @initialize(seed=st.integers(0, 1 << 20))
    def set_up(self, seed):
        import tempfile
        from pathlib import Path

        with tempfile.TemporaryDirectory() as folder:
            self.d = harness_with_clients(Path(folder), A, A, B)
        self.rng, self.deadlines, self.last_number, self.now = random.Random(seed), {}, 0, 1.0

    def record_responses(self, lines):
        for line in lines:
            word, *rest = line.split()
            if word in ("satisfy", "nack", "error", "reject"):
                assert self.deadlines.pop((int(rest[0]), int(rest[1]))) >= self.now - 1e-9, (
                    "after its deadline"
                )

    def advance(self, duration_s=0.01):
        """Runs the timers that are due before the end of a duration; events at its end come after them."""
        end = self.now + duration_s
        while (at := self.d.state.next_at()) is not None and at < end:
            self.now = max(self.now, at)
            self.record_responses(self.d.process(at=self.now))
        self.now = end

    def step(self, *events, duration_s=0.01):
        self.advance(duration_s)
        self.record_responses(self.d.process(*events, at=self.now))

    @rule(
        client=st.integers(1, 3), key=st.sampled_from([b"aa", b"bb"]), allow=st.sampled_from([0.05, 0.3, 1.0])
    )
    def request(self, client, key, allow):
        self.last_number += 1
        self.deadlines[client, self.last_number] = self.now + 0.01 + allow
        self.step(
            RequestReceived(
                client,
                self.last_number,
                b"r%d" % self.last_number,
                b"page",
                key,
                b"0",
                0,
                4,
                100.0,
                allow,
                None,
                b"",
                self.now + 0.01,
            )
        )

    @rule(result=st.sampled_from(["satisfied", "miss", "full", "errored", "broken", "unreachable"]))
    def end_attempt(self, result):
        open_attempts = [(n, q.attempts) for n, q in self.d.state.requests.open.items() if q.has_attempt_out]
        if open_attempts:
            request_id, attempt = self.rng.choice(open_attempts)
            self.step(
                AttemptEnded(
                    request_id,
                    attempt,
                    result,
                    2,
                    0.0,
                    None,
                    b"x" if result == "satisfied" else b"",
                    False,
                    self.now,
                )
            )

    @rule()
    def cancel(self):
        if self.deadlines:
            client, number = self.rng.choice(sorted(self.deadlines))
            self.advance()  # its deadline may pass before the cancellation: then it was answered
            self.deadlines.pop((client, number), None)
            self.record_responses(self.d.process(RequestCancelled(client, number), at=self.now))

    @rule(duration_s=st.sampled_from([0.005, 0.05]))
    def wait(self, duration_s):
        self.step(duration_s=duration_s)

    @rule()
    def reconnect(self):
        client = self.rng.randint(1, 3)
        self.advance()
        self.deadlines = {key: at for key, at in self.deadlines.items() if key[0] != client}
        self.record_responses(
            self.d.process(
                ClientDisconnected(client), ClientConnected(client, A if client < 3 else B), at=self.now
            )
        )

    @invariant()
    def attempts_are_exclusive(self):
        if not hasattr(self, "d"):
            return
        state = self.d.state
        open_attempts = [
            (state.clients.addresses[q.call.client], q.call.object_key)
            for q in state.requests.open.values()
            if q.has_attempt_out
        ]
        assert len(open_attempts) == len(set(open_attempts))
        assert {(q.call.client, q.call.number) for q in state.requests.open.values()} == set(self.deadlines)
        followers = [n for peers in state.coalescer.followers.values() for n in peers]
        assert sorted(followers) == sorted(n for n, q in state.requests.open.items() if q.leader is not None)

    def teardown(self):
        if hasattr(self, "d"):
            self.record_responses(self.d.process(ShutdownBegan()))
            assert not self.deadlines and not self.d.state.requests.open


TestResponses = ResponseMachine.TestCase
TestResponses.settings = settings(
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
