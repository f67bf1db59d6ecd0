"""Extends the decisions for shared outlier evidence.

Counts attempts and failures of caches for the peers, and applies the fleet's verdicts in addition to the
router's own outlier ejection. No I/O, no clock.
"""

from collections.abc import Sequence
from random import Random

from brookhinge.decisions.messages import AttemptEnded, OutlierVerdictsChanged, RouterMessage
from brookhinge.decisions.outliers import EJECTION_S, OutlierEjector
from brookhinge.decisions.rules import NEVER, READY_STATE, AttemptResult
from brookhinge.verdicts.outlier_detection import RAMP_S

MIN_RAMP_SHARE = 0.1  # minimum share of requests during a ramp

# Verdicts; their values are those of outlier_detection.Verdict. Any other value ejects.
TRIAL = "trial"
RAMP = "ramp"
NO_EVIDENCE = "alone"  # no router has recent evidence: the router's own ejection applies
HEALTHY = "well"


class FleetOutlierEjector(OutlierEjector):
    """Also ejects by the fleet's verdicts: one request per trial turn, then a growing share during a ramp."""

    def __init__(self, rng: Random) -> None:
        """Take the generator that selects the requests admitted during a ramp."""
        super().__init__()
        self.counts: dict[int, tuple[int, float]] = {}  # by server: (attempts, failures) of this process
        self.verdicts: dict[int, tuple[str, float]] = {}  # by server: (verdict, end of the verdict)
        # Whether the attempt now observed was satisfied. If it counts as a failure, it was only later than
        # those of the peers. Such failures are not evidence, since each router measures lateness by itself.
        self.is_satisfied = False
        self._rng = rng
        self._last_tried_until: dict[int, float] = {}  # end of the verdict in which a server was last tried

    def forget(self, server: int) -> None:
        """Drop the figures of a server whose index is being reused for another server."""
        super().forget(server)
        for figures in (self.counts, self.verdicts, self._last_tried_until):
            figures.pop(server, None)

    def observe(self, server: int, now: float, failed: bool, weight: float, peers: Sequence[int]) -> bool:
        """Count the attempt for the fleet's evidence, then observe it like the base class."""
        attempts, failures = self.counts.get(server, (0, 0.0))
        self.counts[server] = (
            attempts + 1,
            failures + (weight if failed and not self.is_satisfied else 0.0),
        )
        if server in self.verdicts:
            self._last_tried_until[server] = self.verdicts[server][1]
        return super().observe(server, now, failed, weight, peers)

    def apply(self, server: int, verdict: str, now: float, until: float) -> None:
        """Apply a verdict on a server."""
        if verdict == HEALTHY:
            self.verdicts.pop(server, None)
            self.ejected_until.pop(server, None)
        elif verdict == NO_EVIDENCE:
            self.verdicts.pop(server, None)
            self.ejected_until[server] = now
        else:
            self.verdicts[server] = verdict, until
            self.ejected_until.setdefault(server, now)

    def is_eligible(self, server: int, now: float) -> bool:
        """Return whether a server may take a request: by the fleet's verdict, or else like the base class."""
        verdict, until = self.verdicts.get(server, (None, 0.0))
        if verdict is None or now >= until:
            return super().is_eligible(server, now)
        if verdict == TRIAL:
            is_probe_due = now - self.probed_at.get(server, NEVER) >= EJECTION_S
            return self._last_tried_until.get(server) != until and is_probe_due
        return verdict == RAMP and self._rng.random() < max(MIN_RAMP_SHARE, 1.0 - (until - now) / RAMP_S)


class FleetOutliersMixin:
    """Extends Router, which must follow it in the bases: handles verdicts and reports attempt totals."""

    def create_cache_ejector(self) -> FleetOutlierEjector:
        """Return the ejector that applies the fleet's verdicts."""
        return FleetOutlierEjector(self.rng)

    def handle(self, message: RouterMessage) -> None:
        """Handle one message."""
        if isinstance(message, OutlierVerdictsChanged):
            for server, verdict, seconds in message.verdicts:
                server_index = self.endpoints.index.get(server)
                if server_index is not None:
                    self.cache_outliers.apply(server_index, verdict, self.now, self.now + seconds)
        else:
            super().handle(message)

    def on_attempt_ended(self, end: AttemptEnded) -> None:
        """Handle the end of an attempt; note whether it was satisfied."""
        self.cache_outliers.is_satisfied = end.result == AttemptResult.SATISFIED
        super().on_attempt_ended(end)

    def seen(self) -> list[tuple]:
        """Return (server, started_at, attempts, failures) of ready caches, counted since each was added."""
        return [
            (self.endpoints.ids[server], self.endpoints.started_at[server], *counts)
            for server, counts in self.cache_outliers.counts.items()
            if self.endpoints.state[server] == READY_STATE
        ]
