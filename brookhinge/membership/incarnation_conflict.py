"""Incarnation conflicts: two processes under one name. The older start keeps the name, if it lives."""

import math
from typing import NamedTuple

from brookhinge.membership import timing
from brookhinge.membership.claims import GONE_STATES, Claim, MemberState
from brookhinge.membership.dissemination import Dissemination
from brookhinge.membership.local_member import LocalMember
from brookhinge.membership.messages import Ping
from brookhinge.membership.view import MemberChange
from brookhinge.membership.writer import PeerWriter


class Contest(NamedTuple):
    """An older process under this name that is being asked whether it lives."""

    nonce: int
    deadline: float
    claim: Claim


class IncarnationConflict:
    """Decides whether this process keeps its name."""

    def __init__(self, local: LocalMember, dissemination: Dissemination) -> None:
        self.local = local
        self.dissemination = dissemination
        self._contest: Contest | None = None

    def refute(self, now: float, incarnation: int) -> None:
        """Answer what others claim under this name with a higher incarnation."""
        if self.local.assert_alive(now, incarnation):
            self.dissemination.queue_urgent(self.local.name, now)

    def on_claim(self, now: float, claim: Claim, writer: PeerWriter) -> None:
        """Take a claim about another process under this name: one before this one, or one beside it.

        Whether an older one lives, it alone can say: it is asked.
        """
        local = self.local
        i = local.position()
        is_younger = (claim.started_at_ms, claim.incarnation_id) > (
            local.view.started_at_ms[i],
            local.incarnation_id,
        )
        if claim.state in GONE_STATES or claim.address == local.view.addresses[i] or is_younger:
            self.refute(now, claim.incarnation)
        elif self._contest is None:
            nonce = local.next_nonce()
            self._contest = Contest(nonce, now + timing.CONFLICT_TIMEOUT_S, claim)
            ping = Ping(nonce, claim.incarnation_id, 0, MemberState.ALIVE)
            writer.send(claim.address, ping, *self.dissemination.piggyback(now))

    def on_ack(self, nonce: int, writer: PeerWriter) -> bool:
        """Stop if the older process answers; whether the ack was its."""
        contest = self._contest
        if contest is None or nonce != contest.nonce:
            return False
        self.local.stopped = True
        host, port = contest.claim.address
        writer.changed(MemberChange.NAME_TAKEN, self.local.name, f"{host}:{port}")
        return True

    def expire(self, now: float) -> None:
        """Take the name if the older process did not answer in time."""
        contest = self._contest
        if contest is not None and now >= contest.deadline:
            self._contest = None
            self.refute(now, contest.claim.incarnation)

    def postpone(self, gap_s: float) -> None:
        """Move the deadline by a time in which this process did not run."""
        if self._contest is not None:
            self._contest = self._contest._replace(deadline=self._contest.deadline + gap_s)

    def due_at(self) -> float:
        """When the contest ends if no answer comes."""
        return self._contest.deadline if self._contest is not None else math.inf
