"""The decisions where outlier evidence is shared.

Tries and failures of caches are counted for the peers, and what follows from all routers' evidence comes in
beside the router's own. No I/O, no clock.
"""

from collections.abc import Sequence
from random import Random

from brookhinge.decisions.messages import AttemptEnded, OutlierVerdictsChanged, RouterMessage
from brookhinge.decisions.outliers import EJECTION_S, OutlierEjector
from brookhinge.decisions.rules import NEVER, READY_STATE, AttemptResult
from brookhinge.verdicts.outlier_detection import RAMP_S

FIRST_SHARE = 0.1  # of the requests that come back at once when an ejection ends; the rest over the ramp

# Verdicts as they are told; "rest" ejects.
TRIAL = "trial"
RAMP_UP = "ramp"
ALONE = "alone"  # nobody has seen anything of it lately: as without peers
WELL = "well"


class FleetOutlierEjector(OutlierEjector):
    """Ejects by the fleet's evidence too: such a server gets one request a turn, then more by and by."""

    def __init__(self, chance: Random) -> None:
        """`chance` draws which requests come back during a ramp."""
        super().__init__()
        self.counts: dict[int, tuple[int, float]] = {}  # (tries, failures) of this process
        self.verdicts: dict[int, tuple[str, float]] = {}  # (verdict, until when)
        # A response that counts as a failure was late beside the peers': that is each router's own measure.
        self.is_late_response = False
        self._chance = chance
        self._turns_used: dict[int, float] = {}  # the end of the turn in which a server was tried

    def forget(self, server: int) -> None:
        """Drop what is known of a server."""
        super().forget(server)
        for figures in (self.counts, self.verdicts, self._turns_used):
            figures.pop(server, None)

    def observe(self, server: int, now: float, failed: bool, weight: float, peers: Sequence[int]) -> bool:
        """As the plain ejector, and counts the evidence."""
        tries, failures = self.counts.get(server, (0, 0.0))
        self.counts[server] = tries + 1, failures + (weight if failed and not self.is_late_response else 0.0)
        if server in self.verdicts:
            self._turns_used[server] = self.verdicts[server][1]
        return super().observe(server, now, failed, weight, peers)

    def apply(self, server: int, verdict: str, now: float, until: float) -> None:
        """Take a verdict on a server."""
        if verdict == WELL:
            self.verdicts.pop(server, None)
            self.ejected_until.pop(server, None)
        elif verdict == ALONE:
            self.verdicts.pop(server, None)
            self.ejected_until[server] = now
        else:
            self.verdicts[server] = verdict, until
            self.ejected_until.setdefault(server, now)

    def is_eligible(self, server: int, now: float) -> bool:
        """Whether a server may be asked, by the fleet's verdict or else as the plain ejector."""
        verdict, until = self.verdicts.get(server, (None, 0.0))
        if verdict is None or now >= until:
            return super().is_eligible(server, now)
        if verdict == TRIAL:
            is_probe_due = now - self.probed_at.get(server, NEVER) >= EJECTION_S
            return self._turns_used.get(server) != until and is_probe_due
        return verdict == RAMP_UP and self._chance.random() < max(FIRST_SHARE, 1.0 - (until - now) / RAMP_S)


class FleetOutliersMixin:
    """Goes before Router: it also takes `OutlierVerdictsChanged`, and `seen` tells totals of this process."""

    def create_cache_ejector(self) -> FleetOutlierEjector:
        """Make the ejector that takes the fleet's verdicts."""
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
        """As the router."""
        self.cache_outliers.is_late_response = end.result == AttemptResult.SATISFIED
        super().on_attempt_ended(end)

    def seen(self) -> list[tuple]:
        """Return (server, started_at, tries, failures) of caches, since they were last entered."""
        return [
            (self.endpoints.ids[server], self.endpoints.started_at[server], *counts)
            for server, counts in self.cache_outliers.counts.items()
            if self.endpoints.state[server] == READY_STATE
        ]
