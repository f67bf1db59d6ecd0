"""Asks a control machine over UDP to append a purge, and how far it has got."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from brookhinge.purgelog.codec import Codec
from brookhinge.purgelog.messages import Entry, Kind, Status, StatusRequest, Submit
from brookhinge.purgelog.progress import Outcome

if TYPE_CHECKING:
    from brookhinge.operator.settings import Control
    from brookhinge.purgelog.interfaces import Address

ANSWER_S = 0.5
POLL_S = 0.05


class NotAppendedError(Exception):
    """The control machine did not answer, or has no majority."""


class Asker(asyncio.DatagramProtocol):
    """One question at a time, asked again until it is answered."""

    def __init__(self, block: Control):
        self.codec = Codec(block.site, block.key, 1 + secrets.randbits(31))
        self.answers = asyncio.Queue()
        self.number = 0
        self.transport = None

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Queue a status."""
        received = self.codec.read(data)
        if received is not None and isinstance(received[1], Status):
            self.answers.put_nowait(received[1])

    def error_received(self, fault: Exception) -> None:
        """Nobody listens there: silence says the same."""

    async def ask(self, question: Callable[[int], Submit | StatusRequest], until: float) -> Status:
        """Return the Status that answers question(number).

        A question that is asked again has the same number, and a purge that is appended twice does no harm.

        Raises:
            NotAppendedError: no answer came in time.
        """
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
        raise NotAppendedError("no answer: not up, another key, or another site")

    async def ask_or(
        self, status: Status, question: Callable[[int], Submit | StatusRequest], until: float
    ) -> Status:
        """The answer, or the status known so far when none comes in time."""
        try:
            return await self.ask(question, until)
        except NotAppendedError:
            return status


async def submit(block: Control, key: str, group: int, wait_s: float) -> tuple[float, Status]:
    """Append a purge and wait until it is in force or `wait_s` is over.

    Returns:
        Seconds taken and the last Status.

    Raises:
        NotAppendedError: the control machine did not answer or has no majority.
    """
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
            raise NotAppendedError("it has no majority of the control machines")
        position = status.epoch, status.index
        while status.outcome == Outcome.PENDING and time.monotonic() < until:
            await asyncio.sleep(POLL_S)
            status = await asker.ask_or(status, lambda number: StatusRequest(number, *position), until)
        return time.monotonic() - began, status
    finally:
        transport.close()
