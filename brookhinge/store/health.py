"""Circuit breaker for the disk: off after a fault, on again after a successful probe. No I/O, no clock.

It protects against a disk that fails, fills up, returns wrong data or stalls: no response waits for such a
disk, and writes are not retried on it repeatedly. A single failed read does not mean that the disk is
faulty, so such minor faults turn it off only if several occur within a short time.
"""

from enum import StrEnum

_RECENT_PAUSES = 4  # a fault within this many pauses after a recovery belongs to the same outage


class DiskState(StrEnum):
    """Whether the disk tier is in use. The values appear in logs and metrics."""

    ON = "on"
    OFF = "off"
    PROBING = "trial"


class FaultKind(StrEnum):
    """Operation or condition that failed. The values appear in logs."""

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
    """Health state of one disk. The caller passes the current time in seconds as `now`."""

    def __init__(
        self,
        first_pause_s: float = 1.0,
        longest_pause_s: float = 60.0,
        minor_fault_limit: int = 3,
        minor_fault_window_s: float = 10.0,
    ) -> None:
        """Start in state `OFF`, with a probe due immediately.

        Args:
            first_pause_s: Pause between the first fault of an outage and the next probe.
            longest_pause_s: Maximum pause; the pause doubles up to it while faults continue.
            minor_fault_limit: Number of minor faults within the window that turns the disk off.
            minor_fault_window_s: Length of the window for minor faults.
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
        """Return whether the disk may be used."""
        return self.state is DiskState.ON

    def record_fault(self, now: float, kind: FaultKind, reason: str) -> bool:
        """Record a fault; return whether it turned the disk off."""
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
        """Return whether a probe is due. A clock that stepped back does not delay the probe indefinitely."""
        if self.state != DiskState.OFF:
            return False
        return now >= self._probe_at or self._probe_at - now > self.longest_pause_s

    def begin_probe(self) -> None:
        """Record that a probe has started."""
        self.state = DiskState.PROBING

    def record_recovery(self, now: float) -> None:
        """Record that the probe succeeded."""
        self.state = DiskState.ON
        self.reason = ""
        self._recovered_at = now
