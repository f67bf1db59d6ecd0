"""Tests that errors in an operator's file name the block, the key, the line and what was expected."""

import subprocess
import sys
from pathlib import Path

import pytest

from brookhinge.operator import OperatorError, read_file, read_text

SERVER_BLOCK = 'box "s-1" {\n  listen = "127.0.0.1:1"\n  channel = "127.0.0.1:2"\n%s}\n'


def test_example_file_is_read_with_its_values():
    settings = read_file(Path(__file__).parents[2] / "deploy" / "operator.hcl")
    server = settings.box["s-1"]
    assert (server.listen, server.fills, server.store.segment_mb, settings.log) == (
        ("127.0.0.1", 9001),
        32,
        16,
        "info",
    )


@pytest.mark.parametrize(
    "text, why",
    [
        (
            SERVER_BLOCK % "  fills = 0\n",
            'line 4: box "s-1": fills: expected a whole number from 1 to 10000, got 0',
        ),
        (SERVER_BLOCK % "  fils = 3\n", 'line 4: box "s-1": fils: no such key, expected one of channel'),
        (
            SERVER_BLOCK % '  store {\n    disk_mb = "x"\n  }\n',
            "line 5: store: disk_mb: expected a number from 1",
        ),
        (
            SERVER_BLOCK % '  store {\n    dir = "d"\n    disk_mb = 20\n  }\n',
            "disk_mb: expected at least 8 times segment_mb (16), got 20",
        ),
        ('box "s-1" {\n}\n', 'line 1: box "s-1": listen: missing'),
        ("box {\n}\n", "line 1: box: expected 1 label, got 0"),
        (
            'log {\n level = "loud"\n}\n',
            "line 2: log: level: expected one of debug, info, warning, error, got 'loud'",
        ),
        ("tap {\n}\n", "line 1: tap: no such block"),
        ("a = 1\n", "line 1: a: expected a block"),
        ("log {\n}\nlog {\n}\n", "line 3: log appears twice"),
        ("a = = 3\n", "line 1: expected HCL"),
        ("box {\n", "expected HCL"),
        ('log {\n level = "info"\n level = "debug"\n}\n', "line 3: level appears twice"),
        (
            SERVER_BLOCK % ""
            + (SERVER_BLOCK % "").replace('"s-1"', '"s-2"').replace("}\n", '  store {\n dir = "d"\n}\n}\n')
            + (SERVER_BLOCK % "").replace('"s-1"', '"s-3"').replace("}\n", '  store {\n dir = "d"\n}\n}\n'),
            'is also used by box "s-2"',
        ),
    ],
)
def test_invalid_file_is_rejected_with_its_place(text, why):
    with pytest.raises(OperatorError) as raised:
        read_text(text)
    assert why in str(raised.value)


def run(*args):
    process = subprocess.run(
        [sys.executable, "-m", "brookhinge", *args], capture_output=True, text=True, timeout=30
    )
    return process.returncode, process.stdout, process.stderr


def test_check_of_an_invalid_file_prints_one_line_and_exits_with_2(tmp_path):
    invalid_file = tmp_path / "bad.hcl"
    invalid_file.write_text("log {\n  level = 3\n}\n")
    code, out, err = run("check", str(invalid_file))
    assert (code, out, err.count("\n")) == (2, "", 1) and "line 2: log: level" in err
    assert run("check", str(tmp_path / "none.hcl"))[0] == 2
    assert run("chek")[0] == 2 and run("--help")[0] == 0


def test_router_imports_no_command_line_modules():
    code = "import sys, brookhinge.net.program; print([m for m in ('click', 'structlog', 'hcl2', 'xxhash', 'brookhinge.store') if m in sys.modules])"
    assert (
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30).stdout
        == "[]\n"
    )
