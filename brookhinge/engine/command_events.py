"""Handles events of the command channel; commands that were already applied are ignored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brookhinge.engine.effects import NotifyPeers
from brookhinge.engine.endpoint_list import EndpointList
from brookhinge.engine.events import CommandSkipped, EndpointsListed, ObjectsPurged
from brookhinge.engine.purges import PurgeRecorder
from brookhinge.engine.records import Records

if TYPE_CHECKING:
    from brookhinge.membership.safety_notices import SafetyNotices


class CommandEvents:
    """Applies commands in order.

    Attributes:
        cursor: Number of the last command that was applied or skipped.
    """

    def __init__(
        self,
        records: Records,
        *,
        endpoints: EndpointList,
        purges: PurgeRecorder,
        safety_notices: SafetyNotices | None,
    ) -> None:
        self.context = records.context
        self.endpoints = endpoints
        self.purges = purges
        self.safety_notices = safety_notices
        self.cursor = 0

    def on_endpoints_listed(self, event: EndpointsListed) -> None:
        """Apply a complete endpoint list or a list of changes."""
        if event.number > self.cursor:
            self.cursor = event.number
            self.endpoints.apply(event.endpoints, is_complete=event.is_complete)

    def on_objects_purged(self, event: ObjectsPurged) -> None:
        """Notify the peers of a purge and record it, unless a peer's notice of it came earlier."""
        if event.number <= self.cursor:
            return
        self.cursor = event.number
        if self.safety_notices is not None:
            stamp_ms = round((event.purged_at + self.safety_notices.router_started_at) * 1000)
            purge = event.purge_group, event.object_key, stamp_ms
            self.context.emit(NotifyPeers("purge", purge))
            if not self.safety_notices.purge_is_new(*purge):
                return
        self.purges.record_command(event)

    def on_command_skipped(self, event: CommandSkipped) -> None:
        """Log a command that could not be decoded, and advance the cursor past it."""
        self.cursor = max(self.cursor, event.number)
        self.context.log("command skipped", cursor=event.number, why=event.reason)
