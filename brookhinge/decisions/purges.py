"""Recent purges, and the maximum age of a copy that may answer a request."""

import heapq
import math

from brookhinge.decisions.object_state import ObjectState
from brookhinge.decisions.rules import NEVER
from brookhinge.decisions.settings import RequestClass

RETENTION_MARGIN_S = 2.0  # a purge is kept this long after it has settled
ENFORCEMENT_MARGIN_S = 1.0  # a purge limits the age of copies this long after it has settled
ROUNDING_S = 0.001
MIN_AGE_S = 1e-6  # a maximum age of 0 would mean no limit


class PurgeRecord:
    """Stores recent purges by name: an object's key or a group's number. Times are seconds."""

    def __init__(self, settled_s: float) -> None:
        """Take `settled_s`, the time after a purge during which an older copy may still exist somewhere."""
        self.settled_s = settled_s
        self.purged_at: dict[str | int, float] = {}
        self._by_time: list[tuple[float, int, str | int]] = []  # heap of (purged at, number, name)
        self._added = 0

    def add(self, now: float, name: str | int, at: float) -> None:
        """Record a purge made at time `at`, and drop those that have long settled."""
        self._drop_settled(now)
        at = max(at, self.purged_at.get(name, NEVER))
        self.purged_at[name] = at
        self._added += 1
        heapq.heappush(self._by_time, (at, self._added, name))

    def _drop_settled(self, now: float) -> None:
        retention_s = self.settled_s + RETENTION_MARGIN_S
        while self._by_time and now - self._by_time[0][0] > retention_s:
            at, _, name = heapq.heappop(self._by_time)
            if self.purged_at.get(name) == at:  # otherwise it was purged again later
                del self.purged_at[name]

    def is_known(self, name: str | int) -> bool:
        """Return whether a key or group was purged recently."""
        return name in self.purged_at

    def group_purged_at(self, group: int, default: float = NEVER) -> float:
        """Return when a group was last purged, or `default` if no recent purge is known."""
        return self.purged_at.get(group, default)

    def max_age_s(
        self, state: ObjectState, request_class: RequestClass, now: float, accept_stale: bool
    ) -> float:
        """Return the maximum age of a copy that may answer a request; 0 means no limit.

        Copies made before a known purge are excluded until they are gone everywhere.
        """
        age_s = 0.0
        if request_class.fresh_s > 0:
            age_s = request_class.fresh_s + (request_class.stale_s if accept_stale else 0.0)
        at = max(
            state.purged_at, self.purged_at.get(state.group, NEVER), self.purged_at.get(state.key, NEVER)
        )
        if now - at < self.settled_s + ENFORCEMENT_MARGIN_S:
            age_s = min(age_s or math.inf, max(MIN_AGE_S, now - at - ROUNDING_S))
        return age_s
