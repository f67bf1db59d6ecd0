"""What the decisions need of a retry schedule; `brookhinge/storm/plan.py` has one."""

from collections.abc import Callable
from typing import Protocol

RequestName = tuple[int, str, int]  # request class, key and part


class RetrySchedule(Protocol):
    """Gives rejected clients a time to come back. Times are seconds.

    Attributes:
        counts: what became of the times given; the router counts "served".
    """

    counts: dict[str, int]

    def arrives(self, now: float, who: object, name: RequestName) -> tuple[float, bool]:
        """Return the seconds until the time that was given, and whether the client came at it.

        0 seconds where no time was given, or it is over.
        """

    def newcomer(self, now: float, work: float) -> None:
        """Count seconds of transfer for a client that was not rejected before."""

    def place(
        self,
        now: float,
        who: object,
        name: RequestName,
        work: float,
        part: float,
        can_take: Callable[[float], float],
    ) -> float:
        """Return the seconds after which to come back; 0: nothing is promised."""
