"""Incarnation conflicts: of two processes under one name, the one started first keeps it if alive."""

import math
from typing import NamedTuple

from brookhinge.membership import timing
from brookhinge.membership.claims import GONE_STATES, Claim, MemberState
from brookhinge.membership.dissemination import Dissemination
from brookhinge.membership.local_member import LocalMember
from brookhinge.membership.messages import Ping
from brookhinge.membership.view import MemberChange
from brookhinge.membership.writer import PeerWriter


class PendingConflict(NamedTuple):
    """A pending ping to an older process under this name, which keeps the name if it answers."""

    nonce: int
    deadline: float
    claim: Claim


class IncarnationConflict:
    """Decides whether this process keeps its name when another process uses it."""

    def __init__(self, local: LocalMember, dissemination: Dissemination) -> None:
        self.local = local
        self.dissemination = dissemination
        self._pending: PendingConflict | None = None

    def refute(self, now: float, incarnation: int) -> None:
        """Refute claims about this name by raising the incarnation."""
        if self.local.assert_alive(now, incarnation):
            self.dissemination.queue_urgent(self.local.name, now)

    def on_claim(self, now: float, claim: Claim, writer: PeerWriter) -> None:
        """Handle a claim about another process under this name, an earlier one or one still running.

        Only an older process itself can show that it is alive, so it is pinged.
        """
        local = self.local
        i = local.position()
        is_younger = (claim.started_at_ms, claim.incarnation_id) > (
            local.view.started_at_ms[i],
            local.incarnation_id,
        )
        if claim.state in GONE_STATES or claim.address == local.view.addresses[i] or is_younger:
            self.refute(now, claim.incarnation)
        elif self._pending is None:
            nonce = local.next_nonce()
            self._pending = PendingConflict(nonce, now + timing.CONFLICT_TIMEOUT_S, claim)
            ping = Ping(nonce, claim.incarnation_id, 0, MemberState.ALIVE)
            writer.send(claim.address, ping, *self.dissemination.piggyback(now))

    def on_ack(self, nonce: int, writer: PeerWriter) -> bool:
        """Stop this member if the ack is from the older process; return whether it was."""
        pending = self._pending
        if pending is None or nonce != pending.nonce:
            return False
        self.local.stopped = True
        host, port = pending.claim.address
        writer.changed(MemberChange.NAME_TAKEN, self.local.name, f"{host}:{port}")
        return True

    def expire(self, now: float) -> None:
        """Claim the name if the older process did not answer in time."""
        pending = self._pending
        if pending is not None and now >= pending.deadline:
            self._pending = None
            self.refute(now, pending.claim.incarnation)

    def postpone(self, gap_s: float) -> None:
        """Move the deadline by `gap_s` seconds in which this process did not run."""
        if self._pending is not None:
            self._pending = self._pending._replace(deadline=self._pending.deadline + gap_s)

    def due_at(self) -> float:
        """Return when the pending conflict expires if no answer arrives; infinity if there is none."""
        return self._pending.deadline if self._pending is not None else math.inf
