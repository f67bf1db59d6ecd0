"""A token bucket for bytes: what a router may send beyond its probes and notices. No I/O, no clock.

Sizes are estimates of what the codec writes, with the headers of IP and UDP."""

DATAGRAM = 140  # bytes of a datagram without claims
PLAIN_CLAIM, PACKED_CLAIM = 60, 32  # bytes of one claim as it stands, and in a compressed datagram
FULL_DATAGRAM = 1428  # the longest datagram


class ByteBudget:
    """Tokens are bytes: `rate` of them come a second, up to `burst`. What is sent may go below nothing by one datagram."""

    def __init__(self, rate, burst, now):
        self.rate, self.burst, self.tokens, self.at = rate, burst, burst, now

    def refill(self, now):
        self.tokens = min(self.burst, self.tokens + self.rate * max(0.0, now - self.at))
        self.at = now

    def allows(self, now):
        """Whether anything may be sent now."""
        self.refill(now)
        return self.tokens > 0.0

    def spend(self, size):
        self.tokens -= size

    def ready_at(self):
        """When something may be sent again, at the earliest."""
        return self.at if self.tokens > 0.0 else self.at - self.tokens / self.rate
