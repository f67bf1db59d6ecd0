"""Tests of the simulator adapter: whole batches of lines in, reply lines out."""

import io
import json

import pytest

from brookhinge.simulator_adapter import host as adapter
from brookhinge.simulator_adapter.lines import WireError

OPTIONS = json.dumps(
    {
        "Az": "edge-1",
        "Zones": ["hub", "edge-1"],
        "MachineTypes": ["box", "parent", "origin"],
        "Unknown": 1,
        "Classes": [{"Name": "page", "AimNs": 300000000, "DeadlineNs": 3000000000, "Effect": "retryable"}],
        "Limits": {"MaxAttempts": 4},
        "Specifics": {"UpperKind": 1, "MasterKind": 2, "PeersFill": "silent"},
    }
)
START_LINES = [
    "ABOUT 3",
    "BEGIN 7 " + OPTIONS,
    "REGISTER 0 2",
    "ROW 1 - 0 Ready 9 origin hub",
    "ROW 2 - 0 Ready 21 box edge-1",
    "TARGETS SAVED 1 0",
]
REQUEST_LINE = "QUERY r-{0} 0 page - 0 0 4 obj:{0} 64 2000000000"


def test_request_is_forwarded_and_forgotten_once_it_has_ended():
    host = adapter.Host()
    assert host.batch(1000, []) == []
    assert host.batch(1000, START_LINES + [REQUEST_LINE.format("a")]) == [
        "CONTEXT 3",
        "FETCH_THROUGH r-a 21 1999001000 9 1 0 0",
    ]
    assert host.batch(2000, ["ABOUT 3", "OUTCOME r-a 0 21 OK 1000 1", "CLIENT_LEFT r-a", "RING old"]) == []
    assert host.instances[3].codec.wire_ids == host.instances[3].codec.attempts_in_flight == {}


def test_instance_restarted_within_a_batch_keeps_no_requests():
    host = adapter.Host()
    host.batch(1000, START_LINES + [REQUEST_LINE.format("a")])
    host.batch(2000, ["ABOUT 3", "DESTROY"] + START_LINES[1:])
    assert host.instances[3].router.requests == {}
    assert host.batch(3000, ["ABOUT 3", "OUTCOME r-a 0 21 INTERNAL 1000 0"]) == []


def test_list_number_refers_to_the_list_registered_last_before_the_line():
    host = adapter.Host()
    host.batch(1000, START_LINES)
    lines = [
        "ABOUT 3",
        "REGISTER 0 1",
        "ROW 2 - 0 Terminating 21 box edge-1",
        "TARGETS INCREMENTAL 2 0",
        "REGISTER 0 1",
        "ROW 2 - 0 Ready 22 box edge-1",
        "TARGETS INCREMENTAL 3 0",
        REQUEST_LINE.format("a"),
    ]
    assert host.batch(2000, lines)[1].split()[2] == "22"


def test_instances_do_not_influence_each_other():
    single_host, shared_host = adapter.Host(), adapter.Host()
    other_instance = ["ABOUT 5"] + START_LINES[1:] + [REQUEST_LINE.format("z")]
    expected_reply = single_host.batch(1000, START_LINES + [REQUEST_LINE.format("a")])
    assert (
        shared_host.batch(1000, other_instance + START_LINES + [REQUEST_LINE.format("a")])[2:]
        == expected_reply
    )


@pytest.mark.parametrize(
    "line, expected",
    [
        ("QUERY r-a", "expected QUERY with ten values"),
        ("HELLO", "expected an event, got 'HELLO'"),
        ("OUTCOME r-a 0 x OK 1 1", "expected a server id"),
        ("TARGETS FULL 1 7", "expected a list given by REGISTER"),
    ],
)
def test_unparsable_line_is_named_in_the_error(line, expected):
    host = adapter.Host()
    host.batch(1000, START_LINES + [REQUEST_LINE.format("a")])
    with pytest.raises(WireError) as raised:
        host.batch(2000, ["ABOUT 3", line])
    assert expected in str(raised.value) and line in str(raised.value)


def test_bad_input_ends_with_an_error_and_an_exception_in_the_decisions_is_reported(capsys, monkeypatch):
    output = io.StringIO()
    assert adapter.main(io.StringIO("BEGIN_BATCH 1\nEOB\nnonsense\n"), output) == 2
    assert output.getvalue() == "ACK\n"
    assert capsys.readouterr().err == "brookhinge: line 'nonsense': expected BEGIN_BATCH\n"
    host = adapter.Host()
    host.batch(1000, START_LINES)
    monkeypatch.setattr(host.instances[3].router, "route", lambda *_: 1 / 0)
    assert host.batch(2000, ["ABOUT 3", REQUEST_LINE.format("a")])[1].startswith(
        "PANIC ZeroDivisionError: division by zero"
    )
