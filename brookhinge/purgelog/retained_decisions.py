"""Router that accepts no copy older than a retained purge, however long ago that was. No I/O, no clock.

Caches are not told of these purges, so older copies may lie in them until they are replaced. While some of
the purges may be unknown, copies are accepted up to an age only, and none from before the router started. A
purge is said to be in force without this router no earlier than that long after it was made.
"""

import math

from brookhinge.decisions.messages import PurgeKnowledgeChanged, RouterMessage
from brookhinge.decisions.messages import RetainedPurges as RetainedPurgesRead
from brookhinge.decisions.object_state import ObjectState
from brookhinge.decisions.purges import MIN_AGE_S, ROUNDING_S, PurgeRecord
from brookhinge.decisions.retained_purges import RetainedPurges
from brookhinge.decisions.rules import NEVER
from brookhinge.decisions.settings import RequestClass

# The clocks that measure the age of a purge and of a copy may differ in rate by 0.1%.
CLOCK_RATE = 0.999


class RetainingPurgeRecord(PurgeRecord):
    """A purge record that also has the retained purges."""

    def __init__(self, settled_s: float) -> None:
        """Take `settled_s`, the time after which a purge that caches are told of has taken effect."""
        super().__init__(settled_s)
        self.retained = RetainedPurges()

    def max_age_s(
        self, state: ObjectState, request_class: RequestClass, now: float, accept_stale: bool
    ) -> float:
        """Return the maximum age of a copy that may answer a request; 0 means no limit."""
        age_s = super().max_age_s(state, request_class, now, accept_stale)
        at = self.retained.last(state.key, state.group)
        if at == NEVER:
            return age_s
        return min(age_s or math.inf, max(MIN_AGE_S, (now - at) * CLOCK_RATE - ROUNDING_S))


class RetainedPurgesMixin:
    """Mixin, placed before Router among the bases, that also handles messages about retained purges.

    Attributes:
        retained_knowledge: Whether all retained purges are known, and the maximum age of copies while not;
            None before the router begins to read the log.
    """

    retained_knowledge: PurgeKnowledgeChanged | None = None

    def create_purge_record(self, settled_s: float) -> PurgeRecord:
        """Create a record that keeps the retained purges."""
        return RetainingPurgeRecord(settled_s)

    def handle(self, message: RouterMessage) -> None:
        """Handle one message."""
        match message:
            case RetainedPurgesRead():
                for name, age_s in message.purges:
                    self.purges.retained.add(name, self.now - age_s)
                if message.floor_age_s is not None:
                    self.purges.retained.raise_floor(self.now - message.floor_age_s)
            case PurgeKnowledgeChanged():
                self.retained_knowledge = message
            case _:
                super().handle(message)

    def max_unheard_age_s(self) -> float | None:
        """Return the age from which a copy in a cache may be older than a purge that is not known."""
        unheard_s = super().max_unheard_age_s()
        knowledge = self.retained_knowledge
        if knowledge is None or knowledge.is_complete:
            return unheard_s
        # What was in force before this router started is older than any copy made since.
        max_age_s = min(knowledge.max_age_s, max(MIN_AGE_S, self.now))
        return max_age_s if unheard_s is None else min(unheard_s, max_age_s)
