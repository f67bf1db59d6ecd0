"""A hollow router: the production control path on real UDP, without a data path.

The control path is membership, limits, verdicts and notices. The demand that client requests would put on the
cache servers is random and reproducible by seed.
"""

import asyncio
import collections
import random
import time

from brookhinge.emulator.capacity.links import LinkedTransport, Links, Traffic
from brookhinge.emulator.capacity.messages import RouterSample
from brookhinge.engine.events import PeerNoticeReceived, PurgeLogEntryRead
from brookhinge.limits.limits import Limits
from brookhinge.membership.udp_transport import UdpTransport
from brookhinge.operator.schema import FLEET as FLEET_SETTINGS
from brookhinge.operator.schema import REQUIRED
from brookhinge.operator.settings import Fleet
from brookhinge.verdicts.outlier_detection import OutlierDetection

FLEET, KEY = "capacity", bytes.fromhex("0123456789abcdef" * 2)
LEASE_S = 10.0
GROUP_OF_OBJECTS = -1  # group in the notice of a purge that names a single object
DEMAND_SIGMA = 0.8  # of the lognormal distribution of a router's demand for one server
BIND_ATTEMPTS = 50  # to bind the port that the router had before its restart, 0.1 s apart


def fleet_settings(**values):
    """Return a `fleet` block with these values and defaults for the others."""
    defaults = {key: default for key, (_, default) in FLEET_SETTINGS.items() if default is not REQUIRED}
    return Fleet(**{**defaults, **values})


class CountedMembership(UdpTransport):
    """Membership on UDP whose datagrams pass the emulated links and are counted."""

    def __init__(self, links, traffic, held, *args):
        """Create the transport.

        Args:
            links: Links that outgoing datagrams pass.
            traffic: Counters of sent and received datagrams.
            held: Whether it sends nothing and ignores received datagrams until `begin()`.
            args: Arguments of UdpTransport.
        """
        super().__init__(*args)
        self.links, self.traffic, self.held = links, traffic, held

    def begin(self):
        """Start to send and receive."""
        if self.held:
            self.held = False
            self.run_round()

    def datagram_received(self, data, address):
        """Count and process a received datagram."""
        if self.held:
            return
        self.traffic.count_received(data)
        super().datagram_received(data, address)

    def run_round(self):
        """Run one round, unless held.

        The first round runs before anything was sent, so installing the links here covers every datagram.
        """
        if self.transport is not None and not isinstance(self.transport, LinkedTransport):
            self.transport = LinkedTransport(self.transport, self.links, self.traffic)
        if not self.held:
            super().run_round()


class HollowRouter:
    """One router of a site.

    Attributes:
        arrivals: When each purge or drain took effect here, by number.
        rules: (time, CopyRule name) of each rule that the purge log applied to copies that the router holds.
        load: Mean part of the cache servers' capacity in use, 0 for no demand.
        changes: Number of membership changes and log events by name.
        started_at: When the router last started, or None if it is down.
    """

    def __init__(self, layout, site, number, seed, purge_log=None):
        """Create the router.

        Args:
            layout: Layout of the fleet.
            site: Site of the router.
            number: Number of the router within its site, from 0.
            seed: Seed of the run.
            purge_log: Creates the purge log client of a router, or None if peers distribute purges.
        """
        self.layout, self.site, self.number, self.seed = layout, site, number, seed
        self.name, self.host = site.name_of(number), site.host_of(number)
        self.traffic = Traffic()
        self.links = Links(layout, site.index, f"{seed} {self.name}")
        self.rng = random.Random(f"hollow {seed} {self.name}")
        self.address, self.membership, self.client, self.started_at = None, None, None, None
        self.purge_log = purge_log
        self.arrivals, self.rules, self.load = {}, [], 0.0
        self.changes = collections.Counter()
        self.servers = self.zone_servers()

    def zone_servers(self):
        """Return the names of the cache servers in the router's zone."""
        zones = [zone.place for zone in self.layout.capacity.zones]
        place = zones.index(self.site.zone)
        return [f"s{k + 1}" for k in range(place, self.layout.capacity.caches, len(zones))]

    async def start(self, join, hold=False):
        """Start the router, or restart it on its previous address, and return once its socket is bound.

        Args:
            join: Addresses of members to join by.
            hold: Whether membership stays silent until `begin()`.
        """
        for attempt in range(BIND_ATTEMPTS):
            try:
                await self.start_membership(join, hold)
                break
            except OSError:
                if attempt == BIND_ATTEMPTS - 1:
                    raise
                await asyncio.sleep(0.1)
        self.arrivals.clear()
        self.rules.clear()
        if self.purge_log is not None:
            self.client = self.purge_log(self)
            await self.client.start()
        self.started_at = time.monotonic()

    async def start_membership(self, join, hold):
        """Start membership with the limits and verdicts cores, as in production."""
        settings = fleet_settings(
            name=self.name,
            listen=self.address or (self.host, 0),
            join=tuple(map(tuple, join)),
            site=FLEET,
            key=KEY,
            zone=self.site.zone,
            lease_s=LEASE_S,
            share_limits=True,
            share_verdicts=True,
        )
        in_zone = sum(site.routers for site in self.layout.sites if site.zone == self.site.zone)
        membership = CountedMembership(
            self.links,
            self.traffic,
            hold,
            settings,
            f"{self.seed} {self.name}",
            (in_zone, self.layout.routers),
            self.event,
            self.log,
        )
        membership.add(self.create_limits)
        membership.add(self.create_outlier_detection)
        self.address = tuple(await membership.start())
        self.membership = membership

    def create_limits(self, membership, now):
        """Return the production limits core, with random demand."""
        return Limits(
            membership.core_context(),
            fleet_size=lambda: membership.fleet_size,
            demand=lambda: self.demand(membership.fleet_size.in_zone),
            now=now,
        )

    def create_outlier_detection(self, membership, now):
        """Return the production outlier detection, with no failing server."""
        return OutlierDetection(
            membership.core_context(),
            routers=lambda: membership.fleet_size.in_zone,
            own_totals=dict,
            servers=lambda: len(self.servers),
            now=now,
        )

    def demand(self, routers_in_zone):
        """Return the demand for each server of the zone as (kind, server, start, rate, whole).

        Args:
            routers_in_zone: Number of routers in the zone, which share the demand.
        """
        if not self.load:
            return []
        return [
            ("room", server, 0, self.load / routers_in_zone * self.rng.lognormvariate(0.0, DEMAND_SIGMA), 1.0)
            for server in self.servers
        ]

    def event(self, event):
        """Handle an event from membership: a peer's notice takes effect on arrival."""
        if not isinstance(event, PeerNoticeReceived):
            return
        purge = event.values[1]
        self.record_in_force(int(purge, 16) if event.kind == "purge" else purge)

    def log_event(self, event):
        """Handle an event from the purge log: an entry, or a rule for copies that the router holds."""
        if isinstance(event, PurgeLogEntryRead):
            self.record_in_force(int(event.text, 16))
        else:
            self.rules.append((time.monotonic(), event.rule.name))

    def record_in_force(self, purge):
        """Record when a purge first took effect at this router."""
        self.arrivals.setdefault(purge, time.monotonic())

    def log(self, event, **values):
        """Count a log event, by its `change` if it has one."""
        self.changes[values.get("change", event)] += 1

    def purge(self, number):
        """Apply a purge from the router's own command channel and send a notice to its peers."""
        self.record_in_force(number)
        self.membership.spread("purge", GROUP_OF_OBJECTS, f"{number:016x}", round(time.time() * 1000))

    def drain(self, number, server):
        """Apply a drain from the router's own command channel and send a notice to its peers.

        The number takes the place of the server's start time, so that each drain counts as a separate one.
        """
        self.record_in_force(number)
        self.membership.spread("draining", server, number)

    def kill(self):
        """Stop without a clean shutdown."""
        if self.membership.timer is not None:
            self.membership.timer.cancel()
        self.membership.transport.close()
        self.started_at = None
        if self.client is not None:
            self.client.close()

    async def restart(self, join, graceful):
        """Restart, after announcing that it leaves if `graceful`."""
        if self.started_at is not None and graceful:
            await self.leave()
        if self.started_at is not None:
            self.kill()
        await self.start(join)

    async def leave(self):
        """Announce to peers, and to the purge log, that the router leaves."""
        if self.client is not None:
            self.client.stop()
        await self.membership.leave()

    @property
    def up(self):
        """Whether the router is running."""
        return self.started_at is not None

    def claim(self):
        """Return the router's membership claim."""
        return self.membership.peer.claim(time.monotonic())

    def fill(self, claims):
        """Add claims of the whole fleet to the view, as if the router had long been a member."""
        view, now = self.membership.peer.view, time.monotonic()
        for claim in claims:
            view.apply(now, claim, self.name)

    def sample(self):
        """Return the router's counters."""
        traffic = self.traffic
        return RouterSample(
            self.name,
            self.up,
            traffic.sent,
            traffic.sent_bytes,
            traffic.received,
            traffic.received_bytes,
            self.membership.fleet_size[1],
            len(self.membership.peer.view.present()),
        )
