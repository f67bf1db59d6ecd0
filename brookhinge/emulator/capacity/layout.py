"""The layout of an emulated fleet: its sites, routers and control machines, and their loopback addresses.

Router r of site s has the IPv4 address 127.1.(s + 1).(r + 1) and control machine c has 127.2.(c + 1).1, all
counted from 0. The destination address of a datagram thus identifies the site, and any free port can be used.
The only I/O is reading the capacity file.
"""

from typing import NamedTuple

from brookhinge.operator import OperatorError, read_file
from brookhinge.operator.capacity import MAX_SITES, Capacity

ROUTER_NET = "127.1"
CONTROL_NET = "127.2"


class Site(NamedTuple):
    """A site of the layout.

    Attributes:
        index: Index in the layout, from 0.
        place: `region/zone/number`.
        routers: Number of routers at the site.
    """

    index: int
    place: str
    routers: int

    @property
    def zone(self):
        """The zone as `region/zone`, as in the `zone` setting of its routers."""
        return self.place.rsplit("/", 1)[0]

    @property
    def region(self):
        """The name of the region."""
        return self.place.split("/", 1)[0]

    def name_of(self, router):
        """Return the name of a router of the site, by number from 0."""
        return f"r{self.index + 1}-{router + 1}"

    def host_of(self, router):
        """Return the loopback address of a router of the site, by number from 0."""
        return f"{ROUTER_NET}.{self.index + 1}.{router + 1}"


class Layout:
    """A validated `capacity` block with its routers distributed over the sites.

    Attributes:
        routers: Number of routers in the fleet.
        sites: Sites by index.
        between: One-way delay between two regions in milliseconds, by the set of their names.
        site_of_place: Index of each site, by place.
    """

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
        """Return the index of the site of a loopback address."""
        net = host.rsplit(".", 2)[0]
        number = int(host.rsplit(".", 2)[1])
        if net == CONTROL_NET:
            return self.site_of_place[self.capacity.controls[number - 1].site]
        return number - 1

    @staticmethod
    def control_host(control):
        """Return the loopback address of a control machine, by number from 0."""
        return f"{CONTROL_NET}.{control + 1}.1"

    def delay_s(self, source, target):
        """Return the mean one-way delay between two sites, by index, in seconds."""
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
    """Read the Layout of a file.

    Args:
        file: File with a `capacity` block.
        routers: Number of routers, or None for that of the file.
        loss: Probability that a link drops a datagram, or None for that of the file.

    Raises:
        OperatorError: If the file cannot be read, is invalid or has no `capacity` block.
    """
    capacity = read_file(file).capacity
    if capacity is None:
        raise OperatorError(f"{file}: capacity: missing")
    if loss is not None:
        capacity = capacity._replace(loss=loss)
    return Layout(capacity, routers)
