"""A control machine as a process: joins a ControlNode to UDP and to a command channel."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING

from brookhinge.clock import steady
from brookhinge.engine.events import Event, ObjectsPurged
from brookhinge.net.command_channel import CommandChannel
from brookhinge.purgelog.client import PROCESS_BITS, machines_of
from brookhinge.purgelog.control import ControlNode
from brookhinge.purgelog.endpoint import Endpoint
from brookhinge.purgelog.intake import Intake
from brookhinge.purgelog.messages import Entry, Kind, Message

if TYPE_CHECKING:
    from brookhinge.operator.settings import Control
    from brookhinge.purgelog.interfaces import Address, LogFunction

RETRY_S = 0.1  # for an entry that could not be appended while no majority answered


class ControlServer(Endpoint):
    """One control machine, by its name among the blocks `control` of the operator's file."""

    def __init__(self, name: str, controls: dict[str, Control], log: LogFunction):
        block = controls[name]
        super().__init__(block.site, block.key, 1 + secrets.randbits(PROCESS_BITS), log)
        self.block, self.machines = block, machines_of(controls)
        self.number = sorted(controls).index(name)
        self.node = self.channel = self.following = None
        self.figures = None  # the server of its figures
        self.intake = Intake(name, sorted(controls))
        self.started_at = time.time()
        self.serving = False
        self.epoch = 0

    async def start(self) -> Address:
        """Binds and begins to serve; (host, port)."""
        address = await self.open(self.block.listen)
        self.node = ControlNode(self.number, self.machines, self.process, self.block.proof_s, steady())
        if self.block.channel:
            self.channel = CommandChannel(self.take_command, self.log, self.block.channel, 0, self.started_at)
            self.following = asyncio.get_running_loop().create_task(self.channel.run())
        if self.block.metrics:
            from brookhinge.metrics import publish
            from brookhinge.purgelog.metrics import ControlFigures

            self.figures, _ = publish(ControlFigures(self), self.block.metrics)
        self.log("purge log", change="listening", address=f"{address[0]}:{address[1]}")
        self.turn()
        return address

    def take_command(self, command: Event) -> None:
        """Take a command of the command channel; only purges count here.

        What stood there before this process started is not appended again.
        """
        if not isinstance(command, ObjectsPurged):
            return
        key = command.object_key
        stamp_ms = round(1000 * (command.purged_at + self.started_at))
        entry = Entry(Kind.PURGE, key, -1 if key else command.purge_group, stamp_ms)
        self.intake.receive(steady(), entry)
        self.turn()

    def receive(self, now: float, sender: int, address: Address, message: Message) -> None:
        """Hand a message to the node."""
        self.node.receive(now, sender, address, message, self)

    def tick(self, now: float) -> None:
        """Let the node do what is due, and append purges of the channel."""
        self.node.tick(now, self)
        for entry in self.intake.due(now, self.node.has):
            if self.node.submit(now, entry, self) is None:
                self.intake.waiting[entry] = now + RETRY_S
        self.say()

    def say(self) -> None:
        """Logs when this machine begins to serve, and each epoch of its log."""
        epoch = self.node.replication.epoch
        if self.node.serving and not self.serving:
            self.serving = True
            self.log("purge log", change="serving")
        if epoch != self.epoch:
            self.epoch = epoch
            self.log("purge log", change="epoch opened" if epoch else "epoch over", epoch=epoch)

    def next_at(self, now: float) -> float:
        """Return when a tick is due."""
        return min(self.node.next_at(now), self.intake.next_at(now))

    def stop(self) -> None:
        """Stop following the channel and close."""
        if self.following is not None:
            self.following.cancel()
            self.channel.close()
        if self.figures is not None:
            self.figures.shutdown()
        self.close()
