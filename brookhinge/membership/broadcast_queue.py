"""Which claims are still to be told to others, and how often: rumor mongering (Demers et al., PODC 1987). No I/O, no clock.

Each is told a bounded number of times. For a while longer it is recent: told besides to whom a different view is seen."""

RECENT_S = 8.0


class Rumor:
    __slots__ = ("left", "since", "urgent")

    def __init__(self, left, since, urgent):
        self.left, self.since, self.urgent = left, since, urgent


class Rumors:
    """By member name; the claims themselves are the view's."""

    def __init__(self):
        self.by_name = {}

    def __contains__(self, name):
        return name in self.by_name

    def names(self):
        return list(self.by_name)

    def add(self, name, now, repeats, urgent=False):
        """Something new about a member, to be told so many times; urgent: whatever it costs."""
        self.by_name.pop(name, None)
        self.by_name[name] = Rumor(repeats, now, urgent)

    def urgent(self):
        """Whether any that is urgent is still to be told."""
        return any(rumor.urgent and rumor.left > 0 for rumor in self.by_name.values())

    def received_again(self, name):
        """Others know it too: it need be told once less often (feedback), if it is not urgent."""
        rumor = self.by_name.get(name)
        if rumor is not None and not rumor.urgent:
            rumor.left -= 1

    def pending(self):
        """Whether any is still to be told."""
        return any(rumor.left > 0 for rumor in self.by_name.values())

    def take(self, count, times=1):
        """So many names, those told least often first; each counts as told `times` more."""
        waiting = [name for name, rumor in self.by_name.items() if rumor.left > 0]
        waiting.sort(key=lambda name: -self.by_name[name].left)
        for name in waiting[:count]:
            self.by_name[name].left -= times
        return waiting[:count]

    def recent(self, count, chance):
        """So many names at random of what was new lately."""
        names = list(self.by_name)
        return chance.sample(names, min(count, len(names)))

    def expire(self, now, known):
        """Drops what is told and recent no more, and members that are not known any longer."""
        self.by_name = {
            name: rumor
            for name, rumor in self.by_name.items()
            if name in known and (rumor.left > 0 or now - rumor.since < RECENT_S)
        }
