"""Whether the disk is used: on, off after a fault, back on after a probe. No I/O, no clock.

Guards against a disk that fails, fills up, lies or stalls: no response waits for it, and no write is tried on
it again and again. A single slow or rotten read is no fault of the disk; such minor faults turn it off only
when several come together.
"""

from enum import StrEnum

_RECENT_PAUSES = 4  # a fault within so many pauses of the last recovery counts as the same outage


class DiskState(StrEnum):
    """Whether the disk tier is used. The values stand in logs and metrics."""

    ON = "on"
    OFF = "off"
    PROBING = "trial"


class FaultKind(StrEnum):
    """What failed. The values stand in logs."""

    READ = "read"
    WRITE = "write"
    FULL = "full"
    SYNC = "sync"
    LEDGER = "ledger"
    SNAPSHOT = "snapshot"
    STALL = "stall"
    CLOSED = "closed"  # the store could not be opened


_MINOR_FAULTS = frozenset({FaultKind.READ})


class DiskHealth:
    """The state of one disk. `now` is a time in seconds that comes with each call."""

    def __init__(
        self,
        first_pause_s: float = 1.0,
        longest_pause_s: float = 60.0,
        minor_fault_limit: int = 3,
        minor_fault_window_s: float = 10.0,
    ) -> None:
        """Start in the state off, with a probe due at once.

        Args:
            first_pause_s: From a first fault to the probe that follows it.
            longest_pause_s: The pause doubles up to this one while faults go on.
            minor_fault_limit: So many minor faults in the window turn the disk off.
            minor_fault_window_s: Length of that window.
        """
        self.first_pause_s = first_pause_s
        self.longest_pause_s = longest_pause_s
        self.minor_fault_limit = minor_fault_limit
        self.minor_fault_window_s = minor_fault_window_s
        self.state = DiskState.OFF
        self.reason = "not opened"
        self.pause_s = first_pause_s
        self.outages = 0
        self._probe_at = 0.0
        self._recovered_at: float | None = None
        self._minor_faults_at: list[float] = []

    @property
    def is_on(self) -> bool:
        """Whether the disk may be used."""
        return self.state is DiskState.ON

    def record_fault(self, now: float, kind: FaultKind, reason: str) -> bool:
        """Note a fault; True if the disk was turned off by it."""
        if kind in _MINOR_FAULTS and self.state != DiskState.PROBING and not self._too_many_minor_faults(now):
            return False
        turned_off = self.state != DiskState.OFF
        if turned_off:
            self._lengthen_pause(now)
            self.outages += 1
        self.state = DiskState.OFF
        self.reason = f"{kind}: {reason}"
        self._probe_at = now + self.pause_s
        self._minor_faults_at = []
        return turned_off

    def _too_many_minor_faults(self, now: float) -> bool:
        recent = [at for at in self._minor_faults_at if now - at < self.minor_fault_window_s and at <= now]
        self._minor_faults_at = [*recent, now]
        return len(self._minor_faults_at) >= self.minor_fault_limit

    def _lengthen_pause(self, now: float) -> None:
        recently_recovered = (
            self._recovered_at is not None and 0 <= now - self._recovered_at < _RECENT_PAUSES * self.pause_s
        )
        if self.state == DiskState.PROBING or recently_recovered:
            self.pause_s = min(self.longest_pause_s, 2 * self.pause_s)
        else:
            self.pause_s = self.first_pause_s

    def is_probe_due(self, now: float) -> bool:
        """Whether a probe may begin. A clock that stepped back does not keep the disk off for longer."""
        if self.state != DiskState.OFF:
            return False
        return now >= self._probe_at or self._probe_at - now > self.longest_pause_s

    def begin_probe(self) -> None:
        """Note that a probe is under way."""
        self.state = DiskState.PROBING

    def record_recovery(self, now: float) -> None:
        """Note that the probe went well."""
        self.state = DiskState.ON
        self.reason = ""
        self._recovered_at = now
