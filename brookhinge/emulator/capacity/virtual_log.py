"""The purge log of a whole fleet in virtual time: the cores of its routers and control machines, the real encoding."""

import random
from typing import NamedTuple

from brookhinge.emulator.capacity.hollow import FLEET, KEY
from brookhinge.emulator.capacity.links import Links, Traffic
from brookhinge.emulator.capacity.measure import Counters
from brookhinge.emulator.capacity.purge_log_processes import LOOK_S, PROOF_S, PurgeSource
from brookhinge.emulator.capacity.virtual import Address, Endpoint, PeerFleet
from brookhinge.purgelog.codec import Codec
from brookhinge.purgelog.control import ControlNode, Machine
from brookhinge.purgelog.subscriber import Subscriber

LOG_PORT = 2
CONTROL_PORT = 3
PROCESS_BITS = 31  # as in purgelog.client


class LogEndpoint(Endpoint):
    """What router and control machine share: the codec and the writer's `send`."""

    def __init__(self, network, address, links, traffic, process):
        super().__init__(network, address, links, traffic)
        self.codec = Codec(FLEET, KEY, process)

    def take(self, data, source):
        """A datagram into the core."""
        received = self.codec.read(data)
        if received is not None:
            sender, message = received
            self.accept(sender, source, message)
            self.tick()

    def send(self, address, message):
        """A message of the core onto its links."""
        self.network.send(self, self.codec.write(message), address)


class VirtualReader(LogEndpoint):
    """A router's reader of the log."""

    def __init__(self, network, router, machines):
        chance = random.Random(f"reader {router.seed} {router.name} {router.starts}")
        process = 1 + chance.getrandbits(PROCESS_BITS)
        address = Address(router.host, LOG_PORT)
        super().__init__(network, address, router.links, router.traffic, process)
        self.router = router
        self.core = Subscriber(router.name, machines, PROOF_S, chance, network.now, router.site.region)

    def accept(self, _sender, _source, message):
        """A message into the core."""
        self.core.receive(self.network.now, message, self)

    def tick(self):
        """What is due."""
        self.core.tick(self.network.now, self)

    def next_at(self):
        """When something is due."""
        return self.core.next_at()

    def apply_entry(self, entry):
        """An entry is applied."""
        self.router.in_force(int(entry.text, 16))

    def apply_copy_rule(self, rule, _purges):
        """A rule for the copies that a router holds itself."""
        self.router.rules.append((self.network.now, rule.name))

    def leave(self):
        """Says that the router goes."""
        self.core.leave(self)


class VirtualControl(LogEndpoint):
    """A control machine. `starts`: how often it has started."""

    def __init__(self, fleet, number, machines, starts):
        control = fleet.layout.capacity.controls[number]
        chance = random.Random(f"control {fleet.seed} {control.name} {starts}")
        process = 1 + chance.getrandbits(PROCESS_BITS)
        site = fleet.layout.site_of_place[control.site]
        links = Links(fleet.layout, site, f"{fleet.seed} {control.name}")
        super().__init__(fleet.network, machines[number].address, links, Traffic(), process)
        self.name = control.name
        self.node = ControlNode(number, machines, process, PROOF_S, fleet.network.now)
        self.source = PurgeSource(self.append, self.progress)

    def accept(self, sender, source, message):
        """A message into the core."""
        self.node.receive(self.network.now, sender, source, message, self)

    def tick(self):
        """What is due."""
        self.node.tick(self.network.now, self)

    def next_at(self):
        """When something is due."""
        return self.node.next_at(self.network.now)

    def append(self, entry):
        """Appends an entry; its position, or None."""
        return self.node.submit(self.network.now, entry, self)

    def progress(self, position):
        """Progress of an entry."""
        return self.node.progress(self.network.now, position)

    def purge(self, number):
        """The source tells a purge here first."""
        self.measured(self.source.take, self.network.now, number)
        self.network.at(self.network.now + LOOK_S, self.look)

    def look(self):
        """Looks at the purges of this source while one is not known to be in force."""
        if self.source.waits() and self.network.endpoints.get(tuple(self.address)) is self:
            self.source.look(self.network.now)
            self.network.at(self.network.now + LOOK_S, self.look)

    def counters(self):
        """Its counters up to now."""
        traffic = self.traffic
        return Counters(
            self.network.now,
            traffic.sent,
            traffic.sent_bytes,
            traffic.received,
            traffic.received_bytes,
            self.processor_s,
        )


class Told(NamedTuple):
    """A purge that a control machine was told first."""

    source: PurgeSource
    submitted: float


class LogFleet(PeerFleet):
    """A fleet whose purges go through the purge log, in virtual time."""

    mechanism = "log"

    def __init__(self, layout, seed, chosen=lambda site, number: True, membership=True):
        super().__init__(layout, seed, chosen, membership)
        self.machines = [
            Machine(
                control.name,
                Address(layout.control_host(k), CONTROL_PORT),
                control.region,
                control.serves,
            )
            for k, control in enumerate(layout.capacity.controls)
        ]
        self.controls = {}
        self.control_starts = 0
        self.told = {}

    def start_filled(self):
        """Starts the control machines, then all routers."""
        for number in range(len(self.machines)):
            self.start_control(number)
        super().start_filled()

    def start_control(self, number):
        """Starts a control machine, or starts it anew."""
        self.control_starts += 1
        control = VirtualControl(self, number, self.machines, self.control_starts)
        control.links.cut(self.cuts)
        control.plan(self.network.now)
        self.controls[number] = control

    def kill_control(self, number):
        """A control machine ends without a word."""
        self.controls.pop(number).close()

    def more_endpoints(self, router):
        """A router's reader of the log."""
        return [VirtualReader(self.network, router, self.machines)]

    def purge(self, planned):
        """The source tells a purge to a control machine."""
        control = self.controls.get(planned.control)
        if control is not None:
            control.purge(planned.number)
            self.told[planned.number] = Told(control.source, self.network.now)

    def submitted_at(self, number):
        """When a purge was told, None if it was not."""
        return self.told[number].submitted if number in self.told else super().submitted_at(number)

    def known_at(self, number):
        """When its source knew that a purge is in force everywhere, or None."""
        return self.told[number].source.known.get(number) if number in self.told else None

    def named(self, number):
        """Whom its source named as missing when the purge's time was over."""
        return self.told[number].source.named.get(number) if number in self.told else None

    def rules(self):
        """Router -> (moment, CopyRule) of the purge log."""
        return {name: router.rules for name, router in self.routers.items()}

    def set_cuts(self, cuts):
        """Cuts in force from now on."""
        super().set_cuts(cuts)
        for control in self.controls.values():
            control.links.cut(cuts)

    def control_counters(self):
        """Counters of all control machines that run."""
        return {control.name: control.counters() for control in self.controls.values()}
