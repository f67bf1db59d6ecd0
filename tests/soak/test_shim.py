"""Tests of the preloaded shim (clock steps, injected failures) and of cleanup after an interrupted soak."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from benchmarks.soak import shim
from benchmarks.soak.__main__ import main

ROOT = Path(__file__).parents[2]
CLOCK_PROGRAM = "import time; print(time.time(), time.monotonic())"
ACCEPT_PROGRAM = """
import socket
listener = socket.create_server(("127.0.0.1", 0))
failed = 0
for _ in range(20):
    client = socket.create_connection(listener.getsockname())
    while True:
        try:
            accepted, _ = listener.accept()
            break
        except OSError:
            failed += 1
client.sendall(b"x" * 1000)
print(failed > 0, len(accepted.recv(1000)) < 20)
"""
WRITE_PROGRAM = """
import os, sys
handle = os.open(sys.argv[1], os.O_CREAT | os.O_RDWR)
failed = 0
calls = (
    lambda: os.write(handle, b"abc"),
    lambda: os.pwritev(handle, [b"abcdef"], 0),
    lambda: os.fdatasync(handle),
)
for call in calls:
    try:
        call()
    except OSError:
        failed += 1
print(failed)
"""


@pytest.fixture
def control(tmp_path):
    control_block = shim.Control(shim.build(tmp_path), tmp_path / "control")
    yield control_block
    control_block.close()


def run_with_shim(control, program, *args):
    result = subprocess.run(
        [sys.executable, "-c", program, *args],
        env={**os.environ, **control.environ()},
        capture_output=True,
        text=True,
        check=True,
    )
    return result.stdout.split()


def test_wall_clock_step_leaves_monotonic_clock_alone(control):
    control.set(offset_s=-3600.0)
    wall, monotonic = map(float, run_with_shim(control, CLOCK_PROGRAM))
    assert abs(wall - time.time() + 3600.0) < 60.0 and abs(monotonic - time.monotonic()) < 60.0


def test_calls_fail_and_transfers_are_shortened(control):
    control.set(accept=800_000, shorten=1_000_000)
    assert run_with_shim(control, ACCEPT_PROGRAM) == ["True", "True"] and control.failure_count() > 1


def test_file_writes_fail_until_failures_are_cleared(control, tmp_path):
    control.set(file_write=1_000_000, file_sync=1_000_000)
    # One write may succeed in part.
    assert int(run_with_shim(control, WRITE_PROGRAM, str(tmp_path / "file"))[0]) >= 2
    control.clear_failures()
    assert run_with_shim(control, WRITE_PROGRAM, str(tmp_path / "file")) == ["0"]


def test_missing_compiler_is_named_in_the_error(tmp_path, monkeypatch):
    monkeypatch.setenv("PATH", str(tmp_path))
    with pytest.raises(shim.NoCompiler, match="needs a C compiler"):
        shim.build(tmp_path)


def test_invalid_arguments_exit_with_status_2():
    for args in ([], ["--seed", "x"], ["--seeds", "5-2"], ["--seed", "1", "--fault", "nothing"]):
        with pytest.raises(SystemExit) as exit_info:
            main(args)
        assert exit_info.value.code == 2


@pytest.mark.parametrize("stop_signal", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_soak_leaves_no_process(tmp_path, stop_signal):
    soak = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.soak", "--seed", "1", "--short", "--keep", str(tmp_path)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    for line in soak.stderr:
        if b"processes" in line:
            break
    soak.send_signal(stop_signal)
    assert soak.wait(30) == 130
    remaining = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if str(tmp_path).encode() in path.read_bytes():
                remaining.append(path)
        except OSError:
            continue
    assert remaining == []
