"""A token bucket that limits the bytes sent beyond probes and notices. No I/O, no clock.

The sizes estimate what the codec writes, including the IP and UDP headers.
"""

EMPTY_DATAGRAM_BYTES = 140  # without claims
PLAIN_CLAIM_BYTES = 60
COMPRESSED_CLAIM_BYTES = 32
FULL_DATAGRAM_BYTES = 1428


class ByteBudget:
    """A token bucket of bytes, refilled at `rate` up to `burst`; one datagram may overdraw it."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Create a full bucket; `rate` is in bytes per second, `burst` in bytes."""
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = now

    def allows(self, now: float) -> bool:
        """Refill the bucket and return whether anything may be sent now."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.tokens = min(self.burst, self.tokens + self.rate * elapsed_s)
        self.refilled_at = now
        return self.tokens > 0.0

    def spend(self, size: float) -> None:
        """Take the tokens for `size` bytes."""
        self.tokens -= size

    def ready_at(self) -> float:
        """Return the earliest time at which something may be sent."""
        if self.tokens > 0.0:
            return self.refilled_at
        return self.refilled_at - self.tokens / self.rate
