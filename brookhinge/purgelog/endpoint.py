"""Runs a core of the purge log on UDP and an asyncio loop. Decides nothing."""

import asyncio

from brookhinge.clock import steady
from brookhinge.purgelog.codec import Codec, TooLongError
from brookhinge.purgelog.interfaces import Address, LogFunction
from brookhinge.purgelog.messages import Message

LOG_S = 10.0  # between two lines of datagrams that were dropped
LEAST_WAIT_S = 0.001


class Endpoint(asyncio.DatagramProtocol):
    """What router and control machine share.

    A subclass has `receive(now, sender, address, message)`, `tick(now)` and `next_at(now)`; times are seconds
    of a clock that goes on while the machine sleeps.
    """

    def __init__(self, site: str, key: bytes, process: int, log: LogFunction):
        self.log = log
        self.process = process
        self.codec = Codec(site, key, process)
        self.transport = self.timer = None
        self.dropped = {}
        self.log_at = 0.0

    async def open(self, listen: Address) -> Address:
        """Bind the socket and return its address."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=listen)
        return self.transport.get_extra_info("sockname")[:2]

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Hand a datagram's message to the core."""
        received = self.codec.read(data)
        if received is not None and not self.closed():
            sender, message = received
            self.receive(steady(), sender, address, message)
            self.turn()

    def error_received(self, fault: Exception) -> None:
        """Nobody listens there: silence says the same."""

    def turn(self) -> None:
        """Do what is due now and set a timer for what is due next."""
        if self.closed():
            return
        now = steady()
        self.tick(now)
        self.log_dropped(now)
        if self.timer is not None:
            self.timer.cancel()
        wait = max(LEAST_WAIT_S, self.next_at(now) - now)
        self.timer = asyncio.get_running_loop().call_later(wait, self.turn)

    def log_dropped(self, now: float) -> None:
        """Log at intervals how many datagrams could not be used."""
        if now < self.log_at:
            return
        self.log_at = now + LOG_S
        dropped = {
            reason: self.codec.counts[reason] for reason in ("torn", "forged", "repeated", "unreadable")
        }
        if dropped != self.dropped and any(dropped.values()):
            self.log("purge log", change="dropped", **dropped)
        self.dropped = dropped

    def send(self, address: Address, message: Message) -> None:
        """Send a message of the core."""
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
