"""The decisions where a router must prove that it knows all purges to use its own copies.

The rule only takes away: without a proof no copy of its own is used, and of those set aside none until it is
known that it was not purged. No I/O, no clock.
"""

import math
from collections.abc import Callable

from brookhinge.decisions.local_cache import CopyName
from brookhinge.decisions.messages import CopyRuleChanged, RouterMessage
from brookhinge.decisions.object_state import ObjectState
from brookhinge.decisions.request_state import RequestState
from brookhinge.purgelog.backfill import PurgeSet
from brookhinge.purgelog.subscription import CopyRule


class ProvenCopiesMixin:
    """Goes before Router: it also takes `CopyRuleChanged`. Times are the router's.

    Attributes:
        proven: whether the router can prove that it knows all purges.
        aside_until: copies made up to then are set aside.
        readmitted: names of copies set aside that may be used again, and when each was made.
    """

    def __init__(self, *args: object, **named: object) -> None:
        """As the router."""
        super().__init__(*args, **named)
        self.proven = False
        self.aside_until = -math.inf
        self.readmitted: dict[CopyName, float] = {}

    def handle(self, message: RouterMessage) -> None:
        """Handle one message."""
        if isinstance(message, CopyRuleChanged):
            self.copy_rule(message.rule, message.missed_purges)
        else:
            super().handle(message)

    def copy_rule(self, rule: CopyRule, missed_purges: PurgeSet | None) -> None:
        """Take a rule; `missed_purges` comes with READMIT."""
        match rule:
            case CopyRule.STALE:
                self.proven = False
            case CopyRule.PROVEN:
                self.proven = True
            case CopyRule.ASIDE:
                self._set_aside()
            case CopyRule.RESET:
                self._set_aside()
                self._drop_aside(lambda _: True)
            case CopyRule.READMIT:
                self._drop_aside(lambda state: missed_purges.covers(state.key, state.group))
                self.readmitted = {name: copy.made_at for name, copy in self.local_cache.copies.items()}
            case CopyRule.DROP:
                self._drop_aside(lambda _: True)

    def respond_from_copy(self, request: RequestState) -> bool:
        """Answer from memory, if a copy there may be used, will do and comes in time."""
        name = request.class_index, request.object.code
        copy = self.local_cache.copies.get(name)
        if copy is None or not self.proven or not self._is_admitted(name, copy.made_at):
            return False
        return super().respond_from_copy(request)

    def _set_aside(self) -> None:
        """Set aside all copies made up to now."""
        self.aside_until = self.now
        self.readmitted = {}

    def _drop_aside(self, is_purged: Callable[[ObjectState], bool]) -> None:
        """Drop the copies set aside whose object was purged."""
        dropped = [
            name
            for name, copy in self.local_cache.copies.items()
            if copy.made_at <= self.aside_until and is_purged(copy.object)
        ]
        self.local_cache.drop(dropped, self.sink)

    def _is_admitted(self, name: CopyName, made_at: float) -> bool:
        return made_at > self.aside_until or self.readmitted.get(name) == made_at
