"""A hollow router: the control path of a router as in service (membership, limits, verdicts, notices) on real UDP, without
its data path. What queries would ask of the cache servers is drawn by seed."""

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
GROUP_OF_OBJECTS = -1  # of a purge that names an object
UNEVEN = 0.8  # sigma of the lognormal spread of a router's queries to one server
JOIN_TRIES = 50  # to take the port of the process before, each a tenth of a second apart


def fleet_settings(**values):
    """A `fleet` block with these values, and defaults for the others."""
    defaults = {key: default for key, (_, default) in FLEET_SETTINGS.items() if default is not REQUIRED}
    return Fleet(**{**defaults, **values})


class CountedTalk(UdpTransport):
    """Membership on UDP whose datagrams take the links and are counted."""

    def __init__(self, links, traffic, held, *args):
        """held: it says and takes nothing until `begin()`."""
        super().__init__(*args)
        self.links, self.traffic, self.held = links, traffic, held

    def begin(self):
        """Starts to speak."""
        if self.held:
            self.held = False
            self.run_round()

    def datagram_received(self, data, address):
        """Counts a datagram and takes it."""
        if self.held:
            return
        self.traffic.count_received(data)
        super().datagram_received(data, address)

    def run_round(self):
        """The first one comes before anything was sent: from there on datagrams take the links."""
        if self.transport is not None and not isinstance(self.transport, LinkedTransport):
            self.transport = LinkedTransport(self.transport, self.links, self.traffic)
        if not self.held:
            super().run_round()


class HollowRouter:
    """One router of a site. `arrivals` holds when each purge came into force: {number: moment}."""

    def __init__(self, layout, site, number, seed, purge_log=None):
        """purge_log: makes the client of the purge log for a router, None: purges are told among peers."""
        self.layout, self.site, self.number, self.seed = layout, site, number, seed
        self.name, self.host = site.name_of(number), site.host_of(number)
        self.traffic = Traffic()
        self.links = Links(layout, site.index, f"{seed} {self.name}")
        self.chance = random.Random(f"hollow {seed} {self.name}")
        self.address, self.talk, self.client, self.started_at = None, None, None, None
        self.purge_log = purge_log
        self.arrivals, self.rules, self.room = {}, [], 0.0
        self.changes = collections.Counter()
        self.servers = self.servers_of_zone()

    def servers_of_zone(self):
        """Names of the cache servers of its zone."""
        zones = [zone.place for zone in self.layout.capacity.zones]
        place = zones.index(self.site.zone)
        return [f"s{k + 1}" for k in range(place, self.layout.capacity.caches, len(zones))]

    async def start(self, join, hold=False):
        """Starts it, or starts it anew at the address that it had; back when its socket is bound. hold: see CountedTalk."""
        for attempt in range(JOIN_TRIES):
            try:
                await self.start_talk(join, hold)
                break
            except OSError:
                if attempt == JOIN_TRIES - 1:
                    raise
                await asyncio.sleep(0.1)
        self.arrivals.clear()
        self.rules.clear()
        if self.purge_log is not None:
            self.client = self.purge_log(self)
            await self.client.start()
        self.started_at = time.monotonic()

    async def start_talk(self, join, hold):
        """Membership with the cores that join it in service."""
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
        talk = CountedTalk(
            self.links,
            self.traffic,
            hold,
            settings,
            f"{self.seed} {self.name}",
            (in_zone, self.layout.routers),
            self.event,
            self.log,
        )
        talk.add(self.make_limits)
        talk.add(self.make_verdicts)
        self.address = tuple(await talk.start())
        self.talk = talk

    def make_limits(self, talk, now):
        """Limits as in service; queries are drawn."""
        return Limits(
            talk.core_context(),
            fleet_size=lambda: talk.fleet_size,
            demand=lambda: self.demand(talk.fleet_size.in_zone),
            now=now,
        )

    def make_verdicts(self, talk, now):
        """Verdicts as in service; no server fails."""
        return OutlierDetection(
            talk.core_context(),
            routers=lambda: talk.fleet_size.in_zone,
            own_totals=dict,
            servers=lambda: len(self.servers),
            now=now,
        )

    def demand(self, here):
        """What was asked of each server of the zone, which so many routers share: (kind, server, start, rate, whole)."""
        if not self.room:
            return []
        return [
            ("room", server, 0, self.room / here * self.chance.lognormvariate(0.0, UNEVEN), 1.0)
            for server in self.servers
        ]

    def event(self, event):
        """What membership tells the decisions: what a peer's notice says is in force from here on."""
        if not isinstance(event, PeerNoticeReceived):
            return
        told = event.values[1]
        self.in_force(int(told, 16) if event.kind == "purge" else told)

    def log_event(self, event):
        """What the purge log tells the decisions: an entry, or a rule for the copies that a router holds itself."""
        if isinstance(event, PurgeLogEntryRead):
            self.in_force(int(event.text, 16))
        else:
            self.rules.append((time.monotonic(), event.rule.name))

    def in_force(self, purge):
        """A purge is in force at this router."""
        self.arrivals.setdefault(purge, time.monotonic())

    def log(self, event, **values):
        """Changes of members are counted."""
        self.changes[values.get("change", event)] += 1

    def purge(self, number):
        """Its own command channel tells of a purge; it tells its peers."""
        self.in_force(number)
        self.talk.spread("purge", GROUP_OF_OBJECTS, f"{number:016x}", round(time.time() * 1000))

    def drain(self, number, server):
        """Its own command channel tells that a server drains; it tells its peers. The number stands for the server's
        start, so that each drain is one of its own."""
        self.in_force(number)
        self.talk.spread("draining", server, number)

    def kill(self):
        """Ends without a word."""
        if self.talk.timer is not None:
            self.talk.timer.cancel()
        self.talk.transport.close()
        self.started_at = None
        if self.client is not None:
            self.client.close()

    async def restart(self, join, graceful):
        """Ends and starts anew, after a word of leaving if graceful."""
        if self.started_at is not None and graceful:
            await self.leave()
        if self.started_at is not None:
            self.kill()
        await self.start(join)

    async def leave(self):
        """Says that it goes."""
        if self.client is not None:
            self.client.stop()
        await self.talk.leave()

    @property
    def up(self):
        """Whether it runs."""
        return self.started_at is not None

    def claim(self):
        """What it says of itself to its peers."""
        return self.talk.peer.claim(time.monotonic())

    def fill(self, claims):
        """Takes claims of the whole fleet, as if it had long known it."""
        view, now = self.talk.peer.view, time.monotonic()
        for claim in claims:
            view.apply(now, claim, self.name)

    def sample(self):
        """Its counters up to now."""
        traffic = self.traffic
        return RouterSample(
            self.name,
            self.up,
            traffic.sent,
            traffic.sent_bytes,
            traffic.received,
            traffic.received_bytes,
            self.talk.fleet_size[1],
            len(self.talk.peer.view.present()),
        )
