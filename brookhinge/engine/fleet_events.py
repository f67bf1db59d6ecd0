"""Handlers of the fleet's events, and what this router reports to the fleet."""

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

# Kinds of entries of the purge log: brookhinge/purgelog/messages.py.
PURGE_ENTRY = 1
DRAINING_ENTRY = 2
MILLISECONDS = 1000.0  # in a second


class FleetEvents:
    """Passes what the fleet knows to the decisions; it names servers by id and start in ms."""

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

    # events

    def on_peer_notice(self, event: events.PeerNoticeReceived) -> None:
        """Apply a peer's notice. It can only tighten, and binds in this very round."""
        if event.kind != "purge":
            self.apply_notice(event.kind, event.values)
            return
        group, key, stamp_ms = event.values
        if self.safety_notices.purge_is_new(group, key, stamp_ms):
            purged_at = stamp_ms / MILLISECONDS - self.safety_notices.start
            self.purges.record_notice(group, key, purged_at)

    def on_log_entry(self, event: events.PurgeLogEntryRead) -> None:
        """Apply an entry of the purge log.

        A purge counts from now on by this router's own clock, whatever others' clocks say.
        """
        if event.kind != PURGE_ENTRY:
            kind = "draining" if event.kind == DRAINING_ENTRY else "gone"
            self.apply_notice(kind, (event.text, event.number))
        elif self.safety_notices.purge_is_new(event.number, event.text, event.stamp_ms):
            self.purges.record(event.number, event.text, 0.0)

    def apply_notice(self, kind: str, values: tuple) -> None:
        """Apply a notice that a server drains or is gone."""
        row = self.safety_notices.receive_notice((kind, *values))
        if row is not None:
            self.endpoints.apply_notice(row)

    def on_copy_rule_changed(self, event: events.CopyRuleChanged) -> None:
        """Pass on what the router may do with its own copies."""
        self.context.facts.append(messages.CopyRuleChanged(event.rule, event.missed_purges))

    def on_router_count_changed(self, event: events.RouterCountChanged) -> None:
        """Pass on by how many routers limits are divided."""
        self.context.facts.append(messages.RouterCountChanged(event.here, event.everywhere))

    def on_quotas_assigned(self, event: events.QuotasAssigned) -> None:
        """Pass on quotas; one of an earlier start of a server is ignored."""
        quotas = []
        for kind, server, start_ms, quota in event.quotas:
            row = self.safety_notices.rows.get(server)
            if kind == "own" or self.is_start(row, start_ms):
                quotas.append((kind, server, row and row.started_at, quota))
        self.context.facts.append(messages.QuotasAssigned(quotas))

    def on_outlier_verdicts_changed(self, event: events.OutlierVerdictsChanged) -> None:
        """Pass on verdicts; one on an earlier start of a server is ignored."""
        verdicts = [
            (server, verdict, seconds)
            for server, start_ms, verdict, seconds in event.verdicts
            if self.is_start(self.safety_notices.rows.get(server), start_ms)
        ]
        self.context.facts.append(messages.OutlierVerdictsChanged(verdicts))

    def on_warm_start_received(self, event: events.WarmStartReceived) -> None:
        """Pass on what a peer knows that has run for longer."""
        self.context.inbox.append(messages.WarmStartReceived(event.rows))
        self.context.log("remembered", rows=len(event.rows))

    def is_start(self, row: messages.Endpoint | None, start_ms: int) -> bool:
        """Whether a server is listed with that start."""
        return row is not None and self.safety_notices.unix_ms(row.started_at) == start_ms

    # reports

    def demand(self) -> list[tuple]:
        """Demand since the last call for limits that the fleet shares: (kind, server, start in ms, ...)."""
        return [
            (kind, server, self.safety_notices.unix_ms(started_at), *demand)
            for kind, server, started_at, *demand in self.decisions.demand(self.context.now)
        ]

    def seen(self) -> dict[tuple[str, int], tuple[float, float]]:
        """{(server, start in ms): (attempts, failures)} of caches, totals of this process."""
        return {
            (server, self.safety_notices.unix_ms(started_at)): (attempts, failures)
            for server, started_at, attempts, failures in self.decisions.seen()
        }
