"""Suspicions: the time a suspected member has to refute before it is declared lost (Lifeguard, 4.2)."""

import math
from collections.abc import Iterator

from brookhinge.membership import timing
from brookhinge.membership.view import MembershipView

CONFIRMATIONS = 3  # witnesses besides the first that shorten the timeout to its minimum
SHORTEST_IN_PROBES = 4.0
LONGEST_TO_SHORTEST_RATIO = 4.0


class Suspicion:
    """The suspicion of one member; its timeout shrinks as independent witnesses confirm it."""

    __slots__ = ("first_reporter", "longest_s", "shortest_s", "since", "witnesses")

    def __init__(self, now: float, reporter: str, members: int) -> None:
        """Create a suspicion that begins at `now` in a fleet of `members` members."""
        self.since = now
        self.first_reporter = reporter
        self.witnesses = {reporter}
        self.shortest_s = SHORTEST_IN_PROBES * max(1.0, math.log10(max(1, members))) * timing.PROBE_INTERVAL_S
        self.longest_s = LONGEST_TO_SHORTEST_RATIO * self.shortest_s

    def confirm(self, reporter: str) -> bool:
        """Record a witness; return False if it is known already or no more are needed."""
        if reporter in self.witnesses or len(self.witnesses) > CONFIRMATIONS:
            return False
        self.witnesses.add(reporter)
        return True

    def deadline(self) -> float:
        """Return when the member is declared lost unless it refutes."""
        confirmed = math.log(len(self.witnesses)) / math.log(CONFIRMATIONS + 1)
        timeout_s = self.longest_s - (self.longest_s - self.shortest_s) * confirmed
        return self.since + max(self.shortest_s, timeout_s)


class SuspicionTable:
    """The pending suspicions by the member's position in the view."""

    def __init__(self) -> None:
        self._by_position: dict[int, Suspicion] = {}

    def __iter__(self) -> Iterator[int]:
        return iter(self._by_position)

    def get(self, i: int) -> Suspicion | None:
        """Return the suspicion of the member at position `i`, or None."""
        return self._by_position.get(i)

    def begin(self, i: int, suspicion: Suspicion) -> None:
        """Add a suspicion of the member at position `i`."""
        self._by_position[i] = suspicion

    def end(self, i: int) -> None:
        """Remove the suspicion of the member at position `i`, if any."""
        self._by_position.pop(i, None)

    def expired(self, now: float) -> Iterator[int]:
        """Yield positions whose deadline has passed.

        Each deadline is evaluated when the iteration reaches it.
        """
        for i, suspicion in list(self._by_position.items()):
            if now >= suspicion.deadline():
                yield i

    def begun_by(self, reporter: str) -> Iterator[int]:
        """Return the positions of members that this reporter was the first to suspect."""
        return (i for i, suspicion in self._by_position.items() if suspicion.first_reporter == reporter)

    def deadlines(self) -> Iterator[float]:
        """Return the deadlines of all suspicions."""
        return (suspicion.deadline() for suspicion in self._by_position.values())

    def postpone(self, gap_s: float) -> None:
        """Move all deadlines by `gap_s` seconds in which this process did not run."""
        for suspicion in self._by_position.values():
            suspicion.since += gap_s

    def forget_gone(self, now: float, view: MembershipView) -> bool:
        """Drop long-gone members from the view and remap the suspicions; return whether any was dropped."""
        by_name = {view.names[i]: suspicion for i, suspicion in self._by_position.items()}
        if not view.forget_gone(now):
            return False
        self._by_position = {
            view.index[name]: suspicion for name, suspicion in by_name.items() if name in view.index
        }
        return True
