"""A net of control machines and routers whose properties are checked after every event."""

import math

from brookhinge.emulator.simulated_purge_log import LogNet
from brookhinge.purgelog.progress import MARGIN_S, Outcome
from brookhinge.purgelog.subscriber import CopyRule


class Broken(AssertionError):
    """A property does not hold."""


class CheckedNet(LogNet):
    """told: purges that were appended; accepted_at: when their source saw a majority hold them."""

    def __init__(self, *rest, **named):
        self.told, self.accepted_at = [], {}
        super().__init__(*rest, **named)

    def submit(self, machine):
        purge = self.purge(machine)
        if purge is not None:
            self.told.append(purge)

    # properties

    def check(self):
        for purge in self.told:
            self.note_acceptance(purge)
            self.check_known(purge)
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

    def check_known(self, purge):
        """Never in force everywhere while a connected router has not applied it; from then on, but for purges that were
        lost, never while one could still use an older copy."""
        if purge.outcome in (Outcome.PENDING, Outcome.LOST):
            return
        for router in self.routers:
            if not router.up or router.name in purge.applied or self.set_aside(router, purge.at):
                continue
            just_known = purge.known_at == self.now
            if purge.outcome == Outcome.IN_FORCE and just_known and self.connected(router):
                raise Broken(f"{router.name} is connected and has not applied a purge known to be in force")
            if self.proven(router):
                raise Broken(f"{router.name} may use copies from before a purge known to be in force")

    def connected(self, router):
        """Whether it runs and its lease at a control machine cannot have ended."""
        began = router.core.proven_at > -math.inf
        return began and not router.frozen and router.core.proof_age(self.now) < self.proof_s + MARGIN_S

    def check_proof(self, router):
        """A router with a proof has applied every purge accepted before the proven moment."""
        if not router.up or not self.proven(router):
            return
        for purge, at in self.accepted_at.items():
            missed = at <= router.core.proven_at and router.name not in purge.applied
            if missed and not self.set_aside(router, purge.at):
                raise Broken(f"{router.name} has a proof and lacks a purge accepted before it")

    def proven(self, router):
        return not router.core.stale and router.core.proof_age(self.now) < self.proof_s

    @staticmethod
    def set_aside(router, since):
        """Whether it can use no copy from before that moment: it has started since, or set them aside."""
        return router.started_at >= since or any(
            at >= since and rule in (CopyRule.ASIDE, CopyRule.RESET) for at, rule, _ in router.rules
        )

    def check_end(self):
        """Links are good: what was accepted is known everywhere, and all that live have a proof."""
        for router in self.routers:
            if not self.proven(router):
                raise Broken(f"{router.name} has no proof in the end")
        for purge, at in self.accepted_at.items():
            source = self.controls[purge.machine].core
            same = source.replication.epoch == purge.position.epoch
            if same and purge.outcome == Outcome.PENDING:
                raise Broken(f"a purge accepted at {at} is not known to be in force: {purge.missing}")
            self.check_lost(purge)
            lacking = [r.name for r in self.routers if r.name not in purge.applied]
            if (
                same
                and lacking
                and not all(self.set_aside(r, purge.at) for r in self.routers if r.name in lacking)
            ):
                raise Broken(f"{lacking} never applied a purge")

    def check_lost(self, purge):
        """What a majority held is not lost."""
        if purge.outcome == Outcome.LOST:
            raise Broken("a purge that a majority held was lost")
