"""Purges that a command channel tells all control machines, appended by one of them. No I/O, no clock.

Each machine has a rank for each purge, by hash. The first appends at once, another one only if after STEP_S
for each rank before it no log holds the purge. So the loss of any machine delays a purge and loses none; a
purge that two append at once is applied twice, which does no harm.
"""

import collections
from collections.abc import Callable, Sequence

import xxhash

from brookhinge.purgelog.messages import Entry

STEP_S = 0.25


class Intake:
    """The purges of one machine's channel that wait for their turn."""

    def __init__(self, name: str, names: Sequence[str]):
        self.name = name
        self.names = names
        self.waiting = collections.OrderedDict()

    def receive(self, now: float, entry: Entry) -> None:
        """Take an entry of the channel."""
        self.waiting.setdefault(entry, now + self.rank(entry) * STEP_S)

    def rank(self, entry: Entry) -> int:
        """Return this machine's rank for an entry, 0 for the one that appends at once."""

        def digest(name: str) -> int:
            return xxhash.xxh64_intdigest(f"{name} {entry.kind} {entry.text} {entry.number}".encode())

        return sorted(self.names, key=digest).index(self.name)

    def due(self, now: float, has: Callable[[Entry], bool]) -> list[Entry]:
        """Return entries to append now; `has` tells whether a log holds one.

        An entry that could not be appended has to be received anew.
        """
        done = [entry for entry in self.waiting if has(entry)]
        for entry in done:
            del self.waiting[entry]
        due = [entry for entry, at in self.waiting.items() if now >= at]
        for entry in due:
            del self.waiting[entry]
        return due

    def next_at(self, now: float) -> float:
        """Return when an entry may be due."""
        return min(self.waiting.values(), default=now + STEP_S)
