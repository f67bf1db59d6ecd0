"""Simulates the control machines and routers of the purge log in virtual time, reproducibly from one seed.

The network delays, loses, duplicates and cuts off datagrams. The cores are those in service, and so is the
encoding if bytes are counted; only clocks and network are modeled.

    net = LogNet(seed=1, routers=530)
    net.run(10.0)
    purge = net.purge(machine=0)
    net.run(2.0)
    purge.all_s({host.name for host in net.routers}), purge.known_s
"""

import heapq
import math
import random

from brookhinge.purgelog.codec import Codec
from brookhinge.purgelog.control import ControlNode, Machine
from brookhinge.purgelog.messages import Entry, Kind
from brookhinge.purgelog.progress import Outcome
from brookhinge.purgelog.subscriber import Subscriber
from brookhinge.purgelog.subscription import CopyRule

PROOF_S = 3.0
KEY = b"k" * 16
SITE = "virtual"
PROGRESS_CHECK_S = 0.05  # interval at which a source checks the progress of its entries


class Purge:
    """One purge of a run.

    Attributes:
        machine: Index of the control machine that appended it, its source.
        position: Position in the log.
        entry: Log entry.
        at: Time at which it was appended.
        applied: Time at which each router first applied it, by name.
        known_at: Time at which the source knew the outcome, infinite before.
        outcome: Outcome that the source knows.
        missing: What the source reported last as missing for the outcome.
    """

    def __init__(self, machine, position, entry, at):
        self.machine = machine
        self.position = position
        self.entry = entry
        self.at = at
        self.applied = {}
        self.known_at = math.inf
        self.outcome = Outcome.PENDING
        self.missing = []

    @property
    def known_s(self):
        """Seconds until the source knew the outcome."""
        return self.known_at - self.at

    def all_s(self, names):
        """Returns the seconds until the last of these routers applied it; infinite if one never did."""
        return max(self.applied.get(name, math.inf) for name in names) - self.at


class Host:
    """One process: a core, its codec and its clock.

    Attributes:
        number: Port of the process.
        up: Whether the process runs.
        frozen: Whether the process is stopped; datagrams then wait in its inbox.
        offset: Seconds by which its clock is ahead of the simulation.
        starts: Number of starts.
        due: Time of its next wake-up, or None.
        inbox: Datagrams received while frozen.
        rules: (time, rule, fingerprints) of each copy rule since the start.
    """

    def __init__(self, net, name, number):
        self.net = net
        self.name = name
        self.number = number
        self.address = ("10.0.0.1", number)
        self.up = True
        self.frozen = False
        self.offset = 0.0
        self.starts = 0
        self.due = None
        self.inbox = []
        self.rules = []

    def clock(self):
        """Returns the reading of the process's clock."""
        return self.net.now + self.offset

    def new_process_id(self):
        """Returns a random process id."""
        return 1 + self.net.chance.getrandbits(31)

    # Methods of the cores' writer

    def send(self, address, message):
        """Sends a message over the network."""
        self.net.carry(self, address, message)

    def apply_entry(self, entry):
        """Records that this router applied an entry."""
        purge = self.net.purges.get(entry)
        if purge is not None:
            purge.applied.setdefault(self.name, self.net.now)
        self.applied.add(entry)

    def apply_copy_rule(self, rule, fingerprints):
        """Records a copy rule."""
        self.rules.append((self.net.now, rule, fingerprints))

    def apply_retained(self, _update):
        """Ignores the update: tests look at the subscriber's own record."""

    def apply_knowledge(self, _is_complete):
        """Ignores the change: tests look at the subscriber."""

    def last_rule(self):
        """Returns the last STALE or PROVEN rule; STALE if there was none."""
        rules = [rule for _, rule, _ in self.rules if rule in (CopyRule.STALE, CopyRule.PROVEN)]
        return rules[-1] if rules else CopyRule.STALE


class LogNet:
    """The simulated processes and the network between them.

    Attributes:
        loss: Probability that a datagram is lost.
        double: Probability that a datagram is delivered twice.
        chance: Random number generator of the network.
        now: Current time in seconds.
        queue: Heap of scheduled wake-ups and datagrams.
        cut: Function of two host names: whether datagrams from the first to the second are lost.
        hosts: Processes by address.
        purges: Purges of the run by log entry.
        unresolved: Purges whose outcome their source does not know yet.
        datagrams: Number of datagrams sent.
        machines: Addresses and regions of the control machines.
        controls: Processes of the control machines.
        routers: Processes of the routers.
    """

    def __init__(
        self,
        seed,
        routers,
        machines=5,
        loss=0.0,
        double=0.0,
        delay=None,
        encoded=False,
        proof_s=PROOF_S,
        region=None,
        serves=None,
    ):
        """Starts all control machines and routers.

        Args:
            seed: Seed of the run.
            routers: Number of routers.
            machines: Number of control machines.
            loss: Probability that a datagram is lost.
            double: Probability that a datagram is delivered twice.
            delay: Function of two host names that returns the mean one-way delay, or None for 20 ms.
            encoded: Whether datagrams are encoded and decoded as in service.
            proof_s: Seconds for which a proof is valid.
            region: Function of a host name that returns its region, or None for one region.
            serves: Further regions whose routers prefer a control machine, by its index.
        """
        self.seed = seed
        self.loss = loss
        self.double = double
        self.encoded = encoded
        self.proof_s = proof_s
        self.delay = delay or (lambda a, b: 0.02)
        self.region = region or (lambda name: "")
        serves = serves or {}
        self.chance = random.Random(seed)
        self.now = 0.0
        self.queue = []
        self.serial = 0
        self.cut = lambda a, b: False
        self.hosts = {}
        self.purges = {}
        self.unresolved = []
        self.watch_at = 0.0
        self.datagrams = 0
        self.machines = [
            Machine(f"c{k + 1}", ("10.0.0.1", k + 1), self.region(f"c{k + 1}"), serves.get(k, ()))
            for k in range(machines)
        ]
        self.controls = [self.add(m.name, m.address[1]) for m in self.machines]
        self.routers = [self.add(f"n{k + 1}", machines + k + 1) for k in range(routers)]
        for host in self.controls + self.routers:
            self.start(host)

    def add(self, name, number):
        """Adds a process without starting it."""
        host = self.hosts[("10.0.0.1", number)] = Host(self, name, number)
        return host

    def start(self, host):
        """Starts a host, or restarts it with empty memory."""
        host.starts += 1
        host.up = True
        host.frozen = False
        host.inbox = []
        host.due = None
        host.process = host.new_process_id()
        host.codec = Codec(SITE, KEY, host.process) if self.encoded else None
        host.rules = []
        host.applied = set()
        host.started_at = self.now
        now = host.clock()
        if host.number <= len(self.machines):
            host.core = ControlNode(host.number - 1, self.machines, host.process, self.proof_s, now)
        else:
            chance = random.Random(f"{self.seed} {host.number} {host.starts}")
            region = self.region(host.name)
            host.core = Subscriber(host.name, self.machines, self.proof_s, chance, now, region)
        self.plan(host, self.now)

    def push(self, at, host, datagram):
        """Schedules the arrival of a datagram at a host, or a wake-up if datagram is None."""
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, host, host.starts, datagram))

    def plan(self, host, at):
        """Schedules a wake-up of a host unless an earlier one is scheduled."""
        if host.due is None or at < host.due:
            host.due = at
            self.push(at, host, None)

    def carry(self, sender, address, message):
        """Sends a message over the network."""
        to = self.hosts.get(address)
        self.datagrams += 1
        datagram = (sender.process, message)
        if self.encoded:
            datagram = sender.codec.write(message)
        if to is None or self.cut(sender.name, to.name) or self.chance.random() < self.loss:
            return
        for _ in range(1 + (self.chance.random() < self.double)):
            wait = self.delay(sender.name, to.name) * (0.9 + 0.2 * self.chance.random())
            self.push(self.now + wait, to, (sender.address, datagram))

    def deliver(self, host, address, datagram):
        """Passes a datagram to a host's core if it is readable."""
        received = host.codec.read(datagram) if self.encoded else datagram
        if received is None:
            return
        process, message = received
        if isinstance(host.core, ControlNode):
            host.core.receive(host.clock(), process, address, message, host)
        else:
            host.core.receive(host.clock(), message, host)

    def wake(self, host):
        """Runs the timers of a host's core and schedules its next wake-up."""
        host.core.tick(host.clock(), host)
        if isinstance(host.core, ControlNode):
            at = host.core.next_at(host.clock())
        else:
            at = host.core.next_at()
        self.plan(host, max(self.now + 0.001, at - host.offset))

    def run(self, seconds, until=None):
        """Runs for some seconds or until `until()` holds; returns the seconds until it held, or None."""
        began = self.now
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, host, starts, datagram = heapq.heappop(self.queue)
            self.now = at
            self.handle(host, starts, datagram)
            if self.unresolved and self.now >= self.watch_at:
                self.watch()
            self.check()
            if until is not None and until():
                return self.now - began
        self.now = end
        return None

    def handle(self, host, starts, datagram):
        """Handles a scheduled event, unless it is of an earlier start of the host or the host is down."""
        if starts != host.starts or not host.up:
            return
        if datagram is None and host.due is not None and self.now >= host.due:
            host.due = None
        if host.frozen:
            if datagram is not None:
                host.inbox.append(datagram)
            return
        if datagram is not None:
            self.deliver(host, *datagram)
        self.wake(host)

    def check(self):
        """Called after each event; tests override it."""

    def watch(self):
        """Lets each source check the progress of its unresolved entries."""
        self.watch_at = self.now + PROGRESS_CHECK_S
        for purge in list(self.unresolved):
            host = self.controls[purge.machine]
            if not host.up or host.frozen:
                continue
            outcome, purge.missing = host.core.progress(host.clock(), purge.position)
            if outcome != Outcome.PENDING:
                purge.known_at = self.now
                purge.outcome = outcome
                self.unresolved.remove(purge)

    # Events of a run

    def purge(self, machine, key=None, retained=False):
        """Submits a purge to a control machine; returns None if that is down or has no epoch."""
        host = self.controls[machine]
        if not host.up or host.frozen:
            return None
        key = key or f"{self.chance.getrandbits(64):016x}"
        entry = Entry(Kind.PURGE, key, -1, round(1000 * self.now), retained)
        position = host.core.submit(host.clock(), entry, host)
        if position is None:
            return None
        purge = self.purges[entry] = Purge(machine, position, entry, self.now)
        self.unresolved.append(purge)
        return purge

    def kill(self, host):
        """Ends a host without notice to the others."""
        host.up = False

    def freeze(self, host):
        """Stops a host without ending it."""
        host.frozen = True

    def thaw(self, host):
        """Continues a frozen host, which first handles the datagrams received meanwhile."""
        host.frozen = False
        inbox = host.inbox
        host.inbox = []
        for address, datagram in inbox:
            self.deliver(host, address, datagram)
        self.wake(host)

    def living(self):
        """Returns the routers that run and are not frozen."""
        return [host for host in self.routers if host.up and not host.frozen]
