"""The steady clock that decides when leases and proofs expire."""

import time


def steady() -> float:
    """Return the seconds of a monotonic clock, which includes suspend time where the system offers that."""
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()
