"""Simulates the peers of one fleet in virtual time, reproducibly from one seed.

The network loses, delays, duplicates and cuts off datagrams. Peers and codec are the daemon's, so datagrams
are the bytes that it would send; only the clock and the network are modeled.
"""

import collections
import heapq
import math
import random

from brookhinge.membership.claims import PRESENT_STATES
from brookhinge.membership.codec import Codec, wire_name
from brookhinge.membership.local_member import Identity
from brookhinge.membership.peer import Peer

SITE, KEY = "virtual", b"a key of sixteen"
HEADERS_BYTES = 28  # IPv4 and UDP headers of a datagram
BINS_PER_SECOND = 4


class Traffic:
    """Counts the bytes of one host, including headers, by direction and method and by short time bins."""

    def __init__(self):
        self.by_method = collections.Counter()  # (direction, method): bytes
        self.datagrams = collections.Counter()  # (direction, method): datagrams
        self.bins = collections.Counter()  # bin of time: bytes in both directions

    def add(self, now, direction, method, size):
        """Counts one datagram."""
        self.by_method[direction, method] += size + HEADERS_BYTES
        self.datagrams[direction, method] += 1
        self.bins[math.floor(now * BINS_PER_SECOND)] += size + HEADERS_BYTES

    def total(self, since, until):
        """Returns the bytes sent and received between two times in seconds."""
        return sum(
            self.bins[k] for k in range(round(since * BINS_PER_SECOND), round(until * BINS_PER_SECOND))
        )

    def worst_rate(self, since, until, window_s=10.0):
        """Returns the highest rate in bytes per second over any window that ends between two times."""
        width, highest = round(window_s * BINS_PER_SECOND), 0
        first, last = round(since * BINS_PER_SECOND), round(until * BINS_PER_SECOND)
        carried = sum(self.bins[k] for k in range(first - width, first))
        for k in range(first, last):
            carried += self.bins[k] - self.bins[k - width]
            highest = max(highest, carried)
        return highest / window_s


class Host:
    """One process: its peer, the peer's writer, and a record of its changes and traffic.

    Attributes:
        n: Port of the process, by which the network knows it.
        up: Whether the process runs.
        frozen: Whether the process is stopped; datagrams then wait in its inbox.
        starts: Number of starts.
        log: (time, change, member, reporter) of each change of the view.
        notices: Time of the last notice by kind and values.
        due: Time of its next round, or None.
        sent: Number of datagrams sent.
        bytes: Number of bytes sent, with headers.
        inbox: Datagrams received while frozen.
        traffic: Bytes sent and received.
    """

    def __init__(self, net, n, name, version=1, zone="z"):
        self.net, self.n, self.name, self.up, self.frozen, self.starts = net, n, name, True, False, 0
        self.version, self.zone, self.started_at = version, zone, net.now
        self.log, self.notices, self.due, self.sent, self.bytes = [], {}, None, 0, 0
        self.inbox, self.traffic = [], Traffic()

    def start(self, born, seeds):
        """Starts the process with empty state; it joins through the addresses in `seeds`."""
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
        """Returns a list of the message in a received datagram, empty if it is unreadable."""
        received = self.codec.read(data)
        if received is None:
            return []
        self.traffic.add(self.net.now, "received", wire_name(received.message), len(data))
        return [received]

    # Methods of the peer's writer

    def send(self, address, message, updates, notices):
        """Sends a datagram over the network."""
        net = self.net
        claim = self.peer.claim(net.now)
        data = self.codec.write(claim, self.peer.digest(), message, updates, notices)
        self.sent += 1
        self.bytes += len(data) + HEADERS_BYTES
        self.traffic.add(net.now, "sent", wire_name(message), len(data))
        to = net.hosts.get(address[1])
        if to is None or not to.up or net.cut(self.n, to.n) or net.chance.random() < net.loss:
            return
        for _ in range(1 + (net.chance.random() < net.double)):
            net.push(net.now + net.delay * (0.5 + net.chance.random()), to, data)

    def changed(self, change, name, reporter):
        """Records a change of the view."""
        self.log.append((self.net.now, change, name, reporter))

    def notice(self, kind, values, reporter):
        """Records a notice."""
        self.notices[(kind, *values)] = self.net.now


class Net:
    """The simulated processes and the network between them.

    Attributes:
        loss: Probability that a datagram is lost.
        delay: Mean delay of a datagram in seconds.
        double: Probability that a datagram is delivered twice.
        chance: Random number generator of the network.
        now: Current time in seconds.
        hosts: Processes by number.
        queue: Heap of scheduled rounds and datagrams.
        cut: Function of two process numbers: whether datagrams from the first to the second are lost.
    """

    def __init__(self, seed, loss=0.0, delay=0.002, double=0.0):
        self.seed, self.loss, self.delay, self.double = seed, loss, delay, double
        self.chance, self.now, self.hosts, self.queue, self.serial = random.Random(seed), 0.0, {}, [], 0
        self.cut = lambda a, b: False

    def add(self, n, seeds=(1, 2, 3), born=None, name=None, version=1, zone="z"):
        """Adds and starts process n, which joins through the processes in `seeds`."""
        host = self.hosts[n] = Host(self, n, name or f"n{n}", version, zone)
        host.start(born or 1_000_000 + n, [("10.0.0.1", s) for s in seeds])
        return host

    def push(self, at, host, data):
        """Schedules the arrival of a datagram at a host, or a round if data is None."""
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, host, host.starts, data))

    def plan(self, host, at):
        """Schedules a round of a host unless an earlier one is scheduled."""
        if host.due is None or at < host.due:
            host.due = at
            self.push(at, host, None)

    def run(self, seconds, until=None):
        """Runs for some seconds or until `until()` holds; returns whether it held or was not given."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, host, start, data = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            if not host.up or start != host.starts:
                continue
            if host.frozen:
                if data is not None and len(host.inbox) < 200:  # bounded like a socket buffer
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
        """Stops a process without ending it."""
        self.hosts[n].frozen = True

    def thaw(self, n):
        """Continues a frozen process, which handles the datagrams received meanwhile in one round."""
        host = self.hosts[n]
        host.frozen, host.due = False, None
        inbox, host.inbox = [message for data in host.inbox for message in host.read(data)], []
        host.peer.round(self.now, inbox, host)
        self.plan(host, max(self.now, host.peer.next_at()))

    def kill(self, n):
        """Ends a process without notice to the others."""
        self.hosts[n].up = False

    def living(self):
        """Returns the processes that run, are not frozen and whose peer has not stopped."""
        return [host for host in self.hosts.values() if host.up and not host.frozen and not host.peer.stopped]

    def one_view(self):
        """Returns whether each living process's view has exactly the living processes present."""
        living = self.living()
        names = {host.name for host in living}
        return all(
            {member for member, state, *_ in host.peer.members() if state in PRESENT_STATES} == names
            for host in living
        )
