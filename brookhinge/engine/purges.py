"""Purges as they become known, with the moment from which each counts."""

from collections.abc import Iterable

from brookhinge.decisions import messages, rules
from brookhinge.engine.events import ObjectsPurged
from brookhinge.engine.records import Records


class PurgeRecorder:
    """Records purges for the invariants and the decisions.

    Attributes:
        is_first_round: Whether what is recorded was known at the start.
    """

    def __init__(self, records: Records) -> None:
        self.context = records.context
        self.invariants = records.invariants
        self.is_first_round = True
        self.newest_stamps: dict[int, float] = {}

    def note_known_at_start(self, purges: Iterable[ObjectsPurged]) -> None:
        """Note the stamps of the purges known at the start: those alone and their order are known of them."""
        self.newest_stamps = newest_stamps(list(purges))

    def record_command(self, purge: ObjectsPurged) -> None:
        """Record a purge of the command channel."""
        newest = self.newest_stamps.get(purge.number, purge.purged_at)
        age_s = self.age_s(purge.purged_at, newest)
        self.record(purge.purge_group, purge.object_key, age_s)

    def record_notice(self, group: int, key: str, purged_at: float) -> None:
        """Record a purge that a peer has notified."""
        self.record(group, key, self.age_s(purged_at, purged_at))

    def record(self, group: int, key: str, age_s: float) -> None:
        """Record a purge of `age_s` seconds ago."""
        self.invariants.purges.add(self.context.now, group, key, self.context.now - age_s)
        self.context.facts.append(messages.ObjectsPurged(group, age_s, key))

    def age_s(self, stamped: float, newest: float) -> float:
        """Seconds since a purge, by its stamp and the newest of those that came with or after it."""
        if self.is_first_round:
            return self.context.now - rules.known_event_time(self.context.now, stamped, newest)
        return self.context.now - rules.event_time(self.context.now, stamped)


def newest_stamps(purges: list[ObjectsPurged]) -> dict[int, float]:
    """The newest stamp of the purges with each number or a later one.

    A purge with an older stamp than one before it came after all clocks were set back: the stamps of those
    before the step say nothing of when it was.
    """
    newest = float("-inf")
    stamps = {}
    for purge in reversed(purges):
        newest = max(newest, purge.purged_at)
        stamps[purge.number] = newest
    return stamps
