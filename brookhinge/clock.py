"""The clock by which leases and proofs end."""

import time


def steady() -> float:
    """Return seconds of a clock that goes on while the machine sleeps, where there is one."""
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()
