"""Broadcast queue of the claims still to be sent, with counts (Demers et al., PODC 1987). No I/O.

Each claim is sent a bounded number of times. It then counts as recent for a while, so that it can be resent
to members whose view differs.
"""

import random
from collections.abc import Container

RECENT_S = 8.0


class Broadcast:
    """A pending claim about one member and its remaining transmissions; urgent ones ignore the budget."""

    __slots__ = ("queued_at", "remaining", "urgent")

    def __init__(self, remaining: int, queued_at: float, urgent: bool) -> None:
        """Queue the claim for `remaining` transmissions."""
        self.remaining = remaining
        self.queued_at = queued_at
        self.urgent = urgent


class BroadcastQueue:
    """Broadcasts by member name; the claims themselves are read from the view when sent."""

    def __init__(self) -> None:
        self._by_name: dict[str, Broadcast] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._by_name

    def names(self) -> list[str]:
        """Return the names of all members with a recent or pending broadcast."""
        return list(self._by_name)

    def add(self, name: str, now: float, transmissions: int, urgent: bool = False) -> None:
        """Queue the claim about a member for `transmissions` sends, replacing an older broadcast."""
        self._by_name.pop(name, None)
        self._by_name[name] = Broadcast(transmissions, now, urgent)

    def has_urgent(self) -> bool:
        """Return whether an urgent broadcast is pending."""
        return any(entry.urgent and entry.remaining > 0 for entry in self._by_name.values())

    def received_again(self, name: str) -> None:
        """Reduce the remaining sends of a non-urgent claim by one, since other members spread it too."""
        broadcast = self._by_name.get(name)
        if broadcast is not None and not broadcast.urgent:
            broadcast.remaining -= 1

    def has_pending(self) -> bool:
        """Return whether any broadcast is pending."""
        return any(entry.remaining > 0 for entry in self._by_name.values())

    def take(self, count: int, transmissions: int = 1) -> list[str]:
        """Take up to `count` pending names, those with most remaining sends first.

        Each is counted as sent `transmissions` more times.
        """
        pending = [name for name, entry in self._by_name.items() if entry.remaining > 0]
        pending.sort(key=lambda name: -self._by_name[name].remaining)
        taken = pending[:count]
        for name in taken:
            self._by_name[name].remaining -= transmissions
        return taken

    def sample_recent(self, count: int, rng: random.Random) -> list[str]:
        """Draw up to `count` random names from the recent and pending broadcasts."""
        names = list(self._by_name)
        return rng.sample(names, min(count, len(names)))

    def expire(self, now: float, known: Container[str]) -> None:
        """Drop broadcasts that are neither pending nor recent, and those of members not in `known`."""
        self._by_name = {
            name: entry
            for name, entry in self._by_name.items()
            if name in known and (entry.remaining > 0 or now - entry.queued_at < RECENT_S)
        }
