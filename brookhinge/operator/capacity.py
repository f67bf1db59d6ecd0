"""Schema of the `capacity` block: the layout of a fleet that `python -m benchmarks.capacity` models.

A layout has regions, zones, sites and links. Delays are one-way and in milliseconds. Times are in seconds
from the start of the measured phase. `loss` and `double` are the probabilities that a datagram is lost or
duplicated. A place is written `region`, `region/zone` or `region/zone/site number`.
"""

from collections.abc import Callable, Iterator
from itertools import combinations
from typing import Any, NamedTuple

from brookhinge.operator.hcl import Block, OperatorError

Keys = dict[str, Any]
ReadValues = Callable[[Block, Keys], dict[str, Any]]

MAX_SITES = 250  # a site is one octet of a loopback address
MAX_ROUTERS = 5000


class Zone(NamedTuple):
    """A zone of a region and its number of sites."""

    region: str
    name: str
    sites: int

    @property
    def place(self) -> str:
        """Return the zone as `region/zone`."""
        return f"{self.region}/{self.name}"


class Link(NamedTuple):
    """The one-way delay between two regions."""

    first: str
    second: str
    delay_ms: float


class Control(NamedTuple):
    """A control machine, its site, and the other regions whose routers prefer it."""

    name: str
    site: str
    serves: tuple[str, ...] = ()

    @property
    def region(self) -> str:
        """Return the region of the control machine."""
        return self.site.split("/", 1)[0]


class Cut(NamedTuple):
    """A network partition between two places.

    Attributes:
        name: Label of the block.
        source: Place whose datagrams to `target` are dropped.
        target: Place to which they are dropped; empty means everything outside `source`.
        at_s: When the partition begins.
        for_s: How long it lasts.
        both: Whether datagrams from `target` to `source` are dropped too.
    """

    name: str
    source: str
    target: str
    at_s: float
    for_s: float
    both: bool


class Capacity(NamedTuple):
    """A checked `capacity` block.

    Attributes:
        routers: Number of routers.
        caches: Number of cache servers.
        purges_s: Purges per second.
        site_ms: Delay within a site.
        zone_ms: Delay between sites of a zone.
        region_ms: Delay between zones of a region.
        loss: Probability that a datagram is lost.
        double: Probability that a datagram is duplicated.
        zones: Zones of all regions.
        links: Delays between regions, one for each pair.
        controls: Control machines.
        cuts: Network partitions.
    """

    routers: int
    caches: int
    purges_s: float
    site_ms: float
    zone_ms: float
    region_ms: float
    loss: float
    double: float
    zones: tuple[Zone, ...]
    links: tuple[Link, ...]
    controls: tuple[Control, ...]
    cuts: tuple[Cut, ...]

    def sites(self) -> list[str]:
        """Return the places of all sites in the order of the file."""
        return [f"{zone.place}/{number + 1}" for zone in self.zones for number in range(zone.sites)]


def capacity_blocks(
    required: object,
    number: Callable,
    whole: Callable,
    text: Callable,
    names: Callable,
    path: Callable,
    flag: Callable,
) -> tuple[int, Keys, dict]:
    """Return the entry of `capacity` for the schema's table of blocks.

    The marker of required keys and the checks come from the schema module.
    """
    delay = number(0, 10_000)
    settings = {
        "routers": (whole(1, MAX_ROUTERS), 530),
        "caches": (whole(1, 10_000), 95),
        "purges_s": (number(0, 1000), 5.1),
        "site_ms": (delay, 0.3),
        "zone_ms": (delay, 2.0),
        "region_ms": (delay, 5.0),
        "loss": (number(0, 0.9), 0.0),
        "double": (number(0, 0.9), 0.0),
    }
    cut = {
        "from": (text, required),
        "to": (path, ""),
        "at_s": (number(0, 86_400), required),
        "for_s": (number(0, 86_400), required),
        "both": (flag, True),
    }
    return (
        0,
        settings,
        {
            "region": (1, {}, {"zone": (1, {"sites": (whole(1, MAX_SITES), required)}, {})}),
            "link": (2, {"delay_ms": (delay, required)}, {}),
            "control": (1, {"site": (text, required), "serves": (names, ())}, {}),
            "cut": (1, cut, {}),
        },
    )


def read_capacity(block: Block, schema: tuple[int, Keys, dict], read_values: ReadValues) -> Capacity:
    """Return the Capacity of a parsed block whose nested blocks were checked by `check_blocks`.

    Raises:
        OperatorError: A value is wrong or a place is unknown; the message names block, key and line.
    """
    _, settings, nested = schema
    values = read_values(block, settings)
    regions = [inner for inner in block.blocks if inner.kind == "region"]
    zones = tuple(
        zone for region in regions for zone in read_zones(region, nested["region"][2]["zone"], read_values)
    )
    if not zones:
        raise OperatorError(f"line {block.line}: capacity: region: expected at least one region with a zone")
    names = [region.labels[0] for region in regions]
    links = read_links(block, names, nested["link"][1], read_values)
    capacity = Capacity(**values, zones=zones, links=links, controls=(), cuts=())
    if len(capacity.sites()) > MAX_SITES:
        raise OperatorError(
            f"line {block.line}: capacity: expected at most {MAX_SITES} sites, got {len(capacity.sites())}"
        )
    return capacity._replace(
        controls=tuple(read_controls(block, capacity, nested["control"][1], read_values)),
        cuts=tuple(read_cuts(block, capacity, nested["cut"][1], read_values)),
    )


def read_zones(region: Block, schema: tuple[int, Keys, dict], read_values: ReadValues) -> Iterator[Zone]:
    """Yield the zones of one region."""
    read_values(region, {})
    for block in region.blocks:
        for label in (region.labels[0], block.labels[0]):
            if not label or "/" in label:
                raise OperatorError(
                    f"line {block.line}: {block.title()}: expected names without '/', got {label!r:.60}"
                )
        yield Zone(region.labels[0], block.labels[0], **read_values(block, schema[1]))


def read_links(block: Block, regions: list[str], settings: Keys, read_values: ReadValues) -> tuple[Link, ...]:
    """Return the delays between regions; each pair must have exactly one."""
    links = {}
    for inner in (nested for nested in block.blocks if nested.kind == "link"):
        for label in inner.labels:
            if label not in regions:
                raise OperatorError(f"line {inner.line}: {inner.title()}: unknown region {label!r:.60}")
        pair = tuple(sorted(inner.labels, key=regions.index))
        if pair[0] == pair[1] or pair in links:
            raise OperatorError(
                f"line {inner.line}: {inner.title()}: expected exactly one link for each pair of regions"
            )
        links[pair] = read_values(inner, settings)["delay_ms"]
    for pair in combinations(regions, 2):
        if pair not in links:
            raise OperatorError(f'line {block.line}: capacity: link "{pair[0]}" "{pair[1]}": missing')
    return tuple(Link(*pair, delay_ms) for pair, delay_ms in links.items())


def read_controls(
    block: Block, capacity: Capacity, settings: Keys, read_values: ReadValues
) -> Iterator[Control]:
    """Yield the control machines; each must be at a site of the layout."""
    sites = set(capacity.sites())
    regions = {zone.region for zone in capacity.zones}
    for inner in (nested for nested in block.blocks if nested.kind == "control"):
        values = read_values(inner, settings)
        if values["site"] not in sites:
            raise OperatorError(
                f"line {inner.lines['site']}: {inner.title()}: site: expected region/zone/number, got "
                f"{values['site']!r:.60}"
            )
        for region in values["serves"]:
            if region not in regions:
                raise OperatorError(
                    f"line {inner.lines['serves']}: {inner.title()}: serves: unknown region {region!r:.60}"
                )
        yield Control(inner.labels[0], **values)


def read_cuts(block: Block, capacity: Capacity, settings: Keys, read_values: ReadValues) -> Iterator[Cut]:
    """Yield the cuts between places of the layout."""
    sites = capacity.sites()
    for inner in (nested for nested in block.blocks if nested.kind == "cut"):
        values = read_values(inner, settings)
        for key in ("from", "to"):
            if values[key] and not any(inside(site, values[key]) for site in sites):
                raise OperatorError(
                    f"line {inner.lines[key]}: {inner.title()}: {key}: expected a place of the layout, "
                    f"got {values[key]!r:.60}"
                )
        yield Cut(
            inner.labels[0], values["from"], values["to"], values["at_s"], values["for_s"], values["both"]
        )


def inside(site: str, place: str) -> bool:
    """Return whether a site is in a place: a region, a zone or the site itself."""
    return site == place or site.startswith(place + "/")
