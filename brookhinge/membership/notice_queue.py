"""A queue of notices, each sent a bounded number of times by every member. No I/O, no clock."""

import random

from brookhinge.membership.messages import Notice

MAX_NOTICES = 512
MAX_SEEN = 4 * MAX_NOTICES
RECENT_S = 30.0


class PendingNotice:
    """The remaining transmissions of a notice and the time when it was received."""

    __slots__ = ("received_at", "remaining")

    def __init__(self, remaining: int, received_at: float) -> None:
        """Queue the notice for `remaining` transmissions."""
        self.remaining = remaining
        self.received_at = received_at


class NoticeQueue:
    """Recent notices, and a longer record of those seen, which detects duplicates."""

    def __init__(self) -> None:
        self._notices: dict[Notice, PendingNotice] = {}
        self._seen: dict[Notice, None] = {}

    def add(self, notice: Notice, now: float, transmissions: int) -> bool:
        """Queue a notice for `transmissions` sends; return False if it was seen before."""
        if notice in self._seen:
            return False
        if len(self._notices) >= MAX_NOTICES:
            del self._notices[next(iter(self._notices))]
        self._seen[notice] = None
        while len(self._seen) > MAX_SEEN:
            del self._seen[next(iter(self._seen))]
        self._notices[notice] = PendingNotice(transmissions, now)
        return True

    def take(self, count: int) -> list[Notice]:
        """Take up to `count` pending notices, those with most remaining sends first; count each as sent."""
        pending = [notice for notice, entry in self._notices.items() if entry.remaining > 0]
        pending.sort(key=lambda notice: -self._notices[notice].remaining)
        taken = pending[:count]
        for notice in taken:
            self._notices[notice].remaining -= 1
        return taken

    def sample_settled(self, count: int, rng: random.Random) -> list[Notice]:
        """Draw up to `count` random notices that have no remaining transmissions."""
        settled = [notice for notice, entry in self._notices.items() if entry.remaining <= 0]
        return rng.sample(settled, min(count, len(settled)))

    def has_pending(self) -> bool:
        """Return whether any notice is pending."""
        return any(entry.remaining > 0 for entry in self._notices.values())

    def recent(self) -> list[Notice]:
        """Return all recent notices."""
        return list(self._notices)

    def expire(self, now: float) -> None:
        """Drop notices that are no longer recent; they still count as seen."""
        self._notices = {
            notice: entry for notice, entry in self._notices.items() if now - entry.received_at < RECENT_S
        }
