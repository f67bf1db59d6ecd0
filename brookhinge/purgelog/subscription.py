"""Parts of a router's subscription: preference of machines, proofs and rules for copies. No I/O."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple, Protocol

import xxhash

from brookhinge.purgelog.backfill import PurgeSet
from brookhinge.purgelog.interfaces import MessageWriter
from brookhinge.purgelog.messages import Entry
from brookhinge.purgelog.positions import Position
from brookhinge.purgelog.retained_reader import RetainedUpdate

if TYPE_CHECKING:
    from brookhinge.purgelog.control import Machine


class CopyRule(enum.Enum):
    """Rule for the copies of answers that the router holds itself. The value is logged as the reason."""

    STALE = "no valid proof: own copies are not used, and caches are asked for recent ones"
    PROVEN = "valid proof: own copies are used, except those set aside"
    ASIDE = "purges may have been missed: own copies made so far are set aside"
    READMIT = "missed purges are known: copies set aside are used again unless purged"
    DROP = "missed purges are not available: copies set aside are dropped"
    RESET = "purges may be unknown: own copies made so far are dropped"


class RefusalReason(enum.Enum):
    """Why a message or batch was rejected; a label of the counter `refused`."""

    UNSOUND = "unsound"
    GAP = "gap"
    OLD_EPOCH = "old epoch"


class Proof(NamedTuple):
    """Proof that every entry accepted before `moment` is at or before `heads`.

    Attributes:
        moment: seconds of this router's steady clock.
        heads: position for each source.
        boots: process ids of the control machines that answered; 0 for each other machine.
    """

    moment: float
    heads: list[Position]
    boots: list[int]


class SubscriberOutput(MessageWriter, Protocol):
    """Receives the messages, entries and rules that the subscriber puts out."""

    def apply_entry(self, entry: Entry) -> None:
        """Apply a new entry immediately."""

    def apply_copy_rule(self, rule: CopyRule, purges: PurgeSet | None) -> None:
        """Apply a rule for the router's own copies; `purges` is None except with READMIT."""

    def apply_retained(self, update: RetainedUpdate) -> None:
        """Apply retained purges that were not read from the log."""

    def apply_knowledge(self, is_complete: bool) -> None:
        """Apply whether all purges that caches are not told of are known, with a valid proof."""


def preference(name: str, region: str, machines: Sequence[Machine]) -> list[int]:
    """Return control machine numbers by preference of a router.

    Machines that serve its region come first; within each group the order is by hash.
    """

    def rank(number: int) -> tuple[bool, int]:
        machine = machines[number]
        near = region in (machine.region, *machine.serves)
        return not near, xxhash.xxh64_intdigest(f"{name} {machine.name}".encode())

    return sorted(range(len(machines)), key=rank)
