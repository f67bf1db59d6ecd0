"""A token bucket for bytes: what a router may send beyond its probes and notices. No I/O, no clock.

Sizes are estimates of what the codec writes, with the headers of IP and UDP.
"""

EMPTY_DATAGRAM_BYTES = 140  # without claims
PLAIN_CLAIM_BYTES = 60
COMPRESSED_CLAIM_BYTES = 32
FULL_DATAGRAM_BYTES = 1428


class ByteBudget:
    """Tokens are bytes: `rate` of them a second, up to `burst`. One datagram may overdraw it."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Start full; `rate` in bytes a second, `burst` in bytes."""
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = now

    def allows(self, now: float) -> bool:
        """Whether anything may be sent now."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.tokens = min(self.burst, self.tokens + self.rate * elapsed_s)
        self.refilled_at = now
        return self.tokens > 0.0

    def spend(self, size: float) -> None:
        """Take the tokens of a datagram of that many bytes."""
        self.tokens -= size

    def ready_at(self) -> float:
        """When something may be sent again, at the earliest."""
        if self.tokens > 0.0:
            return self.refilled_at
        return self.refilled_at - self.tokens / self.rate
