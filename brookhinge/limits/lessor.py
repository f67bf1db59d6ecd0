"""The lessor leases what was granted to it, never more. No I/O, no clock.

A limit may have several lessors at once that do not know of each other, and a lessor may lose its state: each
leases only what was granted to itself, so together they lease no more than was granted.
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
    """The messages exchanged with one lessee: its last request, and when each offer to it was sent."""

    __slots__ = ("last_offer", "last_request", "offered_at", "requested_at")

    def __init__(self) -> None:
        self.last_request = 0
        self.requested_at = LONG_AGO
        self.last_offer = 0
        self.offered_at: dict[int, float] = {}

    def is_active(self, now: float) -> bool:
        """Return whether a message was exchanged recently."""
        if now - self.requested_at < ACCOUNT_KEPT_S:
            return True
        return bool(self.offered_at) and now - max(self.offered_at.values()) < ACCOUNT_KEPT_S


class Need(NamedTuple):
    """The fraction of a limit that a lessee needs more; expires at `until` unless it is repeated."""

    amount: float
    until: float


class Lessor:
    """Holds grants received and leases issued, by limit and lessee.

    Lessees are identified by their incarnation ids.
    """

    def __init__(self) -> None:
        self.accounts: dict[int, LeaseAccount] = {}
        self.grants: dict[Limit, dict[int, list[Grant]]] = {}
        self.leases: dict[Limit, dict[int, list[Grant]]] = {}
        self.needs: dict[Limit, dict[int, Need]] = {}
        self._last_numbers: dict[Limit, dict[int, int]] = {}

    def receive_request(
        self, now: float, lessee: int, number: int, acknowledged: int, rows: Iterable[RequestRow]
    ) -> None:
        """Record the needs and grants of a lessee.

        The term of a grant starts when the offer was sent that the request acknowledges. The lessee counts it
        from the request, which is later. A grant that acknowledges no known offer is ignored.
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
        if not any(other.amount >= grant.amount and other.until >= grant.until for other in grants):
            kept = [other for other in grants if other.amount > grant.amount or other.until > grant.until]
            grants[:] = [*kept, grant]

    def shortfalls(self, now: float) -> dict[Limit, float]:
        """Return the limits that lessees are short of, and the sum of their needs."""
        totals = {
            limit: sum(need.amount for need in needs.values() if need.until > now)
            for limit, needs in self.needs.items()
        }
        return {limit: total for limit, total in totals.items() if total > 0.0}

    def issue_leases(self, now: float) -> dict[Limit, dict[int, float]]:
        """Issue leases of all limits that lessees are short of; return the amounts by limit and lessee."""
        self.expire(now)
        issued = {}
        for limit in self.shortfalls(now):
            amounts = self._allocate(limit, now)
            if amounts:
                issued[limit] = amounts
        return issued

    def _allocate(self, limit: Limit, now: float) -> dict[int, float]:
        """Issue the leases of one limit.

        An issued lease counts until the last time at which the lessee may use it. At each such time, all
        leases still in force stay within the grants still in force. A lessee therefore gets the part of its
        target that other lessees still hold only when their leases have expired.
        """
        until = now + LEASE_TERM_S * (1.0 + MAX_CLOCK_DRIFT)
        leases = self.leases.setdefault(limit, {})
        end_times = sorted({lease.until for issued in leases.values() for lease in issued} | {until})
        outstanding = {
            lessee: [_largest_amount(issued, at) for at in end_times] for lessee, issued in leases.items()
        }
        granted = [self.granted(limit, at) for at in end_times]
        free = [granted[k] - sum(row[k] for row in outstanding.values()) for k in range(len(end_times))]
        issued = {}
        for lessee, target in self._targets(limit, now, granted[-1]):
            held = outstanding.get(lessee, [0.0] * len(end_times))
            amount = min(target, *(own + unused for own, unused in zip(held, free, strict=True)))
            if amount > 0.0:
                free = [unused - max(0.0, amount - own) for own, unused in zip(held, free, strict=True)]
                issued[lessee] = amount
                leases.setdefault(lessee, []).append(Grant(amount, until))
        return issued

    def _targets(self, limit: Limit, now: float, pool: float) -> Iterator[tuple[int, float]]:
        """Yield each lessee and its amount, those in need first; the remainder is divided evenly."""
        needs = {
            lessee: need.amount
            for lessee, need in self.needs[limit].items()
            if need.until > now and need.amount > 0.0
        }
        fair_amounts = max_min_fair(needs, pool)
        remainder = max(0.0, pool - sum(fair_amounts.values()))
        lessees = self.needs[limit]
        for lessee in sorted(lessees, key=lambda lessee: (lessee not in needs, lessee)):
            yield lessee, fair_amounts.get(lessee, 0.0) + remainder / len(lessees)

    def granted(self, limit: Limit, at: float) -> float:
        """Return the fraction of a limit that is granted by grants still in force at a later time."""
        return sum(_largest_amount(grants, at) for grants in self.grants.get(limit, {}).values())

    def next_offer(self, now: float, lessee: int) -> tuple[int, int]:
        """Record an offer that is sent now; return its number and that of the lessee's last request."""
        account = self.accounts.setdefault(lessee, LeaseAccount())
        account.last_offer += 1
        account.offered_at[account.last_offer] = now
        if len(account.offered_at) > MESSAGES_REMEMBERED:
            del account.offered_at[next(iter(account.offered_at))]
        return account.last_offer, account.last_request

    def expire(self, now: float) -> None:
        """Drop expired grants, leases and needs, and the accounts of inactive lessees."""
        _drop_expired(self.grants, now)
        _drop_expired(self.leases, now)
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


def _largest_amount(grants: list[Grant], at: float) -> float:
    """Return the largest amount that is still in force at a time; 0 if there is none."""
    return max((grant.amount for grant in grants if grant.until >= at), default=0.0)


def _drop_expired(by_limit: dict[Limit, dict[int, list[Grant]]], now: float) -> None:
    for limit, by_lessee in list(by_limit.items()):
        unexpired = {}
        for lessee, grants in by_lessee.items():
            kept = [grant for grant in grants if grant.until > now]
            if kept:
                unexpired[lessee] = kept
        if unexpired:
            by_limit[limit] = unexpired
        else:
            del by_limit[limit]


def max_min_fair(needs: dict[int, float], pool: float) -> dict[int, float]:
    """Divide a pool: the smallest needs are met in full, the larger ones get equal amounts of the rest."""
    amounts = {}
    left = pool
    for met, (lessee, need) in enumerate(sorted(needs.items(), key=lambda item: (item[1], item[0]))):
        amounts[lessee] = min(need, left / (len(needs) - met))
        left -= amounts[lessee]
    return amounts
