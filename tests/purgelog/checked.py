"""Simulated control machines and routers whose safety properties are checked after every event."""

import math

from brookhinge.emulator.simulated_purge_log import LogNet
from brookhinge.purgelog.progress import MARGIN_S, Outcome
from brookhinge.purgelog.subscription import CopyRule


class PropertyViolation(AssertionError):
    """A safety property does not hold."""


class CheckedNet(LogNet):
    """A LogNet that checks its properties.

    Attributes:
        submitted: purges that were appended.
        accepted_at: for each of them the time at which its source knew that a majority holds it.
    """

    def __init__(self, *args, **kwargs):
        self.submitted, self.accepted_at = [], {}
        super().__init__(*args, **kwargs)

    def submit(self, machine):
        purge = self.purge(machine)
        if purge is not None:
            self.submitted.append(purge)

    # properties

    def check(self):
        for purge in self.submitted:
            self.note_acceptance(purge)
            self.check_outcome(purge)
        for router in self.routers:
            self.check_proof(router)

    def note_acceptance(self, purge):
        source = self.controls[purge.machine]
        if purge not in self.accepted_at and source.up and not source.frozen:
            replication = source.core.replication
            held = replication.logs[purge.machine].head >= purge.position
            if (
                held
                and replication.epoch == purge.position.epoch
                and replication.accepted() >= purge.position
            ):
                self.accepted_at[purge] = self.now

    def check_outcome(self, purge):
        """Check that a purge known to be in force has been applied by every router, or that older copies are unusable.

        A purge must not be reported as in force while a connected router has not applied it. Afterwards, unless it
        was lost, no router may be able to use a copy older than the purge."""
        if purge.outcome in (Outcome.PENDING, Outcome.LOST):
            return
        for router in self.routers:
            if not router.up or router.name in purge.applied or self.set_aside(router, purge.at):
                continue
            outcome_is_new = purge.known_at == self.now
            if purge.outcome == Outcome.IN_FORCE and outcome_is_new and self.connected(router):
                raise PropertyViolation(
                    f"{router.name} is connected and has not applied a purge reported as in force"
                )
            if self.proven(router):
                raise PropertyViolation(
                    f"{router.name} may use copies older than a purge reported as in force"
                )

    def connected(self, router):
        """Whether a router runs and its lease at a control machine cannot have ended."""
        has_had_proof = router.core.proven_at > -math.inf
        return (
            has_had_proof and not router.frozen and router.core.proof_age(self.now) < self.proof_s + MARGIN_S
        )

    def check_proof(self, router):
        """Check that a router with a proof has applied every purge accepted before the proven moment."""
        if not router.up or not self.proven(router):
            return
        for purge, at in self.accepted_at.items():
            missed = at <= router.core.proven_at and router.name not in purge.applied
            if missed and not self.set_aside(router, purge.at):
                raise PropertyViolation(
                    f"{router.name} has a proof but has not applied a purge accepted before it"
                )

    def proven(self, router):
        return not router.core.stale and router.core.proof_age(self.now) < self.proof_s

    @staticmethod
    def set_aside(router, since):
        """Whether a router can use no copy from before `since`: it has started since, or set them aside."""
        return router.started_at >= since or any(
            at >= since and rule in (CopyRule.ASIDE, CopyRule.RESET) for at, rule, _ in router.rules
        )

    def check_end(self):
        """Check, after the links have healed, that accepted purges are applied everywhere and every router has a proof."""
        for router in self.routers:
            if not self.proven(router):
                raise PropertyViolation(f"{router.name} has no proof at the end")
        for purge, at in self.accepted_at.items():
            source = self.controls[purge.machine].core
            same_epoch = source.replication.epoch == purge.position.epoch
            if same_epoch and purge.outcome == Outcome.PENDING:
                raise PropertyViolation(
                    f"a purge accepted at {at} is not reported as in force: {purge.missing}"
                )
            self.check_lost(purge)
            lacking = [r.name for r in self.routers if r.name not in purge.applied]
            if (
                same_epoch
                and lacking
                and not all(self.set_aside(r, purge.at) for r in self.routers if r.name in lacking)
            ):
                raise PropertyViolation(f"{lacking} never applied a purge")

    def check_lost(self, purge):
        """Check that no purge accepted by a majority was lost."""
        if purge.outcome == Outcome.LOST:
            raise PropertyViolation("a purge accepted by a majority was lost")
