"""One router's quotas of shared limits. No I/O, no clock.

The quota of a limit is the router's own quota (an equal share), minus what it granted to lessors, plus what
lessors lease to it. Grants and leases expire. A grant takes effect before its request is sent, and the term
of a lease starts when it is requested, so two routers never use the same part of a limit.
"""

import math
from collections.abc import Container, Iterable

from brookhinge.limits.lease_terms import (
    DEMAND_HEADROOM,
    GRANT_TERM_S,
    LEASE_TERM_S,
    MESSAGES_REMEMBERED,
    MIN_KEPT_FRACTION,
    NO_QUOTA_S,
    START_S,
)
from brookhinge.limits.records import Demand, Grant, Lease, Limit, RequestRow


class Lessee:
    """Computes quotas from grants and leases; lessors are identified by their incarnation ids."""

    def __init__(self, now: float, is_sole_router: bool = False) -> None:
        """Initialize; a router that is the only one (`is_sole_router`) skips the wait after its start."""
        self.started_at = now - START_S if is_sole_router else now
        self.grants: dict[Limit, dict[int, list[Grant]]] = {}
        self.leases: dict[Limit, dict[int, Lease]] = {}
        self.requested_at: dict[int, dict[int, float]] = {}  # by lessor and request number
        self._last_number = 0

    def quota(self, limit: Limit, own_quota: float, now: float) -> float:
        """Return the fraction of a limit that may be used now; `own_quota` is this router's equal share."""
        own = self.own_fraction(now) * own_quota
        return min(1.0, max(0.0, own - self.granted_away(limit, now)) + self.leased(limit, now))

    def own_fraction(self, now: float) -> float:
        """Return the fraction of its own quotas that a process of this age may use, 0 to 1."""
        age_s = now - self.started_at
        if age_s < NO_QUOTA_S:
            return 0.0
        return MIN_KEPT_FRACTION if age_s < START_S else 1.0

    def granted_away(self, limit: Limit, now: float, excluding: int | None = None) -> float:
        """Return the fraction of a limit that is granted now, to all lessors but `excluding`.

        Of several grants to one lessor, the largest counts, since it may be the only one that reached the
        lessor.
        """
        return sum(
            max((grant.amount for grant in grants if grant.until > now), default=0.0)
            for lessor, grants in self.grants.get(limit, {}).items()
            if lessor != excluding
        )

    def leased(self, limit: Limit, now: float) -> float:
        """Return the fraction of a limit that lessors lease to this router now."""
        return sum(lease.amount for lease in self.leases.get(limit, {}).values() if lease.until > now)

    def lease_ends_at(self, limit: Limit, now: float) -> float:
        """Return when the first lease of a limit expires; `now` if there is none."""
        return min(
            (lease.until for lease in self.leases.get(limit, {}).values() if lease.until > now), default=now
        )

    def next_expiry(self, now: float) -> float:
        """Return when the next lease expires; until then no quota shrinks without a request."""
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
        """Build a request to a lessor; the quota that it grants is no longer used from now on.

        Args:
            now: Current time.
            lessor: Incarnation id of the lessor.
            demands: Own quota and demand for each limit of the request.
            contended: Limits that some router is short of, according to their lessors.

        Returns:
            The number of the request and its rows.
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
        """Return by how much the demand with headroom exceeds the usable part of the own quota."""
        usable = demand.own_quota if self._has_started(now) else MIN_KEPT_FRACTION * demand.own_quota
        return max(0.0, DEMAND_HEADROOM * demand.recent - usable)

    def _grant(self, now: float, lessor: int, limit: Limit, demand: Demand) -> float:
        """Grant a lessor the quota that this router does not need; return the amount."""
        kept = max(MIN_KEPT_FRACTION * demand.own_quota, DEMAND_HEADROOM * demand.recent)
        amount = max(0.0, demand.own_quota - kept - self.granted_away(limit, now, excluding=lessor))
        if amount:
            grants = self.grants.setdefault(limit, {}).setdefault(lessor, [])
            larger = [grant for grant in grants if grant.until > now and grant.amount > amount]
            grants[:] = [*larger, Grant(amount, now + GRANT_TERM_S)]
        return amount

    def receive_offer(
        self, now: float, lessor: int, number: int, acknowledged: int, amounts: Iterable[tuple[Limit, float]]
    ) -> None:
        """Record the leases of an offer; their term starts at the request that the offer acknowledges.

        An offer that acknowledges an unknown request is ignored.
        """
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
        """Drop expired grants and leases, and old requests."""
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
