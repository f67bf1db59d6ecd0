"""What this router was asked for lately, averaged. No I/O, no clock."""

from collections.abc import Iterable

from brookhinge.limits.lease_terms import DEMAND_AVERAGING_S, REPORT_INTERVAL_S
from brookhinge.limits.records import DemandSample, Limit

NEGLIGIBLE_RATE = 1e-4  # requests a second


class DemandEstimate:
    """Averages by kind and server: a server that starts anew will be asked for what it was asked before."""

    def __init__(self, now: float) -> None:
        self._sampled_at = now - REPORT_INTERVAL_S
        self._rates: dict[tuple[str, str], float] = {}
        self.used: dict[Limit, float] = {}
        """Recent demand as a fraction of the whole, by each limit that is in force now."""

    def update(self, now: float, samples: Iterable[DemandSample]) -> None:
        """Take what was asked for since the last update."""
        elapsed_s = now - self._sampled_at
        self._sampled_at = now
        sampled = {}
        wholes = {}
        for kind, server, started_at_ms, rate, whole in samples:
            sampled[kind, server] = rate
            if whole:
                wholes[Limit(kind, server, started_at_ms)] = whole
        weight = min(1.0, elapsed_s / DEMAND_AVERAGING_S)
        averages = {}
        for key in self._rates.keys() | sampled.keys():
            average = self._rates.get(key, 0.0)
            average += weight * (sampled.get(key, 0.0) - average)
            if average > NEGLIGIBLE_RATE:
                averages[key] = average
        self._rates = averages
        self.used = {
            limit: averages.get((limit.kind, limit.server), 0.0) / whole for limit, whole in wholes.items()
        }
