"""What is remembered of the objects that clients ask for."""

from hashlib import md5

from brookhinge.decisions.rules import NEVER

MAX_OBJECTS = 30000
OBJECTS_PER_MB = 150  # of memory, where that is told
MEAN_COUNT_REFRESH_S = 1.0


def digest(text: str) -> int:
    """Return a number of 128 bits that is the same for a text in every process."""
    return int.from_bytes(md5(text.encode()).digest(), "big")


class ObjectState:
    """What is remembered of an object, or of one part of it where it has parts. Times are seconds.

    Attributes:
        code: digest of the object and part; places it on the beacon rings.
        key_code: digest of the object alone; orders its parents.
        holders: caches that lately served a kept copy, and when.
        best_s: the shortest time a response took; 0: not known.
        parent_order: the parents in this object's order.
        ordered_parents: the list that `parent_order` was made of.
        count: requests lately, halved each time the rings are rebalanced.
        requests: requests in all.
        purges: purges in all.
        purged_at: the latest purge.
        filled_at: when a copy was last filled from upstream.
    """

    __slots__ = (
        "best_s",
        "code",
        "count",
        "filled_at",
        "group",
        "holders",
        "key",
        "key_code",
        "ordered_parents",
        "parent_order",
        "part",
        "purged_at",
        "purges",
        "requests",
    )

    def __init__(self, key: str, part: int, group: int) -> None:
        self.key = key
        self.part = part
        self.group = group
        self.code = digest(f"{key}/{part}")
        self.key_code = digest(key)
        self.holders: dict[int, float] = {}
        self.best_s = 0.0
        self.parent_order: list[int] = []
        self.ordered_parents: list[int] | None = None
        self.count = 0.0
        self.requests = 0.0
        self.purges = 0.0
        self.purged_at = NEVER
        self.filled_at = NEVER

    def is_covered_by_purge(self, key: str, group: int) -> bool:
        """Whether a purge of an object, or else of a group, is one of this object."""
        return self.key == key or (not key and self.group == group)

    def record_purge(self, at: float) -> None:
        """Forget the holders: their copies are from before the purge."""
        self.purged_at = max(self.purged_at, at)
        self.purges += 1
        self.holders.clear()


class ObjectTable:
    """The objects asked for lately. Those asked for least are dropped when it is full."""

    def __init__(self, memory_mb: float | None) -> None:
        """`memory_mb` is the memory of the router, None where it is not told."""
        self.max_objects = MAX_OBJECTS
        if memory_mb is not None:
            self.max_objects = min(MAX_OBJECTS, int(OBJECTS_PER_MB * memory_mb))
        self.states: dict[tuple[str, int], ObjectState] = {}
        self._mean_count = 0.0
        self._mean_count_at = 0.0

    def get_or_add(self, key: str, part: int, group: int) -> ObjectState:
        """Return an object's state, a new one for an object not known."""
        state = self.states.get((key, part))
        if state is None:
            if len(self.states) >= self.max_objects:
                by_count = sorted(self.states.items(), key=lambda item: -item[1].count)
                self.states = dict(by_count[: self.max_objects // 2])
            state = self.states[key, part] = ObjectState(key, part, group)
        return state

    def replication_utility(self, state: ObjectState, holders: int, now: float) -> float:
        """Return how much another replica beside so many holders is worth; above 1 it should be made.

        It is the object's count over the mean count, over twice the holders, times requests over requests
        and purges.
        """
        if now - self._mean_count_at > MEAN_COUNT_REFRESH_S or not self._mean_count:
            total = sum(other.count for other in self.states.values())
            self._mean_count_at = now
            self._mean_count = max(1.0, total / len(self.states))
        relative_count = state.count / self._mean_count
        return relative_count / (2.0 * holders) * state.requests / (state.requests + state.purges)

    def halve_counts(self) -> None:
        """Let what was asked for long ago count for less."""
        for state in self.states.values():
            state.count /= 2.0
