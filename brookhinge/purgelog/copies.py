"""The decisions where a router must prove that it knows all purges to use its own copies. No I/O, no clock. It only takes
away: without a proof no copy of its own is used, and of those set aside none until it is known that it was not purged."""

import math

from brookhinge.decisions.messages import CopyRuleChanged
from brookhinge.purgelog.subscriber import CopyRule


class ProvenCopies:
    """Goes before Router: beside its messages it takes `CopyRuleChanged`. Times are the Router's."""

    def __init__(self, *rest, **named):
        super().__init__(*rest, **named)
        self.proven = False
        self.aside_until = -math.inf
        self.readmitted = {}

    def handle(self, message):
        if isinstance(message, CopyRuleChanged):
            self.copy_rule(message.rule, message.missed_purges)
        else:
            super().handle(message)

    def copy_rule(self, rule, purges):
        """rule: a CopyRule; purges: with READMIT the PurgeSet of what was missed, else None."""
        if rule is CopyRule.STALE:
            self.proven = False
        elif rule is CopyRule.PROVEN:
            self.proven = True
        elif rule is CopyRule.ASIDE:
            self.aside_until = self.now
            self.readmitted = {}
        elif rule is CopyRule.RESET:
            self.aside_until = self.now
            self.readmitted = {}
            self.drop_aside(lambda doc: True)
        elif rule is CopyRule.READMIT:
            self.drop_aside(lambda doc: purges.covers(doc.key, doc.group))
            self.readmitted = {name: made for name, (_, made, _) in self.local_cache.held.items()}
        elif rule is CopyRule.DROP:
            self.drop_aside(lambda doc: True)

    def drop_aside(self, purged):
        """Drops the copies set aside whose object was purged."""
        dropped = [
            name
            for name, (doc, made, _) in self.local_cache.held.items()
            if made <= self.aside_until and purged(doc)
        ]
        self.local_cache.drop(dropped, self.sink)

    def respond_from_copy(self, request):
        """Answers from memory, if a copy there may be used, will do and comes in time."""
        name = request.class_index, request.object.code
        held = self.local_cache.held.get(name)
        if held is None or not self.proven or not self.admitted(name, held.made_at):
            return False
        return super().respond_from_copy(request)

    def admitted(self, name, made):
        return made > self.aside_until or self.readmitted.get(name) == made
