"""Simulates the purge log of a whole fleet in virtual time, with the production cores and encoding."""

import random
from typing import NamedTuple

from brookhinge.emulator.capacity.hollow import FLEET, KEY
from brookhinge.emulator.capacity.links import Links, Traffic
from brookhinge.emulator.capacity.measure import Counters
from brookhinge.emulator.capacity.purge_log_processes import PROOF_S, PURGE_POLL_S, PurgeSource
from brookhinge.emulator.capacity.virtual import Address, Endpoint, PeerFleet
from brookhinge.purgelog.codec import Codec
from brookhinge.purgelog.control import ControlNode, Machine
from brookhinge.purgelog.subscriber import Subscriber

LOG_PORT = 2
CONTROL_PORT = 3
PROCESS_BITS = 31  # as in purgelog.client


class LogEndpoint(Endpoint):
    """Base of a router's and a control machine's endpoint: the codec and the core's writer."""

    def __init__(self, network, address, links, traffic, process):
        super().__init__(network, address, links, traffic)
        self.codec = Codec(FLEET, KEY, process)

    def handle_datagram(self, data, source):
        """Decode a datagram and pass it to the core."""
        received = self.codec.read(data)
        if received is not None:
            sender, message = received
            self.accept(sender, source, message)
            self.tick()

    def send(self, address, message):
        """Encode a message of the core and send it."""
        self.network.send(self, self.codec.write(message), address)


class VirtualReader(LogEndpoint):
    """A router's subscriber to the purge log."""

    def __init__(self, network, router, machines):
        rng = random.Random(f"reader {router.seed} {router.name} {router.starts}")
        process = 1 + rng.getrandbits(PROCESS_BITS)
        address = Address(router.host, LOG_PORT)
        super().__init__(network, address, router.links, router.traffic, process)
        self.router = router
        self.core = Subscriber(router.name, machines, PROOF_S, rng, network.now, router.site.region)

    def accept(self, _sender, _source, message):
        """Pass a message to the core."""
        self.core.receive(self.network.now, message, self)

    def tick(self):
        """Run the core's due timers."""
        self.core.tick(self.network.now, self)

    def next_at(self):
        """Return when the core's next timer is due."""
        return self.core.next_at()

    def apply_entry(self, entry):
        """Apply an entry of the log."""
        self.router.record_in_force(int(entry.text, 16))

    def apply_copy_rule(self, rule, _purges):
        """Record a rule for copies that the router holds."""
        self.router.rules.append((self.network.now, rule.name))

    def apply_retained(self, _update):
        """Ignore retained purges: no copies are modeled."""

    def apply_knowledge(self, _is_complete):
        """Ignore what is known of retained purges: no copies are modeled."""

    def leave(self):
        """Announce that the router leaves."""
        self.core.leave(self)


class VirtualControl(LogEndpoint):
    """A control machine.

    Attributes:
        source: Appends the purges submitted here and tracks them.
    """

    def __init__(self, fleet, number, machines, starts):
        control = fleet.layout.capacity.controls[number]
        rng = random.Random(f"control {fleet.seed} {control.name} {starts}")
        process = 1 + rng.getrandbits(PROCESS_BITS)
        site = fleet.layout.site_of_place[control.site]
        links = Links(fleet.layout, site, f"{fleet.seed} {control.name}")
        super().__init__(fleet.network, machines[number].address, links, Traffic(), process)
        self.name = control.name
        self.node = ControlNode(number, machines, process, PROOF_S, fleet.network.now)
        self.source = PurgeSource(self.append, self.progress)

    def accept(self, sender, source, message):
        """Pass a message to the core."""
        self.node.receive(self.network.now, sender, source, message, self)

    def tick(self):
        """Run the core's due timers."""
        self.node.tick(self.network.now, self)

    def next_at(self):
        """Return when the core's next timer is due."""
        return self.node.next_at(self.network.now)

    def append(self, entry):
        """Append an entry and return its position, or None if it cannot be appended now."""
        return self.node.submit(self.network.now, entry, self)

    def progress(self, position):
        """Return the progress of the entry at a position."""
        return self.node.progress(self.network.now, position)

    def purge(self, number):
        """Submit a purge at this control machine."""
        self.call_measured(self.source.add, self.network.now, number)
        self.network.at(self.network.now + PURGE_POLL_S, self.poll_purges)

    def poll_purges(self):
        """Poll the purges submitted here while one is not known to be in force."""
        if self.source.has_unfinished() and self.network.endpoints.get(tuple(self.address)) is self:
            self.source.poll(self.network.now)
            self.network.at(self.network.now + PURGE_POLL_S, self.poll_purges)

    def counters(self):
        """Return the control machine's counters."""
        traffic = self.traffic
        return Counters(
            self.network.now,
            traffic.sent,
            traffic.sent_bytes,
            traffic.received,
            traffic.received_bytes,
            self.processor_s,
        )


class SubmittedPurge(NamedTuple):
    """A purge submitted at a control machine.

    Attributes:
        source: The control machine's PurgeSource.
        submitted: When it was submitted.
    """

    source: PurgeSource
    submitted: float


class LogFleet(PeerFleet):
    """A fleet in virtual time whose purges go through the purge log.

    Attributes:
        machines: Machine of each control machine, by number.
        controls: Running VirtualControl by number.
        control_starts: Number of starts of control machines.
        submissions: SubmittedPurge by number.
    """

    mechanism = "log"

    def __init__(self, layout, seed, is_simulated=lambda site, number: True, membership=True):
        super().__init__(layout, seed, is_simulated, membership)
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
        self.submissions = {}

    def start_filled(self):
        """Start the control machines, then all routers."""
        for number in range(len(self.machines)):
            self.start_control(number)
        super().start_filled()

    def start_control(self, number):
        """Start or restart a control machine."""
        self.control_starts += 1
        control = VirtualControl(self, number, self.machines, self.control_starts)
        control.links.cut(self.cuts)
        control.schedule_wake(self.network.now)
        self.controls[number] = control

    def kill_control(self, number):
        """Kill a control machine without a clean shutdown."""
        self.controls.pop(number).close()

    def other_endpoints(self, router):
        """Return the router's subscriber to the purge log."""
        return [VirtualReader(self.network, router, self.machines)]

    def purge(self, planned):
        """Submit a purge at a control machine, if it is running."""
        control = self.controls.get(planned.control)
        if control is not None:
            control.purge(planned.number)
            self.submissions[planned.number] = SubmittedPurge(control.source, self.network.now)

    def submitted_at(self, number):
        """Return when a purge was submitted, or None if it was not."""
        return (
            self.submissions[number].submitted if number in self.submissions else super().submitted_at(number)
        )

    def known_at(self, number):
        """Return when its source knew that a purge is in force everywhere, or None if it never did."""
        return self.submissions[number].source.known.get(number) if number in self.submissions else None

    def named(self, number):
        """Return which routers the source of a purge named as missing after the target time, or None."""
        return self.submissions[number].source.named.get(number) if number in self.submissions else None

    def rules(self):
        """Return (time, CopyRule name) of each rule of the purge log, by router."""
        return {name: router.rules for name, router in self.routers.items()}

    def set_cuts(self, cuts):
        """Replace the cuts in force."""
        super().set_cuts(cuts)
        for control in self.controls.values():
            control.links.cut(cuts)

    def control_counters(self):
        """Return the counters of all running control machines, by name."""
        return {control.name: control.counters() for control in self.controls.values()}
