"""Outlier ejection.

A server that fails far more often than its peers is ejected for a while, then probed one request at a time.
"""

from collections.abc import Mapping, Sequence

from brookhinge.decisions.rules import NEVER

FAILURE_WEIGHT = 0.15  # weight of one response in the moving average of the failure rate
OUTLIER_FAILURE_RATE = 0.3  # minimum failure rate of an outlier
RECOVERED_FAILURE_RATE = OUTLIER_FAILURE_RATE / 2
EJECTION_S = 2.0
MAX_EJECTED_SHARE = 0.4  # of all servers in the role


def median_of_peers(
    figures: Mapping[int, float], server: int, peers: Sequence[int], default: float
) -> float | None:
    """Return the lower median of the figures of a server's peers; None if it has no peers."""
    others = sorted(figures.get(peer, default) for peer in peers if peer != server)
    return others[(len(others) - 1) // 2] if others else None


class OutlierEjector:
    """Ejects servers whose recent failure rate is far above that of their peers. Times are seconds."""

    def __init__(self) -> None:
        self.failure_rate: dict[int, float] = {}
        self.ejected_until: dict[int, float] = {}  # also set after that time, until the server has recovered
        self.probed_at: dict[int, float] = {}  # last request sent to a server that was ejected

    def forget(self, server: int) -> None:
        """Drop the figures of a server whose index is being reused for another server."""
        for figures in (self.failure_rate, self.ejected_until, self.probed_at):
            figures.pop(server, None)

    def observe(self, server: int, now: float, failed: bool, weight: float, peers: Sequence[int]) -> bool:
        """Count a response with its weight; return whether it newly ejects the server."""
        rate = self.failure_rate.get(server, 0.0)
        rate = rate + FAILURE_WEIGHT * weight * ((1.0 if failed else 0.0) - rate)
        self.failure_rate[server] = rate
        if not failed:
            self.probed_at.pop(server, None)
            if rate < RECOVERED_FAILURE_RATE:
                self.ejected_until.pop(server, None)
            return False
        if self.ejected_until.get(server, -1.0) > now or not self._is_outlier(server, rate, peers):
            return False
        is_new = server not in self.ejected_until
        self.ejected_until[server] = now + EJECTION_S
        return is_new

    def is_eligible(self, server: int, now: float) -> bool:
        """Return whether a server may take a request; after an ejection it gets one probe at a time."""
        is_probe_due = now - self.probed_at.get(server, NEVER) >= EJECTION_S
        return now >= self.ejected_until.get(server, NEVER) and is_probe_due

    def note_attempt(self, server: int, now: float) -> None:
        """Record that a request goes to a server; for a server that was ejected, it is a probe."""
        if server in self.ejected_until:
            self.probed_at[server] = now

    def _is_outlier(self, server: int, rate: float, peers: Sequence[int]) -> bool:
        """Return whether a server fails far more than its peers and few enough peers are ejected already."""
        if rate < OUTLIER_FAILURE_RATE:
            return False
        peer_rate = median_of_peers(self.failure_rate, server, peers, 0.0)
        if peer_rate is None:
            return True
        ejected = 1 + sum(peer in self.ejected_until for peer in peers if peer != server)
        return peer_rate <= rate / 2 and ejected <= max(1, MAX_EJECTED_SHARE * len(peers))
