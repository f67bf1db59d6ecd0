"""Handles events of the fleet, and provides this router's reports to the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brookhinge.decisions import messages
from brookhinge.engine import events
from brookhinge.engine.endpoint_list import EndpointList
from brookhinge.engine.purges import PurgeRecorder
from brookhinge.engine.records import Records

if TYPE_CHECKING:
    from brookhinge.decisions.router import Router
    from brookhinge.membership.safety_notices import SafetyNotices

# Kinds of purge log entries, as numbered by `purgelog/messages.py`.
PURGE_ENTRY = 1
DRAINING_ENTRY = 2
MS_PER_S = 1000.0


class FleetEvents:
    """Passes events of the fleet to the decisions; the fleet identifies servers by id and start in ms."""

    def __init__(
        self,
        records: Records,
        *,
        decisions: Router,
        endpoints: EndpointList,
        purges: PurgeRecorder,
        safety_notices: SafetyNotices | None,
    ) -> None:
        self.context = records.context
        self.decisions = decisions
        self.endpoints = endpoints
        self.purges = purges
        self.safety_notices = safety_notices

    # Events from the fleet.

    def on_peer_notice(self, event: events.PeerNoticeReceived) -> None:
        """Apply a peer's notice, which can only add restrictions; it takes effect in this round."""
        if event.kind != "purge":
            self.apply_notice(event.kind, event.values)
            return
        group, key, stamp_ms = event.values
        if self.safety_notices.purge_is_new(group, key, stamp_ms):
            purged_at = stamp_ms / MS_PER_S - self.safety_notices.router_started_at
            self.purges.record_notice(group, key, purged_at)

    def on_log_entry(self, event: events.PurgeLogEntryRead) -> None:
        """Apply an entry of the purge log.

        A purge is dated to the current time of this router's clock, so the clocks of others do not matter.
        """
        if event.kind != PURGE_ENTRY:
            kind = "draining" if event.kind == DRAINING_ENTRY else "gone"
            self.apply_notice(kind, (event.text, event.number))
        elif self.safety_notices.purge_is_new(event.number, event.text, event.stamp_ms):
            self.purges.record(event.number, event.text, 0.0)
            if event.retained:
                self.purges.retain([(event.text or event.number, 0.0)])

    def on_retained_purges(self, event: events.RetainedPurgesRead) -> None:
        """Keep purges that caches are not told of."""
        self.purges.retain(event.purges, event.floor_age_s)

    def apply_notice(self, kind: str, values: tuple) -> None:
        """Apply a notice that a server is draining or gone."""
        row = self.safety_notices.receive_notice((kind, *values))
        if row is not None:
            self.endpoints.apply_notice(row)

    def on_copy_rule_changed(self, event: events.CopyRuleChanged) -> None:
        """Pass on the rule for using the router's own copies."""
        self.context.state_updates.append(messages.CopyRuleChanged(event.rule, event.missed_purges))

    def on_purge_knowledge_changed(self, event: events.PurgeKnowledgeChanged) -> None:
        """Pass on whether all purges that caches are not told of are known."""
        self.context.state_updates.append(messages.PurgeKnowledgeChanged(event.is_complete, event.max_age_s))

    def on_router_count_changed(self, event: events.RouterCountChanged) -> None:
        """Pass on the numbers of routers that share limits."""
        self.context.state_updates.append(messages.RouterCountChanged(event.in_zone, event.in_fleet))

    def on_quotas_assigned(self, event: events.QuotasAssigned) -> None:
        """Pass on quotas; a quota for another instance of a server than the listed one is ignored."""
        quotas = []
        for kind, server, start_ms, quota in event.quotas:
            row = self.safety_notices.rows.get(server)
            if kind == "own" or self.is_listed_start(row, start_ms):
                quotas.append((kind, server, row and row.started_at, quota))
        self.context.state_updates.append(messages.QuotasAssigned(quotas))

    def on_outlier_verdicts_changed(self, event: events.OutlierVerdictsChanged) -> None:
        """Pass on verdicts; a verdict on another instance of a server than the listed one is ignored."""
        verdicts = [
            (server, verdict, seconds)
            for server, start_ms, verdict, seconds in event.verdicts
            if self.is_listed_start(self.safety_notices.rows.get(server), start_ms)
        ]
        self.context.state_updates.append(messages.OutlierVerdictsChanged(verdicts))

    def on_warm_start_received(self, event: events.WarmStartReceived) -> None:
        """Pass on what a longer-running peer has learned."""
        self.context.inbox.append(messages.WarmStartReceived(event.rows))
        self.context.log("remembered", rows=len(event.rows))

    def is_listed_start(self, row: messages.Endpoint | None, start_ms: int) -> bool:
        """Return whether the row of a listed server has that start time; False if `row` is None."""
        return row is not None and self.safety_notices.unix_ms(row.started_at) == start_ms

    # Reports to the fleet.

    def demand(self) -> list[tuple]:
        """Return the demand for shared limits since the last call, as (kind, server, start in ms, ...)."""
        return [
            (kind, server, self.safety_notices.unix_ms(started_at), *demand)
            for kind, server, started_at, *demand in self.decisions.demand(self.context.now)
        ]

    def attempt_totals(self) -> dict[tuple[str, int], tuple[float, float]]:
        """Return {(server, start in ms): (attempts, failures)} of caches since this process started."""
        return {
            (server, self.safety_notices.unix_ms(started_at)): (attempts, failures)
            for server, started_at, attempts, failures in self.decisions.seen()
        }
