"""Notices, each sent a bounded number of times by every member that receives it. No I/O, no clock."""

import random

from brookhinge.membership.messages import Notice

MAX_NOTICES = 512
MAX_SEEN = 4 * MAX_NOTICES
KEPT_S = 30.0


class PendingNotice:
    """How often a notice is still to be sent, and when it was received."""

    __slots__ = ("received_at", "remaining")

    def __init__(self, remaining: int, received_at: float) -> None:
        """Queue it `remaining` times."""
        self.remaining = remaining
        self.received_at = received_at


class NoticeQueue:
    """The notices of late, and for longer which were seen."""

    def __init__(self) -> None:
        self._notices: dict[Notice, PendingNotice] = {}
        self._seen: dict[Notice, None] = {}

    def add(self, notice: Notice, now: float, transmissions: int) -> bool:
        """Queue a notice so many times; False if it was seen before."""
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
        """Take so many pending notices, the least often sent first; each counts as sent once more."""
        pending = [notice for notice, one in self._notices.items() if one.remaining > 0]
        pending.sort(key=lambda notice: -self._notices[notice].remaining)
        taken = pending[:count]
        for notice in taken:
            self._notices[notice].remaining -= 1
        return taken

    def sample_settled(self, count: int, rng: random.Random) -> list[Notice]:
        """Draw up to so many notices that were sent often enough."""
        settled = [notice for notice, one in self._notices.items() if one.remaining <= 0]
        return rng.sample(settled, min(count, len(settled)))

    def has_pending(self) -> bool:
        """Whether any is still to be sent."""
        return any(one.remaining > 0 for one in self._notices.values())

    def recent(self) -> list[Notice]:
        """All notices of late."""
        return list(self._notices)

    def expire(self, now: float) -> None:
        """Drop the notices that are no longer of late; they stay seen."""
        self._notices = {
            notice: one for notice, one in self._notices.items() if now - one.received_at < KEPT_S
        }
