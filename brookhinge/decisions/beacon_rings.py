"""Beacon rings: assign each object a home cache server, by sub-ranges that follow the load.

Source: "Cache Clouds: Cooperative Caching of Dynamic Documents in Edge Networks", section 2.3. Each object
hashes to a ring and to an intra-ring hash (IrH) value on it. The beacon point whose sub-range contains that
value is the object's home.
"""

from collections.abc import Callable
from typing import NamedTuple

IRH_VALUES = 1000  # number of IrH values of a beacon ring


class BeaconRing(NamedTuple):
    """The cache servers of one ring. Each sub-range begins where the previous one ends."""

    points: list[int]
    range_ends: list[int]
    loads: list[float]  # requests since the last rebalance, by IrH value


class BeaconRings:
    """The beacon rings over the location's sorted cache servers."""

    def __init__(self) -> None:
        self._rings: list[BeaconRing] = []
        self._unassigned: list[int] | None = None  # the cache servers that the next use assigns to rings
        self._in_order: list[int] = []  # all cache servers in ring order
        self._others: dict[int, list[int]] = {}  # by cache server: all others, once they were needed

    def assign(self, caches: list[int]) -> None:
        """Pair the cache servers into rings; a ring with the same points keeps its sub-ranges.

        With an odd number of cache servers, the last ring has three; a single one makes a ring by itself. The
        rings are made when they are next used, so that many changes in a row cost one assignment.
        """
        self._unassigned = caches

    @property
    def rings(self) -> list[BeaconRing]:
        """The rings of the cache servers that were assigned last."""
        if self._unassigned is not None:
            self._make_rings(self._unassigned)
            self._unassigned = None
        return self._rings

    def _make_rings(self, caches: list[int]) -> None:
        previous = {tuple(ring.points): ring for ring in self._rings}
        count = max(1, len(caches) // 2)
        self._rings = []
        for k in range(count if caches else 0):
            points = caches[2 * k :] if k == count - 1 else caches[2 * k : 2 * k + 2]
            ends = [IRH_VALUES * (i + 1) // len(points) for i in range(len(points))]
            self._rings.append(previous.get(tuple(points)) or BeaconRing(points, ends, [0.0] * IRH_VALUES))
        self._in_order = [server for ring in self._rings for server in ring.points]
        self._others = {}

    def beacon_order(self, code: int) -> list[int]:
        """Return the home of an object, followed by the other cache servers in the order of failover."""
        rings = self.rings
        if not rings:
            return []
        irh = code % IRH_VALUES
        points, ends, _ = rings[code % len(rings)]
        home = next(server for server, end in zip(points, ends, strict=True) if irh < end)
        others = self._others_of(home)
        start = irh % max(1, len(others))  # spreads the objects of an ejected home over all others
        return [home, *others[start:], *others[:start]]

    def _others_of(self, home: int) -> list[int]:
        others = self._others.get(home)
        if others is None:
            others = self._others[home] = [server for server in self._in_order if server != home]
        return others

    def record_load(self, code: int, load: float) -> None:
        """Add the load of a request for an object; 0 adds none."""
        rings = self.rings
        if rings:
            rings[code % len(rings)].loads[code % IRH_VALUES] += load

    def rebalance(self, capability: Callable[[int], float]) -> None:
        """Move the end of each sub-range until its load is close to its share of the ring's load.

        The share of a beacon point is AptLd = Cp / TotCp x BRingLd in the paper.
        """
        for ring in self.rings:
            total = sum(ring.loads)
            total_capability = sum(capability(server) for server in ring.points)
            start = 0
            for i, server in enumerate(ring.points[:-1]):
                load = sum(ring.loads[start : ring.range_ends[i]])
                surplus = load - capability(server) / total_capability * total
                _move_end(ring, i, start, surplus)
                start = ring.range_ends[i]
            ring.loads[:] = [0.0] * IRH_VALUES


def _move_end(ring: BeaconRing, i: int, start: int, surplus: float) -> None:
    """Shrink sub-range `i`, which begins at `start`, by its surplus load; extend it if that is negative."""
    _, ends, loads = ring
    moved = 0.0
    while surplus > 0 and ends[i] > start + 1 and moved + loads[ends[i] - 1] <= surplus:
        ends[i] -= 1
        moved += loads[ends[i]]
    while surplus < 0 and ends[i] < ends[i + 1] - 1 and moved + loads[ends[i]] <= -surplus:
        moved += loads[ends[i]]
        ends[i] += 1
