"""A core of the purge log on UDP and an asyncio loop: datagrams in, the core's calls, datagrams out. Decides nothing."""

import asyncio

from brookhinge.clock import steady
from brookhinge.purgelog.codec import Codec, TooLong

LOG_S = 10.0  # between two lines of datagrams that were dropped
LEAST_WAIT_S = 0.001


class Endpoint(asyncio.DatagramProtocol):
    """What router and control machine share. A subclass has `receive(now, sender, address, message)`, `tick(now)` and
    `next_at(now)`; times are seconds of a clock that goes on while the machine sleeps."""

    def __init__(self, site, key, process, log):
        self.log = log
        self.process = process
        self.codec = Codec(site, key, process)
        self.transport = self.timer = None
        self.dropped = {}
        self.log_at = 0.0

    async def open(self, listen):
        """Binds the socket; (host, port)."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=listen)
        return self.transport.get_extra_info("sockname")[:2]

    def datagram_received(self, data, address):
        received = self.codec.read(data)
        if received is not None and not self.closed():
            sender, message = received
            self.receive(steady(), sender, address, message)
            self.turn()

    def error_received(self, fault):
        """Nobody listens there: silence says the same."""

    def turn(self):
        """What is due now, and a timer for what is due next."""
        if self.closed():
            return
        now = steady()
        self.tick(now)
        self.log_dropped(now)
        if self.timer is not None:
            self.timer.cancel()
        wait = max(LEAST_WAIT_S, self.next_at(now) - now)
        self.timer = asyncio.get_running_loop().call_later(wait, self.turn)

    def log_dropped(self, now):
        """Tells at times what came that could not be used."""
        if now < self.log_at:
            return
        self.log_at = now + LOG_S
        dropped = {
            reason: self.codec.counts[reason] for reason in ("torn", "forged", "repeated", "unreadable")
        }
        if dropped != self.dropped and any(dropped.values()):
            self.log("purge log", change="dropped", **dropped)
        self.dropped = dropped

    def send(self, address, message):
        """The cores' writer."""
        if self.closed():
            return
        try:
            self.transport.sendto(self.codec.write(message), address)
        except TooLong as fault:
            self.log("purge log", change="too long", why=str(fault))

    def closed(self):
        return self.transport is None or self.transport.is_closing()

    def close(self):
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
