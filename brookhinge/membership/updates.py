"""Applies claims, received or made locally, to the view and queues what must be sent on."""

from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.dissemination import UPDATE_TRANSMISSIONS, Dissemination
from brookhinge.membership.incarnation_conflict import IncarnationConflict
from brookhinge.membership.local_health import LocalHealth
from brookhinge.membership.local_member import LocalMember
from brookhinge.membership.suspicion import Suspicion, SuspicionTable
from brookhinge.membership.view import MemberChange
from brookhinge.membership.writer import PeerWriter

URGENT_CHANGES = (MemberChange.CLEARED, MemberChange.BACK, MemberChange.LOST)


class UpdateApplier:
    """Merges claims into the view, updates the suspicion table, and queues new claims for dissemination."""

    def __init__(
        self,
        local: LocalMember,
        dissemination: Dissemination,
        suspicions: SuspicionTable,
        health: LocalHealth,
        conflict: IncarnationConflict,
    ) -> None:
        self.local = local
        self.dissemination = dissemination
        self.suspicions = suspicions
        self.health = health
        self.conflict = conflict

    def apply_update(
        self,
        now: float,
        claim: Claim,
        reporter: str,
        writer: PeerWriter,
        transmissions: int = UPDATE_TRANSMISSIONS,
    ) -> MemberChange | None:
        """Merge a claim, or refute it if it is about this process, and return what it changed.

        A claim that is new is queued to be sent `transmissions` times.
        """
        local = self.local
        if claim.name == local.name:
            self._apply_own_name(now, claim, writer)
            return None
        self._confirm_suspicion(now, claim, reporter)
        change = local.view.apply(now, claim, reporter)
        if change is None:
            self.dissemination.queue.received_again(claim.name)
            return None
        if claim.state == MemberState.SUSPECTED or change in URGENT_CHANGES:
            self.dissemination.queue_urgent(claim.name, now)
        elif transmissions:
            self.dissemination.queue_update(claim.name, now, transmissions)
        i = local.view.index[claim.name]
        self.suspicions.end(i)
        if local.view.states[i] == MemberState.SUSPECTED:
            self.suspicions.begin(i, Suspicion(now, reporter, len(local.view.names)))
        if change is not MemberChange.RENEWED:
            writer.changed(change, claim.name, reporter)
        return change

    def _apply_own_name(self, now: float, claim: Claim, writer: PeerWriter) -> None:
        if claim.incarnation_id != self.local.incarnation_id:
            self.conflict.on_claim(now, claim, writer)
        elif claim.state != MemberState.ALIVE and claim.incarnation >= self.local.incarnation():
            self.refute_own_state(now, claim.incarnation, claim.state)

    def _confirm_suspicion(self, now: float, claim: Claim, reporter: str) -> None:
        """Count the reporter as another witness of a pending suspicion."""
        view = self.local.view
        i = view.index.get(claim.name)
        if i is None or claim.state != MemberState.SUSPECTED:
            return
        suspicion = self.suspicions.get(i)
        if (
            suspicion is not None
            and view.incarnation_ids[i] == claim.incarnation_id
            and view.incarnations[i] == claim.incarnation
            and suspicion.confirm(reporter)
        ):
            self.dissemination.queue_witness(claim.name, now)

    def refute_own_state(self, now: float, incarnation: int, state: MemberState) -> None:
        """Refute a claim that this process is suspected or gone.

        A suspicion also worsens local health, because it suggests that this process is slow.
        """
        if state == MemberState.SUSPECTED:
            self.health.worsen(1)
        self.conflict.refute(now, incarnation)

    def declare(self, now: float, i: int, state: MemberState, writer: PeerWriter) -> None:
        """Declare the member at position `i` suspected or lost."""
        claim = self.local.view.claim(i, now)._replace(state=state)
        self.apply_update(now, claim, self.local.name, writer)
