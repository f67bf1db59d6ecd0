"""Positions in the log of one source, and vectors with one position per source.

A position is (epoch, index). A source opens a higher epoch each time it starts; indexes continue from the
position that a majority of the control machines held at that time. Positions compare as tuples, by epoch
first.
"""

from typing import NamedTuple


class Position(NamedTuple):
    """Position of an entry in the log of one source."""

    epoch: int
    index: int


START = Position(0, 0)
INDEX_LIMIT = 1 << 48  # numbers in a datagram must be smaller
MAX_LEAD = 10_000_000  # a position this many entries or epochs ahead of the known one is rejected


def flatten(positions: list[Position]) -> list[int]:
    """Return a vector of positions as the flat list of integers used in datagrams."""
    return [number for position in positions for number in position]


def unflatten(numbers: list[int]) -> list[Position]:
    """Return the vector of positions for a flat list that `is_valid_vector` accepts."""
    return [Position(epoch, index) for epoch, index in zip(numbers[::2], numbers[1::2], strict=False)]


def is_valid_vector(numbers: list[int], sources: int) -> bool:
    """Whether a flat list from a datagram encodes one position for each of `sources` sources."""
    return len(numbers) == 2 * sources and all(0 <= number < INDEX_LIMIT for number in numbers)


def elementwise_max(one: list[Position], other: list[Position]) -> list[Position]:
    """Return the later of two positions for each source."""
    return [max(a, b) for a, b in zip(one, other, strict=False)]


def covers(one: list[Position], other: list[Position]) -> bool:
    """Whether `one` is at or after `other` for every source."""
    return all(a >= b for a, b in zip(one, other, strict=False))
