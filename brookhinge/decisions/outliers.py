"""Outlier ejection.

A server that fails far more often than its peers is left out for a while, then tried singly.
"""

from collections.abc import Mapping, Sequence

from brookhinge.decisions.rules import NEVER

FAILURE_WEIGHT = 0.15  # of one response in the moving average of failures
OUTLIER_FAILURE_RATE = 0.3  # below it no server is an outlier
RECOVERED_FAILURE_RATE = OUTLIER_FAILURE_RATE / 2
EJECTION_S = 2.0
MAX_EJECTED_SHARE = 0.4  # of the peers


def median_of_peers(
    figures: Mapping[int, float], server: int, peers: Sequence[int], default: float
) -> float | None:
    """Return the lower median of the figures of a server's peers; None if it has none."""
    others = sorted(figures.get(peer, default) for peer in peers if peer != server)
    return others[(len(others) - 1) // 2] if others else None


class OutlierEjector:
    """The failure rate of each server, lately, against its peers of the same role. Times are seconds."""

    def __init__(self) -> None:
        self.failure_rate: dict[int, float] = {}
        self.ejected_until: dict[int, float] = {}  # kept after that time until the server has done well again
        self.probed_at: dict[int, float] = {}  # the last request that tried an ejected server

    def forget(self, server: int) -> None:
        """Drop what is known of a server: its index belongs to another from here on."""
        for figures in (self.failure_rate, self.ejected_until, self.probed_at):
            figures.pop(server, None)

    def observe(self, server: int, now: float, failed: bool, weight: float, peers: Sequence[int]) -> bool:
        """Count a response, a failure by its weight; return whether it ejects a server that was in use."""
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
        """Whether a server may be asked: not ejected, or after an ejection one request at a time."""
        is_probe_due = now - self.probed_at.get(server, NEVER) >= EJECTION_S
        return now >= self.ejected_until.get(server, NEVER) and is_probe_due

    def note_attempt(self, server: int, now: float) -> None:
        """Note that a request goes to a server; to one that was ejected it is a probe."""
        if server in self.ejected_until:
            self.probed_at[server] = now

    def _is_outlier(self, server: int, rate: float, peers: Sequence[int]) -> bool:
        """Whether a server fails far more than its peers, and not too many of them are ejected already."""
        if rate < OUTLIER_FAILURE_RATE:
            return False
        usual = median_of_peers(self.failure_rate, server, peers, 0.0)
        if usual is None:
            return True
        ejected = 1 + sum(peer in self.ejected_until for peer in peers if peer != server)
        return usual <= rate / 2 and ejected <= max(1, MAX_EJECTED_SHARE * len(peers))
