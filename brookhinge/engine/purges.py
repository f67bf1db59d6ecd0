"""Records purges as they become known, and determines the time of each."""

from collections.abc import Iterable, Sequence

from brookhinge.decisions import messages, rules
from brookhinge.decisions.retained_purges import Name
from brookhinge.engine.events import ObjectsPurged
from brookhinge.engine.records import Records


class PurgeRecorder:
    """Records purges for the invariants and the decisions.

    Attributes:
        is_first_round: Whether the current round is the first, which applies purges known at the start.
        newest_stamps: {command number: newest stamp of that purge and those after it}, of purges known at the
            start.
    """

    def __init__(self, records: Records) -> None:
        self.context = records.context
        self.invariants = records.invariants
        self.is_first_round = True
        self.newest_stamps: dict[int, float] = {}

    def record_known_at_start(self, purges: Iterable[ObjectsPurged]) -> None:
        """Keep the stamps of purges known at the start, which can be dated by stamps and order alone."""
        self.newest_stamps = newest_stamps(list(purges))

    def record_command(self, purge: ObjectsPurged) -> None:
        """Record a purge from the command channel."""
        newest = self.newest_stamps.get(purge.number, purge.purged_at)
        age_s = self.age_s(purge.purged_at, newest)
        self.record(purge.purge_group, purge.object_key, age_s)

    def record_notice(self, group: int, key: str, purged_at: float) -> None:
        """Record a purge from a peer's notice."""
        self.record(group, key, self.age_s(purged_at, purged_at))

    def record(self, group: int, key: str, age_s: float) -> None:
        """Record a purge that took place `age_s` seconds ago."""
        self.invariants.purges.add(self.context.now, group, key, self.context.now - age_s)
        self.context.state_updates.append(messages.ObjectsPurged(group, age_s, key))

    def retain(self, purges: Sequence[tuple[Name, float]], floor_age_s: float | None = None) -> None:
        """Keep purges that caches are not told of.

        Args:
            purges: (key or group, seconds since the purge) of each.
            floor_age_s: Every copy made before that many seconds ago counts as purged; None if there is no
                floor.
        """
        retained = self.invariants.retained
        for name, age_s in purges:
            retained.add(name, self.context.now - age_s)
        if floor_age_s is not None:
            retained.raise_floor(self.context.now - floor_age_s)
        self.context.state_updates.append(messages.RetainedPurges(purges, floor_age_s))

    def age_s(self, stamped: float, newest: float) -> float:
        """Return the seconds since a purge.

        Args:
            stamped: The purge's stamp, by the clock of its sender.
            newest: The newest stamp of this purge and those after it.
        """
        if self.is_first_round:
            return self.context.now - rules.known_event_time(self.context.now, stamped, newest)
        return self.context.now - rules.event_time(self.context.now, stamped)


def newest_stamps(purges: list[ObjectsPurged]) -> dict[int, float]:
    """Return {number: newest stamp of the purge with that number and those after it}.

    Stamps of earlier purges are not used: if a purge has an older stamp than one before it, the clocks were
    set back between them, and the stamps from before the step do not help to date it.
    """
    newest = float("-inf")
    stamps = {}
    for purge in reversed(purges):
        newest = max(newest, purge.purged_at)
        stamps[purge.number] = newest
    return stamps
