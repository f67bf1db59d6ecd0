"""Broadcast queue: which claims are still to be sent, and how often (Demers et al., PODC 1987). No I/O.

Each is sent a bounded number of times. For a while longer it counts as recent, for members whose view is
seen to differ.
"""

import random
from collections.abc import Container

RECENT_S = 8.0


class Broadcast:
    """How often the claim about one member is still to be sent; urgent ones are outside the budget."""

    __slots__ = ("queued_at", "remaining", "urgent")

    def __init__(self, remaining: int, queued_at: float, urgent: bool) -> None:
        """Queue it `remaining` times."""
        self.remaining = remaining
        self.queued_at = queued_at
        self.urgent = urgent


class BroadcastQueue:
    """Broadcasts by member name; the claims themselves are the view's."""

    def __init__(self) -> None:
        self._by_name: dict[str, Broadcast] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._by_name

    def names(self) -> list[str]:
        """All members with a recent or pending broadcast."""
        return list(self._by_name)

    def add(self, name: str, now: float, transmissions: int, urgent: bool = False) -> None:
        """Queue the news of a member so many times, in place of older news of it."""
        self._by_name.pop(name, None)
        self._by_name[name] = Broadcast(transmissions, now, urgent)

    def has_urgent(self) -> bool:
        """Whether an urgent one is still to be sent."""
        return any(one.urgent and one.remaining > 0 for one in self._by_name.values())

    def received_again(self, name: str) -> None:
        """Send it once less often, if it is not urgent: others know it too."""
        broadcast = self._by_name.get(name)
        if broadcast is not None and not broadcast.urgent:
            broadcast.remaining -= 1

    def has_pending(self) -> bool:
        """Whether any is still to be sent."""
        return any(one.remaining > 0 for one in self._by_name.values())

    def take(self, count: int, transmissions: int = 1) -> list[str]:
        """Take so many names, the least often sent first; each counts as sent so many times more."""
        waiting = [name for name, one in self._by_name.items() if one.remaining > 0]
        waiting.sort(key=lambda name: -self._by_name[name].remaining)
        taken = waiting[:count]
        for name in taken:
            self._by_name[name].remaining -= transmissions
        return taken

    def sample_recent(self, count: int, rng: random.Random) -> list[str]:
        """Draw so many names of those queued lately."""
        names = list(self._by_name)
        return rng.sample(names, min(count, len(names)))

    def expire(self, now: float, known: Container[str]) -> None:
        """Drop what is neither pending nor recent, and members that are not known any longer."""
        self._by_name = {
            name: one
            for name, one in self._by_name.items()
            if name in known and (one.remaining > 0 or now - one.queued_at < RECENT_S)
        }
