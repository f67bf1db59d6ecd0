"""Leases out what was granted to it, never more. No I/O, no clock.

Any number of lessors of one limit may act at once, know nothing of one another, or forget all: each leases
only what was granted to itself, so together they lease no more than was granted.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from brookhinge.limits.lease_terms import (
    GRANT_TERM_S,
    LEASE_TERM_S,
    MAX_CLOCK_DRIFT,
    MAX_MISSED_REPORTS,
    MESSAGES_REMEMBERED,
    REPORT_INTERVAL_S,
)
from brookhinge.limits.records import Grant, Limit, RequestRow

NEED_TERM_S = MAX_MISSED_REPORTS * REPORT_INTERVAL_S
LONG_AGO = -1e9
ACCOUNT_KEPT_S = 2 * GRANT_TERM_S


class LeaseAccount:
    """The messages exchanged with one lessee: the last request received, and when each offer went out."""

    __slots__ = ("last_offer", "last_request", "offered_at", "requested_at")

    def __init__(self) -> None:
        self.last_request = 0
        self.requested_at = LONG_AGO
        self.last_offer = 0
        self.offered_at: dict[int, float] = {}

    def is_active(self, now: float) -> bool:
        """Whether anything was exchanged of late."""
        if now - self.requested_at < ACCOUNT_KEPT_S:
            return True
        return bool(self.offered_at) and now - max(self.offered_at.values()) < ACCOUNT_KEPT_S


class Need(NamedTuple):
    """How much more of a limit a lessee needs, until it should have said so again."""

    amount: float
    until: float


class Lessor:
    """Grants received and leases issued, by limit and lessee; lessees are known by their incarnation ids."""

    def __init__(self) -> None:
        self.accounts: dict[int, LeaseAccount] = {}
        self.grants: dict[Limit, dict[int, list[Grant]]] = {}
        self.leases: dict[Limit, dict[int, list[Grant]]] = {}
        self.needs: dict[Limit, dict[int, Need]] = {}
        self._last_numbers: dict[Limit, dict[int, int]] = {}

    def receive_request(
        self, now: float, lessee: int, number: int, acknowledged: int, rows: Iterable[RequestRow]
    ) -> None:
        """Take a lessee's needs and grants.

        A grant lasts from the offer on that the lessee had received when it made it: its request is younger
        than that.
        """
        account = self.accounts.setdefault(lessee, LeaseAccount())
        offered_at = account.offered_at.get(acknowledged)
        if number > account.last_request:
            account.last_request = number
            account.requested_at = now
        for limit, need, grant in rows:
            last_numbers = self._last_numbers.setdefault(limit, {})
            if last_numbers.get(lessee, 0) >= number:
                continue
            last_numbers[lessee] = number
            self.needs.setdefault(limit, {})[lessee] = Need(need, now + NEED_TERM_S)
            if grant > 0.0 and offered_at is not None:
                self._add_grant(
                    now, limit, lessee, Grant(grant, offered_at + GRANT_TERM_S * (1.0 - MAX_CLOCK_DRIFT))
                )

    def _add_grant(self, now: float, limit: Limit, lessee: int, grant: Grant) -> None:
        if grant.until <= now:
            return
        grants = self.grants.setdefault(limit, {}).setdefault(lessee, [])
        if not any(one.amount >= grant.amount and one.until >= grant.until for one in grants):
            kept = [one for one in grants if one.amount > grant.amount or one.until > grant.until]
            grants[:] = [*kept, grant]

    def shortfalls(self, now: float) -> dict[Limit, float]:
        """Limits of which somebody lacks some, and how much in all."""
        totals = {
            limit: sum(need.amount for need in needs.values() if need.until > now)
            for limit, needs in self.needs.items()
        }
        return {limit: total for limit, total in totals.items() if total > 0.0}

    def issue_leases(self, now: float) -> dict[Limit, dict[int, float]]:
        """Lease out all limits of which somebody lacks some; the amounts by limit and lessee."""
        self.expire(now)
        issued = {}
        for limit in self.shortfalls(now):
            amounts = self._allocate(limit, now)
            if amounts:
                issued[limit] = amounts
        return issued

    def _allocate(self, limit: Limit, now: float) -> dict[int, float]:
        """Issue the leases of one limit.

        What is out counts until the last moment it may be used, and at each such moment all that is out
        then stays within what is still granted then. What others still hold of an amount comes to a lessee
        as that ends.
        """
        ends = now + LEASE_TERM_S * (1.0 + MAX_CLOCK_DRIFT)
        leases = self.leases.setdefault(limit, {})
        moments = sorted({lease.until for issued in leases.values() for lease in issued} | {ends})
        outstanding = {
            lessee: [_largest(issued, moment) for moment in moments] for lessee, issued in leases.items()
        }
        granted = [self.granted(limit, moment) for moment in moments]
        free = [granted[k] - sum(row[k] for row in outstanding.values()) for k in range(len(moments))]
        issued = {}
        for lessee, target in self._targets(limit, now, granted[-1]):
            held = outstanding.get(lessee, [0.0] * len(moments))
            amount = min(target, *(part + more for part, more in zip(held, free, strict=True)))
            if amount > 0.0:
                free = [more - max(0.0, amount - part) for part, more in zip(held, free, strict=True)]
                issued[lessee] = amount
                leases.setdefault(lessee, []).append(Grant(amount, ends))
        return issued

    def _targets(self, limit: Limit, now: float, pool: float) -> Iterator[tuple[int, float]]:
        """Each lessee and its fair amount, the needy first; what nobody lacks goes back to all alike."""
        needs = {
            lessee: need.amount
            for lessee, need in self.needs[limit].items()
            if need.until > now and need.amount > 0.0
        }
        fair = max_min_fair(needs, pool)
        remainder = max(0.0, pool - sum(fair.values()))
        sharing = self.needs[limit]
        for lessee in sorted(sharing, key=lambda lessee: (lessee not in needs, lessee)):
            yield lessee, fair.get(lessee, 0.0) + remainder / len(sharing)

    def granted(self, limit: Limit, moment: float) -> float:
        """What was granted and is still granted at a moment ahead."""
        return sum(_largest(grants, moment) for grants in self.grants.get(limit, {}).values())

    def next_offer(self, now: float, lessee: int) -> tuple[int, int]:
        """The number of an offer that goes out now, and the number of the lessee's last request."""
        account = self.accounts.setdefault(lessee, LeaseAccount())
        account.last_offer += 1
        account.offered_at[account.last_offer] = now
        if len(account.offered_at) > MESSAGES_REMEMBERED:
            del account.offered_at[next(iter(account.offered_at))]
        return account.last_offer, account.last_request

    def expire(self, now: float) -> None:
        """Drop what has ended, and lessees that are silent."""
        _drop_ended(self.grants, now)
        _drop_ended(self.leases, now)
        for limit in list(self.needs):
            self.needs[limit] = {
                lessee: need for lessee, need in self.needs[limit].items() if need.until > now
            }
            if not self.needs[limit] and limit not in self.grants and limit not in self.leases:
                del self.needs[limit]
                self._last_numbers.pop(limit, None)
        self.accounts = {
            lessee: account for lessee, account in self.accounts.items() if account.is_active(now)
        }


def _largest(amounts: list[Grant], moment: float) -> float:
    """The largest of several that last until a moment at least."""
    return max((one.amount for one in amounts if one.until >= moment), default=0.0)


def _drop_ended(by_limit: dict[Limit, dict[int, list[Grant]]], now: float) -> None:
    for limit, by_lessee in list(by_limit.items()):
        lasting = {}
        for lessee, amounts in by_lessee.items():
            kept = [one for one in amounts if one.until > now]
            if kept:
                lasting[lessee] = kept
        if lasting:
            by_limit[limit] = lasting
        else:
            del by_limit[limit]


def max_min_fair(needs: dict[int, float], pool: float) -> dict[int, float]:
    """Divide a pool: the least needs are met in full, the rest of the pool is divided evenly."""
    amounts = {}
    left = pool
    for met, (lessee, need) in enumerate(sorted(needs.items(), key=lambda item: (item[1], item[0]))):
        amounts[lessee] = min(need, left / (len(needs) - met))
        left -= amounts[lessee]
    return amounts
