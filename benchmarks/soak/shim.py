"""The control blocks by which the driver steps clocks and makes system calls fail (`shim.c`), and the shim's build."""

import mmap
import os
import shutil
import struct
import subprocess
from dataclasses import asdict, dataclass
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
LAYOUT = struct.Struct("=q9I")
SIZE = 4096
NANOSECONDS = 1_000_000_000


class NoCompiler(RuntimeError):
    """The shim cannot be built here."""


@dataclass
class Failures:
    """Failures in a million calls, by call. receive, send: those that pass by themselves; upstream: those that end a
    connection that the process itself made; shorten: sends and receives of a few bytes only."""

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
    """Compiles the shim into `folder`; its path."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompiler("the soak needs a C compiler (cc) for its shim: install one, for example gcc")
    path = Path(folder) / "shim.so"
    done = subprocess.run(
        [compiler, "-shared", "-fPIC", "-O2", "-o", str(path), str(SOURCE), "-ldl"],
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise NoCompiler(f"the shim does not compile: {done.stderr.strip()}")
    return path


class Control:
    """The control block of one process, and the environment that loads the shim into it."""

    def __init__(self, shim, path):
        self.shim, self.path, self.offset_s, self.failures = shim, Path(path), 0.0, Failures()
        self.path.write_bytes(bytes(SIZE))
        self.handle = os.open(self.path, os.O_RDWR | os.O_CLOEXEC)
        self.map = mmap.mmap(self.handle, SIZE)

    def environ(self):
        return {"LD_PRELOAD": str(self.shim), "SOAK_CONTROL": str(self.path)}

    def set(self, offset_s=None, **rates):
        """Steps the clock to `offset_s` beside the right time, or sets rates; what is not named stays."""
        if offset_s is not None:
            self.offset_s = offset_s
        self.failures = Failures(**{**asdict(self.failures), **rates})
        packed = LAYOUT.pack(int(self.offset_s * NANOSECONDS), *asdict(self.failures).values())
        self.map[: LAYOUT.size] = packed

    def calm(self):
        """No call fails; the clock stays as it is."""
        self.set(**asdict(Failures()))

    def failed(self):
        """How many calls were made to fail or come short."""
        return struct.unpack_from("=I", self.map, LAYOUT.size)[0]

    def close(self):
        self.map.close()
        os.close(self.handle)
