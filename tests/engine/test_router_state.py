"""Tests of the router's state: events in, effects out, compared as printed lines."""

from helpers import StateHarness, endpoint_list_command, host

from brookhinge.engine.commands import read_commands
from brookhinge.engine.events import (
    AttemptEnded,
    ClientDisconnected,
    ObjectsPurged,
    RequestCancelled,
    RequestReceived,
    ShutdownBegan,
)


def decode_commands(*rows, start=0.0):
    return read_commands({"cursor": 0, "cmds": list(rows)}, start)[1]


def test_request_is_retried_from_another_source_and_satisfied(tmp_path):
    desk = StateHarness(tmp_path)
    assert desk.ask() == ["pull q0.1 r1 s-21 from s-12 rank 1 for 0.999"]
    assert desk.end(0, 1, "full") == ["pull q0.2 r1 s-21 from s-11 rank 1 for 0.989"]
    assert desk.end(0, 2, "satisfied", b"all of it") == ["satisfy 1 1 b'all of it' False"]
    assert (
        desk.state.requests.open,
        desk.state.requests.by_client_request_id,
        desk.state.clients.requests,
    ) == (
        {},
        {},
        {},
    )


def test_timed_out_attempt_is_cancelled_and_its_late_response_ignored(tmp_path):
    """A request never has two outstanding attempts; a response that crosses the cancel is ignored."""
    desk = StateHarness(tmp_path)
    desk.ask(allow=2.0)
    desk.end(0, 1, "miss")
    assert desk.process(at=0.5) == []
    effects = desk.process(at=2.1)
    assert effects == ["kill q0.2", "nack 1 1 0.0"]
    assert desk.end(0, 2, "satisfied", b"late") == []


def test_response_to_an_earlier_attempt_is_ignored(tmp_path):
    desk = StateHarness(tmp_path)
    desk.router.retry_budget.tokens = 10.0
    desk.ask()
    assert desk.end(0, 1, "errored") == ["pull q0.2 r1 s-21 from s-11 rank 1 for 0.989"]
    assert desk.end(0, 1, "satisfied", b"of the first") == []
    assert desk.end(0, 2, "satisfied", b"of the second") == ["satisfy 1 1 b'of the second' False"]


def test_next_timer_is_that_of_an_outstanding_attempt(tmp_path):
    desk = StateHarness(tmp_path)
    desk.ask(allow=0.5)
    assert abs(desk.state.next_at() - desk.now - 0.499) < 1e-6
    desk.end(0, 1, "satisfied")
    assert desk.state.next_at() is None


def test_requests_of_a_client_that_cancels_or_disconnects_end_without_a_response(tmp_path):
    desk = StateHarness(tmp_path)
    desk.ask(), desk.ask(), desk.ask(client=2)
    assert desk.process(RequestCancelled(1, 1)) == ["kill q0.1"]
    assert desk.process(RequestCancelled(1, 1)) == []
    assert desk.process(ClientDisconnected(1)) == ["kill q1.1"]
    assert desk.end(0, 1, "satisfied") + desk.end(1, 1, "satisfied") == []
    assert list(desk.state.requests.open) == [2] and list(desk.router.requests) == [2]


def test_request_withdrawn_in_the_round_of_its_arrival_or_of_a_failed_attempt_is_not_sent(tmp_path):
    """The decisions must not send an attempt for a request that has ended before they run."""
    desk = StateHarness(tmp_path)
    received = RequestReceived(1, 1, b"r", b"page", b"aa", b"0", 0, 4, 100.0, 1.0, None, b"", 0.0)
    assert desk.process(received, RequestCancelled(1, 1)) == [] and desk.router.requests == {}
    desk.ask()
    failed = AttemptEnded(1, 1, "full", 6, 0.0, None, b"", False, desk.now)
    assert desk.process(failed, ClientDisconnected(1)) == [] and desk.router.requests == {}
    assert sum(desk.router.endpoints.in_flight) == 0


def test_calls_with_a_used_id_or_an_unknown_class_are_refused(tmp_path):
    """An id that is open on another connection is refused without closing either connection."""
    desk = StateHarness(tmp_path)
    desk.ask(name=b"r")
    assert desk.ask(name=b"r", client=2) == ["reject 2 2 ref: still open"]
    assert desk.ask(kind=b"tune") == ["reject 1 3 service: no such class"]
    assert desk.end(0, 1, "satisfied", b"all of it") == ["satisfy 1 1 b'all of it' False"]
    assert desk.ask(name=b"r") == ["reject 1 4 ref: used before"]
    assert desk.state.requests.open == {} and desk.router.requests == {}


def test_protocol_violation_closes_the_connection_and_ends_its_requests(tmp_path):
    """Requests of other clients are not affected.

    Call numbers must increase, because responses are matched to requests by their number.
    """

    def call(number, name=b"", client=1):
        return RequestReceived(
            client, number, name or b"r%d" % number, b"page", b"aa", b"0", 0, 4, 100.0, 1.0, None, b"", 0.0
        )

    for events, reason in (
        ((call(1), call(1, b"z")), "call number 1 is not higher than the previous one"),
        ((call(-1),), "call number -1 is not higher than the previous one"),
        ((call(1, b"r"), call(2, b"r")), "request id is already open"),
        ([call(n) for n in range(1, 40)], "more than 32 requests open"),
        (
            [e for n in range(1, 35) for e in (call(n), RequestCancelled(1, n))],
            "33 requests withdrawn and none satisfied",
        ),
    ):
        desk = StateHarness(tmp_path)
        assert desk.process(call(1, b"other", 2)) == ["pull q0.1 other s-21 from s-12 rank 1 for 0.979"]
        assert desk.process(*events) == [f"shut 1 {reason}"]
        assert (
            list(desk.state.requests.open) == list(desk.router.requests) == [0]
            and sum(desk.router.endpoints.in_flight) == 1
        )
        assert list(desk.state.clients.last_numbers) == [2] and desk.state.clients.withdrawn == {}


def test_requests_open_at_shutdown_fail(tmp_path):
    desk = StateHarness(tmp_path)
    desk.ask(), desk.ask()
    assert desk.process(ShutdownBegan()) == ["kill q0.1", "error 1 1", "kill q1.1", "error 1 2"]
    assert desk.state.requests.open == {} and sum(desk.router.endpoints.in_flight) == 0


def test_unchanged_response_is_accepted_only_if_the_client_sent_a_version(tmp_path):
    desk = StateHarness(tmp_path)
    desk.ask(tag=b"4be0")
    assert desk.end(0, 1, "satisfied", unchanged=True) == ["satisfy 1 1 b'' True"]
    desk.router.retry_budget.tokens = 0.0
    desk.ask(key=b"bb")
    assert desk.end(1, 1, "satisfied", unchanged=True) == ["nack 1 2 0.0"]


def test_copy_in_memory_is_sent_or_confirms_the_copy_of_the_client(tmp_path):
    desk = StateHarness(tmp_path, flow_bytes_per_s=1e5, link_bytes_per_s=1e6)
    desk.ask()
    assert desk.end(0, 1, "satisfied", b"all of it", came=0.0, tag=b"4be0") == [
        "satisfy 1 1 b'all of it' False"
    ]
    assert desk.ask(allow=0.15) == ["satisfy 1 2 b'all of it' False"]
    assert desk.ask(allow=0.15, tag=b"4be0") == ["satisfy 1 3 b'' True"]
    assert desk.process(ObjectsPurged(4, 4, 0.05, "aa")) == [] and desk.state.sink.copies == {}


def test_single_use_request_that_may_have_run_fails(tmp_path):
    desk = StateHarness(tmp_path)
    desk.ask(kind=b"order")
    assert desk.end(0, 1, "broken") == ["error 1 1"]


def test_repeated_commands_are_ignored_and_later_ones_applied(tmp_path):
    desk = StateHarness(tmp_path)
    assert desk.ask(at=1.0) == ["pull q0.1 r1 s-21 from s-12 rank 1 for 0.999"]
    change = endpoint_list_command(4, [host("s-21", health="draining")], whole=False)
    assert desk.process(*decode_commands(change)) == []
    assert desk.ask() == ["pull q1.1 r2 s-22 from s-12 rank 2 for 0.999"]
    assert (
        desk.process(
            *decode_commands(endpoint_list_command(4, [host("s-22", health="draining")], whole=False))
        )
        == []
    )
    assert desk.ask() == ["pull q2.1 r3 s-22 from s-12 rank 2 for 0.999"]
    assert desk.process(*decode_commands({"cursor": 5, "play": 1})) == [
        "say command skipped {'cursor': 5, 'why': \"KeyError 'drop': {'cursor': 5, 'play': 1}\"}"
    ]
    assert desk.state.commands.cursor == 5


def test_connections_are_retired_when_a_server_restarts_or_is_removed(tmp_path):
    """A restarted server, or another one at the same address, must not get attempts meant for the first."""
    desk = StateHarness(tmp_path)
    assert desk.process(
        *decode_commands(endpoint_list_command(4, [host("s-21", born_ms=5000)], whole=False), start=3.0)
    ) == ["retire s-21"]
    assert desk.state.endpoints.instances["s-21"][1:] == (("127.0.0.1", 9), 2.0)
    assert desk.process(
        *decode_commands(endpoint_list_command(5, [host("s-21", health="removed")], whole=False))
    ) == ["retire s-21"]
    assert desk.process(*decode_commands(endpoint_list_command(6, [host("s-22")]))) == [
        "retire s-01",
        "retire s-11",
        "retire s-12",
        "retire s-23",
    ]
    assert list(desk.state.endpoints.instances) == ["s-22"]


def test_purge_is_passed_to_the_decisions_with_its_time(tmp_path):
    desk = StateHarness(tmp_path)
    desk.ask(), desk.end(0, 1, "satisfied")
    desk.process(*decode_commands({"cursor": 4, "drop": {"id": "aa", "when": 1000}}), at=1.5)
    assert desk.router.objects.states["aa", 0].purged_at == 1.0
    desk.process(*decode_commands({"cursor": 5, "drop": {"family": 4, "when": 2000}}), at=2.5)
    assert desk.router.purges.purged_at == {4: 2.0, "aa": 1.0}


def test_exception_in_the_decisions_fails_only_its_request(tmp_path):
    desk = StateHarness(tmp_path)
    route, desk.router.route = (
        desk.router.route,
        lambda request: route(request) if request.request_id else 1 / 0,
    )
    requests = [
        RequestReceived(1, n, b"r%d" % n, b"page", b"aa", b"0", 0, 4, 100.0, 1.0, None, b"", 0.01)
        for n in (1, 2)
    ]
    logged, *others = desk.process(*requests)
    assert logged.startswith("say decisions {'text': 'ZeroDivisionError: division by zero (<lambda>, line")
    assert others == ["error 1 1", "pull q1.1 r2 s-21 from s-12 rank 2 for 0.989"]
    assert list(desk.router.requests) == [1]
