"""Tracks whether a member is still joining the fleet."""

from brookhinge.membership import timing
from brookhinge.membership.local_member import LocalMember


class JoinProgress:
    """The join state of a member, which lasts until its view agrees with others or for MAX_JOINING_S."""

    def __init__(self, local: LocalMember, now: float) -> None:
        self.local = local
        self.joining_until = now + timing.MAX_JOINING_S
        self._agreements = 0  # consecutive members that knew no additional member

    def is_joining(self) -> bool:
        """Return whether this member is still fetching the view; others need not fetch from it meanwhile."""
        return self.local.now < self.joining_until

    def finish(self, now: float) -> None:
        """End the join phase."""
        self.joining_until = now

    def note_answer(self, now: float, learned: bool, needed: int) -> None:
        """Record a sync response; finish once `needed` consecutive ones added no member.

        Args:
            now: Current time in seconds.
            learned: Whether the response added a member to the view.
            needed: Number of consecutive responses without a new member.
        """
        self._agreements = 0 if learned else self._agreements + 1
        if self._agreements >= needed:
            self.finish(now)
