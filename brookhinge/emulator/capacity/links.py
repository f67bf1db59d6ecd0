"""Links between sites as a sender sees them: delay, loss, doubling and cuts, by seed. `Links` decides without I/O;
`LinkedTransport` stands in for a datagram transport and carries the decision out."""

import asyncio
import random

from brookhinge.operator.capacity import inside

SPREAD = 0.5  # a delay is drawn evenly from its mean less and more half of this part: datagrams overtake each other
HEADERS = 28  # bytes of the IPv4 and UDP headers of a datagram


class Links:
    """Links from one site. `copies(host)` gives the delay of each copy of a datagram that arrives: none, one or two."""

    def __init__(self, layout, site, seed):
        self.layout = layout
        self.site = site
        self.chance = random.Random(f"links {seed} {site}")
        self.delays = [layout.delay_s(site, target.index) for target in layout.sites]
        self.closed = [False] * len(layout.sites)
        self.site_of_host = {}

    def cut(self, cuts):
        """Takes the cuts that are in force now, in the place of those before."""
        own = self.layout.sites[self.site].place
        self.closed = [any(cuts_link(cut, own, target.place) for cut in cuts) for target in self.layout.sites]

    def copies(self, host):
        """Seconds after which each copy of a datagram to that address arrives."""
        target = self.site_of_host.get(host)
        if target is None:
            target = self.site_of_host[host] = self.layout.site_of(host)
        capacity = self.layout.capacity
        chance = self.chance
        if self.closed[target] or chance.random() < capacity.loss:
            return ()
        mean = self.delays[target]
        first = mean * (1.0 + SPREAD * (chance.random() - 0.5))
        if chance.random() < capacity.double:
            return first, mean * (1.0 + SPREAD * (chance.random() - 0.5))
        return (first,)


def cuts_link(cut, source, target):
    """Whether a cut drops datagrams from one site to another, given by their places."""
    if cut_one_way(cut, source, target):
        return True
    return cut.both and cut_one_way(cut, target, source)


def cut_one_way(cut, source, target):
    """The same in the direction that the cut names."""
    if not inside(source, cut.source):
        return False
    return inside(target, cut.target) if cut.target else not inside(target, cut.source)


class Traffic:
    """Datagrams and bytes of one process that sends and receives, headers included."""

    __slots__ = ("sent", "sent_bytes", "received", "received_bytes")

    def __init__(self):
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0

    def count_received(self, data):
        """One datagram came."""
        self.received += 1
        self.received_bytes += len(data) + HEADERS


class LinkedTransport:
    """A datagram transport whose datagrams take the links. Bytes are counted as sent also where the link loses them."""

    def __init__(self, transport, links, traffic):
        self.transport = transport
        self.links = links
        self.traffic = traffic
        self.loop = asyncio.get_running_loop()
        self.under_way = 0
        self.closing = False

    def sendto(self, data, address):
        """Sends over the link to the site of that address."""
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data) + HEADERS
        for delay in self.links.copies(address[0]):
            self.under_way += 1
            self.loop.call_later(delay, self.deliver, data, address)

    def deliver(self, data, address):
        """The datagram has passed the link."""
        self.under_way -= 1
        if not self.transport.is_closing():
            self.transport.sendto(data, address)
        if self.closing and not self.under_way:
            self.transport.close()

    def get_extra_info(self, name, default=None):
        """As the transport's."""
        return self.transport.get_extra_info(name, default)

    def is_closing(self):
        """Whether nothing more is to be sent."""
        return self.closing or self.transport.is_closing()

    def close(self):
        """Closes the transport, once what is on the links has arrived."""
        self.closing = True
        if not self.under_way:
            self.transport.close()
