"""The shared-limits core of one router: rounds, events for the engine, status rows. No I/O, no clock."""

from collections.abc import Callable, Iterable, Sequence

from brookhinge.engine.events import QuotasAssigned
from brookhinge.limits.lease_protocol import LeaseProtocol
from brookhinge.limits.lease_terms import REPORT_INTERVAL_S
from brookhinge.limits.records import DemandSample, Limit
from brookhinge.membership.core import CoreContext, CoreWriter
from brookhinge.membership.messages import CoreMessage, LeaseOffer, LeaseRequest, Row, StatusTopic

OWN_FRACTION_ROW = ("own", "", 0)  # takes the place of the limit in a row


class Limits:
    """Maintains the quotas of one router and posts changes of them to the engine.

    QuotasAssigned has a row (kind, server, start, quota) for each limit whose quota has changed; the quota is
    None if the limit is no longer shared. The row of OWN_FRACTION_ROW holds the fraction that the router may
    use of its own quota of every other limit.
    """

    message_types = (LeaseRequest, LeaseOffer)
    status_topic = StatusTopic.LIMITS

    def __init__(
        self,
        context: CoreContext,
        *,
        fleet_size: Callable[[], tuple[int, int]],
        demand: Callable[[], Iterable[DemandSample]],
        now: float,
    ) -> None:
        """Initialize the core.

        Args:
            context: This router and the view of its fleet.
            fleet_size: Returns the numbers of routers that share the limits of this zone and of the fleet.
            demand: Returns the demand since its last call.
            now: Current time.
        """
        self.protocol = LeaseProtocol(context, fleet_size, now)
        self.take_demand = demand
        self.next_expiry_at = now
        self._next_report_at = now
        self._posted: dict[Limit, float] = {}
        self._posted_own_fraction: float | None = None

    def next_at(self) -> float:
        """Return when the next report is due."""
        return self._next_report_at

    def round(self, now: float, inbox: Sequence[CoreMessage], writer: CoreWriter) -> None:
        """Process received messages, send a report if it is due, and post changed quotas."""
        for received in inbox:
            self.protocol.receive(now, received, writer)
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            self.protocol.demand.update(now, self.take_demand())
            self.protocol.report(now, writer)
        self.publish(now, writer)

    def publish(self, now: float, writer: CoreWriter) -> None:
        """Post the quotas that have changed.

        Also called before a round of the engine once `next_expiry_at` has passed, so that no quota is used
        after it has expired, even if the process was frozen in the meantime.
        """
        lessee = self.protocol.lessee
        rows: list[Row] = []
        own_fraction = lessee.own_fraction(now)
        if self._posted_own_fraction != own_fraction:
            self._posted_own_fraction = own_fraction
            rows.append((*OWN_FRACTION_ROW, own_fraction))
        shared = {**self.protocol.demand.fractions, **lessee.grants, **lessee.leases}
        for limit in shared:
            quota = self.protocol.quota(limit, now)
            if self._posted.get(limit) != quota:
                self._posted[limit] = quota
                rows.append((*limit, quota))
        for limit in [limit for limit in self._posted if limit not in shared]:
            del self._posted[limit]
            rows.append((*limit, None))
        self.next_expiry_at = lessee.next_expiry(now)
        if rows:
            writer.post_event(QuotasAssigned(rows))

    def status_rows(self, now: float) -> list[Row]:
        """Return rows (kind, server, own quota, granted, leased, quota, seconds until it shrinks, lessor)."""
        lessee = self.protocol.lessee
        rows = []
        for limit in sorted(
            self.protocol.demand.fractions.keys() | lessee.grants.keys() | lessee.leases.keys()
        ):
            lessor = self.protocol.lessor_of(limit)
            rows.append(
                (
                    limit.kind,
                    limit.server,
                    round(self.protocol.own_quota(limit), 4),
                    round(lessee.granted_away(limit, now), 4),
                    round(lessee.leased(limit, now), 4),
                    round(self.protocol.quota(limit, now), 4),
                    round(lessee.lease_ends_at(limit, now) - now, 2),
                    self.protocol.view.names[lessor] if lessor is not None else "",
                )
            )
        return rows
