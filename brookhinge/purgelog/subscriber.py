"""One router as a reader of the purge log. No I/O, no clock.

It keeps what it has applied, until when that is proven to be all, and where it reads.

    subscriber.receive(now, message, writer)
    subscriber.tick(now, writer)                at subscriber.next_at() at the latest

Proof: a push echoes the number of a message that this router sent at a moment t, and names heads that were
all there was `age` before the machine received it, or later. Once the router has applied everything up to
these heads, it has applied every entry accepted before t - age, by its own clock alone (leases after Gray and
Cheriton, SOSP 1989). A copy is used for `proof_s` after that moment. A purge that it has not applied by then
was accepted later.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import TYPE_CHECKING

from brookhinge.purgelog.backfill import Backfill
from brookhinge.purgelog.interfaces import Address
from brookhinge.purgelog.messages import (
    Batch,
    Horizon,
    Kind,
    Leave,
    Message,
    Poll,
    Push,
    Segment,
    Subscribe,
    Unknown,
)
from brookhinge.purgelog.positions import (
    FAR_AHEAD,
    Position,
    covers,
    flatten,
    sound_vector,
    unflatten,
)
from brookhinge.purgelog.roundtrip import smoothed
from brookhinge.purgelog.subscription import (
    CopyRule,
    Proof,
    RefusalReason,
    SubscriberOutput,
    preference,
)

if TYPE_CHECKING:
    from brookhinge.purgelog.control import Machine

POLL_S = 0.3  # after the sending of what was echoed last the machine is asked for a newer proof
# for an answer; after that a retry
FIRST_ANSWER_S = 0.4
SHORTEST_ANSWER_S = 0.25
LONGEST_ANSWER_S = 0.5
CHANGES_REMEMBERED_S = 10.0  # each change of machine within so long doubles the wait for an answer,
LONGEST_WAIT_S = 1.5  # up to this: machines that are all late are not to be changed all the time
RETURN_S = 20.0  # between two tries of the preferred machine, on the mean
NUMBERS_KEPT = 64  # messages whose sending time is remembered


class Subscriber:
    """The state of one router as a reader."""

    def __init__(
        self,
        name: str,
        machines: Sequence[Machine],
        proof_s: float,
        chance: random.Random,
        now: float,
        region: str = "",
        reached: Address | None = None,
    ):
        """Start without positions.

        Args:
            name: the router's.
            machines: the control machines, in the settings' order.
            proof_s: how long own copies are used on one proof.
            chance: seeded, for the spread of polls.
            now: seconds of the caller's steady clock.
            region: whose machines are preferred.
            reached: address at which this router is reached, or None for where its datagrams come from.
        """
        self.name = name
        self.machines = machines
        self.proof_s = proof_s
        self.chance = chance
        self.reached = reached or ("", 0)
        self.order = preference(name, region, machines)
        self.choice = 0
        self.previous = -1
        self.session = 1
        self.number = 0
        self.positions: list[Position] | None = None
        self.boots = [0] * len(machines)
        self.sent_at: dict[int, float] = {}
        self.answered = 0
        self.echoed_at = -math.inf
        self.rtt_s: float | None = None
        self.pending: list[Proof] = []  # whose entries have not all come
        self.proven_at = -math.inf
        self.stale = True
        self.backfill: Backfill | None = None
        self.subscribed = False
        self.asked_at: float | None = None
        self.tries = 0
        self.changed_at: list[float] = []  # when it changed its machine lately, for want of an answer
        self.due_at, self.return_at = now + 0.05 * chance.random(), now + self.pause()
        self.refused = dict.fromkeys(RefusalReason, 0)
        self.changes_of_machine = self.restarts = self.entries = 0

    def pause(self) -> float:
        """Draw a wait before the preferred machine is tried again."""
        return RETURN_S * (0.5 + self.chance.random())

    def machine(self) -> int:
        """The number of the control machine that this router reads at."""
        return self.order[self.choice]

    def proof_age(self, now: float) -> float:
        """Seconds since the last proven moment."""
        return now - self.proven_at

    # messages

    def receive(self, now: float, message: Message, writer: SubscriberOutput) -> None:
        """Take a message of a control machine."""
        match message:
            case Push():
                self.receive_push(now, message, writer)
            case Unknown() if message.session == self.session and self.subscribed:
                self.subscribe(now, writer)
            case Segment() | Horizon() if self.backfill is not None:
                self.backfill.receive(now, message)
                self.end_backfill(now, writer)

    def receive_push(self, now: float, push: Push, writer: SubscriberOutput) -> None:
        """Take a push: apply its entries and keep its proof."""
        if not self.sound(push):
            self.refused[RefusalReason.UNSOUND] += 1
            return
        proof = self.proof_of(now, push)
        if push.session == self.session:
            self.answer_came(now, push.echo)
            self.plan(now)
        if push.restart and proof is not None:
            self.restart(now, proof, writer)
        if self.positions is None:
            return
        gaps = self.refused[RefusalReason.GAP]
        for batch in push.batches:
            self.append(batch, writer)
        if proof is not None:
            self.pending.append(proof)
        self.prove(now, writer)
        if push.batches or push.restart:
            self.poll(now, False, writer, gap=self.refused[RefusalReason.GAP] > gaps)

    def answer_came(self, now: float, echo: int) -> None:
        """The machine read at is there."""
        if self.asked_at is not None and self.sent_at.get(echo) == self.asked_at:
            self.rtt_s = smoothed(self.rtt_s, now - self.asked_at)
        self.subscribed = True
        self.asked_at = None
        self.tries = 0
        if echo > self.answered and echo in self.sent_at:
            self.answered = echo
            self.echoed_at = self.sent_at[echo]

    def answer_s(self) -> float:
        """How long an answer is waited for."""
        usual = FIRST_ANSWER_S
        if self.rtt_s is not None:
            usual = min(LONGEST_ANSWER_S, max(SHORTEST_ANSWER_S, 1.5 * self.rtt_s + 0.05))
        return min(LONGEST_WAIT_S, usual * 2 ** max(0, len(self.changed_at) - 1))

    def sound(self, push: Push) -> bool:
        """Whether lengths and numbers of a push can be right."""
        machines = len(self.machines)
        if push.age_ms >= 0 and not (len(push.boots) == machines and sound_vector(push.heads, machines)):
            return False
        if not all(0 <= batch.source < machines and batch.epoch > 0 for batch in push.batches):
            return False
        return self.positions is None or self.plausible(push)

    def plausible(self, push: Push) -> bool:
        """Whether nothing in a push runs far ahead of what this router holds."""
        ahead = [
            after.index - held.index
            for after, held in zip(unflatten(push.heads), self.positions, strict=False)
        ]
        ahead += [batch.after_index - self.positions[batch.source].index for batch in push.batches]
        newer = [batch.epoch - self.positions[batch.source].epoch for batch in push.batches]
        newer += [
            after.epoch - held.epoch
            for after, held in zip(unflatten(push.heads), self.positions, strict=False)
        ]
        return max([0, *ahead, *newer]) < FAR_AHEAD

    def proof_of(self, now: float, push: Push) -> Proof | None:
        """Return the proof in a push, or None where it proves nothing."""
        asked_at = self.sent_at.get(push.echo)
        if asked_at is None or push.age_ms < 0:
            return None
        return Proof(asked_at - push.age_ms / 1000.0, unflatten(push.heads), push.boots)

    def append(self, batch: Batch, writer: SubscriberOutput) -> None:
        """Apply what is new of a batch.

        Entries behind a gap are applied too, since they only tighten; the position stays.
        """
        held = self.positions[batch.source]
        after = batch.after
        if batch.epoch < held.epoch:
            self.refused[RefusalReason.OLD_EPOCH] += 1
            return
        same = batch.epoch == held.epoch
        follows = after.index <= held.index and (same or after.epoch == held.epoch)
        entries = batch.entries[held.index - after.index :] if same and follows else batch.entries
        for entry in entries:
            if entry.kind != Kind.OPENED:
                self.entries += 1
                writer.entry(entry)
        if not follows:
            self.refused[RefusalReason.GAP] += 1
        elif entries:
            self.positions[batch.source] = batch.end

    # proof

    def prove(self, now: float, writer: SubscriberOutput) -> None:
        """Takes the newest proof whose entries have all been applied."""
        held = [proof for proof in self.pending if covers(self.positions, proof.heads)]
        if not held:
            del self.pending[:-NUMBERS_KEPT]
            return
        moment, _, boots = max(held, key=lambda proof: proof.moment)
        self.pending = [proof for proof in self.pending if proof.moment > moment and proof not in held]
        if moment <= self.proven_at:
            return
        if self.proven_at > -math.inf and not self.continuous(boots):
            self.forget(writer)
        self.boots = [boot or known for boot, known in zip(boots, self.boots, strict=False)]
        self.proven_at = moment
        if self.stale and self.proof_age(now) < self.proof_s:
            self.stale = False
            writer.copies(CopyRule.PROVEN, None)

    def continuous(self, boots: list[int]) -> bool:
        """Whether every entry accepted since the last proof stands behind this one too.

        So it is if a majority of the machines has run since then and answered now: any majority that accepted
        one shares a machine with it.
        """
        same = sum(boot != 0 and boot == known for boot, known in zip(boots, self.boots, strict=False))
        return same > len(self.machines) // 2

    def forget(self, writer: SubscriberOutput) -> None:
        """Drop all copies made up to now: entries may be gone for good with the machines that held them."""
        self.backfill = None
        writer.copies(CopyRule.RESET, None)

    def restart(self, now: float, proof: Proof, writer: SubscriberOutput) -> None:
        """Go on from the heads.

        What was made before is set aside until it is known which of it was purged.
        """
        heads = proof.heads
        if self.positions is None:  # what was kept since the start may have been purged before the heads
            self.positions = heads
            writer.copies(CopyRule.RESET, None)
            return
        if covers(self.positions, heads):
            return
        self.restarts += 1
        missed = [
            (source, held, head)
            for source, (held, head) in enumerate(zip(self.positions, heads, strict=False))
            if head > held
        ]
        self.positions = [max(pair) for pair in zip(self.positions, heads, strict=False)]
        writer.copies(CopyRule.ASIDE, None)
        if self.backfill is None:
            self.backfill = Backfill(self.order, self.choice, now)
        self.backfill.extend(missed)

    def end_backfill(self, now: float, writer: SubscriberOutput) -> None:
        """Follow the end of a backfill, if it has come to one."""
        if self.backfill.lost:
            writer.copies(CopyRule.DROP, None)
        elif self.backfill.done():
            writer.copies(CopyRule.READMIT, self.backfill.fingerprints())
        else:
            return
        self.backfill = None

    # time

    def end_proof(self, now: float, writer: SubscriberOutput) -> None:
        """Ends the use of copies once the proof is too old."""
        if not self.stale and self.proof_age(now) >= self.proof_s:
            self.stale = True
            writer.copies(CopyRule.STALE, None)

    def tick(self, now: float, writer: SubscriberOutput) -> None:
        """Do what is due by time."""
        self.end_proof(now, writer)
        if now < self.due_at:
            return
        self.changed_at = [at for at in self.changed_at if now - at < CHANGES_REMEMBERED_S]
        if self.asked_at is not None and now - self.asked_at >= self.answer_s():
            self.unanswered(now, writer)
        elif self.choice and now >= self.return_at:
            self.change_machine(now, 0, writer)
        elif self.asked_at is None:
            self.ask(now, writer)
        if self.backfill is not None:
            self.request_backfill(now, writer)
        self.plan(now)

    def request_backfill(self, now: float, writer: SubscriberOutput) -> None:
        """Send the backfill request that is due."""
        machine, request = self.backfill.tick(now)
        if request is not None:
            writer.send(self.machines[machine].address, request)
        self.end_backfill(now, writer)

    def plan(self, now: float) -> None:
        """Set when the next tick is due."""
        asked = self.asked_at is not None
        times = [self.asked_at + self.answer_s() if asked else self.echoed_at + POLL_S]
        if not self.stale:
            times.append(self.proven_at + self.proof_s)
        if self.backfill is not None:
            times.append(self.backfill.due_at)
        self.due_at = max(now + 0.001, min(times))

    def next_at(self) -> float:
        """Return when a tick is due."""
        return self.due_at

    def ask(self, now: float, writer: SubscriberOutput) -> None:
        """For the first time, or where the newest proof has become old."""
        if not self.subscribed:
            self.subscribe(now, writer)
        elif now - self.echoed_at >= POLL_S:
            self.poll(now, True, writer)

    def unanswered(self, now: float, writer: SubscriberOutput) -> None:
        """Asks once more, then another machine."""
        self.tries += 1
        if self.tries == 1 and self.subscribed:
            self.poll(now, True, writer)
        else:
            if self.proven_at > -math.inf:  # while it starts, machines may be starting too
                self.changed_at.append(now)
            self.change_machine(now, (self.choice + 1) % len(self.order), writer)

    def change_machine(self, now: float, choice: int, writer: SubscriberOutput) -> None:
        """Read at another machine."""
        self.previous = self.machine()
        self.choice = choice
        self.session += 1
        self.return_at = now + self.pause()
        self.changes_of_machine += 1
        self.subscribe(now, writer)

    def subscribe(self, now: float, writer: SubscriberOutput) -> None:
        """Ask the chosen machine to be read at."""
        self.subscribed = False
        self.tries = 0
        positions = [] if self.positions is None else flatten(self.positions)
        number = self.stamp(now)
        self.asked_at = now
        message = Subscribe(self.name, self.session, number, self.previous, positions, *self.reached)
        writer.send(self.machines[self.machine()].address, message)
        self.plan(now)

    def poll(self, now: float, answer: bool, writer: SubscriberOutput, gap: bool = False) -> None:
        """Acknowledge positions and ask for what follows; with `answer` an answer is expected at once."""
        positions = [] if self.positions is None else flatten(self.positions)
        number = self.stamp(now)
        if answer:
            self.asked_at = now
        writer.send(self.machines[self.machine()].address, Poll(self.session, number, answer, gap, positions))

    def stamp(self, now: float) -> int:
        """The number of the next message; its sending time is remembered for the echo."""
        self.number += 1
        self.sent_at[self.number] = now
        self.sent_at.pop(self.number - NUMBERS_KEPT, None)
        return self.number

    def leave(self, writer: SubscriberOutput) -> None:
        """This router ends as planned: nobody waits for it."""
        for _ in range(2):  # a datagram may get lost
            writer.send(self.machines[self.machine()].address, Leave(self.session))
