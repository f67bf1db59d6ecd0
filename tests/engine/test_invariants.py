"""Actions that would violate an invariant are prevented, counted and logged; the request still ends once."""

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
from tests.test_service import caches, run_scenario, until


def violations(desk):
    return dict(desk.state.invariants.violations)


def send_attempt(desk, request_id, server="s-21", fill_from="s-21", deadline=None, max_age_s=0.0):
    """Sends an attempt through the sink, bypassing the decisions."""
    deadline = desk.now + 0.5 if deadline is None else deadline
    desk.state.sink.forward(
        request_id, Attempt(server, deadline, fill_from, Retention.NONE, max_age_s, False, False, False)
    )


@pytest.fixture
def desk(tmp_path):
    return StateHarness(tmp_path)


def ask_with_decision(desk, decide, **ask):
    """Opens a request for which the decisions call `decide(request_id)`.

    Returns the printed effects, and the counts of violations.
    """
    desk.router.route = lambda request: decide(request.request_id)
    lines = desk.ask(**ask)
    return lines, violations(desk)


def test_second_attempt_during_an_outstanding_one_is_prevented(desk):
    lines, counted = ask_with_decision(
        desk,
        lambda request_id: (send_attempt(desk, request_id), send_attempt(desk, request_id, "s-22", "s-22")),
    )
    assert counted == {"one_attempt": 1}
    assert [line.split()[0] for line in lines][:4] == ["pull", "say", "kill", "error"]


@pytest.mark.parametrize("as_source", [False, True])
@pytest.mark.parametrize("health", ["draining", "gone"])
def test_attempt_to_or_fill_from_a_draining_or_gone_server_is_prevented(desk, health, as_source):
    row = ListedEndpoint("s-22", ("127.0.0.1", 9), "edge-1", "box", 0, health, 4.0, None)
    desk.process(EndpointsListed(4, False, [row]))
    server = "s-21" if as_source else "s-22"
    lines, counted = ask_with_decision(
        desk, lambda request_id: send_attempt(desk, request_id, server, "s-22")
    )
    assert counted == {"drain": 1}
    assert [line.split()[0] for line in lines] == ["say", "error"]


def test_attempt_without_time_left_is_prevented(desk):
    _, counted = ask_with_decision(desk, lambda request_id: send_attempt(desk, request_id), allow=-0.1)
    assert counted == {"deadline": 1}


def test_attempt_with_a_timeout_beyond_the_client_deadline_is_prevented(desk):
    _, counted = ask_with_decision(
        desk, lambda request_id: send_attempt(desk, request_id, deadline=desk.now + 1.3), allow=1.0
    )
    assert counted == {"deadline": 1}


def test_attempt_that_accepts_a_copy_from_before_a_purge_is_prevented(desk):
    desk.process(ObjectsPurged(4, 0, desk.now, "aa"))
    _, counted = ask_with_decision(desk, lambda request_id: send_attempt(desk, request_id, max_age_s=5.0))
    assert counted == {"purge": 1}
    _, counted = ask_with_decision(desk, lambda request_id: send_attempt(desk, request_id, max_age_s=0.0))
    assert counted == {"purge": 2}
    _, counted = ask_with_decision(
        desk, lambda request_id: send_attempt(desk, request_id, max_age_s=0.001), key=b"aa"
    )
    assert counted == {"purge": 2}


def test_retry_of_a_single_use_request_that_may_have_run_is_prevented(desk):
    desk.ask(kind=b"order")
    desk.router.retry = lambda request, result: send_attempt(desk, request.request_id, "s-22", "s-22")
    lines = desk.end(0, 1, "broken")
    assert violations(desk) == {"effect_twice": 1} and [line.split()[0] for line in lines] == ["say", "error"]


def test_rejection_that_invites_a_second_effect_becomes_an_error(desk):
    desk.ask(kind=b"order")
    desk.router.retry = lambda request, result: desk.state.sink.reject(
        request.request_id, 0.0, Refusal.CROWDED
    )
    lines = desk.end(0, 1, "broken")
    assert violations(desk) == {"effect_twice": 1} and [line.split()[0] for line in lines] == ["say", "error"]


def test_second_final_response_is_prevented(desk):
    def decide(request_id):
        desk.state.sink.reject(request_id, 0.0, Refusal.CROWDED)
        desk.state.sink.reject(request_id, 0.0, Refusal.CROWDED)

    lines, counted = ask_with_decision(desk, decide)
    assert counted == {"one_answer": 1} and [line.split()[0] for line in lines] == ["nack", "say"]


def test_attempt_after_the_final_response_is_prevented(desk):
    def decide(request_id):
        desk.state.sink.reject(request_id, 0.0, Refusal.CROWDED)
        send_attempt(desk, request_id)

    lines, counted = ask_with_decision(desk, decide)
    assert counted == {"after_end": 1} and [line.split()[0] for line in lines] == ["nack", "say"]


def test_work_for_a_warming_server_stays_within_the_bound_of_all_routers(desk):
    desk.router.slow_start["cache"].start = SlowStart(0.1, 60.0, 1.0, 1.0)
    row = ListedEndpoint("s-22", ("127.0.0.1", 9), "edge-1", "box", 0, "ready", 4.0, desk.now)
    desk.process(EndpointsListed(4, False, [row]))
    desk.router.route = lambda request: send_attempt(desk, request.request_id, "s-22", "s-22")
    for number in range(30):
        desk.ask(key=b"%x" % number)
    assert violations(desk).keys() == {"slow_start"}
    attempts = desk.state.totals.counts["pushes"]
    assert attempts + violations(desk)["slow_start"] == 30
    allowed = 0.1 * 4.0 / desk.router.statistics.transfer_s[0]  # attempts of mean work
    assert attempts <= allowed + 3.0 * allowed**0.5 + 3.0


def test_ordinary_decisions_cause_no_violations(desk):
    for request_id in range(40):
        desk.ask(key=b"%x" % (request_id % 7), kind=b"order" if request_id % 3 else b"page")
        desk.end(request_id, 1, ("satisfied", "miss", "broken", "full", "errored")[request_id % 5])
    assert violations(desk) == {}


def test_waiting_attempt_is_held_back_when_its_server_starts_draining(desk):
    desk.ask()
    request = desk.state.requests.open[0]
    assert desk.state.hold_reason(0, 1) is None
    desk.state.invariants.record_server(request.server, "draining", 1, 0)
    assert desk.state.hold_reason(0, 1) is HeldBack.CHANGED


@pytest.mark.parametrize("scope, window_s", [("all", 0.2), ("zone", 9.0), ("cell", 9.0)])
def test_keyed_request_may_be_repeated_only_within_its_deduplication_scope_and_window(scope, window_s):
    keyed_class = request_class(
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope(scope),
        deduplication_window_s=window_s,
    )
    ran = Ran(zone=1, cell=2, at=10.0)
    assert rules.may_repeat(keyed_class, ran, 1, 2, 10.05)
    assert rules.may_repeat(keyed_class, ran, 3, 4, 10.05) is (scope == "all")
    assert rules.may_repeat(keyed_class, ran, 1, 4, 10.05) is (scope in ("all", "zone"))
    # After 0.15 s a window of 0.2 s leaves less than the time reserved for connecting.
    assert rules.may_repeat(keyed_class, ran, 1, 2, 10.15) is (scope != "all")


def test_slow_start_bound_allows_for_random_variation():
    assert rules.slow_start_bound(16.0) == 16.0 + 12.0 + 3.0
    assert rules.slow_start_bound(100.0) == 100.0 + 20.0 + 2.0


def test_close_with_an_open_request_and_response_without_a_request_are_prevented(tmp_path):
    async def scene(deployment):
        deployment.client.ask(1)
        await until(deployment.attempt_lines)
        client = deployment.service.client_connections.clients[1]
        deployment.service.client_connections.respond(Respond(1, 7, b"never asked", False))
        deployment.service.client_connections.drop(client, CloseReason.IDLE)
        return await deployment.client.receive(), dict(deployment.service.state.invariants.violations)

    assert run_scenario(scene, tmp_path, machines=caches(delay=0.3)) == (None, {"one_answer": 1, "close": 1})


def test_response_that_crosses_its_cancel_is_no_violation(tmp_path):
    async def scene(deployment):
        deployment.client.ask(1)
        await until(deployment.attempt_lines)
        client = deployment.service.client_connections.clients[1]
        deployment.service.client_connections.calls.cancel(client, 1)
        deployment.service.client_connections.respond(Respond(1, 1, b"late", False))
        deployment.client.ask(2)
        return await deployment.client.receive(), dict(deployment.service.state.invariants.violations)

    assert run_scenario(scene, tmp_path, machines=caches(delay=0.1)) == ((2, "satisfied 19"), {})


def test_trace_records_each_step_of_a_request_under_its_id(tmp_path):
    """A step that sends a retry has the result of the previous attempt."""
    trace = Trace(tmp_path / "trace", "n1", 1)

    async def scene(deployment):
        deployment.service.tracer = deployment.service.client_connections.trace = (
            deployment.service.upstream_connections.trace
        ) = trace
        deployment.service.state.context.is_traced = True
        responses = iter(["absent", "data"])
        for machine in deployment.machines.values():
            machine.behavior = lambda line: next(responses)
        deployment.client.ask(1)
        return await deployment.client.receive()

    run_scenario(scene, tmp_path)
    steps = [json.loads(line) for line in (tmp_path / "trace").read_text().splitlines()]
    recorded = [(s["step"], s.get("result") or s.get("after")) for s in steps if s.get("ref") == f"{1:016x}"]
    assert recorded == [
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


def test_failed_write_ends_the_trace_without_an_exception(tmp_path):
    trace = Trace(tmp_path / "trace", "n1", 1)
    trace.file.close()
    trace.file = open("/dev/full", "wb", buffering=0)
    trace("taken", "00")
    trace("taken", "01")
    assert trace.file is None


def test_totals_are_logged_as_one_json_line_at_shutdown(tmp_path):
    lines = []

    async def scene(deployment):
        deployment.service.log = Log("n1", ListSink(lines))
        deployment.client.ask(1)
        await deployment.client.receive()
        deployment.service.shutdown.done.set()
        await deployment.task

    run_scenario(scene, tmp_path, machines=caches(behavior="full"))
    totals = [json.loads(line) for line in lines if b"totals" in line]
    assert len(totals) == 1 and sum(totals[0]["refusals"].values()) == 1 and totals[0]["violations"] == {}


class ListSink:
    """Collects the lines that a log writes."""

    def __init__(self, lines):
        self.lines = lines

    def write(self, text):
        self.lines.append(text)

    def flush(self):
        pass


def test_refusals_are_counted_by_reason(tmp_path):
    async def scene(deployment):
        deployment.client.ask(1)
        return await deployment.client.receive(), dict(deployment.service.state.totals.refusals)

    answer, refusals = run_scenario(scene, tmp_path, machines=caches(behavior="full"))
    assert answer == (1, "nack") and sum(refusals.values()) == 1 and set(refusals) <= set(Refusal)
