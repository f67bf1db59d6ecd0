"""Tests the errors for invalid plans, the rollout commands, and the lines between coordinator and agents."""

import os
import subprocess
import sys

import pytest

from brookhinge.operator import OperatorError
from brookhinge.rollout.agent_protocol import AgentProtocol, ProtocolError
from brookhinge.rollout.messages import AgentReport, EpochRejected, PlanMismatch, RouterStatus, SetVersion
from brookhinge.rollout.plan import missing_on_disk, read_plan

VALID_PLAN = """rollout "r" {
  old    = "v1"
  to     = "v2"
  key    = "00112233445566778899aabbccddeeff"
  stages = [0.3, 1.0]
  version "v1" {
    tree   = "TREE"
    config = "/nowhere/{router}.json"
  }
  version "v2" {
    tree   = "TREE"
    config = "/nowhere/{router}.json"
  }
  keeper "k1" {
    listen = "127.0.0.1:7501"
    dir    = "/tmp/k1"
    router "n1" {
      listen = "127.0.0.1:8301"
    }
    router "n2" {
      listen = "127.0.0.1:8302"
    }
  }
}
""".replace("TREE", os.getcwd())


@pytest.mark.parametrize(
    "old, new, message",
    [
        ('to     = "v2"', 'to     = "v1"', 'line 3: rollout "r": to: expected another version than old'),
        ('to     = "v2"', 'to     = "v3"', 'line 3: rollout "r": to: no block version "v3"'),
        (
            "[0.3, 1.0]",
            "[0.3, 0.2, 1.0]",
            'line 5: rollout "r": stages: expected increasing shares of all routers, the last 1.0',
        ),
        ("[0.3, 1.0]", "[1.0]", "stages: the first stage has all 2 routers"),
        ("/nowhere/{router}.json", "/nowhere/x.json", "config: expected a path with {router} in it"),
        (
            "127.0.0.1:8302",
            "127.0.0.1:8301",
            'line 20: router "n2": listen: address already used by router n1',
        ),
        ('router "n2"', 'router "n1"', 'line 20: router "n1": defined twice'),
        ('key    = "00', 'key    = "0', 'line 4: rollout "r": key: expected 32 to 128 hex digits'),
        (
            'keeper "k1" {',
            'figure "speed" {\n    most_worse = 1\n  }\n  keeper "k1" {',
            'figure "speed": no such figure',
        ),
        ('  keeper "k1" {', '  robot "x" {\n  }\n  keeper "k1" {', 'robot "x": no such block'),
        (VALID_PLAN, "rollout {\n}\n", "expected one block rollout with a name"),
    ],
)
def test_invalid_plan_is_refused_with_line_block_and_key(old, new, message):
    with pytest.raises(OperatorError) as error:
        read_plan(VALID_PLAN.replace(old, new))
    assert message in str(error.value)


def test_missing_program_or_settings_file_is_reported(tmp_path):
    plan = read_plan(VALID_PLAN)
    assert missing_on_disk(plan.versions["v1"], ["n1"]) == 'version "v1": cannot read /nowhere/n1.json'
    assert "no brookhinge in" in missing_on_disk(plan.versions["v1"]._replace(tree=str(tmp_path)), ["n1"])
    (tmp_path / "n1.json").write_text("{}")
    assert missing_on_disk(plan.versions["v1"]._replace(config=f"{tmp_path}/{{router}}.json"), ["n1"]) is None


def run_command(*args):
    done = subprocess.run(
        [sys.executable, "-m", "brookhinge", *args], capture_output=True, text=True, timeout=30
    )
    return done.returncode, done.stdout, done.stderr


def test_rollout_commands_report_errors_in_one_line_with_their_exit_code(tmp_path):
    plan = tmp_path / "p.hcl"
    plan.write_text(VALID_PLAN)
    code, out, _ = run_command("rollout", "check", str(plan))
    assert code == 0 and "cannot read /nowhere/n1.json" in out and out.splitlines()[1].startswith("1      1")
    plan.write_text(VALID_PLAN.replace("[0.3, 1.0]", "[2.0]"))
    code, _, error = run_command("rollout", "check", str(plan))
    assert code == 2 and error.count("\n") == 1 and "line 5" in error
    plan.write_text(VALID_PLAN)
    assert run_command("rollout", "status", str(plan))[::2] == (
        1,
        f"brookhinge: {plan}.roll: no rollout has started on this journal\n",
    )
    assert run_command("agent", str(plan), "--place", "k9")[::2] == (
        2,
        f'brookhinge: {plan}: no keeper "k9", expected one of k1\n',
    )
    (tmp_path / "p.hcl.roll").write_bytes(b"0" * 16 + b' {"form": 1}\n' + b"0" * 16 + b' {"what": 1}\n')
    code, _, error = run_command("rollout", "start", str(plan))
    assert (
        code == 1 and "damaged record at byte 0, followed by intact ones" in error and error.count("\n") == 1
    )


COMMAND = SetVersion("n1", "v2", is_confirmed=False, epoch=7, serial=3, plan_digest="d")


def make_ends(key_a=b"k" * 16, key_b=b"k" * 16):
    a, b = AgentProtocol(key_a, "a"), AgentProtocol(key_b, "b")
    return a, b, a.hello(), b.hello()


def test_replayed_line_and_line_of_another_key_or_connection_are_refused():
    a, b, hello_a, hello_b = make_ends()
    assert a.receive(hello_b) == [] and b.receive(hello_a[:7]) == [] and b.receive(hello_a[7:]) == []
    first = a.encode(COMMAND)
    assert b.receive(first) == [COMMAND]
    with pytest.raises(ProtocolError, match="line number out of sequence"):
        b.receive(first)  # a repeated line
    a, b, hello_a, hello_b = make_ends(key_b=b"x" * 16)
    with pytest.raises(ProtocolError, match="checksum mismatch: the peer has another key"):
        b.receive(hello_a)
    a, b, hello_a, hello_b = make_ends()
    c, d, hello_c, hello_d = AgentProtocol(b"k" * 16, "a"), AgentProtocol(b"k" * 16, "d"), None, None
    hello_c, hello_d = c.hello(), d.hello()
    a.receive(hello_b), c.receive(hello_d), d.receive(hello_c)
    with pytest.raises(ProtocolError):
        d.receive(a.encode(COMMAND))  # a line for another connection
    with pytest.raises(ProtocolError, match="before the peer's hello has arrived"):
        AgentProtocol(b"k" * 16, "z").encode(COMMAND)


# First line from an end with session "a" to one with session "b", as the first release of the protocol encodes it.
STORED_LINES = {
    b'f1db8b30e653ca7a2c576e4ce098a80c {"kind":"should","number":1,"router":"n1","version":"v2","sure":false,'
    b'"epoch":7,"serial":3,"plan":"d"}\n': COMMAND,
}
# Lines from "b" to "a": the first three of one connection.
STORED_REPORTS = {
    b'36a6d74d8ac670f15c5c706686b1cde3 {"kind":"report","number":1,"router":"n1","version":null,"state":"down",'
    b'"process":null,"crashes":2,"totals":{"worth":[3,2.5]},"epoch":7,"able":true}\n': AgentReport(
        router="n1",
        version=None,
        state=RouterStatus.DOWN,
        process=None,
        crashes=2,
        totals={"worth": (3, 2.5)},
        epoch=7,
        is_able=True,
    ),
    b'c9b04cc8c049403de53e3cf950f4f549 {"kind":"refused","number":2,"router":"n1","epoch":9}\n': EpochRejected(
        "n1", 9
    ),
    b'c39b9dfe0fcb4c9f6e9d1593db288bd2 {"kind":"other plan","number":3,"mine":"e"}\n': PlanMismatch("e"),
}


def test_lines_are_encoded_as_in_earlier_versions():
    a, b, hello_a, hello_b = make_ends()
    assert hello_a == b'8ac5493d68b62e920e1c8776633a5f3a {"kind":"hello","session":"a"}\n'
    a.receive(hello_b)
    b.receive(hello_a)
    for line, message in STORED_LINES.items():
        assert a.encode(message) == line
        assert b.receive(line) == [message]
    for line, message in STORED_REPORTS.items():
        assert b.encode(message) == line
        assert a.receive(line) == [message]


@pytest.mark.parametrize("old_name", ["keep", "roll", "box", "standin"])
def test_old_command_names_work_but_are_not_listed(old_name):
    assert run_command(old_name, "--help")[0] == 0
    assert f"  {old_name} " not in run_command("--help")[1]
