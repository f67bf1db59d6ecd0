"""What the decisions need of a retry schedule; `brookhinge/overload/retry_schedule.py` has one."""

from collections.abc import Callable
from typing import Protocol

RequestName = tuple[int, str, int]  # request class, key and part


class RetrySchedule(Protocol):
    """Gives rejected clients a time to come back. Times are seconds.

    Attributes:
        counts: what became of the times given; the router counts "served".
    """

    counts: dict[str, int]

    def check_in(self, now: float, client: object, name: RequestName) -> tuple[float, bool]:
        """Return the seconds until the time that was given, and whether the client came at it.

        0 seconds where no time was given, or it is over.
        """

    def record_new_request(self, now: float, work: float) -> None:
        """Count seconds of transfer for a client that was not rejected before."""

    def reserve(
        self,
        now: float,
        client: object,
        name: RequestName,
        work: float,
        share: float,
        capacity_at: Callable[[float], float],
    ) -> float:
        """Return the seconds after which to come back; 0: nothing is promised."""
