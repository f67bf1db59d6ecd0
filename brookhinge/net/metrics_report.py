"""Metrics in the log of the router: differences every few seconds, and totals at exit."""

import asyncio
import collections
import resource
from collections.abc import Callable

from brookhinge.decisions.memory_limits import BYTES_PER_MB
from brookhinge.engine.loop_watch import LoopWatch
from brookhinge.engine.router_state import RouterState
from brookhinge.net.client_connections import ClientConnections
from brookhinge.net.memory_use import MemoryUse
from brookhinge.net.upstream_connections import UpstreamConnections

REPORT_INTERVAL_S = 10.0


def resident_mb() -> float:
    """Return the memory that this process has now, in MB; 0 if the system does not tell."""
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return pages * resource.getpagesize() / BYTES_PER_MB


class MetricsReport:
    """Collects the counters of the router and logs their increase at regular intervals."""

    def __init__(
        self,
        *,
        now: Callable[[], float],
        log: Callable[..., None],
        state: RouterState,
        watch: LoopWatch,
        client_connections: ClientConnections,
        upstream_connections: UpstreamConnections,
        memory: MemoryUse,
    ) -> None:
        self._now = now
        self._log = log
        self._state = state
        self._watch = watch
        self._client_connections = client_connections
        self._upstream_connections = upstream_connections
        self._memory = memory

    def counts(self) -> dict[str, float]:
        """Return request and event loop stall totals since the start."""
        return {
            **self._state.totals.counts,
            "stalls": self._watch.stalls,
            "stalled_s": round(self._watch.stalled_s, 3),
        }

    def reasons(self) -> dict[str, collections.Counter[str]]:
        """Return totals by reason: rejects, retries, withdrawals, holds, closes, shedding, violations."""
        counters = {
            "refusals": self._state.totals.refusals,
            "retries": self._state.totals.retries,
            "withdrawals": self._state.totals.withdrawals,
            "held_back": self._upstream_connections.holds,
            "client_closes": self._client_connections.closes,
            "server_closes": self._upstream_connections.closes,
            "shed": self._memory.shed,
            "violations": self._state.invariants.violations,
        }
        return {
            name: collections.Counter({str(reason): count for reason, count in counter.items()})
            for name, counter in counters.items()
        }

    def memory_figures(self) -> dict[str, float]:
        """Return what the process has in memory, and what it holds by kind, in MB.

        The sum of what is held, the program and copies should be near `resident`.
        """
        held = {kind: size / BYTES_PER_MB for kind, size in self._memory.held().items()}
        figures = {
            "resident": resident_mb(),
            "copies": self._state.decisions.local_cache.size_bytes / BYTES_PER_MB,
            **held,
        }
        return {name: round(size, 2) for name, size in figures.items()}

    async def run(self) -> None:
        """Log the increase since the previous report and the lag of the event loop, until cancelled."""
        counts_before = self.counts()
        reasons_before = self.reasons()
        while True:
            due = self._now() + REPORT_INTERVAL_S
            await asyncio.sleep(REPORT_INTERVAL_S)
            counts = self.counts()
            reasons = self.reasons()
            self._log(
                "figures",
                **{name: round(count - counts_before[name], 3) for name, count in counts.items()},
                open=len(self._state.requests.open),
                clients=len(self._client_connections.clients),
                caches=len(self._upstream_connections.pool.connections),
                unread=self._client_connections.memory.reply_bytes,
                memory=self.memory_figures(),
                late_s=round(self._now() - due, 4),
                **{name: dict(counter - reasons_before[name]) for name, counter in reasons.items()},
            )
            counts_before = counts
            reasons_before = reasons

    async def log_scores(self, interval_s: float) -> None:
        """Log the score totals of requests every `interval_s` seconds, until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            self._log("scores", totals=self._state.scores.totals)
