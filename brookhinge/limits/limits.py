"""The core of shared limits of one router: rounds, reports to the engine, status rows. No I/O, no clock."""

from collections.abc import Callable, Iterable, Sequence

from brookhinge.engine.events import QuotasAssigned
from brookhinge.limits.lease_protocol import LeaseProtocol
from brookhinge.limits.lease_terms import REPORT_INTERVAL_S
from brookhinge.limits.records import DemandSample, Limit
from brookhinge.membership.core import CoreContext, CoreWriter
from brookhinge.membership.messages import CoreMessage, LeaseOffer, LeaseRequest, Row, StatusTopic

OWN_FRACTION_ROW = ("own", "", 0)  # stands in the place of a limit


class Limits:
    """Keeps the quotas of one router and posts to the engine what changes of them.

    QuotasAssigned has rows (kind, server, start, quota) of each limit whose quota has changed, None for
    one that is no longer shared; the row of OWN_FRACTION_ROW says how much of all other quotas of its own
    the router may use.
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
        """Start.

        Args:
            context: this router and the fleet.
            fleet_size: by how many the limits of its zone, and those of the whole fleet, are divided.
            demand: what was asked for since it was last called.
            now: seconds.
        """
        self.protocol = LeaseProtocol(context, fleet_size, now)
        self.take_demand = demand
        self.next_expiry_at = now
        self._next_report_at = now
        self._posted: dict[Limit, float] = {}
        self._posted_own_fraction: float | None = None

    def next_at(self) -> float:
        """When the next report is due."""
        return self._next_report_at

    def round(self, now: float, inbox: Sequence[CoreMessage], writer: CoreWriter) -> None:
        """Take what was received, report if it is due, and post what has changed."""
        for received in inbox:
            self.protocol.receive(now, received, writer)
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            self.protocol.demand.update(now, self.take_demand())
            self.protocol.report(now, writer)
        self.publish(now, writer)

    def publish(self, now: float, writer: CoreWriter) -> None:
        """Post the quotas that have changed.

        Also called before a round of the engine once `next_expiry_at` is past, so that no quota is used after
        its end, not even by a process that was frozen meanwhile.
        """
        lessee = self.protocol.lessee
        rows: list[Row] = []
        own_fraction = lessee.own_fraction(now)
        if self._posted_own_fraction != own_fraction:
            self._posted_own_fraction = own_fraction
            rows.append((*OWN_FRACTION_ROW, own_fraction))
        shared = {**self.protocol.demand.used, **lessee.grants, **lessee.leases}
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
        """Rows of kind, server, own quota, granted away, leased, quota, seconds till that shrinks, lessor."""
        lessee = self.protocol.lessee
        rows = []
        for limit in sorted(self.protocol.demand.used.keys() | lessee.grants.keys() | lessee.leases.keys()):
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
