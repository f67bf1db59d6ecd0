"""One router's quotas of the fleet's limits. No I/O, no clock.

Its quota of a limit is its own, one of N, less what it granted to lessors, plus what lessors lease to it.
Each grant and each lease ends by itself. Nothing is subtracted late or added early: a grant counts from
before its request goes out, a lease ends counted from before it was requested.
"""

import math
from collections.abc import Container, Iterable

from brookhinge.limits.lease_terms import (
    DEMAND_HEADROOM,
    GRANT_TERM_S,
    LEASE_TERM_S,
    MESSAGES_REMEMBERED,
    MIN_KEPT_FRACTION,
    SILENT_S,
    START_S,
)
from brookhinge.limits.records import Demand, Grant, Lease, Limit, RequestRow


class Lessee:
    """Quotas by limit; lessors are known by their incarnation ids."""

    def __init__(self, now: float, alone: bool = False) -> None:
        """Start; `alone`: the settings tell of no other router, so there is nobody to wait for."""
        self.started_at = now - START_S if alone else now
        self.grants: dict[Limit, dict[int, list[Grant]]] = {}
        self.leases: dict[Limit, dict[int, Lease]] = {}
        self.requested_at: dict[int, dict[int, float]] = {}  # lessor: request number: when
        self._last_number = 0

    def quota(self, limit: Limit, own_quota: float, now: float) -> float:
        """The fraction of a limit that may be used now; `own_quota`: one of N."""
        own = self.own_fraction(now) * own_quota
        return min(1.0, max(0.0, own - self.granted_away(limit, now)) + self.leased(limit, now))

    def own_fraction(self, now: float) -> float:
        """How much of its own quotas a process of this age may use, 0 to 1."""
        age_s = now - self.started_at
        if age_s < SILENT_S:
            return 0.0
        return MIN_KEPT_FRACTION if age_s < START_S else 1.0

    def granted_away(self, limit: Limit, now: float, excluding: int | None = None) -> float:
        """What is granted now, to all lessors but one.

        Of several grants to one lessor the largest counts: it may have received the request with that one
        alone.
        """
        return sum(
            max((grant.amount for grant in grants if grant.until > now), default=0.0)
            for lessor, grants in self.grants.get(limit, {}).items()
            if lessor != excluding
        )

    def leased(self, limit: Limit, now: float) -> float:
        """What lessors lease to this router now."""
        return sum(lease.amount for lease in self.leases.get(limit, {}).values() if lease.until > now)

    def lease_ends_at(self, limit: Limit, now: float) -> float:
        """When the first lease of a limit ends; `now` if there is none."""
        return min((one.until for one in self.leases.get(limit, {}).values() if one.until > now), default=now)

    def next_expiry(self, now: float) -> float:
        """When the next lease ends: until then no quota shrinks by itself."""
        return min(
            (
                lease.until
                for leases in self.leases.values()
                for lease in leases.values()
                if lease.until > now
            ),
            default=math.inf,
        )

    def make_request(
        self, now: float, lessor: int, demands: dict[Limit, Demand], contended: Container[Limit]
    ) -> tuple[int, list[RequestRow]]:
        """Compose the request to a lessor; what it grants is given up from now on.

        Args:
            now: seconds.
            lessor: to whom it goes.
            demands: of the limits that it is about.
            contended: limits of which the lessor says that somebody lacks some.

        Returns:
            The request's number, and its rows.
        """
        self._last_number += 1
        requested_at = self.requested_at.setdefault(lessor, {})
        requested_at[self._last_number] = now
        if len(requested_at) > MESSAGES_REMEMBERED:
            del requested_at[next(iter(requested_at))]
        rows = []
        for limit, demand in demands.items():
            is_contended = limit in contended
            need = self._need(now, demand)
            grant = 0.0
            if not need and is_contended and self._has_started(now):
                grant = self._grant(now, lessor, limit, demand)
            if need or grant or is_contended:
                rows.append(RequestRow(limit, need, grant))
        return self._last_number, rows

    def _has_started(self, now: float) -> bool:
        return now - self.started_at >= START_S

    def _need(self, now: float, demand: Demand) -> float:
        """What the demand is over the own quota, as far as that may be used."""
        usable = demand.own_quota if self._has_started(now) else MIN_KEPT_FRACTION * demand.own_quota
        return max(0.0, DEMAND_HEADROOM * demand.used - usable)

    def _grant(self, now: float, lessor: int, limit: Limit, demand: Demand) -> float:
        """Grant a lessor what this router can do without; how much that is."""
        kept = max(MIN_KEPT_FRACTION * demand.own_quota, DEMAND_HEADROOM * demand.used)
        amount = max(0.0, demand.own_quota - kept - self.granted_away(limit, now, excluding=lessor))
        if amount:
            grants = self.grants.setdefault(limit, {}).setdefault(lessor, [])
            larger = [grant for grant in grants if grant.until > now and grant.amount > amount]
            grants[:] = [*larger, Grant(amount, now + GRANT_TERM_S)]
        return amount

    def receive_offer(
        self, now: float, lessor: int, number: int, acknowledged: int, amounts: Iterable[tuple[Limit, float]]
    ) -> None:
        """Take leases; they count from the request that the lessor had received, if it is remembered."""
        requested_at = self.requested_at.get(lessor, {}).get(acknowledged)
        if requested_at is None:
            return
        until = requested_at + LEASE_TERM_S
        for limit, amount in amounts:
            leases = self.leases.setdefault(limit, {})
            last_number = leases[lessor].number if lessor in leases else 0
            if last_number < number and until > now:
                leases[lessor] = Lease(number, amount, until)

    def expire(self, now: float) -> None:
        """Drop what has ended."""
        for limit, by_lessor in list(self.grants.items()):
            self.grants[limit] = {
                lessor: grants for lessor, grants in by_lessor.items() if grants[-1].until > now
            }
            if not self.grants[limit]:
                del self.grants[limit]
        for limit, leases in list(self.leases.items()):
            self.leases[limit] = {lessor: lease for lessor, lease in leases.items() if lease.until > now}
            if not self.leases[limit]:
                del self.leases[limit]
        self.requested_at = {
            lessor: requested_at
            for lessor, requested_at in self.requested_at.items()
            if now - max(requested_at.values()) < GRANT_TERM_S
        }
