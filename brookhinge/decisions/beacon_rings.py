"""Beacon rings: which cache is the home of an object, by load-following sub-ranges.

Source: "Cache Clouds: Cooperative Caching of Dynamic Documents in Edge Networks", section 2.3. Each object
    has a ring and,
on it, an IrH value; the beacon point whose sub-range holds that value is its home.
"""

from collections.abc import Callable
from typing import NamedTuple

IRH_VALUES = 1000  # IrH values of a beacon ring


class BeaconRing(NamedTuple):
    """The caches of one ring. Sub-ranges begin where the one before ends."""

    points: list[int]
    range_ends: list[int]
    loads: list[float]  # requests lately of each IrH value


class BeaconRings:
    """Beacon rings over the location's sorted caches."""

    def __init__(self) -> None:
        self.rings: list[BeaconRing] = []
        self._others: dict[int, list[int]] = {}  # of each cache: all others, in the order of the rings

    def assign(self, caches: list[int]) -> None:
        """Pair the caches; a ring with the same points keeps its sub-ranges.

        An odd cache joins the last ring.
        """
        old = {tuple(ring.points): ring for ring in self.rings}
        count = max(1, len(caches) // 2)
        self.rings = []
        for k in range(count if caches else 0):
            points = caches[2 * k :] if k == count - 1 else caches[2 * k : 2 * k + 2]
            ends = [IRH_VALUES * (i + 1) // len(points) for i in range(len(points))]
            self.rings.append(old.get(tuple(points)) or BeaconRing(points, ends, [0.0] * IRH_VALUES))
        in_order = [server for ring in self.rings for server in ring.points]
        self._others = {home: [server for server in in_order if server != home] for home in in_order}

    def beacon_order(self, code: int) -> list[int]:
        """Return the beacon point of an object, then the others in the order in which they stand in."""
        if not self.rings:
            return []
        irh = code % IRH_VALUES
        points, ends, _ = self.rings[code % len(self.rings)]
        home = next(server for server, end in zip(points, ends, strict=True) if irh < end)
        others = self._others[home]
        start = irh % max(1, len(others))  # what an ejected home leaves spreads over all
        return [home, *others[start:], *others[:start]]

    def record_load(self, code: int, load: float) -> None:
        """Count a request for an object."""
        if self.rings:
            self.rings[code % len(self.rings)].loads[code % IRH_VALUES] += load

    def rebalance(self, capability: Callable[[int], float]) -> None:
        """Move the end of each sub-range until its load is near its part of the ring's load.

        A point's part is AptLd = Cp / TotCp x BRingLd of the paper.
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
    """Move the end of sub-range `i`, which begins at `start`, by the load that it has in surplus."""
    _, ends, loads = ring
    moved = 0.0
    while surplus > 0 and ends[i] > start + 1 and moved + loads[ends[i] - 1] <= surplus:
        ends[i] -= 1
        moved += loads[ends[i]]
    while surplus < 0 and ends[i] < ends[i + 1] - 1 and moved + loads[ends[i]] <= -surplus:
        moved += loads[ends[i]]
        ends[i] += 1
