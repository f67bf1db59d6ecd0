"""Core of one router that reads the purge log. No I/O, no clock.

It tracks the applied positions, the moment up to which they are proven complete, and the control machine to
read at.

    subscriber.receive(now, message, writer)
    subscriber.tick(now, writer)                no later than subscriber.next_at()

A push is a proof: it echoes the number of a message that this router sent at a time t, and contains heads
that include every entry accepted before a moment at most `age` earlier than the receipt of that message. Once
the router has applied everything up to these heads, it has applied every entry accepted before t - age. This
relies on its own clock alone (leases after Gray and Cheriton, SOSP 1989). Own copies may be used for
`proof_s` after that moment. A purge that the router has not applied was accepted later.
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
    RetainedPage,
    RetainedRequest,
    Segment,
    Subscribe,
    Unknown,
)
from brookhinge.purgelog.positions import (
    MAX_LEAD,
    Position,
    covers,
    flatten,
    is_valid_vector,
    unflatten,
)
from brookhinge.purgelog.retained_reader import RetainedReader
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

POLL_S = 0.3  # a new proof is requested this long after the last echoed message was sent
# timeout for an answer
FIRST_ANSWER_S = 0.4
MIN_ANSWER_S = 0.25
MAX_ANSWER_S = 0.5
# Each change of machine within RECENT_CHANGE_S doubles the timeout, up to MAX_WAIT_S. Otherwise the router
# would keep changing between machines that are all slow.
RECENT_CHANGE_S = 10.0
MAX_WAIT_S = 1.5
MEAN_RETURN_S = 20.0  # mean time between two attempts to return to the preferred machine
MAX_TRACKED_MESSAGES = 64  # messages whose send time is kept


class Subscriber:
    """State of one router as a reader.

    Attributes:
        order: numbers of the control machines by preference.
        choice: index in `order` of the machine read at.
        previous: number of the machine read at before, or -1.
        positions: position applied of each source, or None before the first proof.
        boots: last known process id of each control machine.
        sent_at: send time of recent messages by number.
        last_echo: highest number of a message that was echoed.
        echoed_at: send time of that message.
        pending: proofs whose entries are not all applied yet.
        proven_at: moment up to which all entries are known, -inf before the first proof.
        stale: whether there is no valid proof.
        retained: retained purges, some of which the log may not tell any more.
        knows_retained: whether all of them are known, with a valid proof.
        subscribed: whether the machine read at has answered.
        asked_at: send time of the message that awaits an answer, or None.
        tries: timeouts since the last answer or subscription.
        changed_at: times of recent changes of machine after a timeout.
        refused: number of rejected messages and batches by reason.
    """

    def __init__(
        self,
        name: str,
        machines: Sequence[Machine],
        proof_s: float,
        rng: random.Random,
        now: float,
        region: str = "",
        advertised: Address | None = None,
    ):
        """Create a subscriber without positions.

        Args:
            name: name of the router.
            machines: all control machines, in the same order in every process.
            proof_s: time for which one proof lets the router use its own copies.
            rng: random number generator for the jitter of timers.
            now: seconds of the caller's steady clock.
            region: region of the router, whose control machines are preferred.
            advertised: address for pushes, or None for the source address of the router's datagrams.
        """
        self.name = name
        self.machines = machines
        self.proof_s = proof_s
        self.rng = rng
        self.advertised = advertised or ("", 0)
        self.order = preference(name, region, machines)
        self.choice = 0
        self.previous = -1
        self.session = 1
        self.number = 0
        self.positions: list[Position] | None = None
        self.boots = [0] * len(machines)
        self.sent_at: dict[int, float] = {}
        self.last_echo = 0
        self.echoed_at = -math.inf
        self.rtt_s: float | None = None
        self.pending: list[Proof] = []
        self.proven_at = -math.inf
        self.stale = True
        self.backfill: Backfill | None = None
        self.retained = RetainedReader(len(machines))
        self.knows_retained = False
        self.subscribed = False
        self.asked_at: float | None = None
        self.tries = 0
        self.changed_at: list[float] = []
        self.due_at, self.return_at = now + 0.05 * rng.random(), now + self.return_delay()
        self.refused = dict.fromkeys(RefusalReason, 0)
        self.changes_of_machine = self.restarts = self.entries = 0

    def return_delay(self) -> float:
        """Return a random delay in seconds before the preferred machine is tried again."""
        return MEAN_RETURN_S * (0.5 + self.rng.random())

    def machine(self) -> int:
        """Return the number of the control machine that this router reads at."""
        return self.order[self.choice]

    def proof_age(self, now: float) -> float:
        """Return the seconds since the last proven moment."""
        return now - self.proven_at

    # messages

    def receive(self, now: float, message: Message, writer: SubscriberOutput) -> None:
        """Handle a message of a control machine."""
        self.dispatch(now, message, writer)
        self.update_knowledge(writer)

    def dispatch(self, now: float, message: Message, writer: SubscriberOutput) -> None:
        """Pass a message to its handler."""
        match message:
            case Push():
                self.receive_push(now, message, writer)
            case Unknown() if message.session == self.session and self.subscribed:
                self.subscribe(now, writer)
            case Segment() | Horizon() if self.backfill is not None:
                self.backfill.receive(now, message)
                self.end_backfill(now, writer)
            case RetainedPage():
                self.receive_retained(now, message, writer)
            case RetainedRequest() if 0 <= message.machine < len(self.machines):
                page = self.retained.page(now, message, self.positions)
                writer.send(self.machines[message.machine].address, page)

    def receive_push(self, now: float, push: Push, writer: SubscriberOutput) -> None:
        """Apply the entries of a push and evaluate its proof."""
        if not self.is_valid(push):
            self.refused[RefusalReason.UNSOUND] += 1
            return
        proof = self.proof_of(now, push)
        if push.session == self.session:
            self.record_answer(now, push.echo)
            self.schedule_tick(now)
        if push.restart and proof is not None:
            self.restart(now, proof, writer)
        if self.positions is None:
            return
        gaps = self.refused[RefusalReason.GAP]
        for batch in push.batches:
            self.append(now, batch, writer)
        if proof is not None:
            self.pending.append(proof)
        self.update_proof(now, writer)
        if push.batches or push.restart:
            self.poll(now, False, writer, gap=self.refused[RefusalReason.GAP] > gaps)

    def record_answer(self, now: float, echo: int) -> None:
        """Record that the machine read at has answered."""
        if self.asked_at is not None and self.sent_at.get(echo) == self.asked_at:
            self.rtt_s = smoothed(self.rtt_s, now - self.asked_at)
        self.subscribed = True
        self.asked_at = None
        self.tries = 0
        if echo > self.last_echo and echo in self.sent_at:
            self.last_echo = echo
            self.echoed_at = self.sent_at[echo]

    def answer_timeout_s(self) -> float:
        """Return the timeout for an answer in seconds."""
        usual = FIRST_ANSWER_S
        if self.rtt_s is not None:
            usual = min(MAX_ANSWER_S, max(MIN_ANSWER_S, 1.5 * self.rtt_s + 0.05))
        return min(MAX_WAIT_S, usual * 2 ** max(0, len(self.changed_at) - 1))

    def is_valid(self, push: Push) -> bool:
        """Whether the lengths and numbers in a push are valid."""
        machines = len(self.machines)
        if push.age_ms >= 0 and not (len(push.boots) == machines and is_valid_vector(push.heads, machines)):
            return False
        if not all(0 <= batch.source < machines and batch.epoch > 0 for batch in push.batches):
            return False
        return self.positions is None or self.plausible(push)

    def plausible(self, push: Push) -> bool:
        """Whether no position in a push is far ahead of this router's positions."""
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
        return max([0, *ahead, *newer]) < MAX_LEAD

    def proof_of(self, now: float, push: Push) -> Proof | None:
        """Return the proof in a push, or None if it contains none or echoes no recent message."""
        asked_at = self.sent_at.get(push.echo)
        if asked_at is None or push.age_ms < 0:
            return None
        return Proof(asked_at - push.age_ms / 1000.0, unflatten(push.heads), push.boots)

    def append(self, now: float, batch: Batch, writer: SubscriberOutput) -> None:
        """Apply the new entries of a batch.

        Entries after a gap are applied too, since they only add restrictions, but the position stays.
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
                self.retained.apply(now, entry)
                writer.apply_entry(entry)
        if not follows:
            self.refused[RefusalReason.GAP] += 1
        elif entries:
            self.positions[batch.source] = batch.end

    # proof

    def update_knowledge(self, writer: SubscriberOutput) -> None:
        """Pass on a change of whether all retained purges are known."""
        knows_retained = not self.stale and self.retained.is_complete
        if knows_retained != self.knows_retained:
            self.knows_retained = knows_retained
            writer.apply_knowledge(knows_retained)

    def update_proof(self, now: float, writer: SubscriberOutput) -> None:
        """Adopt the newest pending proof whose entries have all been applied."""
        held = [proof for proof in self.pending if covers(self.positions, proof.heads)]
        if not held:
            del self.pending[:-MAX_TRACKED_MESSAGES]
            return
        moment, heads, boots = max(held, key=lambda proof: proof.moment)
        self.pending = [proof for proof in self.pending if proof.moment > moment and proof not in held]
        if moment <= self.proven_at:
            return
        began_anew = self.proven_at > -math.inf and not self.has_common_majority(boots)
        self.boots = [boot or known for boot, known in zip(boots, self.boots, strict=False)]
        if began_anew:
            self.reset_copies(writer)
            self.adopt_logs(now, heads, writer)
        self.proven_at = moment
        if self.stale and self.proof_age(now) < self.proof_s:
            self.stale = False
            writer.apply_copy_rule(CopyRule.PROVEN, None)

    def has_common_majority(self, boots: list[int]) -> bool:
        """Whether a majority of the machines has run without a restart since the last proof and answered now.

        If so, no accepted entry was lost: any majority that accepted one shares a machine with this one.
        """
        same = sum(boot != 0 and boot == known for boot, known in zip(boots, self.boots, strict=False))
        return same > len(self.machines) // 2

    def reset_copies(self, writer: SubscriberOutput) -> None:
        """Drop all copies made so far, since entries may be lost with the machines that held them."""
        self.backfill = None
        writer.apply_copy_rule(CopyRule.RESET, None)

    def adopt_logs(self, now: float, heads: list[Position], writer: SubscriberOutput) -> None:
        """Continue from the heads of logs that began anew; older positions mean nothing in them."""
        self.positions = list(heads)
        self.retained.leave_logs(self.proven_at)
        self.retained.require(now, heads)
        self.pending.clear()
        self.session += 1
        self.subscribe(now, writer)

    def restart(self, now: float, proof: Proof, writer: SubscriberOutput) -> None:
        """Continue from the heads of a proof.

        Copies made so far are set aside until the missed purges are known.
        """
        heads = proof.heads
        if self.positions is None:  # copies kept since the start may have been purged earlier
            self.positions = heads
            self.retained.require(now, heads)
            writer.apply_copy_rule(CopyRule.RESET, None)
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
        self.retained.require(now, heads)
        writer.apply_copy_rule(CopyRule.ASIDE, None)
        if self.backfill is None:
            self.backfill = Backfill(self.order, self.choice, now)
        self.backfill.extend(missed)

    def end_backfill(self, now: float, writer: SubscriberOutput) -> None:
        """End the backfill if it is complete or has failed."""
        if self.backfill.lost:
            writer.apply_copy_rule(CopyRule.DROP, None)
        elif self.backfill.done():
            writer.apply_copy_rule(CopyRule.READMIT, self.backfill.fingerprints())
        else:
            return
        self.backfill = None

    # time

    def expire_proof(self, now: float, writer: SubscriberOutput) -> None:
        """End the use of own copies once the proof is too old."""
        if not self.stale and self.proof_age(now) >= self.proof_s:
            self.stale = True
            writer.apply_copy_rule(CopyRule.STALE, None)
            self.update_knowledge(writer)

    def tick(self, now: float, writer: SubscriberOutput) -> None:
        """Run the actions that are due."""
        self.expire_proof(now, writer)
        if now < self.due_at:
            return
        self.changed_at = [at for at in self.changed_at if now - at < RECENT_CHANGE_S]
        if self.asked_at is not None and now - self.asked_at >= self.answer_timeout_s():
            self.handle_timeout(now, writer)
        elif self.choice and now >= self.return_at:
            self.change_machine(now, 0, writer)
        elif self.asked_at is None:
            self.request_proof(now, writer)
        if self.backfill is not None:
            self.request_backfill(now, writer)
        self.request_retained(now, writer)
        self.schedule_tick(now)

    def request_retained(self, now: float, writer: SubscriberOutput) -> None:
        """Send the request for retained purges if one is due."""
        due = self.retained.tick(now)
        if due is not None:
            skipped, request = due
            machine = self.order[(self.choice + skipped) % len(self.order)]
            writer.send(self.machines[machine].address, request)

    def receive_retained(self, now: float, page: RetainedPage, writer: SubscriberOutput) -> None:
        """Take a page of retained purges and request the next one."""
        update = self.retained.receive(now, page)
        if update is not None:
            writer.apply_retained(update)
        self.request_retained(now, writer)
        self.schedule_tick(now)

    def request_backfill(self, now: float, writer: SubscriberOutput) -> None:
        """Send the backfill request if one is due."""
        machine, request = self.backfill.tick(now)
        if request is not None:
            writer.send(self.machines[machine].address, request)
        self.end_backfill(now, writer)

    def schedule_tick(self, now: float) -> None:
        """Set the time of the next tick."""
        asked = self.asked_at is not None
        times = [self.asked_at + self.answer_timeout_s() if asked else self.echoed_at + POLL_S]
        if not self.stale:
            times.append(self.proven_at + self.proof_s)
        if self.backfill is not None:
            times.append(self.backfill.due_at)
        times.append(self.retained.due_at)
        self.due_at = max(now + 0.001, min(times))

    def next_at(self) -> float:
        """Return the time of the next tick."""
        return self.due_at

    def request_proof(self, now: float, writer: SubscriberOutput) -> None:
        """Subscribe, or poll for a newer proof if POLL_S has passed."""
        if not self.subscribed:
            self.subscribe(now, writer)
        elif now - self.echoed_at >= POLL_S:
            self.poll(now, True, writer)

    def handle_timeout(self, now: float, writer: SubscriberOutput) -> None:
        """Repeat the request once, then change to the next machine."""
        self.tries += 1
        if self.tries == 1 and self.subscribed:
            self.poll(now, True, writer)
        else:
            if self.proven_at > -math.inf:  # during the start, control machines may be starting too
                self.changed_at.append(now)
            self.change_machine(now, (self.choice + 1) % len(self.order), writer)

    def change_machine(self, now: float, choice: int, writer: SubscriberOutput) -> None:
        """Change to another control machine and subscribe there."""
        self.previous = self.machine()
        self.choice = choice
        self.session += 1
        self.return_at = now + self.return_delay()
        self.changes_of_machine += 1
        self.subscribe(now, writer)

    def subscribe(self, now: float, writer: SubscriberOutput) -> None:
        """Send a subscription to the chosen machine."""
        self.subscribed = False
        self.tries = 0
        positions = [] if self.positions is None else flatten(self.positions)
        number = self.next_number(now)
        self.asked_at = now
        message = Subscribe(
            self.name, self.session, number, self.previous, positions, *self.advertised, self.boots
        )
        writer.send(self.machines[self.machine()].address, message)
        self.schedule_tick(now)

    def poll(self, now: float, answer: bool, writer: SubscriberOutput, gap: bool = False) -> None:
        """Acknowledge positions; with `answer`, request an immediate push, with `gap`, a resend."""
        positions = [] if self.positions is None else flatten(self.positions)
        number = self.next_number(now)
        if answer:
            self.asked_at = now
        writer.send(self.machines[self.machine()].address, Poll(self.session, number, answer, gap, positions))

    def next_number(self, now: float) -> int:
        """Return the number of the next message and record its send time for the echo."""
        self.number += 1
        self.sent_at[self.number] = now
        self.sent_at.pop(self.number - MAX_TRACKED_MESSAGES, None)
        return self.number

    def leave(self, writer: SubscriberOutput) -> None:
        """Unsubscribe at a planned shutdown, so that no entry waits for this router."""
        for _ in range(2):  # sent twice, since a datagram may be lost
            writer.send(self.machines[self.machine()].address, Leave(self.session))
