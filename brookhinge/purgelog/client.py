"""The router's end of the purge log: joins a Subscriber to UDP, and hands entries and rules to the reducer."""

import math
import random
import secrets

from brookhinge.clock import steady
from brookhinge.engine.events import CopyRuleChanged, PurgeLogEntryRead
from brookhinge.purgelog.control import Machine
from brookhinge.purgelog.endpoint import Endpoint
from brookhinge.purgelog.subscriber import CopyRule, Subscriber

PROCESS_BITS = 31  # five bytes in a datagram


def machines_of(controls):
    """The control machines that an operator's file names, in the order in which every process numbers them."""
    return [
        Machine(name, block.advertise or block.listen, block.region, block.serves)
        for name, block in sorted(controls.items())
    ]


class LogClient(Endpoint):
    """block: `fleet` of the operator's file; controls: its blocks `control` by name; event(event) takes
    PurgeLogEntryRead and CopyRuleChanged; log(event, **values)."""

    def __init__(self, block, controls, event, log):
        super().__init__(block.site, block.key, 1 + secrets.randbits(PROCESS_BITS), log)
        self.block, self.event, self.machines = block, event, machines_of(controls)
        self.proof_s = min(control.proof_s for control in controls.values())
        self.fed = any(control.channel for control in controls.values())
        self.subscriber, self.machine = None, None

    async def start(self):
        """Binds and begins to read; (host, port)."""
        address = await self.open(self.block.log_listen or (self.block.listen[0], 0))
        chance = random.Random(self.process)
        self.subscriber = Subscriber(
            self.block.name,
            self.machines,
            self.proof_s,
            chance,
            steady(),
            self.block.region,
            self.block.log_advertise,
        )
        self.log("purge log", change="listening", address="%s:%d" % address)
        self.turn()
        return address

    def receive(self, now, sender, address, message):
        self.subscriber.receive(now, message, self)

    def tick(self, now):
        self.subscriber.tick(now, self)
        if self.subscriber.subscribed and self.machine != self.subscriber.machine():
            self.machine = self.subscriber.machine()
            self.log("purge log", change="reads at", machine=self.machines[self.machine].name)

    def next_at(self, now):
        return self.subscriber.next_at()

    def replaces_notices(self):
        """Whether peers need not be told of the command channel's purges: all read them in the log, proven complete."""
        if self.block.purge_notices or not self.fed or self.subscriber is None:
            return False
        return not self.subscriber.stale

    def stop(self):
        """Tells the control machine that this router ends, and closes."""
        if self.subscriber is not None:
            self.subscriber.leave(self)
        self.close()

    # the subscriber's writer, beside send

    def entry(self, entry):
        self.event(PurgeLogEntryRead(entry.kind, entry.text, entry.number, entry.stamp_ms))

    def copies(self, rule, purges):
        self.event(CopyRuleChanged(rule, purges))
        first = self.subscriber.proven_at == -math.inf
        if not (first and rule is CopyRule.RESET):
            self.log("purge log", change=rule.name.lower(), why=rule.value)

    # before a round of the decisions

    def before(self):
        """A proof that has ended ends before the decisions that would use it."""
        if self.subscriber is not None and not self.closed():
            self.subscriber.end_proof(steady(), self)
