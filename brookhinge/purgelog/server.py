"""A control machine as a process: joins a ControlNode to UDP, and a command channel to its log where there is one."""

import asyncio
import secrets
import time

from brookhinge.clock import steady
from brookhinge.net.channel import Channel
from brookhinge.purgelog.client import PROCESS_BITS, machines_of
from brookhinge.purgelog.control import ControlNode
from brookhinge.purgelog.endpoint import Endpoint
from brookhinge.purgelog.intake import Intake
from brookhinge.purgelog.messages import Entry, Kind

RETRY_S = 0.1  # for an entry that could not be appended while no majority answered


class ControlServer(Endpoint):
    """name: of this machine among `controls`, the blocks `control` of the operator's file by name."""

    def __init__(self, name, controls, log):
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

    async def start(self):
        """Binds and begins to serve; (host, port)."""
        address = await self.open(self.block.listen)
        self.node = ControlNode(self.number, self.machines, self.process, self.block.proof_s, steady())
        if self.block.channel:
            self.channel = Channel(self.told, self.log, self.block.channel, 0, self.started_at)
            self.following = asyncio.get_running_loop().create_task(self.channel.run())
        if self.block.metrics:
            from brookhinge.metrics import publish
            from brookhinge.purgelog.metrics import ControlFigures

            self.figures, _ = publish(ControlFigures(self), self.block.metrics)
        self.log("purge log", change="listening", address="%s:%d" % address)
        self.turn()
        return address

    def told(self, method, values):
        """An event of the command channel; what stood there before this process started is not appended again."""
        if method != "purged":
            return
        _, group, moment, key = values
        entry = Entry(Kind.PURGE, key, -1 if key else group, round(1000 * (moment + self.started_at)))
        self.intake.receive(steady(), entry)
        self.turn()

    def receive(self, now, sender, address, message):
        self.node.receive(now, sender, address, message, self)

    def tick(self, now):
        self.node.tick(now, self)
        for entry in self.intake.due(now, self.node.has):
            if self.node.submit(now, entry, self) is None:
                self.intake.waiting[entry] = now + RETRY_S
        self.say()

    def say(self):
        """Logs when this machine begins to serve, and each epoch of its log."""
        epoch = self.node.replication.epoch
        if self.node.serving and not self.serving:
            self.serving = True
            self.log("purge log", change="serving")
        if epoch != self.epoch:
            self.epoch = epoch
            self.log("purge log", change="epoch opened" if epoch else "epoch over", epoch=epoch)

    def next_at(self, now):
        return min(self.node.next_at(now), self.intake.next_at(now))

    def stop(self):
        if self.following is not None:
            self.following.cancel()
            self.channel.close()
        if self.figures is not None:
            self.figures.shutdown()
        self.close()
