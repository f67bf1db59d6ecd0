"""Peers of one fleet in virtual time on a network that loses, delays, doubles and cuts, all by one seed. Peers and codec
are those of the daemon: datagrams go over as the bytes that it would send. Only the clock and the wires are stood in for."""

import collections
import heapq
import math
import random

from brookhinge.membership.claims import PRESENT_STATES
from brookhinge.membership.codec import Codec, wire_name
from brookhinge.membership.local_member import Identity
from brookhinge.membership.peer import Peer

SITE, KEY = "virtual", b"a key of sixteen"
HEADERS = 28  # bytes of the IPv4 and UDP headers of a datagram
BINS_A_SECOND = 4


class Traffic:
    """Bytes of one host with their headers, by method and direction, and in short bins of time."""

    def __init__(self):
        self.by_method = collections.Counter()  # (direction, method): bytes
        self.datagrams = collections.Counter()  # (direction, method): datagrams
        self.bins = collections.Counter()  # bin of time: bytes in both directions

    def add(self, now, direction, method, size):
        self.by_method[direction, method] += size + HEADERS
        self.datagrams[direction, method] += 1
        self.bins[math.floor(now * BINS_A_SECOND)] += size + HEADERS

    def total(self, since, until):
        """Bytes sent and received from one moment to another, seconds."""
        return sum(self.bins[k] for k in range(round(since * BINS_A_SECOND), round(until * BINS_A_SECOND)))

    def worst_rate(self, since, until, window_s=10.0):
        """The highest rate, bytes a second, over any window of that length that ends between two moments."""
        width, worst = round(window_s * BINS_A_SECOND), 0
        first, last = round(since * BINS_A_SECOND), round(until * BINS_A_SECOND)
        carried = sum(self.bins[k] for k in range(first - width, first))
        for k in range(first, last):
            carried += self.bins[k] - self.bins[k - width]
            worst = max(worst, carried)
        return worst / window_s


class Host:
    """One process: its peer, its writer, and what it received."""

    def __init__(self, net, n, name, version=1, zone="z"):
        self.net, self.n, self.name, self.up, self.frozen, self.starts = net, n, name, True, False, 0
        self.version, self.zone, self.started_at = version, zone, net.now
        self.log, self.notices, self.due, self.sent, self.bytes = [], {}, None, 0, 0
        self.inbox, self.traffic = [], Traffic()

    def start(self, born, seeds):
        self.starts += 1
        self.up, self.frozen, self.due, self.inbox = True, False, None, []
        self.started_at = self.net.now
        self.codec = Codec(SITE, KEY, self.version)
        self.peer = Peer(
            Identity(self.name, ("10.0.0.1", self.n), self.zone, self.version, born),
            seeds,
            random.Random(f"{self.net.seed} {self.n} {self.starts}"),
            self.net.now,
        )
        self.net.plan(self, self.net.now)

    def read(self, data):
        """Messages of a datagram that has come: one or none."""
        received = self.codec.read(data)
        if received is None:
            return []
        self.traffic.add(self.net.now, "received", wire_name(received.message), len(data))
        return [received]

    # the writer

    def send(self, address, message, updates, notices):
        net = self.net
        claim = self.peer.claim(net.now)
        data = self.codec.write(claim, self.peer.digest(), message, updates, notices)
        self.sent += 1
        self.bytes += len(data) + HEADERS
        self.traffic.add(net.now, "sent", wire_name(message), len(data))
        to = net.hosts.get(address[1])
        if to is None or not to.up or net.cut(self.n, to.n) or net.chance.random() < net.loss:
            return
        for _ in range(1 + (net.chance.random() < net.double)):
            net.push(net.now + net.delay * (0.5 + net.chance.random()), to, data)

    def changed(self, change, name, reporter):
        self.log.append((self.net.now, change, name, reporter))

    def notice(self, kind, values, reporter):
        self.notices[(kind, *values)] = self.net.now


class Net:
    def __init__(self, seed, loss=0.0, delay=0.002, double=0.0):
        self.seed, self.loss, self.delay, self.double = seed, loss, delay, double
        self.chance, self.now, self.hosts, self.queue, self.serial = random.Random(seed), 0.0, {}, [], 0
        self.cut = lambda a, b: False

    def add(self, n, seeds=(1, 2, 3), born=None, name=None, version=1, zone="z"):
        host = self.hosts[n] = Host(self, n, name or f"n{n}", version, zone)
        host.start(born or 1_000_000 + n, [("10.0.0.1", s) for s in seeds])
        return host

    def push(self, at, host, data):
        """Bytes that come to a host at a moment, or None for a round that is due."""
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, host, host.starts, data))

    def plan(self, host, at):
        """A round for a host; an earlier one that is planned already will do."""
        if host.due is None or at < host.due:
            host.due = at
            self.push(at, host, None)

    def run(self, seconds, until=None):
        """Plays on; ends early once `until()` holds. Whether it did, or there was none to wait for."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, host, start, data = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            if not host.up or start != host.starts:
                continue
            if host.frozen:
                if data is not None and len(host.inbox) < 200:  # what a socket's buffer holds
                    host.inbox.append(data)
                continue
            if data is None and at != host.due:
                continue
            if data is None:
                host.due = None
            host.peer.round(self.now, host.read(data) if data else [], host)
            self.plan(host, max(self.now, host.peer.next_at()))
            if until and until():
                return True
        self.now = end
        return until is None or until()

    def freeze(self, n):
        self.hosts[n].frozen = True

    def thaw(self, n):
        host = self.hosts[n]
        host.frozen, host.due = False, None
        inbox, host.inbox = [message for data in host.inbox for message in host.read(data)], []
        host.peer.round(self.now, inbox, host)
        self.plan(host, max(self.now, host.peer.next_at()))

    def kill(self, n):
        self.hosts[n].up = False

    def living(self):
        return [h for h in self.hosts.values() if h.up and not h.frozen and not h.peer.stopped]

    def one_view(self):
        """Whether all that live hold just each other for living."""
        living = self.living()
        names = {h.name for h in living}
        return all(
            {m for m, state, *_ in h.peer.members() if state in PRESENT_STATES} == names for h in living
        )
