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
            self.readmitted = {name: made for name, (_, made, _) in self.copies.held.items()}
        elif rule is CopyRule.DROP:
            self.drop_aside(lambda doc: True)

    def drop_aside(self, purged):
        """Drops the copies set aside whose object was purged."""
        dropped = [
            name
            for name, (doc, made, _) in self.copies.held.items()
            if made <= self.aside_until and purged(doc)
        ]
        self.copies.drop(dropped, self.sink)

    def own(self, query, q):
        """Answers from memory, if a copy there may be used, will do and comes in time."""
        name = q.track, q.doc.code
        held = self.copies.held.get(name)
        if held is None or not self.proven or not self.admitted(name, held[1]):
            return False
        return super().own(query, q)

    def admitted(self, name, made):
        return made > self.aside_until or self.readmitted.get(name) == made
