"""The operator's file: what is wrong is named by block, key, line and what was expected."""

import subprocess
import sys
from pathlib import Path

import pytest

from brookhinge.operator import OperatorError, read_file, read_text

BOX = 'box "s-1" {\n  listen = "127.0.0.1:1"\n  channel = "127.0.0.1:2"\n%s}\n'


def test_the_example_is_read_with_its_values():
    told = read_file(Path(__file__).parents[2] / "deploy" / "operator.hcl")
    stand = told.box["s-1"]
    assert (stand.listen, stand.fills, stand.store.segment_mb, told.log) == (
        ("127.0.0.1", 9001),
        32,
        16,
        "info",
    )


@pytest.mark.parametrize(
    "text, why",
    [
        (BOX % "  fills = 0\n", 'line 4: box "s-1": fills: expected a whole number from 1 to 10000, got 0'),
        (BOX % "  fils = 3\n", 'line 4: box "s-1": fils: no such key, expected one of channel'),
        (BOX % '  store {\n    disk_mb = "x"\n  }\n', "line 5: store: disk_mb: expected a number from 1"),
        (
            BOX % '  store {\n    dir = "d"\n    disk_mb = 20\n  }\n',
            "disk_mb: expected 8 times segment_mb (16)",
        ),
        ('box "s-1" {\n}\n', 'line 1: box "s-1": listen: missing'),
        ("box {\n}\n", "line 1: box: expected 1 label, got 0"),
        (
            'log {\n level = "loud"\n}\n',
            "line 2: log: level: expected one of debug, info, warning, error, got 'loud'",
        ),
        ("tap {\n}\n", "line 1: tap: no such block"),
        ("a = 1\n", "line 1: a: expected a block"),
        ("log {\n}\nlog {\n}\n", "line 3: log stands twice"),
        ("a = = 3\n", "line 1: expected HCL"),
        ("box {\n", "expected HCL"),
        ('log {\n level = "info"\n level = "debug"\n}\n', "line 3: level stands twice"),
        (
            BOX % ""
            + (BOX % "").replace('"s-1"', '"s-2"').replace("}\n", '  store {\n dir = "d"\n}\n}\n')
            + (BOX % "").replace('"s-1"', '"s-3"').replace("}\n", '  store {\n dir = "d"\n}\n}\n'),
            'is that of box "s-2" too',
        ),
    ],
)
def test_what_cannot_be_used_is_named(text, why):
    with pytest.raises(OperatorError) as told:
        read_text(text)
    assert why in str(told.value)


def run(*args):
    done = subprocess.run(
        [sys.executable, "-m", "brookhinge", *args], capture_output=True, text=True, timeout=30
    )
    return done.returncode, done.stdout, done.stderr


def test_the_command_line_says_one_line_and_exits_with_2(tmp_path):
    bad = tmp_path / "bad.hcl"
    bad.write_text("log {\n  level = 3\n}\n")
    code, out, err = run("check", str(bad))
    assert (code, out, err.count("\n")) == (2, "", 1) and "line 2: log: level" in err
    assert run("check", str(tmp_path / "none.hcl"))[0] == 2
    assert run("chek")[0] == 2 and run("--help")[0] == 0


def test_the_router_imports_nothing_of_the_command_line():
    code = "import sys, brookhinge.net.program; print([m for m in ('click', 'structlog', 'hcl2', 'xxhash', 'brookhinge.store') if m in sys.modules])"
    assert (
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30).stdout
        == "[]\n"
    )
