"""Plans that can't be used are refused with block, key and line; what the command line says of the others."""

import os
import subprocess
import sys

import pytest

from brookhinge.operator import OperatorError
from brookhinge.rollout.agent_protocol import AgentProtocol, ProtocolError
from brookhinge.rollout.messages import AgentReport, EpochRejected, PlanMismatch, RouterStatus, SetVersion
from brookhinge.rollout.plan import missing_on_disk, read_plan

GOOD = """rollout "r" {
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
    "old, new, why",
    [
        ('to     = "v2"', 'to     = "v1"', 'line 3: rollout "r": to: the same as old: nothing would change'),
        ('to     = "v2"', 'to     = "v3"', 'line 3: rollout "r": to: no block version "v3"'),
        (
            "[0.3, 1.0]",
            "[0.3, 0.2, 1.0]",
            'line 5: rollout "r": stages: expected rising parts of all routers, the last 1.0',
        ),
        ("[0.3, 1.0]", "[1.0]", "stages: the first takes all 2 routers"),
        ("/nowhere/{router}.json", "/nowhere/x.json", "config: expected a path with {router} in it"),
        ("127.0.0.1:8302", "127.0.0.1:8301", 'line 20: router "n2": listen: that of n1 too'),
        ('router "n2"', 'router "n1"', 'line 20: router "n1": stands twice'),
        ('key    = "00', 'key    = "0', 'line 4: rollout "r": key: expected 32 to 128 hex digits'),
        (
            'keeper "k1" {',
            'figure "speed" {\n    most_worse = 1\n  }\n  keeper "k1" {',
            'figure "speed": no such figure',
        ),
        ('  keeper "k1" {', '  robot "x" {\n  }\n  keeper "k1" {', 'robot "x": no such block'),
        (GOOD, "rollout {\n}\n", "expected one block rollout with its name"),
    ],
)
def test_a_plan_that_cannot_be_used(old, new, why):
    with pytest.raises(OperatorError) as fault:
        read_plan(GOOD.replace(old, new))
    assert why in str(fault.value)


def test_a_program_or_settings_gone_from_the_disk_are_missed(tmp_path):
    plan = read_plan(GOOD)
    assert missing_on_disk(plan.versions["v1"], ["n1"]) == 'version "v1": cannot read /nowhere/n1.json'
    assert "no brookhinge in" in missing_on_disk(plan.versions["v1"]._replace(tree=str(tmp_path)), ["n1"])
    (tmp_path / "n1.json").write_text("{}")
    assert missing_on_disk(plan.versions["v1"]._replace(config=f"{tmp_path}/{{router}}.json"), ["n1"]) is None


def run(*args):
    done = subprocess.run(
        [sys.executable, "-m", "brookhinge", *args], capture_output=True, text=True, timeout=30
    )
    return done.returncode, done.stdout, done.stderr


def test_the_command_line(tmp_path):
    plan = tmp_path / "p.hcl"
    plan.write_text(GOOD)
    code, out, _ = run("rollout", "check", str(plan))
    assert code == 0 and "cannot read /nowhere/n1.json" in out and out.splitlines()[1].startswith("1      1")
    plan.write_text(GOOD.replace("[0.3, 1.0]", "[2.0]"))
    code, _, why = run("rollout", "check", str(plan))
    assert code == 2 and why.count("\n") == 1 and "line 5" in why
    plan.write_text(GOOD)
    assert run("rollout", "status", str(plan))[::2] == (
        1,
        f"brookhinge: {plan}.roll: no rollout has started on this journal\n",
    )
    assert run("agent", str(plan), "--place", "k9")[::2] == (
        2,
        f'brookhinge: {plan}: no keeper "k9", expected one of k1\n',
    )
    (tmp_path / "p.hcl.roll").write_bytes(b"0" * 16 + b' {"form": 1}\n' + b"0" * 16 + b' {"what": 1}\n')
    code, _, why = run("rollout", "start", str(plan))
    assert code == 1 and "not what was written" in why and why.count("\n") == 1


COMMAND = SetVersion("n1", "v2", is_confirmed=False, epoch=7, serial=3, plan_digest="d")


def ends(key_a=b"k" * 16, key_b=b"k" * 16):
    a, b = AgentProtocol(key_a, "a"), AgentProtocol(key_b, "b")
    return a, b, a.hello(), b.hello()


def test_lines_of_another_key_or_connection_are_refused():
    a, b, hello_a, hello_b = ends()
    assert a.receive(hello_b) == [] and b.receive(hello_a[:7]) == [] and b.receive(hello_a[7:]) == []
    first = a.encode(COMMAND)
    assert b.receive(first) == [COMMAND]
    with pytest.raises(ProtocolError, match="not the next one"):
        b.receive(first)  # doubled
    a, b, hello_a, hello_b = ends(key_b=b"x" * 16)
    with pytest.raises(ProtocolError, match="without the plan's key"):
        b.receive(hello_a)
    a, b, hello_a, hello_b = ends()
    c, d, hello_c, hello_d = AgentProtocol(b"k" * 16, "a"), AgentProtocol(b"k" * 16, "d"), None, None
    hello_c, hello_d = c.hello(), d.hello()
    a.receive(hello_b), c.receive(hello_d), d.receive(hello_c)
    with pytest.raises(ProtocolError):
        d.receive(a.encode(COMMAND))  # said to another connection
    with pytest.raises(ProtocolError, match="before both ends"):
        AgentProtocol(b"k" * 16, "z").encode(COMMAND)


# What an end with session "a" writes to one with session "b" first, by the first release of the protocol.
STORED_LINES = {
    b'f1db8b30e653ca7a2c576e4ce098a80c {"kind":"should","number":1,"router":"n1","version":"v2","sure":false,'
    b'"epoch":7,"serial":3,"plan":"d"}\n': COMMAND,
}
# The same from "b" to "a": three lines of one connection.
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


def test_lines_have_the_bytes_that_earlier_versions_write_and_read():
    a, b, hello_a, hello_b = ends()
    assert hello_a == b'8ac5493d68b62e920e1c8776633a5f3a {"kind":"hello","session":"a"}\n'
    a.receive(hello_b)
    b.receive(hello_a)
    for line, message in STORED_LINES.items():
        assert a.encode(message) == line
        assert b.receive(line) == [message]
    for line, message in STORED_REPORTS.items():
        assert b.encode(message) == line
        assert a.receive(line) == [message]


@pytest.mark.parametrize("old", ["keep", "roll", "box", "standin"])
def test_old_names_of_commands_work_and_are_not_listed(old):
    assert run(old, "--help")[0] == 0
    assert f"  {old} " not in run("--help")[1]
