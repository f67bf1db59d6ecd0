"""The simulator's wire: whole batches in, replies out."""

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
START = [
    "ABOUT 3",
    "BEGIN 7 " + OPTIONS,
    "REGISTER 0 2",
    "ROW 1 - 0 Ready 9 origin hub",
    "ROW 2 - 0 Ready 21 box edge-1",
    "TARGETS SAVED 1 0",
]
ASK = "QUERY r-{0} 0 page - 0 0 4 obj:{0} 64 2000000000"


def test_start_query_answer_and_empty_batches():
    host = adapter.Host()
    assert host.batch(1000, []) == []
    assert host.batch(1000, START + [ASK.format("a")]) == [
        "CONTEXT 3",
        "FETCH_THROUGH r-a 21 1999001000 9 1 0 0",
    ]
    assert host.batch(2000, ["ABOUT 3", "OUTCOME r-a 0 21 OK 1000 1", "CLIENT_LEFT r-a", "RING old"]) == []
    assert host.instances[3].codec.wire_ids == host.instances[3].codec.attempts_out == {}


def test_restart_in_one_batch_keeps_nothing():
    host = adapter.Host()
    host.batch(1000, START + [ASK.format("a")])
    host.batch(2000, ["ABOUT 3", "DESTROY"] + START[1:])
    assert host.instances[3].router.requests == {}
    assert host.batch(3000, ["ABOUT 3", "OUTCOME r-a 0 21 INTERNAL 1000 0"]) == []


def test_a_list_number_means_what_it_meant_at_that_line():
    host = adapter.Host()
    host.batch(1000, START)
    lists = [
        "ABOUT 3",
        "REGISTER 0 1",
        "ROW 2 - 0 Terminating 21 box edge-1",
        "TARGETS INCREMENTAL 2 0",
        "REGISTER 0 1",
        "ROW 2 - 0 Ready 22 box edge-1",
        "TARGETS INCREMENTAL 3 0",
        ASK.format("a"),
    ]
    assert host.batch(2000, lists)[1].split()[2] == "22"


def test_instances_share_nothing():
    alone, both = adapter.Host(), adapter.Host()
    other = ["ABOUT 5"] + START[1:] + [ASK.format("z")]
    one = alone.batch(1000, START + [ASK.format("a")])
    assert both.batch(1000, other + START + [ASK.format("a")])[2:] == one


@pytest.mark.parametrize(
    "line, expected",
    [
        ("QUERY r-a", "expected QUERY with ten values"),
        ("HELLO", "expected an event, got 'HELLO'"),
        ("OUTCOME r-a 0 x OK 1 1", "expected a cache server"),
        ("TARGETS FULL 1 7", "expected a list given by REGISTER"),
    ],
)
def test_a_line_that_cannot_be_read_is_named(line, expected):
    host = adapter.Host()
    host.batch(1000, START + [ASK.format("a")])
    with pytest.raises(WireError) as fault:
        host.batch(2000, ["ABOUT 3", line])
    assert expected in str(fault.value) and line in str(fault.value)


def test_bad_stream_ends_with_a_message_and_a_fault_of_the_decisions_panics(capsys, monkeypatch):
    out = io.StringIO()
    assert adapter.main(io.StringIO("BEGIN_BATCH 1\nEOB\nnonsense\n"), out) == 2
    assert out.getvalue() == "ACK\n"
    assert capsys.readouterr().err == "brookhinge: line 'nonsense': expected BEGIN_BATCH\n"
    host = adapter.Host()
    host.batch(1000, START)
    monkeypatch.setattr(host.instances[3].router, "route", lambda *_: 1 / 0)
    assert host.batch(2000, ["ABOUT 3", ASK.format("a")])[1].startswith(
        "PANIC ZeroDivisionError: division by zero"
    )
