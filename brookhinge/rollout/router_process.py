"""One process of a router as its agent sees it: identity, log and resource samples."""

import contextlib
import json
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from brookhinge.rollout.messages import MetricTotals

PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
LOG_READ_BYTES = 1 << 20
NOT_RUNNING = "ZX"  # states of /proc/PID/stat: zombie, dead


class ProcessStat(NamedTuple):
    """Figures of /proc/PID/stat. A process is identified by its id together with its start."""

    start_ticks: int
    cpu_s: float
    memory_mb: float


def read_stat(pid: int) -> ProcessStat | None:
    """Return the figures of a running process, or None if there is none."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    if fields[0] in NOT_RUNNING:
        return None
    return ProcessStat(
        start_ticks=int(fields[19]),
        cpu_s=(int(fields[11]) + int(fields[12])) * TICK_S,
        memory_mb=int(fields[21]) * PAGE_MB,
    )


class _Sample(NamedTuple):
    at: float
    stat: ProcessStat


class RouterProcess:
    """One process of a router.

    Attributes:
        router, version: what it runs.
        number: of this process at its agent, never used again.
        child: set if this agent started it; a process adopted from a previous agent has none.
        is_ready: its log said that it listens.
        kill_at: when it is killed unless it has ended; None while it is wanted.
        totals: of its metrics, as its log last said.
        resource_totals: growth of memory (MB a second) and processor time, as its agent sampled them.
    """

    def __init__(self, *, router: str, number: int, version: str, pid: int, start_ticks: int, log: Path):
        self.router = router
        self.number = number
        self.version = version
        self.pid = pid
        self.start_ticks = start_ticks
        self.log = log
        self.child: Any = None
        self.is_ready = False
        self.kill_at: float | None = None
        self.totals: MetricTotals = {}
        self.resource_totals: MetricTotals = {}
        self._log_offset = 0
        self._partial_line = b""
        self._last_sample: _Sample | None = None

    def stat(self) -> ProcessStat | None:
        """Return its figures, or None if it has ended (another process may have its id)."""
        stat = read_stat(self.pid)
        return stat if stat is not None and stat.start_ticks == self.start_ticks else None

    def exit_code(self) -> int | None:
        """Return the exit code, as far as it is known."""
        return self.child.returncode if self.child is not None else None

    def send_signal(self, number: int) -> None:
        """Send a signal, never to another process that was given the same id."""
        if self.stat() is not None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    def new_log_lines(self) -> Iterator[dict[str, Any]]:
        """Yield the JSON objects that were logged since the last call."""
        with contextlib.suppress(OSError), open(self.log, "rb") as file:
            file.seek(self._log_offset)
            data = self._partial_line + file.read(LOG_READ_BYTES)
            self._log_offset = file.tell()
            *complete, self._partial_line = data.split(b"\n")
            for line in complete:
                with contextlib.suppress(ValueError):
                    entry = json.loads(line)
                    if isinstance(entry, dict):
                        yield entry

    def sample(self, now: float, stat: ProcessStat) -> None:
        """Add what memory and processor time grew by since the last sample, a second."""
        previous = self._last_sample
        if previous is not None and now > previous.at:
            elapsed_s = now - previous.at
            self._add("growth_mb", (stat.memory_mb - previous.stat.memory_mb) / elapsed_s)
            self._add("cpu", (stat.cpu_s - previous.stat.cpu_s) / elapsed_s)
        self._last_sample = _Sample(now, stat)

    def _add(self, metric: str, value: float) -> None:
        samples, total = self.resource_totals.get(metric, (0, 0.0))
        self.resource_totals[metric] = (samples + 1, total + value)
