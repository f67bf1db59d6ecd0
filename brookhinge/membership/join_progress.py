"""How far a member has come with its joining."""

from brookhinge.membership import timing
from brookhinge.membership.local_member import LocalMember


class JoinProgress:
    """A member is joining until its view equals others', or for MAX_JOINING_S."""

    def __init__(self, local: LocalMember, now: float) -> None:
        self.local = local
        self.joining_until = now + timing.MAX_JOINING_S
        self._agreements = 0  # members in a row that knew nobody more

    def is_joining(self) -> bool:
        """Whether it fetches the view, and nobody need fetch anything from it."""
        return self.local.now < self.joining_until

    def finish(self, now: float) -> None:
        """End the joining."""
        self.joining_until = now

    def note_answer(self, now: float, learned: bool, needed: int) -> None:
        """Note that a member answered; done once `needed` in a row knew nobody more."""
        self._agreements = 0 if learned else self._agreements + 1
        if self._agreements >= needed:
            self.finish(now)
