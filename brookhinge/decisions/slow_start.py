"""Slow start: work sent to servers that started lately stays under what they can do."""

from random import Random

from brookhinge.decisions.settings import SlowStart

MAX_LOAD = 1.5  # of the present capacity
RATE_DEVIATIONS = 2.5  # deviations of chance kept clear of what overloads a server
WINDOW_DEVIATIONS = 0.5  # the same for what is risked in a window
WINDOW_SLICES = 16
MAX_CREDIT_WINDOWS = 4.0
REPAYMENT_SHARE = 0.5  # of what comes in that pays back what was borrowed: the rest stays for others


class SlowStartBudget:
    """Seconds of transfer that this router may send to each server that is warming up.

    It is the router's share of what that server can do.

    A request goes with the chance that what is saved covers it. What is risked in any one window stays
    within the share of what the server bears: what all routers saved while nobody asked must not come at
    once. It can leave a quick starter idle, and many routers that ask seldom use less than the whole.
    """

    def __init__(self, start: SlowStart, routers: int) -> None:
        """`start` is how servers of this role start, `routers` how many share them."""
        self.start = start
        self.routers = routers
        self.credit: dict[int, float] = {}
        self.credited_at: dict[int, float] = {}
        self.debt: dict[int, float] = {}
        self.risked: dict[
            int, dict[int, float]
        ] = {}  # of each server: work times chance of going, by slice of a window

    def forget(self, server: int) -> None:
        """Drop what is known of a server: its index belongs to another from here on."""
        for figures in (self.credit, self.credited_at, self.debt, self.risked):
            figures.pop(server, None)

    def is_warming_up(self, now: float, started_at: float | None) -> bool:
        """Whether a server that started then is still in slow start."""
        return started_at is not None and now - started_at < self.start.warm_up_s

    def is_limited(self, now: float, started_at: float | None) -> bool:
        """Whether a server is warming up and can be overloaded meanwhile."""
        return self.start.overload_multiple > 0 and self.is_warming_up(now, started_at)

    def share(self, server: int, started_at: float | None) -> float:
        """Return this router's part of what all may send to a server."""
        return 1.0 / self.routers

    def capacity(self, now: float, started_at: float, power: float, lag_s: float = 0.0) -> float:
        """Return how many transfers at once a server does, as it was `lag_s` ago.

        `power` is what it does when warm.
        """
        age = max(0.0, now - started_at - lag_s)
        share = self.start.initial_share
        return (share + (1.0 - share) * min(1.0, age / self.start.warm_up_s)) * power

    def overload_work(self, capacity: float) -> float:
        """Return the seconds of transfer in a window that overload a server, before what chance adds."""
        return self.start.overload_multiple * capacity * self.start.window_s

    def fleet_limits(
        self, now: float, started_at: float, power: float, largest_s: float
    ) -> tuple[float, float]:
        """Return the seconds of transfer that all routers may send a server, in a second and in a window.

        `largest_s` is the transfer time of the largest class: requests come by chance, in lumps of that size.
        """
        capacity = self.capacity(now, started_at, power, self.start.window_s)
        overload = self.overload_work(capacity)
        spread = RATE_DEVIATIONS
        root = (spread**2 * largest_s + 4.0 * overload) ** 0.5 - spread * largest_s**0.5
        mean = root**2 / 4.0
        rate = min(MAX_LOAD * capacity, mean / self.start.window_s)
        return rate, max(mean, overload - WINDOW_DEVIATIONS * (overload * largest_s) ** 0.5)

    def fleet_rate(self, now: float, started_at: float, power: float, largest_s: float) -> float:
        """Return the seconds of transfer a second that all routers together may send to a server."""
        return self.fleet_limits(now, started_at, power, largest_s)[0]

    def forget_credit(self, server: int, now: float) -> None:
        """Begin anew for a server that has just lost what it held: nothing is saved from before."""
        self.credited_at[server] = now
        self.credit[server] = 0.0

    def admits(
        self,
        server: int,
        *,
        now: float,
        started_at: float | None,
        power: float,
        work: float,
        largest_s: float,
        rng: Random,
        reserve: float = 0.0,
    ) -> bool:
        """Return whether `work` seconds of transfer may go to a server now, and spends them if so.

        `reserve` is the part of what may be saved that is left to others; below 0 the caller may borrow as
        much.
        """
        if not self.is_limited(now, started_at):
            return True
        rate, window_work = self._own_limits(server, now, started_at, power, largest_s)
        max_credit = MAX_CREDIT_WINDOWS * rate * self.start.window_s
        credit = self._collect(server, now, rate, max_credit)
        if reserve > 0.0 and credit < reserve * max_credit:
            self.credit[server] = credit
            return False
        risked, current = self._risked_lately(server, now)
        if reserve < 0.0 and self.debt[server] < -reserve * max_credit:
            risked[current] = risked.get(current, 0.0) + work
            self.debt[server] += work
            self.credit[server] = credit
            return True
        risk = max(0.0, min(work, credit, window_work - sum(risked.values())))
        risked[current] = risked.get(current, 0.0) + risk
        self.credit[server] = credit - risk
        return rng.random() * work < risk

    def record_demand(self, server: int, now: float, work: float, is_admitted: bool) -> None:
        """Take note of work that was wanted of a server, admitted or not.

        A budget that is not shared has no use for it.
        """

    def _own_limits(
        self, server: int, now: float, started_at: float, power: float, largest_s: float
    ) -> tuple[float, float]:
        """This router's part of the fleet's limits."""
        share = self.share(server, started_at)
        rate, window_work = self.fleet_limits(now, started_at, power, largest_s)
        return share * rate, share * window_work

    def _collect(self, server: int, now: float, rate: float, max_credit: float) -> float:
        """Add what has come in since the last call; return the credit, and keeps what is still owed."""
        debt = self.debt.get(server, 0.0)
        income = rate * (now - self.credited_at.get(server, now))
        repaid = max(0.0, min(debt, REPAYMENT_SHARE * income))
        self.credited_at[server] = now
        self.debt[server] = debt - repaid
        return min(max_credit, self.credit.get(server, 0.0) + income - repaid)

    def _risked_lately(self, server: int, now: float) -> tuple[dict[int, float], int]:
        """The work risked in each slice of the last window, and the number of the present slice."""
        current = int(now / self.start.window_s * WINDOW_SLICES)
        risked = self.risked.setdefault(server, {})
        for old in [number for number in risked if number < current - WINDOW_SLICES]:
            del risked[old]
        return risked, current
