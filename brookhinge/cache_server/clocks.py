"""The two clocks of a cache server: a monotonic clock, and the wall clock that dates copies."""

from collections.abc import Callable

_MIN_STEP_BACK_S = 0.25  # smaller steps are routine adjustments of the wall clock
_MAX_UNCERTAIN_S = 60.0


class Clocks:
    """Reads both clocks and detects when the wall clock steps back.

    Ages of copies are measured by the wall clock. When it steps back, all stored copies look younger than
    they are.

    Attributes:
        wall_now: Returns Unix time in seconds.
        started_at: Unix time at which the server started.
    """

    def __init__(self, wall: Callable[[], float], monotonic: Callable[[], float]) -> None:
        self.wall_now = wall
        self._monotonic = monotonic
        self.started_at = wall()
        self._monotonic_start = monotonic()
        self._offset = wall() - monotonic()
        self._uncertain_until = 0.0

    def now(self) -> float:
        """Return the seconds since the start by the monotonic clock."""
        return self._monotonic() - self._monotonic_start

    def measure_step_back(self) -> float:
        """Return how many seconds the wall clock stepped back since the last call; 0 if it did not."""
        offset = self.wall_now() - self._monotonic()
        step_s = self._offset - offset
        self._offset = offset
        if step_s <= _MIN_STEP_BACK_S:
            return 0.0
        self._uncertain_until = self.now() + min(step_s, _MAX_UNCERTAIN_S)
        return step_s

    def dates_are_uncertain(self) -> bool:
        """Return whether a date from before a step back may still be mistaken for a later one."""
        return self.now() < self._uncertain_until
