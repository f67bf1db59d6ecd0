"""The two clocks of a cache server: one that nobody sets, and the wall clock, by which copies are dated."""

from collections.abc import Callable

_STEP_BACK_S = 0.25  # less is the clock being kept in time
_MAX_UNCERTAIN_S = 60.0


class Clocks:
    """Tells time, and notices when the wall clock steps back.

    Ages of copies are told by the wall clock. Where it steps back, everything stored would look younger than
    it is.
    """

    def __init__(self, wall: Callable[[], float], monotonic: Callable[[], float]) -> None:
        self.wall_now = wall
        self._monotonic = monotonic
        self.started_at = wall()  # Unix seconds
        self._monotonic_start = monotonic()
        self._offset = wall() - monotonic()
        self._uncertain_until = 0.0

    def now(self) -> float:
        """Seconds since the start, by the clock that nobody sets."""
        return self._monotonic() - self._monotonic_start

    def step_back_s(self) -> float:
        """By how much the wall clock was set back since the last call; 0 if it was not."""
        offset = self.wall_now() - self._monotonic()
        step_s = self._offset - offset
        self._offset = offset
        if step_s <= _STEP_BACK_S:
            return 0.0
        self._uncertain_until = self.now() + min(step_s, _MAX_UNCERTAIN_S)
        return step_s

    def dates_are_uncertain(self) -> bool:
        """Whether dates from before a step back may still pass for later ones."""
        return self.now() < self._uncertain_until
