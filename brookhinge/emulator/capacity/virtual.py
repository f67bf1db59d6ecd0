"""Simulates the control path of a whole fleet in virtual time.

The cores and the encoding are those of production and the links are those of the layout; clock and sockets
are simulated. Processor time is measured around each call of a router, so it includes the encoding but not
the sockets.
"""

import heapq
import random
import time
from typing import NamedTuple

from brookhinge.emulator.capacity.hollow import FLEET, GROUP_OF_OBJECTS, KEY
from brookhinge.emulator.capacity.links import HEADER_BYTES, Links, Traffic
from brookhinge.emulator.capacity.measure import Counters, PurgeRecord
from brookhinge.membership.codec import VERSION, Codec
from brookhinge.membership.local_member import Identity
from brookhinge.membership.peer import Peer

MEMBERSHIP_PORT = 1
MIN_TIMER_S = 0.001  # as on sockets
BORN_MS = 1_000_000  # wall clock at virtual time 0


class Address(NamedTuple):
    """Address of an endpoint."""

    host: str
    port: int


class Network:
    """The virtual clock and the queue of scheduled calls, including datagrams in flight.

    Attributes:
        now: Virtual time in seconds.
        queue: Heap of (time, serial, call, args).
        serial: Number of scheduled calls; orders calls at the same time.
        endpoints: Open Endpoint by address.
    """

    def __init__(self):
        self.now, self.queue, self.serial, self.endpoints = 0.0, [], 0, {}

    def at(self, moment, call, *args):
        """Schedule a call at a virtual time."""
        self.serial += 1
        heapq.heappush(self.queue, (moment, self.serial, call, args))

    def send(self, sender, data, address):
        """Send a datagram of an endpoint over its links."""
        sender.traffic.sent += 1
        sender.traffic.sent_bytes += len(data) + HEADER_BYTES
        for delay in sender.links.copies(address[0]):
            self.at(self.now + delay, self.deliver, data, address, sender.address)

    def deliver(self, data, address, source):
        """Deliver a datagram to the endpoint at an address, if there is one."""
        endpoint = self.endpoints.get(tuple(address))
        if endpoint is not None:
            endpoint.traffic.count_received(data)
            endpoint.receive(data, source)

    def run(self, seconds):
        """Run all calls due within the next `seconds`."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            moment, _, call, args = heapq.heappop(self.queue)
            self.now = max(self.now, moment)
            call(*args)
        self.now = end


class Endpoint:
    """Receives datagrams and runs timers; base of routers and control machines.

    Subclasses define `handle_datagram(data, source)`, `tick()` and `next_at()`.

    Attributes:
        processor_s: Processor time spent, in seconds.
        wake_at: Virtual time of the scheduled wake-up, or None.
    """

    def __init__(self, network, address, links, traffic):
        self.network, self.address, self.links, self.traffic = network, address, links, traffic
        self.processor_s, self.wake_at = 0.0, None
        network.endpoints[tuple(address)] = self

    def close(self):
        """Stop receiving datagrams and cancel the wake-up."""
        if self.network.endpoints.get(tuple(self.address)) is self:
            del self.network.endpoints[tuple(self.address)]
        self.wake_at = None

    def call_measured(self, call, *args):
        """Call a function, count its processor time and schedule the next wake-up."""
        began = time.process_time()
        call(*args)
        self.processor_s += time.process_time() - began
        self.schedule_wake(self.next_at())

    def schedule_wake(self, moment):
        """Schedule a wake-up, unless an earlier one is scheduled."""
        moment = max(moment, self.network.now + MIN_TIMER_S)
        if moment != float("inf") and (self.wake_at is None or moment < self.wake_at):
            self.wake_at = moment
            self.network.at(moment, self.wake, moment)

    def wake(self, moment):
        """Run the timers, unless this wake-up was replaced by an earlier one or canceled."""
        if self.wake_at == moment:
            self.wake_at = None
            self.call_measured(self.tick)

    def receive(self, data, source):
        """Process a received datagram."""
        self.call_measured(self.handle_datagram, data, source)


class VirtualPeer(Endpoint):
    """One router's membership.

    Attributes:
        on_notice: Called with (kind, values) of each notice from a peer.
        changes: Number of membership changes by name.
    """

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

    def handle_datagram(self, data, _):
        """Decode a datagram and pass it to the core."""
        received = self.codec.read(data)
        if received is not None:
            self.core.round(self.network.now, [received], self)

    def tick(self):
        """Run the core's due timers."""
        self.core.round(self.network.now, [], self)

    def next_at(self):
        """Return when the core's next timer is due."""
        return self.core.next_at()

    def claim(self):
        """Return the router's membership claim."""
        return self.core.claim(self.network.now)

    def leave(self):
        """Announce to peers that the router leaves."""
        self.core.leave(self.network.now, self)

    def spread(self, kind, *values):
        """Send a notice to the peers."""
        self.call_measured(self.core.spread, self.network.now, kind, values, self)

    # interface of the core's writer

    def send(self, address, message, updates, notices):
        """Encode a message of the core and send it."""
        data = self.codec.write(self.claim(), self.core.view.digest(), message, updates, notices)
        if data is not None:
            self.network.send(self, data, address)

    def changed(self, change, name, reporter):
        """Count a membership change."""
        self.changes[change] = self.changes.get(change, 0) + 1

    def notice(self, kind, values, reporter):
        """Pass on a notice from a peer."""
        self.on_notice(kind, values)


class VirtualRouter:
    """One router: its membership and, with the purge log, its subscriber.

    Attributes:
        arrivals: When each purge or drain took effect here, by number.
        rules: (time, CopyRule name) of each rule that the purge log applied to copies that the router holds.
        starts: Number of starts.
        started_at: When the router last started, or None if it is down.
        processor_before_s: Processor time of earlier incarnations of the router, in seconds.
        endpoints: Endpoints of the running router.
    """

    def __init__(self, fleet, site, number):
        self.fleet, self.site, self.number, self.seed = fleet, site, number, fleet.seed
        self.name, self.host = site.name_of(number), site.host_of(number)
        self.traffic = Traffic()
        self.links = Links(fleet.layout, site.index, f"{fleet.seed} {self.name}")
        self.arrivals, self.rules, self.starts, self.started_at = {}, [], 0, None
        self.processor_before_s = 0.0
        self.endpoints = []

    def start(self, join=()):
        """Start or restart the router, without scheduling its first rounds."""
        self.starts += 1
        self.started_at = self.fleet.network.now
        self.arrivals, self.rules = {}, []
        born_ms = BORN_MS + round(1000 * self.started_at)
        self.endpoints = self.fleet.other_endpoints(self)
        if self.fleet.membership:
            self.peer = VirtualPeer(self.fleet.network, self, join, born_ms, self.starts, self.notice)
            self.endpoints.append(self.peer)

    def begin(self):
        """Schedule the first rounds."""
        for endpoint in self.endpoints:
            endpoint.schedule_wake(endpoint.next_at())

    def leave(self):
        """Announce that the router leaves."""
        for endpoint in self.endpoints:
            endpoint.leave()

    def kill(self):
        """Stop without a clean shutdown."""
        self.processor_before_s = self.processor_s()
        self.started_at = None
        for endpoint in self.endpoints:
            endpoint.close()
        self.endpoints = []

    def processor_s(self):
        """Return the processor time of the router in seconds, earlier incarnations included."""
        return self.processor_before_s + sum(endpoint.processor_s for endpoint in self.endpoints)

    def notice(self, kind, values):
        """Handle a notice from a peer, which takes effect on arrival."""
        self.record_in_force(int(values[1], 16) if kind == "purge" else values[1])

    def record_in_force(self, purge):
        """Record when a purge or drain first took effect at this router."""
        self.arrivals.setdefault(purge, self.fleet.network.now)

    def counters(self):
        """Return the router's counters."""
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
    """A fleet in virtual time whose peers distribute purges.

    Attributes:
        membership: Whether routers run membership.
        routers: VirtualRouter by name.
        submitted: When each purge or drain was submitted, by number.
        cuts: Cuts in force.
    """

    mechanism = "peers"

    def __init__(self, layout, seed, is_simulated=lambda site, number: True, membership=True):
        """Create the fleet.

        Args:
            layout: Layout of the fleet.
            seed: Seed of the run.
            is_simulated: Given a site and a router's number, returns whether the router is simulated.
            membership: Whether routers run membership in addition to the purge log.
        """
        self.layout, self.seed, self.network = layout, seed, Network()
        self.membership, self.routers, self.submitted, self.cuts = membership, {}, {}, []
        for site in layout.sites:
            for number in range(site.routers):
                if is_simulated(site, number):
                    router = VirtualRouter(self, site, number)
                    self.routers[router.name] = router

    def other_endpoints(self, router):
        """Return the endpoints of a router other than its membership."""
        return []

    def start_filled(self):
        """Start all routers with views of the whole fleet."""
        for router in self.routers.values():
            router.start()
        claims = [router.peer.claim() for router in self.routers.values() if self.membership]
        for router in self.routers.values():
            for claim in claims:
                router.peer.core.view.apply(0.0, claim, router.name)
            router.begin()

    def run(self, seconds):
        """Run the simulation for a number of seconds."""
        self.network.run(seconds)

    def join_addresses(self):
        """Return one router address at each of three sites."""
        hosts = [site.host_of(0) for site in self.layout.sites if site.routers]
        return [Address(host, MEMBERSHIP_PORT) for host in hosts[:: max(1, len(hosts) // 3)][:3]]

    def purge(self, planned):
        """Submit a purge at its source, if the router is running."""
        router = self.routers[self.layout.sites[planned.site].name_of(planned.router)]
        if router.started_at is None:
            return
        self.submitted[planned.number] = self.network.now
        router.record_in_force(planned.number)
        stamp_ms = BORN_MS + round(1000 * self.network.now)
        router.peer.spread("purge", GROUP_OF_OBJECTS, f"{planned.number:016x}", stamp_ms)

    def plan_purges(self, purges):
        """Schedule purges, at times relative to now."""
        for planned in purges:
            self.network.at(self.network.now + planned.at_s, self.purge, planned)

    def set_cuts(self, cuts):
        """Replace the cuts in force."""
        self.cuts = cuts
        for router in self.routers.values():
            router.links.cut(cuts)

    def submitted_at(self, number):
        """Return when a purge was submitted, or None if it was not."""
        return self.submitted.get(number)

    def known_at(self, number):
        """Return None: without the purge log, a source does not learn when a purge is in force everywhere."""
        return None

    def named(self, number):
        """Return None: without the purge log, a source does not learn which routers are missing."""
        return None

    def rules(self):
        """Return no rules: there is no purge log."""
        return {}

    def control_counters(self):
        """Return no counters: there are no control machines."""
        return {}

    def drain(self, planned):
        """Submit a drain at a router's command channel, if the router is running."""
        router = self.routers[self.layout.sites[planned.site].name_of(planned.router)]
        if router.started_at is not None:
            self.submitted[planned.number] = self.network.now
            router.record_in_force(planned.number)
            router.peer.spread("draining", planned.server, planned.number)

    def kill(self, name):
        """Kill a router without a clean shutdown."""
        router = self.routers[name]
        if router.started_at is not None:
            router.kill()

    def known_members(self):
        """Return how many members each running router considers alive or suspect, by name."""
        up = [router for router in self.routers.values() if router.started_at is not None]
        return {router.name: len(router.peer.core.view.present()) for router in up}

    def restart(self, name, graceful=False):
        """Restart a router, after announcing that it leaves if `graceful`."""
        router = self.routers[name]
        if router.started_at is not None and graceful:
            router.leave()
        self.kill(name)
        router.start(self.join_addresses())
        router.begin()

    def counters(self):
        """Return the counters of all routers, by name."""
        return {name: router.counters() for name, router in self.routers.items()}

    def records(self, numbers):
        """Return the PurgeRecord of each given purge or drain that was submitted, by number."""
        submitted_numbers = [number for number in numbers if self.submitted_at(number) is not None]
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
            for number in submitted_numbers
        }

    def started(self):
        """Return when each router last started, or None if it is down, by name."""
        return {name: router.started_at for name, router in self.routers.items()}
