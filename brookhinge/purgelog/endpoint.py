"""Runs a core of the purge log on UDP and an asyncio loop."""

import asyncio

from brookhinge.clock import steady
from brookhinge.purgelog.codec import Codec, TooLongError
from brookhinge.purgelog.interfaces import Address, LogFunction
from brookhinge.purgelog.messages import Message

DROPPED_LOG_INTERVAL_S = 10.0  # between two log lines about dropped datagrams
MIN_WAIT_S = 0.001


class Endpoint(asyncio.DatagramProtocol):
    """UDP socket and timer, common to routers and control machines.

    A subclass implements `receive(now, sender, address, message)`, `tick(now)` and `next_at(now)`. Times are
    seconds of a clock that also advances while the computer sleeps.
    """

    def __init__(self, site: str, key: bytes, process: int, log: LogFunction):
        self.log = log
        self.process = process
        self.codec = Codec(site, key, process)
        self.transport = self.timer = None
        self.dropped = {}
        self.next_drop_log_at = 0.0

    async def open(self, listen: Address) -> Address:
        """Bind the socket and return its address."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=listen)
        return self.transport.get_extra_info("sockname")[:2]

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Pass the message of a datagram to the core."""
        received = self.codec.read(data)
        if received is not None and not self.closed():
            sender, message = received
            self.receive(steady(), sender, address, message)
            self.run_due_actions()

    def error_received(self, fault: Exception) -> None:
        """Ignore the error: an unreachable peer shows by its missing answers."""

    def run_due_actions(self) -> None:
        """Run the due actions and set a timer for the next ones."""
        if self.closed():
            return
        now = steady()
        self.tick(now)
        self.log_dropped(now)
        if self.timer is not None:
            self.timer.cancel()
        wait = max(MIN_WAIT_S, self.next_at(now) - now)
        self.timer = asyncio.get_running_loop().call_later(wait, self.run_due_actions)

    def log_dropped(self, now: float) -> None:
        """Log the counts of dropped datagrams when they have changed, at intervals."""
        if now < self.next_drop_log_at:
            return
        self.next_drop_log_at = now + DROPPED_LOG_INTERVAL_S
        dropped = {
            reason: self.codec.counts[reason] for reason in ("torn", "forged", "repeated", "unreadable")
        }
        if dropped != self.dropped and any(dropped.values()):
            self.log("purge log", change="dropped", **dropped)
        self.dropped = dropped

    def send(self, address: Address, message: Message) -> None:
        """Send a message; one that is too long is logged and dropped."""
        if self.closed():
            return
        try:
            self.transport.sendto(self.codec.write(message), address)
        except TooLongError as fault:
            self.log("purge log", change="too long", why=str(fault))

    def closed(self) -> bool:
        """Whether the socket is not open."""
        return self.transport is None or self.transport.is_closing()

    def close(self) -> None:
        """Close the socket and stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
