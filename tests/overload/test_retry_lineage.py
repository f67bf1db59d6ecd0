"""A client's retry is known as such, never runs beside its first try, and wrong guesses cost nobody an answer."""

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
from brookhinge.overload.retry_lineage import MAX_CONNECTIONS_OF_CLIENT, RetryLineage
from tests.helpers import StateHarness

A, B, PROXY = "192.0.2.1", "192.0.2.2", "198.51.100.1"
NAME = (0, "aa", 0)


def desk(folder, *places):
    d = StateHarness(folder)
    d.state.coalescer.lineage = RetryLineage()
    for client, place in enumerate(places, 1):
        d.process(ClientConnected(client, place))
    return d


def kinds(lines):
    return [line.split(" for ")[0] for line in lines]


def test_a_retry_beside_its_first_try_takes_its_answer_on_the_same_and_on_another_connection(tmp_path):
    d = desk(tmp_path, A, A)
    assert kinds(d.ask(client=1)) == ["pull q0.1 r1 s-21 from s-12 rank 1"]
    assert d.ask(client=1) == [] and d.ask(client=2) == []
    assert d.end(0, 1, "satisfied", b"x") == [
        "satisfy 1 1 b'x' False",
        "satisfy 1 2 b'x' False",
        "satisfy 2 3 b'x' False",
    ]
    assert (
        not d.state.requests.open
        and not d.state.coalescer.followers
        and not d.state.coalescer.lineage.key_of_request
    )


def test_what_is_no_retry_runs_by_itself(tmp_path):
    d = desk(tmp_path, A, B, A)
    d.ask(client=1)
    assert len(d.ask(client=2)) == 1  # another address
    assert len(d.ask(client=1, key=b"bb")) == 1  # another object
    assert len(d.ask(client=3, tag=b"t")) == 1  # holds another copy: the answer may not fit it
    assert (
        len(d.ask(client=1, kind=b"order", key=b"cc")) == len(d.ask(client=1, kind=b"order", key=b"cc")) == 1
    )
    assert d.state.totals.counts["beside"] == 0


def test_behind_an_address_with_many_connections_only_the_connection_tells(tmp_path):
    d = desk(tmp_path, *[PROXY] * (MAX_CONNECTIONS_OF_CLIENT + 1))
    d.ask(client=1)
    assert len(d.ask(client=2)) == 1 and d.ask(client=1) == []


def test_when_the_first_is_forgotten_or_fails_who_waits_goes_on_alone_and_in_its_own_time(tmp_path):
    d = desk(tmp_path, A, A, A)
    d.ask(client=1, number=1)
    d.ask(client=2, number=2, allow=0.5)
    d.ask(client=3, number=3)
    lines = d.process(RequestCancelled(1, 1))
    assert [line.split()[0] for line in lines] == ["kill", "pull"] and " q1.1 " in lines[
        1
    ]  # one of both, not two
    assert d.state.requests.open[2].leader == 1
    assert kinds(d.end(1, 1, "broken")) == ["pull q1.2 r2 s-22 from s-12 rank 1"]
    assert d.end(1, 2, "broken") == ["nack 2 2 0.0", "nack 3 3 0.0"] and not d.state.coalescer.followers


def test_who_waits_goes_on_alone_when_the_decisions_raise_on_the_first(tmp_path):
    d = desk(tmp_path, A, A)
    d.ask(client=1)
    d.ask(client=2)
    retry, d.router.retry = d.router.retry, lambda request, result: 1 / 0
    said, *lines = d.end(0, 1, "broken")
    assert "ZeroDivisionError" in said
    assert lines[0] == "error 1 1" and kinds(lines[1:]) == ["pull q1.1 r2 s-21 from s-12 rank 1"]
    d.router.retry = retry
    assert d.end(1, 1, "satisfied", b"x") == ["satisfy 2 2 b'x' False"]
    assert not d.state.requests.open and not d.router.requests and sum(d.router.endpoints.in_flight) == 0


def test_who_waits_has_its_error_before_its_time_is_over(tmp_path):
    d = desk(tmp_path, A, A)
    d.ask(client=1, allow=1.0)
    d.ask(client=2, allow=0.2)
    at = d.state.requests.open[1].deadline
    assert d.state.next_at() <= at and d.process(at=at - 0.015) == ["error 2 2"]
    assert d.end(0, 1, "satisfied", b"x") == ["satisfy 1 1 b'x' False"]


def test_a_nack_reaches_all_who_wait_with_the_same_time(tmp_path):
    d = desk(tmp_path, A, A)
    d.ask(client=1)
    d.ask(client=2)
    d.state.context.effects = []
    d.state.sink.reject(0, 0.25)
    assert [d.format_effect(e) for e in d.state.context.effects] == ["nack 1 1 0.25", "nack 2 2 0.25"]


def test_a_retry_has_its_first_tries_time_and_is_forgotten_by_itself():
    lineage, trace = RetryLineage(memory_s=5.0), []

    def ask(now, query):
        seen = lineage.recognize(now, query, A, 1, NAME)
        trace.append((seen.kind, round(seen.since_first_s, 3)))

    ask(0.0, 1)
    lineage.end(0.5, 1, was_served=False)
    ask(0.75, 2)
    lineage.end(1.0, 2, was_served=False)
    ask(5.9, 3)
    lineage.end(6.0, 3, was_served=False)
    ask(11.1, 4)
    lineage.end(11.2, 4, was_served=True)
    ask(11.3, 5)
    lineage.end(11.4, 5, was_served=False)
    ask(3.0, 6)  # the clock stepped back
    assert trace == [("new", 0.0), ("again", 0.75), ("again", 5.9), ("new", 0.0), ("new", 0.0), ("new", 0.0)]


def test_memory_is_bounded():
    lineage = RetryLineage(max_attempts=100)
    for n in range(5000):
        lineage.recognize(n * 0.001, n, f"a{n % 777}", n, (0, n, 0))
        if n % 2:
            lineage.end(n * 0.001, n, was_served=False)
    assert len(lineage.attempts) == 100 and len(lineage.key_of_request) <= 100


class Answers(RuleBasedStateMachine):
    """Whatever comes in whatever order: each query gets exactly one final answer in its own time, and never are two
    pushes out for one address and object."""

    @initialize(seed=st.integers(0, 1 << 20))
    def begin(self, seed):
        import tempfile
        from pathlib import Path

        with tempfile.TemporaryDirectory() as folder:
            self.d = desk(Path(folder), A, A, B)
        self.chance, self.owed, self.numbers, self.now = random.Random(seed), {}, 0, 1.0

    def take(self, lines):
        for line in lines:
            word, *rest = line.split()
            if word in ("satisfy", "nack", "error", "reject"):
                assert self.owed.pop((int(rest[0]), int(rest[1]))) >= self.now - 1e-9, "after its time"

    def advance(self, by=0.01):
        """Plays what is due before a moment; what comes at that moment comes after it."""
        end = self.now + by
        while (at := self.d.state.next_at()) is not None and at < end:
            self.now = max(self.now, at)
            self.take(self.d.process(at=self.now))
        self.now = end

    def step(self, *events, by=0.01):
        self.advance(by)
        self.take(self.d.process(*events, at=self.now))

    @rule(
        client=st.integers(1, 3), key=st.sampled_from([b"aa", b"bb"]), allow=st.sampled_from([0.05, 0.3, 1.0])
    )
    def ask(self, client, key, allow):
        self.numbers += 1
        self.owed[client, self.numbers] = self.now + 0.01 + allow
        self.step(
            RequestReceived(
                client,
                self.numbers,
                b"r%d" % self.numbers,
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
    def answer(self, result):
        out = [(n, q.attempts) for n, q in self.d.state.requests.open.items() if q.has_attempt_out]
        if out:
            query, push = self.chance.choice(out)
            self.step(
                AttemptEnded(
                    query, push, result, 2, 0.0, None, b"x" if result == "satisfied" else b"", False, self.now
                )
            )

    @rule()
    def forget(self):
        if self.owed:
            client, number = self.chance.choice(sorted(self.owed))
            self.advance()  # its own time may be over before it is withdrawn: then its answer was due
            self.owed.pop((client, number), None)
            self.take(self.d.process(RequestCancelled(client, number), at=self.now))

    @rule(by=st.sampled_from([0.005, 0.05]))
    def wait(self, by):
        self.step(by=by)

    @rule()
    def close_one(self):
        client = self.chance.randint(1, 3)
        self.advance()
        self.owed = {key: at for key, at in self.owed.items() if key[0] != client}
        self.take(
            self.d.process(
                ClientDisconnected(client), ClientConnected(client, A if client < 3 else B), at=self.now
            )
        )

    @invariant()
    def alone(self):
        if not hasattr(self, "d"):
            return
        state = self.d.state
        out = [
            (state.clients.addresses[q.call.client], q.call.object_key)
            for q in state.requests.open.values()
            if q.has_attempt_out
        ]
        assert len(out) == len(set(out))
        assert {(q.call.client, q.call.number) for q in state.requests.open.values()} == set(self.owed)
        waiting = [n for peers in state.coalescer.followers.values() for n in peers]
        assert sorted(waiting) == sorted(n for n, q in state.requests.open.items() if q.leader is not None)

    def teardown(self):
        if hasattr(self, "d"):
            self.take(self.d.process(ShutdownBegan()))
            assert not self.owed and not self.d.state.requests.open


TestAnswers = Answers.TestCase
TestAnswers.settings = settings(
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
