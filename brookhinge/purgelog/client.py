"""Router end of the purge log: connects a Subscriber to UDP and to the router's engine."""

from __future__ import annotations

import math
import random
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING

from brookhinge.clock import steady
from brookhinge.engine.events import (
    CopyRuleChanged,
    PurgeKnowledgeChanged,
    PurgeLogEntryRead,
    RetainedPurgesRead,
)
from brookhinge.purgelog.control import Machine
from brookhinge.purgelog.endpoint import Endpoint
from brookhinge.purgelog.subscriber import Subscriber
from brookhinge.purgelog.subscription import CopyRule

if TYPE_CHECKING:
    from brookhinge.operator.settings import Control, Fleet
    from brookhinge.purgelog.backfill import PurgeSet
    from brookhinge.purgelog.interfaces import Address, LogFunction
    from brookhinge.purgelog.messages import Entry, Message
    from brookhinge.purgelog.retained_reader import RetainedUpdate

PROCESS_BITS = 31  # a process id takes five bytes in a datagram


def machines_of(controls: dict[str, Control]) -> list[Machine]:
    """Return the control machines of an operator's file, in the order by which every process numbers them."""
    return [
        Machine(name, block.advertise or block.listen, block.region, block.serves)
        for name, block in sorted(controls.items())
    ]


class LogClient(Endpoint):
    """Purge log client of one router."""

    def __init__(
        self, block: Fleet, controls: dict[str, Control], event: Callable[..., None], log: LogFunction
    ):
        """Create a client that is not connected yet.

        Args:
            block: `fleet` block of the operator's file.
            controls: `control` blocks of that file by name.
            event: posts PurgeLogEntryRead and CopyRuleChanged to the router's next round.
            log: called as log(event, **values).
        """
        super().__init__(block.site, block.key, 1 + secrets.randbits(PROCESS_BITS), log)
        self.block, self.event, self.machines = block, event, machines_of(controls)
        self.proof_s = min(control.proof_s for control in controls.values())
        self.has_channel = any(control.channel for control in controls.values())
        self.subscriber = None
        self.machine = None

    async def start(self) -> Address:
        """Bind the socket and start reading; return the bound address."""
        address = await self.open(self.block.log_listen or (self.block.listen[0], 0))
        self.event(PurgeKnowledgeChanged(False, self.proof_s))
        rng = random.Random(self.process)
        self.subscriber = Subscriber(
            self.block.name,
            self.machines,
            self.proof_s,
            rng,
            steady(),
            self.block.region,
            self.block.log_advertise,
        )
        self.log("purge log", change="listening", address=f"{address[0]}:{address[1]}")
        self.run_due_actions()
        return address

    def receive(self, now: float, sender: int, address: Address, message: Message) -> None:
        """Pass a message to the subscriber."""
        self.subscriber.receive(now, message, self)

    def tick(self, now: float) -> None:
        """Run the due actions of the subscriber and log a change of control machine."""
        self.subscriber.tick(now, self)
        if self.subscriber.subscribed and self.machine != self.subscriber.machine():
            self.machine = self.subscriber.machine()
            self.log("purge log", change="reads at", machine=self.machines[self.machine].name)

    def next_at(self, now: float) -> float:
        """Return the time of the next tick."""
        return self.subscriber.next_at()

    def replaces_notices(self) -> bool:
        """Whether purge notices between peers are unnecessary.

        They are while a command channel feeds the log and this router has a valid proof.
        """
        if self.block.purge_notices or not self.has_channel or self.subscriber is None:
            return False
        return not self.subscriber.stale

    def stop(self) -> None:
        """Unsubscribe and close the socket."""
        if self.subscriber is not None:
            self.subscriber.leave(self)
        self.close()

    # SubscriberOutput, except send

    def apply_entry(self, entry: Entry) -> None:
        """Post a new entry to the engine."""
        self.event(PurgeLogEntryRead(entry.kind, entry.text, entry.number, entry.stamp_ms, entry.retained))

    def apply_copy_rule(self, rule: CopyRule, purges: PurgeSet | None) -> None:
        """Post a rule for the router's own copies to the engine and log it."""
        self.event(CopyRuleChanged(rule, purges))
        first = self.subscriber.proven_at == -math.inf
        if not (first and rule is CopyRule.RESET):
            self.log("purge log", change=rule.name.lower(), why=rule.value)

    def apply_retained(self, update: RetainedUpdate) -> None:
        """Post retained purges to the engine, and log that all are known."""
        if update.purges or update.floor_age_s is not None:
            self.event(RetainedPurgesRead(update.purges, update.floor_age_s))
        retained = self.subscriber.retained
        if retained.is_complete:
            self.log("purge log", change="retained", **retained.purges.figures(steady()))

    def apply_knowledge(self, is_complete: bool) -> None:
        """Post to the engine whether all purges that caches are not told of are known."""
        self.event(PurgeKnowledgeChanged(is_complete, self.proof_s))
        if not is_complete:
            self.log("purge log", change="retained unknown", max_age_s=self.proof_s)

    # called before each round

    def expire_proof(self) -> None:
        """Expire an outdated proof before the round that would use it."""
        if self.subscriber is not None and not self.closed():
            self.subscriber.expire_proof(steady(), self)
