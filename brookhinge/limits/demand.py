"""Moving average of this router's demand. No I/O, no clock."""

from collections.abc import Iterable

from brookhinge.limits.lease_terms import DEMAND_AVERAGING_S, REPORT_INTERVAL_S
from brookhinge.limits.records import DemandSample, Limit

MIN_AVERAGE_RATE = 1e-4  # in the unit of DemandSample.rate


class DemandEstimate:
    """Averages the demand by kind and server.

    The averages outlast a restart of the server, since the demand for it after the restart is expected to be
    the same as before.
    """

    def __init__(self, now: float) -> None:
        self._sampled_at = now - REPORT_INTERVAL_S
        self._rates: dict[tuple[str, str], float] = {}
        self.fractions: dict[Limit, float] = {}
        """Recent demand as a fraction of the limit, for each limit now in force."""

    def update(self, now: float, samples: Iterable[DemandSample]) -> None:
        """Add the demand since the last update to the averages."""
        elapsed_s = now - self._sampled_at
        self._sampled_at = now
        sampled = {}
        limit_totals = {}
        for kind, server, started_at_ms, rate, total in samples:
            sampled[kind, server] = rate
            if total:
                limit_totals[Limit(kind, server, started_at_ms)] = total
        weight = min(1.0, elapsed_s / DEMAND_AVERAGING_S)
        averages = {}
        for key in self._rates.keys() | sampled.keys():
            average = self._rates.get(key, 0.0)
            average += weight * (sampled.get(key, 0.0) - average)
            if average > MIN_AVERAGE_RATE:
                averages[key] = average
        self._rates = averages
        self.fractions = {
            limit: averages.get((limit.kind, limit.server), 0.0) / total
            for limit, total in limit_totals.items()
        }
