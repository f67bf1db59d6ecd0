"""Asks a control machine over UDP to append a purge, and how far it has got."""

import asyncio
import secrets
import time

from brookhinge.purgelog.codec import Codec
from brookhinge.purgelog.messages import Entry, Kind, Status, StatusRequest, Submit
from brookhinge.purgelog.progress import Outcome

ANSWER_S = 0.5
POLL_S = 0.05


class NotAppended(Exception):
    """The control machine did not answer, or has no majority."""


class Asker(asyncio.DatagramProtocol):
    """One question at a time, asked again until it is answered."""

    def __init__(self, block):
        self.codec = Codec(block.site, block.key, 1 + secrets.randbits(31))
        self.answers = asyncio.Queue()
        self.number = 0
        self.transport = None

    def datagram_received(self, data, address):
        received = self.codec.read(data)
        if received is not None and isinstance(received[1], Status):
            self.answers.put_nowait(received[1])

    def error_received(self, fault):
        """Nobody listens there: silence says the same."""

    async def ask(self, question, until):
        """The Status that answers question(number); NotAppended when none comes in time. A question that is asked again
        has the same number, and a purge appended twice does no harm."""
        self.number += 1
        while time.monotonic() < until:
            self.transport.sendto(self.codec.write(question(self.number)))
            try:
                while True:
                    status = await asyncio.wait_for(self.answers.get(), ANSWER_S)
                    if status.number == self.number:
                        return status
            except TimeoutError:
                continue
        raise NotAppended("no answer: not up, another key, or another site")

    async def ask_or(self, status, question, until):
        """The answer, or the status known so far when none comes in time."""
        try:
            return await self.ask(question, until)
        except NotAppended:
            return status


async def submit(block, key, group, wait_s):
    """Appends a purge at the control machine of that block; (seconds, last Status) once it is in force or the time over."""
    began = time.monotonic()
    until = began + wait_s
    asker = Asker(block)
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: asker, remote_addr=block.listen
    )
    asker.transport = transport
    entry = Entry(Kind.PURGE, key, group, round(1000 * time.time()))
    try:
        status = await asker.ask(lambda number: Submit(number, entry), until)
        if not status.epoch:
            raise NotAppended("it has no majority of the control machines")
        position = status.epoch, status.index
        while status.outcome == Outcome.PENDING and time.monotonic() < until:
            await asyncio.sleep(POLL_S)
            status = await asker.ask_or(status, lambda number: StatusRequest(number, *position), until)
        return time.monotonic() - began, status
    finally:
        transport.close()
