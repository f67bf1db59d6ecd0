"""Connects a router to the state that it shares with its peers, as configured by its `fleet` block.

Fleet packages are imported only if the block enables them, so that a router without peers does not load them.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

from brookhinge.decisions.router import Router
from brookhinge.engine.effects import NotifyPeers
from brookhinge.engine.events import Event
from brookhinge.engine.router_state import RouterState
from brookhinge.startup import Site

if TYPE_CHECKING:
    from brookhinge.membership.safety_notices import SafetyNotices
    from brookhinge.membership.udp_transport import UdpTransport
    from brookhinge.operator.settings import Control, Fleet
    from brookhinge.purgelog.client import LogClient

JOIN_RETRY_S = 0.05  # between attempts to bind the address that the previous process still holds


def safety_notices(started_at: float) -> SafetyNotices:
    """Return a store for safety notices: notices from peers that tighten a rule.

    Args:
        started_at: Unix time at which this router started.
    """
    from brookhinge.membership.safety_notices import SafetyNotices

    return SafetyNotices(started_at)


def router_class(fleet: Fleet | None) -> type[Router]:
    """Return the router class, extended with a mixin for each kind of state that the fleet shares."""
    extensions = []
    if fleet is not None and fleet.share_limits:
        from brookhinge.limits.shared import SharedLimitsMixin

        extensions.append(SharedLimitsMixin)
    if fleet is not None and fleet.share_verdicts:
        from brookhinge.verdicts.shared import FleetOutliersMixin

        extensions.append(FleetOutliersMixin)
    if fleet is not None and fleet.share_memory:
        from brookhinge.membership.warm_start_decisions import WarmStartMixin

        extensions.append(WarmStartMixin)
    if fleet is not None and fleet.purge_log:
        from brookhinge.purgelog.copies import ProvenCopiesMixin
        from brookhinge.purgelog.retained_decisions import RetainedPurgesMixin

        extensions += [ProvenCopiesMixin, RetainedPurgesMixin]
    return type("Router", (*extensions, Router), {}) if extensions else Router


class FleetLink:
    """This router's membership in the fleet, and its purge log client if it reads the purge log.

    Attributes:
        before_round: Functions to call before each round. Events that they post come first in that round.
    """

    def __init__(
        self,
        fleet: Fleet,
        controls: dict[str, Control],
        *,
        site: Site,
        state: RouterState,
        post: Callable[[Event], None],
        log: Callable[..., None],
    ) -> None:
        from brookhinge.membership.udp_transport import UdpTransport

        location = site.decisions.location
        configured_sizes = (location.routers_here, location.routers)
        self._fleet = fleet
        self._state = state
        self._log = log
        self._transport: UdpTransport = UdpTransport(fleet, site.seed, configured_sizes, post, log)
        self._purge_log: LogClient | None = None
        self.before_round = [self._transport.before_engine_round]
        if fleet.share_limits:
            self._share_limits()
        if fleet.share_memory:
            self._share_warm_start_state()
        if fleet.share_verdicts:
            self._share_outlier_evidence()
        if fleet.purge_log:
            self._read_purge_log(controls, post)

    def _share_limits(self) -> None:
        from brookhinge.limits.limits import Limits

        self._transport.add(
            lambda transport, now: Limits(
                transport.core_context(),
                fleet_size=lambda: transport.fleet_size,
                demand=self._state.fleet.demand,
                now=now,
            )
        )

    def _share_warm_start_state(self) -> None:
        from brookhinge.membership.warm_start import WarmStart

        self._transport.add(
            lambda transport, now: WarmStart(
                transport.core_context(),
                known_rows=self._state.decisions.warm_start_rows,
                now=now,
            )
        )

    def _share_outlier_evidence(self) -> None:
        from brookhinge.verdicts.outlier_detection import OutlierDetection

        servers = self._state.decisions.endpoints
        self._transport.add(
            lambda transport, now: OutlierDetection(
                transport.core_context(),
                routers=lambda: transport.fleet_size.in_zone,
                own_totals=self._state.fleet.attempt_totals,
                servers=lambda: len(servers.local_caches),
                now=now,
            )
        )

    def _read_purge_log(self, controls: dict[str, Control], post: Callable[[Event], None]) -> None:
        from brookhinge.purgelog.client import LogClient

        self._purge_log = self._transport.purge_log = LogClient(self._fleet, controls, post, self._log)
        self.before_round.append(self._purge_log.expire_proof)

    def notify_peers(self, effect: NotifyPeers) -> None:
        """Send peers a notice that tightens a rule.

        Purges are omitted if the settings say so, while the purge log delivers them.
        """
        is_in_purge_log = (
            effect.kind == "purge" and self._purge_log is not None and self._purge_log.replaces_notices()
        )
        if not is_in_purge_log:
            self._transport.spread(effect.kind, *effect.values)

    async def join(self) -> None:
        """Start exchanging messages with peers and reading the purge log.

        Raises:
            OSError: A fleet address cannot be bound.
        """
        if self._purge_log is not None and self._purge_log.closed():
            await self._purge_log.start()
        await self._transport.start()

    async def join_after_predecessor(self) -> None:
        """Join the fleet once the previous process of this router has left it.

        Both processes have the same name and address.
        """
        while True:
            try:
                await self.join()
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    self._log("fault", where="fleet", why=str(error))
                    return
            else:
                return
            await asyncio.sleep(JOIN_RETRY_S)

    async def leave(self) -> None:
        """Leave the fleet; this router's share of the limits is in use until then."""
        if self._purge_log is not None:
            self._purge_log.stop()
        await self._transport.leave()
