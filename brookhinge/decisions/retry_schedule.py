"""Interface of a retry schedule; `brookhinge/overload/retry_schedule.py` implements it."""

from collections.abc import Callable
from typing import Protocol

RequestName = tuple[int, str, int]  # (index of the request class, key, part)


class RetrySchedule(Protocol):
    """Assigns rejected clients a time at which to retry. Times are seconds.

    Attributes:
        counts: Number of assigned times by outcome; the router increments "served".
    """

    counts: dict[str, int]

    def check_in(self, now: float, client: object, name: RequestName) -> tuple[float, bool]:
        """Return the seconds until the assigned time, and whether the client came at that time.

        The seconds are 0 if no time was assigned or it has passed.
        """

    def record_new_request(self, now: float, work: float) -> None:
        """Record the transfer seconds of a request from a client that was not rejected before."""

    def reserve(
        self,
        now: float,
        client: object,
        name: RequestName,
        work: float,
        share: float,
        capacity_at: Callable[[float], float],
    ) -> float:
        """Return the seconds after which the client should retry; 0 if no time was reserved."""
