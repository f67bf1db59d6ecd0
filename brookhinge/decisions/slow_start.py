"""Slow start: limits the work sent to recently started servers to what they can handle."""

from random import Random

from brookhinge.decisions.settings import SlowStart

MAX_LOAD = 1.5  # highest work rate as a multiple of the current capacity
RATE_DEVIATIONS = 2.5  # standard deviations of random arrivals from the mean load to overload
WINDOW_DEVIATIONS = 0.5  # the same margin for the work that may be sent in one window
WINDOW_SLICES = 16
MAX_CREDIT_WINDOWS = 4.0
REPAYMENT_SHARE = 0.5  # of new credit, used to repay debt; the rest stays available to other requests


class SlowStartBudget:
    """Budget of transfer seconds that this router may send to each server that is warming up.

    The budget is the router's share of the server's current capacity.

    A request is admitted with a probability equal to the part of its work that the saved credit covers. The
    expected work admitted in any one window stays within the router's share of the work that a server can
    take in a window. Otherwise the credit that all routers saved during an idle period could be spent at
    once. The cost: a server that warms up faster than configured may be left partly idle, and many routers
    with few requests each use less than the whole budget.
    """

    def __init__(self, start: SlowStart, routers: int) -> None:
        """Take the slow start settings of a server role, and the number of routers that share its servers."""
        self.start = start
        self.routers = routers
        self.credit: dict[int, float] = {}
        self.credited_at: dict[int, float] = {}
        self.debt: dict[int, float] = {}
        # By server and slice of a window: the work times its admission probability.
        self.expected_work: dict[int, dict[int, float]] = {}

    def forget(self, server: int) -> None:
        """Drop the figures of a server whose index is being reused for another server."""
        for figures in (self.credit, self.credited_at, self.debt, self.expected_work):
            figures.pop(server, None)

    def is_warming_up(self, now: float, started_at: float | None) -> bool:
        """Return whether a server that started at `started_at` is still in slow start."""
        return started_at is not None and now - started_at < self.start.warm_up_s

    def is_limited(self, now: float, started_at: float | None) -> bool:
        """Return whether a server is warming up and can be overloaded while it does."""
        return self.start.overload_multiple > 0 and self.is_warming_up(now, started_at)

    def share(self, server: int, started_at: float | None) -> float:
        """Return this router's share of the work that all routers may send to a server."""
        return 1.0 / self.routers

    def capacity(self, now: float, started_at: float, warm_capacity: float, lag_s: float = 0.0) -> float:
        """Return how many concurrent transfers a server could handle `lag_s` seconds ago.

        `warm_capacity` is the number that it handles when warm.
        """
        age = max(0.0, now - started_at - lag_s)
        share = self.start.initial_share
        return (share + (1.0 - share) * min(1.0, age / self.start.warm_up_s)) * warm_capacity

    def overload_work(self, capacity: float) -> float:
        """Return the mean transfer seconds per window that overload a server, without random variation."""
        return self.start.overload_multiple * capacity * self.start.window_s

    def fleet_limits(
        self, now: float, started_at: float, warm_capacity: float, largest_s: float
    ) -> tuple[float, float]:
        """Return the transfer seconds that all routers together may send a server, per second and per window.

        `largest_s` is the transfer time of the class with the largest objects. It scales the margin for
        random arrivals, since work arrives in units of up to that size.
        """
        capacity = self.capacity(now, started_at, warm_capacity, self.start.window_s)
        overload = self.overload_work(capacity)
        deviations = RATE_DEVIATIONS
        root = (deviations**2 * largest_s + 4.0 * overload) ** 0.5 - deviations * largest_s**0.5
        mean = root**2 / 4.0
        rate = min(MAX_LOAD * capacity, mean / self.start.window_s)
        return rate, max(mean, overload - WINDOW_DEVIATIONS * (overload * largest_s) ** 0.5)

    def fleet_rate(self, now: float, started_at: float, warm_capacity: float, largest_s: float) -> float:
        """Return the transfer seconds per second that all routers together may send to a server."""
        return self.fleet_limits(now, started_at, warm_capacity, largest_s)[0]

    def forget_credit(self, server: int, now: float) -> None:
        """Reset the credit of a server that has just lost its copies: no earlier credit may be used."""
        self.credited_at[server] = now
        self.credit[server] = 0.0

    def admits(
        self,
        server: int,
        *,
        now: float,
        started_at: float | None,
        warm_capacity: float,
        work: float,
        largest_s: float,
        rng: Random,
        reserve: float = 0.0,
    ) -> bool:
        """Return whether `work` seconds of transfer may go to a server now; if so, spend the credit for them.

        A positive `reserve` is the share of the maximum credit that must be left to other requests. A
        negative one is the share of the maximum credit that the caller may borrow.
        """
        if not self.is_limited(now, started_at):
            return True
        rate, window_work = self._own_limits(server, now, started_at, warm_capacity, largest_s)
        max_credit = MAX_CREDIT_WINDOWS * rate * self.start.window_s
        credit = self._collect_credit(server, now, rate, max_credit)
        if reserve > 0.0 and credit < reserve * max_credit:
            self.credit[server] = credit
            return False
        expected_work, current = self._recent_expected_work(server, now)
        if reserve < 0.0 and self.debt[server] < -reserve * max_credit:
            expected_work[current] = expected_work.get(current, 0.0) + work
            self.debt[server] += work
            self.credit[server] = credit
            return True
        covered_work = max(0.0, min(work, credit, window_work - sum(expected_work.values())))
        expected_work[current] = expected_work.get(current, 0.0) + covered_work
        self.credit[server] = credit - covered_work
        return rng.random() * work < covered_work

    def record_demand(self, server: int, now: float, work: float, is_admitted: bool) -> None:
        """Record work that was requested from a server, whether or not it was admitted.

        Does nothing in a budget that is not shared.
        """

    def _own_limits(
        self, server: int, now: float, started_at: float, warm_capacity: float, largest_s: float
    ) -> tuple[float, float]:
        """Return this router's share of the fleet limits, per second and per window."""
        share = self.share(server, started_at)
        rate, window_work = self.fleet_limits(now, started_at, warm_capacity, largest_s)
        return share * rate, share * window_work

    def _collect_credit(self, server: int, now: float, rate: float, max_credit: float) -> float:
        """Add the credit earned since the last call and repay debt from it; return the credit."""
        debt = self.debt.get(server, 0.0)
        earned = rate * (now - self.credited_at.get(server, now))
        repaid = max(0.0, min(debt, REPAYMENT_SHARE * earned))
        self.credited_at[server] = now
        self.debt[server] = debt - repaid
        return min(max_credit, self.credit.get(server, 0.0) + earned - repaid)

    def _recent_expected_work(self, server: int, now: float) -> tuple[dict[int, float], int]:
        """Return the expected work in each slice of the last window, and the number of the current slice."""
        current = int(now / self.start.window_s * WINDOW_SLICES)
        expected_work = self.expected_work.setdefault(server, {})
        for expired in [number for number in expected_work if number < current - WINDOW_SLICES]:
            del expected_work[expired]
        return expected_work, current
