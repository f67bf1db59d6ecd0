"""Builds the preloaded shim (`shim.c`) and writes the control blocks that step clocks and make calls fail."""

import mmap
import os
import shutil
import struct
import subprocess
from dataclasses import asdict, dataclass
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
LAYOUT = struct.Struct("=q9I")
BLOCK_BYTES = 4096
NS_PER_S = 1_000_000_000


class NoCompiler(RuntimeError):
    """The shim cannot be built because a working C compiler is missing."""


@dataclass
class Failures:
    """Failure rates by system call, in failures per million calls.

    The field order is that of `struct control` in `shim.c`.

    Attributes:
        accept: Rate for accept.
        socket: Rate for socket.
        connect: Rate for connect.
        receive: Rate of transient receive failures.
        send: Rate of transient send failures.
        shorten: Rate of sends and receives cut to a few bytes.
        upstream: Rate of failures that end a connection opened by the process itself.
        file_write: Rate for file writes.
        file_sync: Rate for file syncs.
    """

    accept: int = 0
    socket: int = 0
    connect: int = 0
    receive: int = 0
    send: int = 0
    shorten: int = 0
    upstream: int = 0
    file_write: int = 0
    file_sync: int = 0


def build(folder):
    """Compile the shim into `folder` and return its path."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompiler("the soak needs a C compiler (cc) for its shim: install one, for example gcc")
    path = Path(folder) / "shim.so"
    result = subprocess.run(
        [compiler, "-shared", "-fPIC", "-O2", "-o", str(path), str(SOURCE), "-ldl"],
        capture_output=True,
        text=True,
    )
    if result.returncode:
        raise NoCompiler(f"compiling the shim failed: {result.stderr.strip()}")
    return path


class Control:
    """The control block of one process and the environment that loads the shim into it."""

    def __init__(self, shim, path):
        self.shim, self.path, self.offset_s, self.failures = shim, Path(path), 0.0, Failures()
        self.path.write_bytes(bytes(BLOCK_BYTES))
        self.handle = os.open(self.path, os.O_RDWR | os.O_CLOEXEC)
        self.map = mmap.mmap(self.handle, BLOCK_BYTES)

    def environ(self):
        """Return the environment variables that load the shim and name its control block."""
        return {"LD_PRELOAD": str(self.shim), "SOAK_CONTROL": str(self.path)}

    def set(self, offset_s=None, **rates):
        """Set the wall clock offset, failure rates or both; values not given stay as they are."""
        if offset_s is not None:
            self.offset_s = offset_s
        self.failures = Failures(**{**asdict(self.failures), **rates})
        packed = LAYOUT.pack(int(self.offset_s * NS_PER_S), *asdict(self.failures).values())
        self.map[: LAYOUT.size] = packed

    def clear_failures(self):
        """Set all failure rates to 0 and leave the clock offset as it is."""
        self.set(**asdict(Failures()))

    def failure_count(self):
        """Return how many calls failed or were shortened so far."""
        return struct.unpack_from("=I", self.map, LAYOUT.size)[0]

    def close(self):
        """Unmap and close the control block."""
        self.map.close()
        os.close(self.handle)
