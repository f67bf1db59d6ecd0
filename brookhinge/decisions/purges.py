"""Purges of the last while, and the oldest copy that a request may be answered with."""

import math

from brookhinge.decisions.object_state import ObjectState
from brookhinge.decisions.rules import NEVER
from brookhinge.decisions.settings import RequestClass

KEPT_BEYOND_S = 2.0  # after the last old copy is gone
GUARDED_BEYOND_S = 1.0
ROUNDING_S = 0.001
MIN_AGE_S = 1e-6  # an age of 0 would mean any


class PurgeRecord:
    """Known purges by name: the key of an object or the number of a group. Times are seconds."""

    def __init__(self, settled_s: float) -> None:
        """`settled_s` is how long after a purge an old copy may still be met anywhere."""
        self.settled_s = settled_s
        self.purged_at: dict[str | int, float] = {}

    def add(self, now: float, name: str | int, at: float) -> None:
        """Note a purge, and forgets those that are long settled."""
        kept_s = self.settled_s + KEPT_BEYOND_S
        self.purged_at = {other: told for other, told in self.purged_at.items() if now - told <= kept_s}
        self.purged_at[name] = max(at, self.purged_at.get(name, NEVER))

    def is_known(self, name: str | int) -> bool:
        """Whether that key or group was purged lately."""
        return name in self.purged_at

    def group_purged_at(self, group: int, default: float = NEVER) -> float:
        """Return when a group was purged."""
        return self.purged_at.get(group, default)

    def max_age_s(
        self, state: ObjectState, request_class: RequestClass, now: float, accept_stale: bool
    ) -> float:
        """Return the age of the oldest copy that will do; 0: any.

        Copies from before a known purge are shut out until they are gone everywhere.
        """
        age_s = 0.0
        if request_class.fresh_s > 0:
            age_s = request_class.fresh_s + (request_class.stale_s if accept_stale else 0.0)
        at = max(
            state.purged_at, self.purged_at.get(state.group, NEVER), self.purged_at.get(state.key, NEVER)
        )
        if now - at < self.settled_s + GUARDED_BEYOND_S:
            age_s = min(age_s or math.inf, max(MIN_AGE_S, now - at - ROUNDING_S))
        return age_s
