"""Purges that all control machines receive on a command channel and one of them appends. No I/O, no clock.

For each purge the machines are ranked by hash. The first appends it at once. A machine of rank n appends it
after n * RANK_DELAY_S if no log contains it by then. A failed machine therefore delays purges but loses none.
If two machines append the same purge, it is applied twice, which is harmless.
"""

import collections
from collections.abc import Callable, Sequence

import xxhash

from brookhinge.purgelog.messages import Entry

RANK_DELAY_S = 0.25


class Intake:
    """Purges of one machine's command channel that are not due yet.

    Attributes:
        waiting: due time of each entry.
    """

    def __init__(self, name: str, names: Sequence[str]):
        self.name = name
        self.names = names
        self.waiting = collections.OrderedDict()

    def receive(self, now: float, entry: Entry) -> None:
        """Queue an entry of the command channel."""
        self.waiting.setdefault(entry, now + self.rank(entry) * RANK_DELAY_S)

    def rank(self, entry: Entry) -> int:
        """Return this machine's rank for an entry; the machine of rank 0 appends at once."""

        def digest(name: str) -> int:
            return xxhash.xxh64_intdigest(f"{name} {entry.kind} {entry.text} {entry.number}".encode())

        return sorted(self.names, key=digest).index(self.name)

    def due(self, now: float, is_logged: Callable[[Entry], bool]) -> list[Entry]:
        """Remove and return the entries to append now.

        The caller must queue an entry again if it cannot append it.

        Args:
            now: seconds of the caller's steady clock.
            is_logged: returns whether a log already contains an entry.
        """
        done = [entry for entry in self.waiting if is_logged(entry)]
        for entry in done:
            del self.waiting[entry]
        due = [entry for entry, at in self.waiting.items() if now >= at]
        for entry in due:
            del self.waiting[entry]
        return due

    def next_at(self, now: float) -> float:
        """Return the time at which `due` must be called next."""
        return min(self.waiting.values(), default=now + RANK_DELAY_S)
