"""Converts stamps of other machines' wall clocks to the router's own steady clock."""

import time
from collections.abc import Callable


class StampClock:
    """Relates wall clocks to a steady clock, so that no stamp looks later than it is after a clock was set.

    Wall clocks may be set by any amount at any time, on this machine alone or on all of them together.
    """

    def __init__(
        self, started_at: float, now: Callable[[], float], wall_now: Callable[[], float] = time.time
    ) -> None:
        """Relate the clocks.

        Args:
            started_at: Unix time of the start, by the wall clock as it was set then.
            now: Returns seconds since the start, by a steady clock.
            wall_now: Returns the Unix time.
        """
        self._started_at = started_at
        self._now = now
        self._wall_now = wall_now

    def since_start(self, stamp: float) -> float:
        """Return the seconds from the start to a stamp, a Unix time that was received just now.

        After this machine's clock was set forward, the stamp may come from a clock that was set forward as
        well. The earlier of both readings is returned, so that a copy never looks younger for it.
        """
        set_forward_s = self._wall_now() - self._started_at - self._now()
        return stamp - self._started_at - max(0.0, set_forward_s)
