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
        self.rings: list[BeaconRing] = []
        self._others: dict[int, list[int]] = {}  # by cache server: all others in ring order

    def assign(self, caches: list[int]) -> None:
        """Pair the cache servers into rings; a ring with the same points keeps its sub-ranges.

        With an odd number of cache servers, the last ring has three; a single one makes a ring by itself.
        """
        previous = {tuple(ring.points): ring for ring in self.rings}
        count = max(1, len(caches) // 2)
        self.rings = []
        for k in range(count if caches else 0):
            points = caches[2 * k :] if k == count - 1 else caches[2 * k : 2 * k + 2]
            ends = [IRH_VALUES * (i + 1) // len(points) for i in range(len(points))]
            self.rings.append(previous.get(tuple(points)) or BeaconRing(points, ends, [0.0] * IRH_VALUES))
        in_order = [server for ring in self.rings for server in ring.points]
        self._others = {home: [server for server in in_order if server != home] for home in in_order}

    def beacon_order(self, code: int) -> list[int]:
        """Return the home of an object, followed by the other cache servers in the order of failover."""
        if not self.rings:
            return []
        irh = code % IRH_VALUES
        points, ends, _ = self.rings[code % len(self.rings)]
        home = next(server for server, end in zip(points, ends, strict=True) if irh < end)
        others = self._others[home]
        start = irh % max(1, len(others))  # spreads the objects of an ejected home over all others
        return [home, *others[start:], *others[:start]]

    def record_load(self, code: int, load: float) -> None:
        """Add the load of a request for an object; 0 adds none."""
        if self.rings:
            self.rings[code % len(self.rings)].loads[code % IRH_VALUES] += load

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
