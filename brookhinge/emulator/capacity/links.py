"""Emulates links between sites at the sender: delay, loss, duplication and cuts, reproducible by seed.

`Links` decides the fate of a datagram without I/O. `LinkedTransport` wraps a datagram transport and applies
the decision.
"""

import asyncio
import random

from brookhinge.operator.capacity import inside

DELAY_SPREAD = 0.5  # width of the uniform delay distribution as part of its mean; reorders datagrams
HEADER_BYTES = 28  # IPv4 and UDP headers of a datagram


class Links:
    """Links from one site to all others."""

    def __init__(self, layout, site, seed):
        self.layout = layout
        self.site = site
        self.rng = random.Random(f"links {seed} {site}")
        self.delays = [layout.delay_s(site, target.index) for target in layout.sites]
        self.is_cut = [False] * len(layout.sites)
        self.site_of_host = {}

    def cut(self, cuts):
        """Replace the cuts in force."""
        own = self.layout.sites[self.site].place
        self.is_cut = [any(cuts_link(cut, own, target.place) for cut in cuts) for target in self.layout.sites]

    def copies(self, host):
        """Return the delay in seconds of each arriving copy of a datagram to a host: none, one or two."""
        target = self.site_of_host.get(host)
        if target is None:
            target = self.site_of_host[host] = self.layout.site_of(host)
        capacity = self.layout.capacity
        rng = self.rng
        if self.is_cut[target] or rng.random() < capacity.loss:
            return ()
        mean = self.delays[target]
        first = mean * (1.0 + DELAY_SPREAD * (rng.random() - 0.5))
        if rng.random() < capacity.double:
            return first, mean * (1.0 + DELAY_SPREAD * (rng.random() - 0.5))
        return (first,)


def cuts_link(cut, source, target):
    """Return whether a cut drops datagrams from one site to another, given by their places."""
    if cut_one_way(cut, source, target):
        return True
    return cut.both and cut_one_way(cut, target, source)


def cut_one_way(cut, source, target):
    """Return whether a cut drops datagrams in its own direction, from its source to its target."""
    if not inside(source, cut.source):
        return False
    return inside(target, cut.target) if cut.target else not inside(target, cut.source)


class Traffic:
    """Counts datagrams and bytes, headers included, of one router or control machine."""

    __slots__ = ("received", "received_bytes", "sent", "sent_bytes")

    def __init__(self):
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0

    def count_received(self, data):
        """Count one received datagram."""
        self.received += 1
        self.received_bytes += len(data) + HEADER_BYTES


class LinkedTransport:
    """A datagram transport whose datagrams pass the emulated links.

    Datagrams that a link drops still count as sent.
    """

    def __init__(self, transport, links, traffic):
        self.transport = transport
        self.links = links
        self.traffic = traffic
        self.loop = asyncio.get_running_loop()
        self.in_flight = 0
        self.closing = False

    def sendto(self, data, address):
        """Send a datagram over the link to the site of an address."""
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data) + HEADER_BYTES
        for delay in self.links.copies(address[0]):
            self.in_flight += 1
            self.loop.call_later(delay, self.deliver, data, address)

    def deliver(self, data, address):
        """Send a datagram that has passed the link, and close the transport after the last one if closing."""
        self.in_flight -= 1
        if not self.transport.is_closing():
            self.transport.sendto(data, address)
        if self.closing and not self.in_flight:
            self.transport.close()

    def get_extra_info(self, name, default=None):
        """Return the extra info of the wrapped transport."""
        return self.transport.get_extra_info(name, default)

    def is_closing(self):
        """Return whether the transport is closed or closing."""
        return self.closing or self.transport.is_closing()

    def close(self):
        """Close the transport once all datagrams on the links have arrived."""
        self.closing = True
        if not self.in_flight:
            self.transport.close()
