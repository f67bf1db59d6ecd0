"""Identity, log and resource samples of one router process, as its agent sees them."""

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
    """Values from /proc/PID/stat; the process id and `start_ticks` together identify a process."""

    start_ticks: int
    cpu_s: float
    memory_mb: float


def read_stat(pid: int) -> ProcessStat | None:
    """Return the values of a running process, or None if there is no such process."""
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
        router: Name of the router.
        number: Number of the process, unique at its agent and never reused.
        version: Version that the process runs.
        pid: Process id.
        start_ticks: Start time in clock ticks since boot.
        log: Path of the log file.
        child: Subprocess object if this agent started it; None for a process adopted from a previous agent.
        is_ready: Whether its log reports that it listens.
        kill_at: When it is killed if it has not exited; None unless it is being shut down.
        totals: Metrics that its log last reported.
        resource_totals: Samples of memory growth (MB/s) and processor use (seconds per second).
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
        """Return the current values, or None if the process has ended, even if its id has been reused."""
        stat = read_stat(self.pid)
        return stat if stat is not None and stat.start_ticks == self.start_ticks else None

    def exit_code(self) -> int | None:
        """Return the exit code, or None if the process runs or is not a child of this agent."""
        return self.child.returncode if self.child is not None else None

    def send_signal(self, number: int) -> None:
        """Send a signal unless the process has ended; another process may have reused its id."""
        if self.stat() is not None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    def new_log_lines(self) -> Iterator[dict[str, Any]]:
        """Yield the JSON objects that have been logged since the last call."""
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
        """Add the growth of memory and of processor time per second since the last sample."""
        previous = self._last_sample
        if previous is not None and now > previous.at:
            elapsed_s = now - previous.at
            self._add_sample("growth_mb", (stat.memory_mb - previous.stat.memory_mb) / elapsed_s)
            self._add_sample("cpu", (stat.cpu_s - previous.stat.cpu_s) / elapsed_s)
        self._last_sample = _Sample(now, stat)

    def _add_sample(self, metric: str, value: float) -> None:
        samples, total = self.resource_totals.get(metric, (0, 0.0))
        self.resource_totals[metric] = (samples + 1, total + value)
