"""What a router's subscription to the purge log is made of: machines, proofs and rules for copies. No I/O."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple, Protocol

import xxhash

from brookhinge.purgelog.backfill import PurgeSet
from brookhinge.purgelog.interfaces import MessageWriter
from brookhinge.purgelog.messages import Entry
from brookhinge.purgelog.positions import Position

if TYPE_CHECKING:
    from brookhinge.purgelog.control import Machine


class CopyRule(enum.Enum):
    """What the router may do with copies of answers that it holds itself."""

    STALE = "no proof: none is used"
    PROVEN = "used, but those set aside"
    ASIDE = "those made up to now are set aside: purges may have been missed"
    READMIT = "those set aside whose fingerprint is not among the missed are used again"
    DROP = "those set aside are dropped"
    RESET = "those made up to now are dropped"


class RefusalReason(enum.Enum):
    """Why a message was dropped, as counted in `refused`."""

    UNSOUND = "unsound"
    GAP = "gap"
    OLD_EPOCH = "old epoch"


class Proof(NamedTuple):
    """That all entries accepted before `moment` stand at or before `heads`.

    Attributes:
        moment: seconds of this router's own clock.
        boots: process ids of the control machines that answered, 0 for the others.
    """

    moment: float
    heads: list[Position]
    boots: list[int]


class SubscriberOutput(MessageWriter, Protocol):
    """Carries out what the subscriber decides."""

    def entry(self, entry: Entry) -> None:
        """Apply a new entry at once."""

    def copies(self, rule: CopyRule, purges: PurgeSet | None) -> None:
        """Follow a rule for the router's own copies; `purges` comes with READMIT."""


def preference(name: str, region: str, machines: Sequence[Machine]) -> list[int]:
    """Return the control machines as a router prefers them: its region's first, the rest by hash."""

    def rank(number: int) -> tuple[bool, int]:
        machine = machines[number]
        near = region in (machine.region, *machine.serves)
        return not near, xxhash.xxh64_intdigest(f"{name} {machine.name}".encode())

    return sorted(range(len(machines)), key=rank)
