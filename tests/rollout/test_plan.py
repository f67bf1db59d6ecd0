"""Plans that can't be used are refused with block, key and line; what the command line says of the others."""

import os
import subprocess
import sys

import pytest

from brookhinge.operator import OperatorError
from brookhinge.rollout.link import Link, Unreadable
from brookhinge.rollout.plan import lacks, read

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
        read(GOOD.replace(old, new))
    assert why in str(fault.value)


def test_a_program_or_settings_gone_from_the_disk_are_missed(tmp_path):
    plan = read(GOOD)
    assert lacks(plan.versions["v1"], ["n1"]) == 'version "v1": cannot read /nowhere/n1.json'
    assert "no brookhinge in" in lacks(plan.versions["v1"]._replace(tree=str(tmp_path)), ["n1"])
    (tmp_path / "n1.json").write_text("{}")
    assert lacks(plan.versions["v1"]._replace(config=f"{tmp_path}/{{router}}.json"), ["n1"]) is None


def run(*args):
    done = subprocess.run(
        [sys.executable, "-m", "brookhinge", *args], capture_output=True, text=True, timeout=30
    )
    return done.returncode, done.stdout, done.stderr


def test_the_command_line(tmp_path):
    plan = tmp_path / "p.hcl"
    plan.write_text(GOOD)
    code, out, _ = run("roll", "check", str(plan))
    assert code == 0 and "cannot read /nowhere/n1.json" in out and out.splitlines()[1].startswith("1      1")
    plan.write_text(GOOD.replace("[0.3, 1.0]", "[2.0]"))
    code, _, why = run("roll", "check", str(plan))
    assert code == 2 and why.count("\n") == 1 and "line 5" in why
    plan.write_text(GOOD)
    assert run("roll", "status", str(plan))[::2] == (
        1,
        f"brookhinge: {plan}.roll: no rollout has begun on it\n",
    )
    assert run("keep", str(plan), "--place", "k9")[::2] == (
        2,
        f'brookhinge: {plan}: no keeper "k9", there is k1\n',
    )
    (tmp_path / "p.hcl.roll").write_bytes(b"0" * 16 + b' {"form": 1}\n' + b"0" * 16 + b' {"what": 1}\n')
    code, _, why = run("roll", "start", str(plan))
    assert code == 1 and "not what was written" in why and why.count("\n") == 1


def ends(key_a=b"k" * 16, key_b=b"k" * 16):
    a, b = Link(key_a, "a"), Link(key_b, "b")
    return a, b, a.hello(), b.hello()


def test_the_link_believes_its_own_key_and_connection_alone():
    a, b, hello_a, hello_b = ends()
    assert a.feed(hello_b) == [] and b.feed(hello_a[:7]) == [] and b.feed(hello_a[7:]) == []
    first = a.write("should", router="n1")
    assert [told["kind"] for told in b.feed(first)] == ["should"]
    with pytest.raises(Unreadable, match="not the next one"):
        b.feed(first)  # doubled
    a, b, hello_a, hello_b = ends(key_b=b"x" * 16)
    with pytest.raises(Unreadable, match="without the plan's key"):
        b.feed(hello_a)
    a, b, hello_a, hello_b = ends()
    c, d, hello_c, hello_d = Link(b"k" * 16, "a"), Link(b"k" * 16, "d"), None, None
    hello_c, hello_d = c.hello(), d.hello()
    a.feed(hello_b), c.feed(hello_d), d.feed(hello_c)
    with pytest.raises(Unreadable):
        d.feed(a.write("should", router="n1"))  # said to another connection
    with pytest.raises(Unreadable, match="before both ends"):
        Link(b"k" * 16, "z").write("should")
