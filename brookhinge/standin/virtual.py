"""Peers of one fleet in virtual time on a network that loses, delays, doubles and cuts, all by one seed. The peers
are those of the daemon; only the clock and the wires are stood in for."""

import heapq
import random

from brookhinge.membership.codec import PROBES
from brookhinge.membership.peer import Peer
from brookhinge.membership.view import ALIVE, SUSPECTED


class Host:
    """One process: its peer, its writer, and what it received."""

    def __init__(self, net, n, name, version=1):
        self.net, self.n, self.name, self.up, self.frozen, self.starts = net, n, name, True, False, 0
        self.version = version
        self.log, self.notices, self.due, self.sent, self.bytes = [], {}, None, 0, 0
        self.inbox = []

    def start(self, born, seeds, zone="z"):
        self.starts += 1
        self.up, self.frozen, self.due, self.inbox = True, False, None, []
        self.peer = Peer(
            self.name,
            ("10.0.0.1", self.n),
            zone,
            self.version,
            born,
            seeds,
            random.Random(f"{self.net.seed} {self.n} {self.starts}"),
            self.net.now,
        )
        self.net.plan(self, self.net.now)

    # the writer

    def send(self, address, method, values, news, notices):
        net, v = self.net, self.peer.view
        me = v.index.get(self.name)
        self.sent += 1
        self.bytes += 150 + 60 * len(news) + 40 * len(notices) + (520 if method == "buckets" else 0)
        to = net.hosts.get(address[1])
        if to is None or not to.up or net.cut(self.n, to.n) or net.chance.random() < net.loss:
            return
        message = (v.claim(me, net.now), v.digest(), tuple(news), tuple(notices), method, values)
        if to.version != self.version:  # as codec.py reads it there
            message = (
                message[0],
                0,
                tuple(news),
                (),
                *((method, values) if method in PROBES else ("foreign", ())),
            )
        for _ in range(1 + (net.chance.random() < net.double)):
            net.push(net.now + net.delay * (0.5 + net.chance.random()), to, message)

    def changed(self, change, name, by):
        self.log.append((self.net.now, change, name, by))

    def notice(self, kind, values, by):
        self.notices[(kind, *values)] = self.net.now


class Net:
    def __init__(self, seed, loss=0.0, delay=0.002, double=0.0):
        self.seed, self.loss, self.delay, self.double = seed, loss, delay, double
        self.chance, self.now, self.hosts, self.queue, self.serial = random.Random(seed), 0.0, {}, [], 0
        self.cut = lambda a, b: False

    def add(self, n, seeds=(1, 2, 3), born=None, name=None, version=1):
        host = self.hosts[n] = Host(self, n, name or f"n{n}", version)
        host.start(born or 1_000_000 + n, [("10.0.0.1", s) for s in seeds])
        return host

    def push(self, at, host, message):
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, host, host.starts, message))

    def plan(self, host, at):
        """A round for a host; an earlier one that is planned already will do."""
        if host.due is None or at < host.due:
            host.due = at
            self.push(at, host, None)

    def run(self, seconds, until=None):
        """Plays on; ends early once `until()` holds. Whether it did, or there was none to wait for."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, host, start, message = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            if not host.up or start != host.starts:
                continue
            if host.frozen:
                if message is not None and len(host.inbox) < 200:  # what a socket's buffer holds
                    host.inbox.append(message)
                continue
            if message is None and at != host.due:
                continue
            if message is None:
                host.due = None
            host.peer.round(self.now, [message] if message else [], host)
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
        inbox, host.inbox = host.inbox, []
        host.peer.round(self.now, inbox, host)
        self.plan(host, max(self.now, host.peer.next_at()))

    def kill(self, n):
        self.hosts[n].up = False

    def living(self):
        return [h for h in self.hosts.values() if h.up and not h.frozen and not h.peer.out]

    def one_view(self):
        """Whether all that live hold just each other for living."""
        living = self.living()
        names = {h.name for h in living}
        return all(
            {m for m, state, *_ in h.peer.members() if state in (ALIVE, SUSPECTED)} == names for h in living
        )
