"""Measures the resident memory and the event loop delay of the current process."""

import asyncio
import os
import time
from pathlib import Path

LAG_INTERVAL_S = 0.05  # between two measurements
STATM_RESIDENT_FIELD = 1  # of /proc/self/statm, in pages


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[STATM_RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")


class LoopLag:
    """Measures the largest delay of this process's event loop.

    Attributes:
        lag_s: Largest delay since the last `take()`, in seconds.
    """

    def __init__(self):
        self.lag_s = 0.0

    def take(self) -> float:
        """Return the largest delay since the last call, in seconds, and reset it."""
        lag_s = self.lag_s
        self.lag_s = 0.0
        return lag_s

    async def run(self) -> None:
        """Measure the delay until cancelled."""
        while True:
            due = time.monotonic() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lag_s = max(self.lag_s, time.monotonic() - due)
