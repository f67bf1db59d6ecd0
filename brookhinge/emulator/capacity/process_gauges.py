"""What a process of a modelled fleet measures of itself: memory, and how late its event loop is."""

import asyncio
import os
import time
from pathlib import Path

LAG_STEP_S = 0.05  # between two measurements
RESIDENT_PAGES = 1  # field of /proc/self/statm


def resident_bytes() -> int:
    """Return the bytes of memory that this process holds now."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[RESIDENT_PAGES]) * os.sysconf("SC_PAGE_SIZE")


class LoopLag:
    """Notes by how much the event loop of this process was late at most.

    Attributes:
        lag_s: the most since it was last taken.
    """

    def __init__(self):
        self.lag_s = 0.0

    def take(self) -> float:
        """Return the most since the last call, and begin anew."""
        lag_s = self.lag_s
        self.lag_s = 0.0
        return lag_s

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = time.monotonic() + LAG_STEP_S
            await asyncio.sleep(LAG_STEP_S)
            self.lag_s = max(self.lag_s, time.monotonic() - due)
