"""The modelled fleet: its sites, routers and control machines, and their loopback addresses. No I/O but reading the file.

Router number r (from 0) of site s (from 0) has the IPv4 address 127.1.(s + 1).(r + 1), control machine c has
127.2.(c + 1).1. So a datagram's destination tells the site that it goes to, and ports may be any that are free."""

from typing import NamedTuple

from brookhinge.operator import OperatorError, read_file
from brookhinge.operator.capacity import MAX_SITES, Capacity

ROUTER_NET = "127.1"
CONTROL_NET = "127.2"


class Site(NamedTuple):
    """A site of the layout: its place `region/zone/number`, and how many routers it has."""

    index: int
    place: str
    routers: int

    @property
    def zone(self):
        """Its zone as `region/zone`: the place that its routers name as theirs."""
        return self.place.rsplit("/", 1)[0]

    @property
    def region(self):
        """The name of its region."""
        return self.place.split("/", 1)[0]

    def name_of(self, router):
        """The name of its router with that number."""
        return f"r{self.index + 1}-{router + 1}"

    def host_of(self, router):
        """The loopback address of its router with that number."""
        return f"{ROUTER_NET}.{self.index + 1}.{router + 1}"


class Layout:
    """A checked `capacity` block, spread over so many routers."""

    def __init__(self, capacity: Capacity, routers=None):
        self.capacity = capacity
        places = capacity.sites()
        self.routers = routers or capacity.routers
        base, more = divmod(self.routers, len(places))
        self.sites = [Site(k, place, base + (k < more)) for k, place in enumerate(places)]
        self.between = {frozenset((link.first, link.second)): link.delay_ms for link in capacity.links}
        self.site_of_place = {site.place: site.index for site in self.sites}
        if base + 1 > MAX_SITES:
            raise ValueError(f"expected {MAX_SITES} routers a site at most, got {base + 1}")

    def site_of(self, host):
        """The index of the site at which a loopback address stands."""
        net = host.rsplit(".", 2)[0]
        number = int(host.rsplit(".", 2)[1])
        if net == CONTROL_NET:
            return self.site_of_place[self.capacity.controls[number - 1].site]
        return number - 1

    @staticmethod
    def control_host(control):
        """The loopback address of a control machine."""
        return f"{CONTROL_NET}.{control + 1}.1"

    def delay_s(self, source, target):
        """Seconds one way between two sites, by index, on the mean."""
        a = self.sites[source]
        b = self.sites[target]
        capacity = self.capacity
        if a.index == b.index:
            return capacity.site_ms / 1000.0
        if a.zone == b.zone:
            return capacity.zone_ms / 1000.0
        if a.region == b.region:
            return capacity.region_ms / 1000.0
        return self.between[frozenset((a.region, b.region))] / 1000.0


def read_layout(file, routers=None, loss=None):
    """The Layout of a file; raises OperatorError where it can't be used."""
    capacity = read_file(file).capacity
    if capacity is None:
        raise OperatorError(f"{file}: capacity: missing")
    if loss is not None:
        capacity = capacity._replace(loss=loss)
    return Layout(capacity, routers)
