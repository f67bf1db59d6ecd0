"""Control machine process: runs a ControlNode on UDP and a command channel."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING

from brookhinge.clock import steady
from brookhinge.engine.events import Event, ObjectsPurged
from brookhinge.net.verified_channel import VerifiedChannel
from brookhinge.purgelog.client import PROCESS_BITS, machines_of
from brookhinge.purgelog.control import ControlNode
from brookhinge.purgelog.endpoint import Endpoint
from brookhinge.purgelog.intake import Intake
from brookhinge.purgelog.messages import Entry, Kind, Message

if TYPE_CHECKING:
    from brookhinge.operator.settings import Control
    from brookhinge.purgelog.interfaces import Address, LogFunction

RETRY_S = 0.1  # until an entry that could not be appended for lack of a majority is tried again


class ControlServer(Endpoint):
    """One control machine.

    Attributes:
        epoch: epoch of the own log that was logged last; 0: none was open.
        knows_retained: whether all retained purges were known when that was logged last.
        intake: purges of the command channel that are not appended yet.
    """

    def __init__(self, name: str, controls: dict[str, Control], log: LogFunction):
        block = controls[name]
        super().__init__(block.site, block.key, 1 + secrets.randbits(PROCESS_BITS), log)
        self.block, self.machines = block, machines_of(controls)
        self.number = sorted(controls).index(name)
        self.node = self.channel = self.channel_task = None
        self.metrics_server = None
        self.intake = Intake(name, sorted(controls))
        self.started_at = time.time()
        self.serving = False
        self.epoch = 0
        self.knows_retained = False

    async def start(self) -> Address:
        """Bind the socket and start serving; return the bound address."""
        address = await self.open(self.block.listen)
        self.node = ControlNode(self.number, self.machines, self.process, self.block.proof_s, steady())
        if self.block.channel:
            self.channel = VerifiedChannel(
                self.take_command,
                self.log,
                self.block.channel,
                self.started_at,
                on_gap=lambda reason: self.log("channel gap", why=reason),
                on_current=lambda: None,
            )
            self.channel_task = asyncio.get_running_loop().create_task(self.channel.run())
        if self.block.metrics:
            from brookhinge.metrics import publish
            from brookhinge.purgelog.metrics import ControlMetricsCollector

            self.metrics_server, _ = publish(ControlMetricsCollector(self), self.block.metrics)
        self.log("purge log", change="listening", address=f"{address[0]}:{address[1]}")
        self.run_due_actions()
        return address

    def take_command(self, command: Event) -> None:
        """Queue a purge of the command channel; other commands are ignored.

        The channel does not send purges from before the first poll, so a restart appends none again.
        """
        if not isinstance(command, ObjectsPurged):
            return
        key = command.object_key
        stamp_ms = round(1000 * (command.purged_at + self.started_at))
        entry = Entry(Kind.PURGE, key, -1 if key else command.purge_group, stamp_ms)
        self.intake.receive(steady(), entry)
        self.run_due_actions()

    def receive(self, now: float, sender: int, address: Address, message: Message) -> None:
        """Pass a message to the node."""
        self.node.receive(now, sender, address, message, self)

    def tick(self, now: float) -> None:
        """Run the due actions of the node and append due purges of the command channel."""
        self.node.tick(now, self)
        for entry in self.intake.due(now, self.node.has):
            if self.node.submit(now, entry, self) is None:
                self.intake.waiting[entry] = now + RETRY_S
        self.log_changes()

    def log_changes(self) -> None:
        """Log the start of serving and each change of the own log's epoch."""
        epoch = self.node.replication.epoch
        if self.node.serving and not self.serving:
            self.serving = True
            self.log("purge log", change="serving")
        if epoch != self.epoch:
            self.epoch = epoch
            self.log("purge log", change="epoch opened" if epoch else "epoch over", epoch=epoch)
        retained = self.node.retained
        if retained.is_complete != self.knows_retained:
            self.knows_retained = retained.is_complete
            self.log(
                "purge log",
                change="retained" if retained.is_complete else "retained unknown",
                **retained.purges.figures(steady()),
            )

    def next_at(self, now: float) -> float:
        """Return the time of the next tick."""
        return min(self.node.next_at(now), self.intake.next_at(now))

    def stop(self) -> None:
        """Stop reading the command channel and close the socket."""
        if self.channel_task is not None:
            self.channel_task.cancel()
            self.channel.close()
        if self.metrics_server is not None:
            self.metrics_server.shutdown()
        self.close()
