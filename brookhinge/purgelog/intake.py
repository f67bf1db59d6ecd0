"""Purges that a command channel tells to all control machines, appended by one of them. No I/O, no clock.

Each machine has a rank for each purge, by hash. The first appends at once; another one only if after STEP_S for each rank
before it no log holds the purge. So the loss of any machine delays a purge and loses none; two that append it at once do
no harm, a purge may be told twice."""

import collections

import xxhash

STEP_S = 0.25


class Intake:
    """names: of all control machines; name: of this one."""

    def __init__(self, name, names):
        self.name = name
        self.names = names
        self.waiting = collections.OrderedDict()

    def receive(self, now, entry):
        """An entry that the channel tells."""
        self.waiting.setdefault(entry, now + self.rank(entry) * STEP_S)

    def rank(self, entry):
        def digest(name):
            return xxhash.xxh64_intdigest(f"{name} {entry.kind} {entry.text} {entry.number}".encode())

        return sorted(self.names, key=digest).index(self.name)

    def due(self, now, has):
        """Entries to append now; has(entry): whether a log holds it. What could not be appended is to be received anew."""
        done = [entry for entry in self.waiting if has(entry)]
        for entry in done:
            del self.waiting[entry]
        due = [entry for entry, at in self.waiting.items() if now >= at]
        for entry in due:
            del self.waiting[entry]
        return due

    def next_at(self, now):
        return min(self.waiting.values(), default=now + STEP_S)
