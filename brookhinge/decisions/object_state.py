"""State of the objects that clients request."""

from collections.abc import Callable, Iterable
from hashlib import md5

from brookhinge.decisions import memory_limits
from brookhinge.decisions.purge_index import PurgeIndex
from brookhinge.decisions.rules import NEVER

MAX_OBJECTS = 30000
MEAN_COUNT_REFRESH_S = 1.0


def digest(text: str) -> int:
    """Return a 128-bit hash of a text that is the same in every process."""
    return int.from_bytes(md5(text.encode()).digest(), "big")


class ObjectState:
    """State of an object, or of one part of an object that has parts. Times are seconds.

    Attributes:
        code: Digest of key and part; determines the position on the beacon rings.
        key_code: Digest of the key alone; determines the order of the object's parents.
        group: Purge group that was named last for the object.
        holders: Caches that recently served a copy that they keep, with the time of the response.
        best_s: Shortest response time so far; 0 if not known.
        parent_order: All parents in the order of preference for this object.
        ordered_parents: The list of parents from which `parent_order` was computed.
        count: Recent requests; halved at each rebalance of the rings.
        requests: Total number of requests.
        purges: Total number of purges.
        purged_at: Time of the latest purge.
        filled_at: When a copy was last filled from upstream.
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

    def record_purge(self, at: float) -> None:
        """Record a purge and drop the known holders: their copies are older than the purge."""
        self.purged_at = max(self.purged_at, at)
        self.purges += 1
        self.holders.clear()


class ObjectTable:
    """The recently requested objects. When it is full, the least requested half is dropped."""

    def __init__(
        self,
        memory_mb: float | None,
        states_in_use: Callable[[], Iterable[ObjectState]] = tuple,
    ) -> None:
        """Create an empty table.

        Args:
            memory_mb: Memory of the router in MB, or None if not known.
            states_in_use: Returns the states of open requests, which purges reach after they left the table.
        """
        self.max_objects = MAX_OBJECTS
        if memory_mb is not None:
            self.max_objects = min(MAX_OBJECTS, memory_limits.max_objects(memory_mb))
        self.states: dict[tuple[str, int], ObjectState] = {}
        self._states_in_use = states_in_use
        self._purge_index: PurgeIndex[ObjectState] = PurgeIndex()
        self._mean_count = 0.0
        self._mean_count_at = 0.0

    def get_or_add(self, key: str, part: int, group: int) -> ObjectState:
        """Return the state of an object, which is created if it is not in the table.

        Its group is the one that was named last: a client may name a wrong one.
        """
        state = self.states.get((key, part))
        if state is None:
            if len(self.states) >= self.max_objects:
                self._drop_least_requested()
            state = self.states[key, part] = ObjectState(key, part, group)
            self._purge_index.add(key, group, state)
        elif state.group != group:
            self._purge_index.remove(key, state.group, state)
            state.group = group
            self._purge_index.add(key, group, state)
        return state

    def _drop_least_requested(self) -> None:
        by_count = sorted(self.states.items(), key=lambda item: -item[1].count)
        self.states = dict(by_count[: self.max_objects // 2])
        self._purge_index = PurgeIndex()
        for state in dict.fromkeys((*self.states.values(), *self._states_in_use())):
            self._purge_index.add(state.key, state.group, state)

    def record_purge(self, key: str, group: int, at: float) -> None:
        """Record a purge of an object, or of a group if `key` is empty, made at time `at`."""
        for state in self._purge_index.covered(key, group):
            state.record_purge(at)

    def replication_utility(self, state: ObjectState, holders: int, now: float) -> float:
        """Return the utility of one more replica besides `holders` existing ones.

        A replica should be created if the utility is above 1. It is the ratio of the object's request count
        to the mean count, divided by twice the number of holders and multiplied by the share of requests
        among requests and purges.
        """
        if now - self._mean_count_at > MEAN_COUNT_REFRESH_S or not self._mean_count:
            total = sum(other.count for other in self.states.values())
            self._mean_count_at = now
            self._mean_count = max(1.0, total / len(self.states))
        relative_count = state.count / self._mean_count
        return relative_count / (2.0 * holders) * state.requests / (state.requests + state.purges)

    def halve_counts(self) -> None:
        """Halve the request counts so that older requests count less."""
        for state in self.states.values():
            state.count /= 2.0
