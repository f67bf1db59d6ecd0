"""Suspicions: how long a silent member has to refute before it is taken for lost (Lifeguard, section 4.2)."""

import math
from collections.abc import Iterator

from brookhinge.membership import timing
from brookhinge.membership.view import MembershipView

CONFIRMATIONS = 3  # independent witnesses beside the first that bring the deadline to its shortest
SHORTEST_IN_PROBES = 4.0
LONGEST_IN_SHORTEST = 4.0


class Suspicion:
    """One member's; its deadline comes closer as independent witnesses confirm."""

    __slots__ = ("first_reporter", "longest_s", "shortest_s", "since", "witnesses")

    def __init__(self, now: float, reporter: str, members: int) -> None:
        """Begin at `now` in a fleet of so many members."""
        self.since = now
        self.first_reporter = reporter
        self.witnesses = {reporter}
        self.shortest_s = SHORTEST_IN_PROBES * max(1.0, math.log10(max(1, members))) * timing.PROBE_INTERVAL_S
        self.longest_s = LONGEST_IN_SHORTEST * self.shortest_s

    def confirm(self, reporter: str) -> bool:
        """Note a witness; False if it is known, or more are not needed."""
        if reporter in self.witnesses or len(self.witnesses) > CONFIRMATIONS:
            return False
        self.witnesses.add(reporter)
        return True

    def deadline(self) -> float:
        """When the member is lost if it has not refuted."""
        confirmed = math.log(len(self.witnesses)) / math.log(CONFIRMATIONS + 1)
        timeout_s = self.longest_s - (self.longest_s - self.shortest_s) * confirmed
        return self.since + max(self.shortest_s, timeout_s)


class SuspicionTable:
    """Suspicions by the member's position in the view."""

    def __init__(self) -> None:
        self._by_position: dict[int, Suspicion] = {}

    def __iter__(self) -> Iterator[int]:
        return iter(self._by_position)

    def get(self, i: int) -> Suspicion | None:
        """The suspicion of the member at a position, or None."""
        return self._by_position.get(i)

    def begin(self, i: int, suspicion: Suspicion) -> None:
        """Suspect the member at a position."""
        self._by_position[i] = suspicion

    def end(self, i: int) -> None:
        """Suspect it no longer."""
        self._by_position.pop(i, None)

    def expired(self, now: float) -> Iterator[int]:
        """Positions whose deadline is past, as the suspicions stand when each is reached."""
        for i, suspicion in list(self._by_position.items()):
            if now >= suspicion.deadline():
                yield i

    def begun_by(self, reporter: str) -> Iterator[int]:
        """Positions of those that this reporter was the first to suspect."""
        return (i for i, one in self._by_position.items() if one.first_reporter == reporter)

    def deadlines(self) -> Iterator[float]:
        """All deadlines."""
        return (suspicion.deadline() for suspicion in self._by_position.values())

    def postpone(self, gap_s: float) -> None:
        """Move all deadlines by a time in which this process did not run."""
        for suspicion in self._by_position.values():
            suspicion.since += gap_s

    def forget_gone(self, now: float, view: MembershipView) -> bool:
        """Let the view forget, and follow the members to their new positions; whether any was forgotten."""
        by_name = {view.names[i]: suspicion for i, suspicion in self._by_position.items()}
        if not view.forget_gone(now):
            return False
        self._by_position = {
            view.index[name]: suspicion for name, suspicion in by_name.items() if name in view.index
        }
        return True
