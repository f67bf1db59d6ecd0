"""The control path of a whole fleet in virtual time: the same cores, the real encoding, links of the layout; the clock and
the sockets are stood in for. Processor time is measured around each call of a router, encoding included, sockets not."""

import heapq
import random
import time
from typing import NamedTuple

from brookhinge.emulator.capacity.hollow import FLEET, GROUP_OF_OBJECTS, KEY
from brookhinge.emulator.capacity.links import HEADERS, Links, Traffic
from brookhinge.emulator.capacity.measure import Counters, PurgeRecord
from brookhinge.membership.codec import VERSION, Codec
from brookhinge.membership.local_member import Identity
from brookhinge.membership.peer import Peer

MEMBERSHIP_PORT = 1
LEAST_WAIT_S = 0.001  # of a timer, as on sockets
BORN_MS = 1_000_000


class Address(NamedTuple):
    """Where a datagram goes."""

    host: str
    port: int


class Network:
    """A clock and datagrams under way. Endpoints have `receive(data, source)` and `wake()`."""

    def __init__(self):
        self.now, self.queue, self.serial, self.endpoints = 0.0, [], 0, {}

    def at(self, moment, call, *args):
        """Calls at a moment to come."""
        self.serial += 1
        heapq.heappush(self.queue, (moment, self.serial, call, args))

    def send(self, sender, data, address):
        """A datagram of an endpoint takes its links."""
        sender.traffic.sent += 1
        sender.traffic.sent_bytes += len(data) + HEADERS
        for delay in sender.links.copies(address[0]):
            self.at(self.now + delay, self.deliver, data, address, sender.address)

    def deliver(self, data, address, source):
        """A datagram has come to an address."""
        endpoint = self.endpoints.get(tuple(address))
        if endpoint is not None:
            endpoint.traffic.count_received(data)
            endpoint.receive(data, source)

    def run(self, seconds):
        """Plays on for so long."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            moment, _, call, args = heapq.heappop(self.queue)
            self.now = max(self.now, moment)
            call(*args)
        self.now = end


class Endpoint:
    """Something that receives datagrams and has to be woken at times; its processor time is counted."""

    def __init__(self, network, address, links, traffic):
        self.network, self.address, self.links, self.traffic = network, address, links, traffic
        self.processor_s, self.wake_at = 0.0, None
        network.endpoints[tuple(address)] = self

    def close(self):
        """Receives nothing any more and is not woken."""
        if self.network.endpoints.get(tuple(self.address)) is self:
            del self.network.endpoints[tuple(self.address)]
        self.wake_at = None

    def measured(self, call, *args):
        """Calls, and counts the processor time; then plans the next waking."""
        began = time.process_time()
        call(*args)
        self.processor_s += time.process_time() - began
        self.plan(self.next_at())

    def plan(self, moment):
        """Wakes at that moment, if not earlier anyway."""
        moment = max(moment, self.network.now + LEAST_WAIT_S)
        if moment != float("inf") and (self.wake_at is None or moment < self.wake_at):
            self.wake_at = moment
            self.network.at(moment, self.wake, moment)

    def wake(self, moment):
        """Ticks, unless an earlier waking has been planned since."""
        if self.wake_at == moment:
            self.wake_at = None
            self.measured(self.tick)

    def receive(self, data, source):
        """A datagram came."""
        self.measured(self.take, data, source)


class VirtualPeer(Endpoint):
    """One router's membership. `on_notice(kind, values)`: notices of peers."""

    def __init__(self, network, router, join, born_ms, starts, on_notice):
        super().__init__(network, Address(router.host, MEMBERSHIP_PORT), router.links, router.traffic)
        self.name, self.on_notice, self.changes = router.name, on_notice, {}
        self.codec = Codec(FLEET, KEY)
        self.core = Peer(
            Identity(router.name, tuple(self.address), router.site.zone, VERSION, born_ms),
            [tuple(one) for one in join],
            random.Random(f"peer {router.seed} {router.name} {starts}"),
            network.now,
        )

    def take(self, data, _):
        """A datagram into the core."""
        received = self.codec.read(data)
        if received is not None:
            self.core.round(self.network.now, [received], self)

    def tick(self):
        """What is due."""
        self.core.round(self.network.now, [], self)

    def next_at(self):
        """When something is due."""
        return self.core.next_at()

    def claim(self):
        """What it says of itself."""
        return self.core.claim(self.network.now)

    def leave(self):
        """Tells its peers that it goes."""
        self.core.leave(self.network.now, self)

    def spread(self, kind, *values):
        """Tells a notice to its peers."""
        self.measured(self.core.spread, self.network.now, kind, values, self)

    # the core's writer

    def send(self, address, message, updates, notices):
        """A message of the core onto its links."""
        data = self.codec.write(self.claim(), self.core.view.digest(), message, updates, notices)
        if data is not None:
            self.network.send(self, data, address)

    def changed(self, change, name, reporter):
        """A change of a member."""
        self.changes[change] = self.changes.get(change, 0) + 1

    def notice(self, kind, values, reporter):
        """A notice of a peer."""
        self.on_notice(kind, values)


class VirtualRouter:
    """One router: its membership and, with the log, its subscriber."""

    def __init__(self, fleet, site, number):
        self.fleet, self.site, self.number, self.seed = fleet, site, number, fleet.seed
        self.name, self.host = site.name_of(number), site.host_of(number)
        self.traffic = Traffic()
        self.links = Links(fleet.layout, site.index, f"{fleet.seed} {self.name}")
        self.arrivals, self.rules, self.starts, self.started_at = {}, [], 0, None
        self.processor_before_s = 0.0  # of the processes under this name that ended
        self.endpoints = []

    def start(self, join=()):
        """Starts it, or starts it anew."""
        self.starts += 1
        self.started_at = self.fleet.network.now
        self.arrivals, self.rules = {}, []
        born_ms = BORN_MS + round(1000 * self.started_at)
        self.endpoints = self.fleet.more_endpoints(self)
        if self.fleet.membership:
            self.peer = VirtualPeer(self.fleet.network, self, join, born_ms, self.starts, self.notice)
            self.endpoints.append(self.peer)

    def begin(self):
        """Plans its first rounds."""
        for endpoint in self.endpoints:
            endpoint.plan(endpoint.next_at())

    def leave(self):
        """Says that it goes."""
        for endpoint in self.endpoints:
            endpoint.leave()

    def kill(self):
        """Ends without a word."""
        self.processor_before_s = self.processor_s()
        self.started_at = None
        for endpoint in self.endpoints:
            endpoint.close()
        self.endpoints = []

    def processor_s(self):
        """Processor seconds spent under its name."""
        return self.processor_before_s + sum(endpoint.processor_s for endpoint in self.endpoints)

    def notice(self, kind, values):
        """A notice of a peer."""
        self.in_force(int(values[1], 16) if kind == "purge" else values[1])

    def in_force(self, purge):
        """A purge is in force here."""
        self.arrivals.setdefault(purge, self.fleet.network.now)

    def counters(self):
        """Its counters up to now."""
        traffic = self.traffic
        return Counters(
            self.fleet.network.now,
            traffic.sent,
            traffic.sent_bytes,
            traffic.received,
            traffic.received_bytes,
            self.processor_s(),
        )


class PeerFleet:
    """A fleet whose purges are told among peers, in virtual time."""

    mechanism = "peers"

    def __init__(self, layout, seed, chosen=lambda site, number: True, membership=True):
        """chosen: which routers of the layout are played; membership: whether they have any beside the purge log."""
        self.layout, self.seed, self.network = layout, seed, Network()
        self.membership, self.routers, self.submitted, self.cuts = membership, {}, {}, []
        for site in layout.sites:
            for number in range(site.routers):
                if chosen(site, number):
                    router = VirtualRouter(self, site, number)
                    self.routers[router.name] = router

    def more_endpoints(self, router):
        """Endpoints of a router beside its membership."""
        return []

    def start_filled(self):
        """Starts all routers with views that know the whole fleet."""
        for router in self.routers.values():
            router.start()
        claims = [router.peer.claim() for router in self.routers.values() if self.membership]
        for router in self.routers.values():
            for claim in claims:
                router.peer.core.view.apply(0.0, claim, router.name)
            router.begin()

    def run(self, seconds):
        """Plays on."""
        self.network.run(seconds)

    def join_addresses(self):
        """One address at each of three sites."""
        hosts = [site.host_of(0) for site in self.layout.sites if site.routers]
        return [Address(host, MEMBERSHIP_PORT) for host in hosts[:: max(1, len(hosts) // 3)][:3]]

    def purge(self, planned):
        """A source tells a purge."""
        router = self.routers[self.layout.sites[planned.site].name_of(planned.router)]
        if router.started_at is None:
            return
        self.submitted[planned.number] = self.network.now
        router.in_force(planned.number)
        stamp_ms = BORN_MS + round(1000 * self.network.now)
        router.peer.spread("purge", GROUP_OF_OBJECTS, f"{planned.number:016x}", stamp_ms)

    def plan_purges(self, purges):
        """Each purge at its moment from now."""
        for planned in purges:
            self.network.at(self.network.now + planned.at_s, self.purge, planned)

    def set_cuts(self, cuts):
        """Cuts in force from now on."""
        self.cuts = cuts
        for router in self.routers.values():
            router.links.cut(cuts)

    def submitted_at(self, number):
        """When a purge was told, None if it was not."""
        return self.submitted.get(number)

    def known_at(self, number):
        """When its source knew that a purge is in force everywhere: peers can't tell."""
        return None

    def named(self, number):
        """Whom its source named as missing: peers can't tell."""
        return None

    def rules(self):
        """Router -> (moment, CopyRule) of the purge log: there is none."""
        return {}

    def control_counters(self):
        """Counters of all control machines: there are none."""
        return {}

    def drain(self, planned):
        """A router's command channel tells of a drain."""
        router = self.routers[self.layout.sites[planned.site].name_of(planned.router)]
        if router.started_at is not None:
            self.submitted[planned.number] = self.network.now
            router.in_force(planned.number)
            router.peer.spread("draining", planned.server, planned.number)

    def kill(self, name):
        """A router ends without a word."""
        router = self.routers[name]
        if router.started_at is not None:
            router.kill()

    def known_members(self):
        """Router that is up -> how many it believes alive or suspects."""
        up = [router for router in self.routers.values() if router.started_at is not None]
        return {router.name: len(router.peer.core.view.present()) for router in up}

    def restart(self, name, graceful=False):
        """A router starts anew, after a word of leaving if graceful."""
        router = self.routers[name]
        if router.started_at is not None and graceful:
            router.leave()
        self.kill(name)
        router.start(self.join_addresses())
        router.begin()

    def counters(self):
        """Counters of all routers."""
        return {name: router.counters() for name, router in self.routers.items()}

    def records(self, numbers):
        """PurgeRecord of each of those purges that was told."""
        told = [number for number in numbers if self.submitted_at(number) is not None]
        return {
            number: PurgeRecord(
                self.submitted_at(number),
                {
                    name: router.arrivals[number]
                    for name, router in self.routers.items()
                    if number in router.arrivals
                },
                self.known_at(number),
                self.named(number),
            )
            for number in told
        }

    def started(self):
        """Router -> when it last started, None if it is not up."""
        return {name: router.started_at for name, router in self.routers.items()}
