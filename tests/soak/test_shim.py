"""The shim of the soak: what it makes of a process's clock and calls, and that nothing of a soak is left behind."""

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
CLOCKS = "import time; print(time.time(), time.monotonic())"
ACCEPTS = """
import socket
listener = socket.create_server(("127.0.0.1", 0))
failed = 0
for _ in range(20):
    client = socket.create_connection(listener.getsockname())
    while True:
        try:
            made, _ = listener.accept()
            break
        except OSError as fault:
            failed += 1
client.sendall(b"x" * 1000)
print(failed > 0, len(made.recv(1000)) < 20)
"""
WRITES = """
import os, sys
handle = os.open(sys.argv[1], os.O_CREAT | os.O_RDWR)
failed = 0
for call in (lambda: os.write(handle, b"abc"), lambda: os.pwritev(handle, [b"abcdef"], 0), lambda: os.fdatasync(handle)):
    try:
        call()
    except OSError:
        failed += 1
print(failed)
"""


@pytest.fixture
def control(tmp_path):
    made = shim.Control(shim.build(tmp_path), tmp_path / "control")
    yield made
    made.close()


def run(control, program, *args):
    done = subprocess.run(
        [sys.executable, "-c", program, *args],
        env={**os.environ, **control.environ()},
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout.split()


def test_a_step_of_the_wall_clock_moves_no_other(control):
    control.set(offset_s=-3600.0)
    wall, steady = map(float, run(control, CLOCKS))
    assert abs(wall - time.time() + 3600.0) < 60.0 and abs(steady - time.monotonic()) < 60.0


def test_calls_fail_and_come_short(control):
    control.set(accept=800_000, shorten=1_000_000)
    assert run(control, ACCEPTS) == ["True", "True"] and control.failed() > 1


def test_a_folder_takes_nothing_until_it_is_calm(control, tmp_path):
    control.set(file_write=1_000_000, file_sync=1_000_000)
    assert int(run(control, WRITES, str(tmp_path / "file"))[0]) >= 2  # half of one may have been written
    control.calm()
    assert run(control, WRITES, str(tmp_path / "file")) == ["0"]


def test_without_a_compiler_it_says_what_is_missing(tmp_path, monkeypatch):
    monkeypatch.setenv("PATH", str(tmp_path))
    with pytest.raises(shim.NoCompiler, match="needs a C compiler"):
        shim.build(tmp_path)


def test_arguments_that_make_no_sense():
    for args in ([], ["--seed", "x"], ["--seeds", "5-2"], ["--seed", "1", "--fault", "nothing"]):
        with pytest.raises(SystemExit) as fault:
            main(args)
        assert fault.value.code == 2


@pytest.mark.parametrize("signal_", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_soak_ends_all_that_it_started(tmp_path, signal_):
    soak = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.soak", "--seed", "1", "--short", "--keep", str(tmp_path)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    for line in soak.stderr:
        if b"processes" in line:
            break
    soak.send_signal(signal_)
    assert soak.wait(30) == 130
    left = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if str(tmp_path).encode() in path.read_bytes():
                left.append(path)
        except OSError:
            continue
    assert left == []
