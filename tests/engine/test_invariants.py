"""Acts that would break a rule: each is stopped, counted and said, and its query has one final answer."""

import json

import pytest

from brookhinge.decisions import rules
from brookhinge.decisions.rules import CloseReason, HeldBack, Ran, Refusal
from brookhinge.decisions.settings import DeduplicationScope, Idempotency, SlowStart
from brookhinge.decisions.sink import Attempt, Retention
from brookhinge.engine.effects import Respond
from brookhinge.engine.endpoints import ListedEndpoint
from brookhinge.engine.events import EndpointsListed, ObjectsPurged
from brookhinge.engine.log import Log
from brookhinge.engine.trace import Trace
from tests.helpers import StateHarness, request_class
from tests.test_service import caches, played, until


def violations(desk):
    return dict(desk.state.invariants.violations)


def push(desk, query, server="s-21", source="s-21", until=None, oldest_s=0.0):
    """Makes the decisions send this, whatever they would have sent."""
    until = desk.now + 0.5 if until is None else until
    desk.state.sink.forward(
        query, Attempt(server, until, source, Retention.NONE, oldest_s, False, False, False)
    )


@pytest.fixture
def desk(tmp_path):
    return StateHarness(tmp_path)


def planted(desk, act, **ask):
    """Asks a query for which the decisions do `act(query)`; what came out, and what was counted."""
    desk.router.route = lambda request: act(request.request_id)
    lines = desk.ask(**ask)
    return lines, violations(desk)


def test_a_second_attempt_beside_the_first(desk):
    lines, counted = planted(desk, lambda query: (push(desk, query), push(desk, query, "s-22", "s-22")))
    assert counted == {"one_attempt": 1}
    assert [line.split()[0] for line in lines][:4] == ["pull", "say", "kill", "error"]


@pytest.mark.parametrize("as_source", [False, True])
@pytest.mark.parametrize("health", ["draining", "gone"])
def test_a_server_listed_as_draining_or_gone(desk, health, as_source):
    row = ListedEndpoint("s-22", ("127.0.0.1", 9), "edge-1", "box", 0, health, 4.0, None)
    desk.process(EndpointsListed(4, False, [row]))
    server = "s-21" if as_source else "s-22"
    lines, counted = planted(desk, lambda query: push(desk, query, server, "s-22"))
    assert counted == {"drain": 1}
    assert [line.split()[0] for line in lines] == ["say", "error"]


def test_an_attempt_without_time_left(desk):
    _, counted = planted(desk, lambda query: push(desk, query), allow=-0.1)
    assert counted == {"deadline": 1}


def test_an_attempt_that_would_wait_for_longer_than_its_client(desk):
    _, counted = planted(desk, lambda query: push(desk, query, until=desk.now + 1.3), allow=1.0)
    assert counted == {"deadline": 1}


def test_a_copy_from_before_a_purge(desk):
    desk.process(ObjectsPurged(4, 0, desk.now, "aa"))
    _, counted = planted(desk, lambda query: push(desk, query, oldest_s=5.0))
    assert counted == {"purge": 1}
    _, counted = planted(desk, lambda query: push(desk, query, oldest_s=0.0))
    assert counted == {"purge": 2}
    _, counted = planted(desk, lambda query: push(desk, query, oldest_s=0.001), key=b"aa")
    assert counted == {"purge": 2}


def test_a_single_use_request_that_may_have_run(desk):
    desk.ask(kind=b"order")
    desk.router.retry = lambda request, result: push(desk, request.request_id, "s-22", "s-22")
    lines = desk.end(0, 1, "broken")
    assert violations(desk) == {"effect_twice": 1} and [line.split()[0] for line in lines] == ["say", "error"]


def test_a_rejection_that_invites_a_second_effect(desk):
    desk.ask(kind=b"order")
    desk.router.retry = lambda request, result: desk.state.sink.reject(
        request.request_id, 0.0, Refusal.CROWDED
    )
    lines = desk.end(0, 1, "broken")
    assert violations(desk) == {"effect_twice": 1} and [line.split()[0] for line in lines] == ["say", "error"]


def test_a_second_response(desk):
    def act(query):
        desk.state.sink.reject(query, 0.0, Refusal.CROWDED)
        desk.state.sink.reject(query, 0.0, Refusal.CROWDED)

    lines, counted = planted(desk, act)
    assert counted == {"one_answer": 1} and [line.split()[0] for line in lines] == ["nack", "say"]


def test_an_attempt_after_the_response(desk):
    def act(query):
        desk.state.sink.reject(query, 0.0, Refusal.CROWDED)
        push(desk, query)

    lines, counted = planted(desk, act)
    assert counted == {"after_end": 1} and [line.split()[0] for line in lines] == ["nack", "say"]


def test_more_than_all_routers_may_send_to_a_server_that_warms_up(desk):
    desk.router.slow_start["cache"].start = SlowStart(0.1, 60.0, 1.0, 1.0)
    row = ListedEndpoint("s-22", ("127.0.0.1", 9), "edge-1", "box", 0, "ready", 4.0, desk.now)
    desk.process(EndpointsListed(4, False, [row]))
    desk.router.route = lambda request: push(desk, request.request_id, "s-22", "s-22")
    for number in range(30):
        desk.ask(key=b"%x" % number)
    assert violations(desk).keys() == {"slow_start"}
    calls = desk.state.totals.counts["pushes"]
    assert calls + violations(desk)["slow_start"] == 30
    allowed = 0.1 * 4.0 / desk.router.statistics.transfer_s[0]  # of the mean work
    assert calls <= allowed + 3.0 * allowed**0.5 + 3.0


def test_the_decisions_of_every_day_break_none(desk):
    for number in range(40):
        desk.ask(key=b"%x" % (number % 7), kind=b"order" if number % 3 else b"page")
        desk.end(number, 1, ("satisfied", "miss", "broken", "full", "errored")[number % 5])
    assert violations(desk) == {}


def test_an_attempt_that_waited_is_not_written_to_a_server_that_drains(desk):
    desk.ask()
    q = desk.state.requests.open[0]
    assert desk.state.hold_reason(0, 1) is None
    desk.state.invariants.note_server(q.server, "draining", 1, 0)
    assert desk.state.hold_reason(0, 1) is HeldBack.CHANGED


@pytest.mark.parametrize("group, window_s", [("all", 0.2), ("zone", 9.0), ("cell", 9.0)])
def test_where_a_request_with_an_idempotency_key_may_be_repeated(group, window_s):
    kind = request_class(
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope(group),
        deduplication_window_s=window_s,
    )
    ran = Ran(zone=1, cell=2, at=10.0)
    assert rules.may_repeat(kind, ran, 1, 2, 10.05)
    assert rules.may_repeat(kind, ran, 3, 4, 10.05) is (group == "all")
    assert rules.may_repeat(kind, ran, 1, 4, 10.05) is (group in ("all", "zone"))
    assert rules.may_repeat(kind, ran, 1, 2, 10.15) is (
        group != "all"
    )  # its window is over but for the connect


def test_bounds_of_slow_start():
    assert rules.slow_start_bound(16.0) == 16.0 + 12.0 + 3.0
    assert rules.slow_start_bound(100.0) == 100.0 + 20.0 + 2.0


def test_a_close_with_a_request_open_and_a_second_response_on_the_socket(tmp_path):
    async def scene(t):
        t.client.ask(1)
        await until(t.attempt_lines)
        client = t.service.client_connections.clients[1]
        t.service.client_connections.respond(Respond(1, 7, b"never asked", False))
        t.service.client_connections.drop(client, CloseReason.IDLE)
        return await t.client.receive(), dict(t.service.state.invariants.violations)

    assert played(scene, tmp_path, machines=caches(delay=0.3)) == (None, {"one_answer": 1, "close": 1})


def test_a_response_that_crosses_its_cancel_breaks_nothing(tmp_path):
    async def scene(t):
        t.client.ask(1)
        await until(t.attempt_lines)
        client = t.service.client_connections.clients[1]
        t.service.client_connections.calls.cancel(client, 1)
        t.service.client_connections.respond(Respond(1, 1, b"late", False))
        t.client.ask(2)
        return await t.client.receive(), dict(t.service.state.invariants.violations)

    assert played(scene, tmp_path, machines=caches(delay=0.1)) == ((2, "satisfied 19"), {})


def test_a_trace_follows_a_request_by_its_id(tmp_path):
    """From the read to the answer, with the reason of each attempt after the first."""
    trace = Trace(tmp_path / "trace", "n1", 1)

    async def scene(t):
        t.service.tracer = t.service.client_connections.trace = t.service.upstream_connections.trace = trace
        t.service.state.context.is_traced = True
        acts = iter(["absent", "data"])
        for machine in t.machines.values():
            machine.behavior = lambda line: next(acts)
        t.client.ask(1)
        return await t.client.receive()

    played(scene, tmp_path)
    steps = [json.loads(line) for line in (tmp_path / "trace").read_text().splitlines()]
    way = [(s["step"], s.get("result") or s.get("after")) for s in steps if s.get("ref") == f"{1:016x}"]
    assert way == [
        ("taken", None),
        ("attempt", None),
        ("attempt written", None),
        ("attempt ended", "miss"),
        ("attempt", "miss"),
        ("attempt written", None),
        ("attempt ended", "satisfied"),
        ("served", None),
    ]
    assert [s["reason"] for s in steps if s["step"] == "client closed"] == ["stopping"]


def test_a_trace_that_cannot_be_written_ends_without_the_router(tmp_path):
    trace = Trace(tmp_path / "trace", "n1", 1)
    trace.file.close()
    trace.file = open("/dev/full", "wb", buffering=0)
    trace("taken", "00")
    trace("taken", "01")
    assert trace.file is None


def test_the_totals_at_the_end_are_a_line_of_json(tmp_path):
    lines = []

    async def scene(t):
        t.service.log = Log("n1", Sink(lines))
        t.client.ask(1)
        await t.client.receive()
        t.service.shutdown.done.set()
        await t.task

    played(scene, tmp_path, machines=caches(behavior="full"))
    totals = [json.loads(line) for line in lines if b"totals" in line]
    assert len(totals) == 1 and sum(totals[0]["refusals"].values()) == 1 and totals[0]["violations"] == {}


class Sink:
    """Takes the bytes of a log."""

    def __init__(self, lines):
        self.lines = lines

    def write(self, text):
        self.lines.append(text)

    def flush(self):
        pass


def test_refusals_are_counted_by_reason(tmp_path):
    async def scene(t):
        t.client.ask(1)
        return await t.client.receive(), dict(t.service.state.totals.refusals)

    answer, refusals = played(scene, tmp_path, machines=caches(behavior="full"))
    assert answer == (1, "nack") and sum(refusals.values()) == 1 and set(refusals) <= set(Refusal)
