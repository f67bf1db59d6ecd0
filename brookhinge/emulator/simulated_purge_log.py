"""Control machines and routers of the purge log in virtual time, on a network that delays, loses, doubles and cuts by one
seed. The cores and, where bytes are counted, the encoding are those in service; only clocks and wires are stood in for.

    net = LogNet(seed=1, routers=530)
    net.run(10.0)
    purge = net.purge(machine=0)
    net.run(2.0)
    purge.all_s, purge.known_s"""

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
WATCH_S = 0.05  # between two looks of a source at the progress of its entries


class Purge:
    """One purge of a run: when it was appended, when each router applied it, when its source knew."""

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
        return self.known_at - self.at

    def all_s(self, names):
        """Seconds until the last of these routers applied it; infinite where one never did."""
        return max(self.applied.get(name, math.inf) for name in names) - self.at


class Host:
    """One process: a core, its codec, and its clock's offset."""

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
        return self.net.now + self.offset

    def boot(self):
        return 1 + self.net.chance.getrandbits(31)

    # the cores' writer

    def send(self, address, message):
        self.net.carry(self, address, message)

    def apply_entry(self, entry):
        purge = self.net.purges.get(entry)
        if purge is not None:
            purge.applied.setdefault(self.name, self.net.now)
        self.applied.add(entry)

    def apply_copy_rule(self, rule, fingerprints):
        self.rules.append((self.net.now, rule, fingerprints))

    def last_rule(self):
        """STALE or PROVEN, whichever holds."""
        told = [rule for _, rule, _ in self.rules if rule in (CopyRule.STALE, CopyRule.PROVEN)]
        return told[-1] if told else CopyRule.STALE


class LogNet:
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
        """delay(a, b): seconds one way between two hosts by name; encoded: datagrams are written and read as in service,
        and their bytes are counted."""
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
        self.watched = []
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
        host = self.hosts[("10.0.0.1", number)] = Host(self, name, number)
        return host

    def start(self, host):
        """Starts a host, or starts it anew with nothing in its memory."""
        host.starts += 1
        host.up = True
        host.frozen = False
        host.inbox = []
        host.due = None
        host.process = host.boot()
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
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, host, host.starts, datagram))

    def plan(self, host, at):
        if host.due is None or at < host.due:
            host.due = at
            self.push(at, host, None)

    def carry(self, sender, address, message):
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
        received = host.codec.read(datagram) if self.encoded else datagram
        if received is None:
            return
        process, message = received
        if isinstance(host.core, ControlNode):
            host.core.receive(host.clock(), process, address, message, host)
        else:
            host.core.receive(host.clock(), message, host)

    def wake(self, host):
        host.core.tick(host.clock(), host)
        if isinstance(host.core, ControlNode):
            at = host.core.next_at(host.clock())
        else:
            at = host.core.next_at()
        self.plan(host, max(self.now + 0.001, at - host.offset))

    def run(self, seconds, until=None):
        """Goes on for so long, or until until() holds; the seconds that it took, or None."""
        began = self.now
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, host, starts, datagram = heapq.heappop(self.queue)
            self.now = at
            self.handle(host, starts, datagram)
            if self.watched and self.now >= self.watch_at:
                self.watch()
            self.check()
            if until is not None and until():
                return self.now - began
        self.now = end
        return None

    def handle(self, host, starts, datagram):
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
        """For tests: called after each event."""

    def watch(self):
        """Sources look how far their entries have got."""
        self.watch_at = self.now + WATCH_S
        for purge in list(self.watched):
            host = self.controls[purge.machine]
            if not host.up or host.frozen:
                continue
            outcome, purge.missing = host.core.progress(host.clock(), purge.position)
            if outcome != Outcome.PENDING:
                purge.known_at = self.now
                purge.outcome = outcome
                self.watched.remove(purge)

    # what happens

    def purge(self, machine, key=None):
        """A purge is told to a control machine; its Purge, or None where that has no epoch."""
        host = self.controls[machine]
        if not host.up or host.frozen:
            return None
        entry = Entry(Kind.PURGE, key or f"{self.chance.getrandbits(64):016x}", -1, round(1000 * self.now))
        position = host.core.submit(host.clock(), entry, host)
        if position is None:
            return None
        purge = self.purges[entry] = Purge(machine, position, entry, self.now)
        self.watched.append(purge)
        return purge

    def kill(self, host):
        host.up = False

    def freeze(self, host):
        host.frozen = True

    def thaw(self, host):
        host.frozen = False
        inbox = host.inbox
        host.inbox = []
        for address, datagram in inbox:
            self.deliver(host, address, datagram)
        self.wake(host)

    def living(self):
        return [host for host in self.routers if host.up and not host.frozen]
