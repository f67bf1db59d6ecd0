"""Positions in the log of one source, and vectors with one position for each source.

A position is (epoch, index). A source opens a higher epoch each time it starts; indexes go on where a
majority of the control machines stood then. Positions compare as tuples: the higher epoch first.
"""

from typing import NamedTuple


class Position(NamedTuple):
    """The place of an entry in the log of one source."""

    epoch: int
    index: int


START = Position(0, 0)
MOST_INDEX = 1 << 48  # larger numbers in a datagram are refused
FAR_AHEAD = 10_000_000  # entries: no log runs so far ahead of what is known of it


def flatten(positions: list[Position]) -> list[int]:
    """A vector of positions as the flat list of integers that datagrams carry."""
    return [number for position in positions for number in position]


def unflatten(numbers: list[int]) -> list[Position]:
    """The vector of positions that a datagram carries; `sound_vector` must hold for it."""
    return [Position(epoch, index) for epoch, index in zip(numbers[::2], numbers[1::2], strict=False)]


def sound_vector(numbers: list[int], sources: int) -> bool:
    """Whether a datagram's list is a vector of that many positions."""
    return len(numbers) == 2 * sources and all(0 <= number < MOST_INDEX for number in numbers)


def merged(one: list[Position], other: list[Position]) -> list[Position]:
    """For each source the later of two positions."""
    return [max(a, b) for a, b in zip(one, other, strict=False)]


def covers(one: list[Position], other: list[Position]) -> bool:
    """Whether a vector is at least another at every source."""
    return all(a >= b for a, b in zip(one, other, strict=False))
