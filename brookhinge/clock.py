"""The clock by which leases and proofs end."""

import time


def steady():
    """Seconds of a clock that also goes on while the machine sleeps, where there is one."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) if hasattr(time, "CLOCK_BOOTTIME") else time.monotonic()
