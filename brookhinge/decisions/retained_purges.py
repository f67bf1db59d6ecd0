"""Purges that caches are not told of, which have to be kept for as long as an older copy may exist anywhere.

A purge of the command channel need not be kept for long: caches are told of it as well and drop older copies.
"""

from brookhinge.decisions.rules import NEVER

MAX_NAMES = 8192

NO_STAMP = 0

Name = str | int  # key of an object, or number of a group


class RetainedPurges:
    """The latest retained purge of each object and group. Times are seconds of the caller's steady clock.

    The record is bounded: beyond `max_names`, the older half is replaced by a floor, a time up to which every
    copy counts as purged. Times of other processes are told as ages, each a little too late. A stamp tells
    whether two of them are of the same purge; the earlier one is then the better one.

    Attributes:
        purged_at: Time of the latest purge by name.
        stamps: Stamp of that purge by name.
        floor: Every copy made up to this time counts as purged.
        floor_stamp: Stamp of the floor.
    """

    def __init__(self, max_names: int = MAX_NAMES) -> None:
        """Create an empty record."""
        self.max_names = max_names
        self.purged_at: dict[Name, float] = {}
        self.stamps: dict[Name, int] = {}
        self.floor = NEVER
        self.floor_stamp = NO_STAMP
        self._sorted: list[Name] | None = None

    def add(self, name: Name, at: float, stamp: int = NO_STAMP) -> bool:
        """Record a purge made at time `at`; return whether copies count as purged that did not before."""
        known_at = self.purged_at.get(name, NEVER)
        if stamp != NO_STAMP and stamp == self.stamps.get(name):
            self.purged_at[name] = min(at, known_at)
            return False
        if at <= max(self.floor, known_at):
            return False
        if name not in self.purged_at:
            self._sorted = None
        self.purged_at[name] = at
        self.stamps[name] = stamp
        if len(self.purged_at) > self.max_names:
            self._fold_older_half()
        return True

    def raise_floor(self, at: float, stamp: int = NO_STAMP) -> None:
        """Count every copy made up to `at` as purged."""
        if stamp != NO_STAMP and stamp == self.floor_stamp:
            self.floor = min(self.floor, at)
        elif at > self.floor:
            self.floor = at
            self.floor_stamp = stamp

    def last(self, key: str, group: int) -> float:
        """Return the time of the latest purge that hits an object, or NEVER if there is none."""
        return max(self.purged_at.get(key, NEVER), self.purged_at.get(group, NEVER), self.floor)

    def sorted_names(self) -> list[Name]:
        """Return all names in a fixed order, groups first."""
        if self._sorted is None:
            self._sorted = sorted(self.purged_at, key=sort_key)
        return self._sorted

    def figures(self, now: float) -> dict[str, int | float | None]:
        """Return the number of purges and the age of the floor in seconds, for a log line."""
        floor_s = None if self.floor == NEVER else round(now - self.floor, 1)
        return {"purges": len(self.purged_at), "floor_s": floor_s}

    def _fold_older_half(self) -> None:
        by_time = sorted(self.purged_at.items(), key=lambda item: item[1])
        for name, at in by_time[: len(by_time) // 2]:
            self.raise_floor(at, self.stamps.pop(name))
            del self.purged_at[name]
        self._sorted = None


def sort_key(name: Name) -> tuple[str, int]:
    """Return the key of the order of names: groups by number, then objects by key."""
    return (name, 0) if isinstance(name, str) else ("", name)
