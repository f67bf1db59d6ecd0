"""Router that uses its own copies only while it can prove that it knows all purges. No I/O, no clock.

The rules only add restrictions. Without a proof no own copy is used. A copy that was set aside is used again
only once it is known not to be purged.
"""

import math
from collections.abc import Callable

from brookhinge.decisions.local_cache import CopyName, LocalCopy
from brookhinge.decisions.messages import CopyRuleChanged, RouterMessage
from brookhinge.decisions.request_state import RequestState
from brookhinge.purgelog.backfill import PurgeSet
from brookhinge.purgelog.subscription import CopyRule


class ProvenCopiesMixin:
    """Mixin, placed before Router among the bases, that also handles `CopyRuleChanged`.

    Attributes:
        proven: whether the router can prove that it knows all purges.
        aside_until: copies made up to this time of the router's clock are set aside.
        readmitted: creation time by name of the copies that may be used although set aside.
    """

    def __init__(self, *args: object, **named: object) -> None:
        """Pass all arguments to the router."""
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
        """Apply a rule; `missed_purges` is None except with READMIT."""
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
                self._drop_aside(lambda copy: missed_purges.covers(copy.object.key, copy.group))
                self.readmitted = {name: copy.made_at for name, copy in self.local_cache.copies.items()}
            case CopyRule.DROP:
                self._drop_aside(lambda _: True)

    def respond_from_copy(self, request: RequestState) -> bool:
        """Respond from an own copy, if it may be used and the router accepts it."""
        name = request.class_index, request.object.code
        copy = self.local_cache.copies.get(name)
        if copy is None or not self.proven or not self._is_admitted(name, copy.made_at):
            return False
        return super().respond_from_copy(request)

    def _set_aside(self) -> None:
        """Set aside all copies made up to now."""
        self.aside_until = self.now
        self.readmitted = {}

    def _drop_aside(self, is_purged: Callable[[LocalCopy], bool]) -> None:
        """Drop the copies set aside for which `is_purged` returns true."""
        dropped = [
            name
            for name, copy in self.local_cache.copies.items()
            if copy.made_at <= self.aside_until and is_purged(copy)
        ]
        self.local_cache.drop(dropped, self.sink)

    def _is_admitted(self, name: CopyName, made_at: float) -> bool:
        return made_at > self.aside_until or self.readmitted.get(name) == made_at
