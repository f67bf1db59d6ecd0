"""The router's state: events in, effects out, as printed traces."""

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


def commands(*told, start=0.0):
    return read_commands({"cursor": 0, "cmds": list(told)}, start)[1]


def test_a_request_its_attempts_and_its_response(tmp_path):
    d = StateHarness(tmp_path)
    assert d.ask() == ["pull q0.1 r1 s-21 from s-12 rank 1 for 0.999"]
    assert d.end(0, 1, "full") == ["pull q0.2 r1 s-21 from s-11 rank 1 for 0.989"]
    assert d.end(0, 2, "satisfied", b"all of it") == ["satisfy 1 1 b'all of it' False"]
    assert (d.state.requests.open, d.state.requests.by_client_request_id, d.state.clients.requests) == (
        {},
        {},
        {},
    )


def test_an_attempt_whose_time_is_over_is_cancelled_before_the_next(tmp_path):
    """Never two pushes out: KILL comes first, and an answer that crossed it counts for nothing."""
    d = StateHarness(tmp_path)
    d.ask(allow=2.0)
    d.end(0, 1, "miss")
    assert d.process(at=0.5) == []
    first = d.process(at=2.1)
    assert first == ["kill q0.2", "nack 1 1 0.0"]
    assert d.end(0, 2, "satisfied", b"late") == []


def test_a_response_to_an_earlier_attempt_does_not_pass_for_a_later_one(tmp_path):
    d = StateHarness(tmp_path)
    d.router.retry_budget.tokens = 10.0
    d.ask()
    assert d.end(0, 1, "errored") == ["pull q0.2 r1 s-21 from s-11 rank 1 for 0.989"]
    assert d.end(0, 1, "satisfied", b"of the first") == []
    assert d.end(0, 2, "satisfied", b"of the second") == ["satisfy 1 1 b'of the second' False"]


def test_the_next_timer_is_that_of_an_attempt_still_out(tmp_path):
    d = StateHarness(tmp_path)
    d.ask(allow=0.5)
    assert abs(d.state.next_at() - d.now - 0.499) < 1e-6
    d.end(0, 1, "satisfied")
    assert d.state.next_at() is None


def test_a_client_that_cancels_or_disconnects_is_owed_nothing(tmp_path):
    d = StateHarness(tmp_path)
    d.ask(), d.ask(), d.ask(client=2)
    assert d.process(RequestCancelled(1, 1)) == ["kill q0.1"]
    assert d.process(RequestCancelled(1, 1)) == []
    assert d.process(ClientDisconnected(1)) == ["kill q1.1"]
    assert d.end(0, 1, "satisfied") + d.end(1, 1, "satisfied") == []
    assert list(d.state.requests.open) == [2] and list(d.router.requests) == [2]


def test_a_client_that_disconnects_in_the_round_of_its_request_or_of_a_failed_attempt(tmp_path):
    """The decisions must not send for a query that is over when their round begins."""
    d = StateHarness(tmp_path)
    asked = RequestReceived(1, 1, b"r", b"page", b"aa", b"0", 0, 4, 100.0, 1.0, None, b"", 0.0)
    assert d.process(asked, RequestCancelled(1, 1)) == [] and d.router.requests == {}
    d.ask()
    failed = AttemptEnded(1, 1, "full", 6, 0.0, None, b"", False, d.now)
    assert d.process(failed, ClientDisconnected(1)) == [] and d.router.requests == {}
    assert sum(d.router.endpoints.in_flight) == 0


def test_calls_that_cannot_be_taken(tmp_path):
    """A repeat of an id that is open elsewhere harms nobody; no id comes twice."""
    d = StateHarness(tmp_path)
    d.ask(name=b"r")
    assert d.ask(name=b"r", client=2) == ["reject 2 2 ref: still open"]
    assert d.ask(kind=b"tune") == ["reject 1 3 service: no such class"]
    assert d.end(0, 1, "satisfied", b"all of it") == ["satisfy 1 1 b'all of it' False"]
    assert d.ask(name=b"r") == ["reject 1 4 ref: used before"]
    assert d.state.requests.open == {} and d.router.requests == {}


def test_a_connection_that_breaks_the_protocol_ends_with_all_that_is_open_on_it(tmp_path):
    """Responses to two requests under one number can't be told apart. Others notice nothing."""

    def call(number, name=b"", client=1):
        return RequestReceived(
            client, number, name or b"r%d" % number, b"page", b"aa", b"0", 0, 4, 100.0, 1.0, None, b"", 0.0
        )

    for bad, why in (
        ((call(1), call(1, b"z")), "the number 1 again"),
        ((call(-1),), "the number -1 again"),
        ((call(1, b"r"), call(2, b"r")), "an id that is open"),
        ([call(n) for n in range(1, 40)], "over 32 queries open"),
        (
            [e for n in range(1, 35) for e in (call(n), RequestCancelled(1, n))],
            "33 queries withdrawn and none satisfied",
        ),
    ):
        d = StateHarness(tmp_path)
        assert d.process(call(1, b"other", 2)) == ["pull q0.1 other s-21 from s-12 rank 1 for 0.979"]
        assert d.process(*bad) == [f"shut 1 {why}"]
        assert (
            list(d.state.requests.open) == list(d.router.requests) == [0]
            and sum(d.router.endpoints.in_flight) == 1
        )
        assert list(d.state.clients.last_numbers) == [2] and d.state.clients.withdrawn == {}


def test_what_is_open_at_shutdown_fails(tmp_path):
    d = StateHarness(tmp_path)
    d.ask(), d.ask()
    assert d.process(ShutdownBegan()) == ["kill q0.1", "error 1 1", "kill q1.1", "error 1 2"]
    assert d.state.requests.open == {} and sum(d.router.endpoints.in_flight) == 0


def test_unchanged_only_where_a_tag_was_passed_on(tmp_path):
    d = StateHarness(tmp_path)
    d.ask(tag=b"4be0")
    assert d.end(0, 1, "satisfied", unchanged=True) == ["satisfy 1 1 b'' True"]
    d.router.retry_budget.tokens = 0.0
    d.ask(key=b"bb")
    assert d.end(1, 1, "satisfied", unchanged=True) == ["nack 1 2 0.0"]


def test_a_copy_in_memory_is_the_response_or_tells_that_the_clients_copy_holds(tmp_path):
    d = StateHarness(tmp_path, flow_bytes_per_s=1e5, link_bytes_per_s=1e6)
    d.ask()
    assert d.end(0, 1, "satisfied", b"all of it", came=0.0, tag=b"4be0") == ["satisfy 1 1 b'all of it' False"]
    assert d.ask(allow=0.15) == ["satisfy 1 2 b'all of it' False"]
    assert d.ask(allow=0.15, tag=b"4be0") == ["satisfy 1 3 b'' True"]
    assert d.process(ObjectsPurged(4, 4, 0.05, "aa")) == [] and d.state.sink.copies == {}


def test_a_single_use_request_that_may_have_run_fails(tmp_path):
    d = StateHarness(tmp_path)
    d.ask(kind=b"order")
    assert d.end(0, 1, "broken") == ["error 1 1"]


def test_repeated_commands_are_ignored_and_the_rest_are_in_force(tmp_path):
    d = StateHarness(tmp_path)
    assert d.ask(at=1.0) == ["pull q0.1 r1 s-21 from s-12 rank 1 for 0.999"]
    change = endpoint_list_command(4, [host("s-21", health="draining")], whole=False)
    assert d.process(*commands(change)) == []
    assert d.ask() == ["pull q1.1 r2 s-22 from s-12 rank 2 for 0.999"]
    assert (
        d.process(*commands(endpoint_list_command(4, [host("s-22", health="draining")], whole=False))) == []
    )
    assert d.ask() == ["pull q2.1 r3 s-22 from s-12 rank 2 for 0.999"]
    assert d.process(*commands({"cursor": 5, "play": 1})) == [
        "say command skipped {'cursor': 5, 'why': \"KeyError 'drop': {'cursor': 5, 'play': 1}\"}"
    ]
    assert d.state.commands.cursor == 5


def test_a_start_or_an_address_makes_another_server(tmp_path):
    """A machine that restarted, or a newcomer at its address, must not get what was meant for the first."""
    d = StateHarness(tmp_path)
    assert d.process(
        *commands(endpoint_list_command(4, [host("s-21", born_ms=5000)], whole=False), start=3.0)
    ) == ["retire s-21"]
    assert d.state.endpoints.instances["s-21"][1:] == (("127.0.0.1", 9), 2.0)
    assert d.process(*commands(endpoint_list_command(5, [host("s-21", health="removed")], whole=False))) == [
        "retire s-21"
    ]
    assert d.process(*commands(endpoint_list_command(6, [host("s-22")]))) == [
        "retire s-01",
        "retire s-11",
        "retire s-12",
        "retire s-23",
    ]
    assert list(d.state.endpoints.instances) == ["s-22"]


def test_a_purge_reaches_the_decisions_with_its_age(tmp_path):
    d = StateHarness(tmp_path)
    d.ask(), d.end(0, 1, "satisfied")
    d.process(*commands({"cursor": 4, "drop": {"id": "aa", "when": 1000}}), at=1.5)
    assert d.router.objects.states["aa", 0].purged_at == 1.0
    d.process(*commands({"cursor": 5, "drop": {"family": 4, "when": 2000}}), at=2.5)
    assert d.router.purges.purged_at == {4: 2.0, "aa": 1.0}


def test_an_exception_in_the_decisions_costs_its_request_alone(tmp_path):
    d = StateHarness(tmp_path)
    route, d.router.route = d.router.route, lambda request: route(request) if request.request_id else 1 / 0
    told = [
        RequestReceived(1, n, b"r%d" % n, b"page", b"aa", b"0", 0, 4, 100.0, 1.0, None, b"", 0.01)
        for n in (1, 2)
    ]
    said, *done = d.process(*told)
    assert said.startswith("say decisions {'text': 'ZeroDivisionError: division by zero (<lambda>, line")
    assert done == ["error 1 1", "pull q1.1 r2 s-21 from s-12 rank 2 for 0.989"]
    assert list(d.router.requests) == [1]
