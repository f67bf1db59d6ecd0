"""Client that submits a purge to a control machine over UDP and polls its status."""

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

RETRY_S = 0.5  # until an unanswered request is sent again
POLL_S = 0.05  # between two status requests


class NotAppendedError(Exception):
    """The control machine did not answer or has no majority, so the purge was not appended."""


class StatusClient(asyncio.DatagramProtocol):
    """Sends one request at a time and repeats it until it is answered."""

    def __init__(self, block: Control):
        self.codec = Codec(block.site, block.key, 1 + secrets.randbits(31))
        self.answers = asyncio.Queue()
        self.number = 0
        self.transport = None

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Queue a status response."""
        received = self.codec.read(data)
        if received is not None and isinstance(received[1], Status):
            self.answers.put_nowait(received[1])

    def error_received(self, fault: Exception) -> None:
        """Ignore the error: an unreachable machine shows by its missing answers."""

    async def ask(self, build_request: Callable[[int], Submit | StatusRequest], deadline: float) -> Status:
        """Send `build_request(number)` until it is answered, and return the Status.

        A repeated request keeps its number. A purge that is appended twice is harmless.

        Raises:
            NotAppendedError: no answer arrived before the deadline.
        """
        self.number += 1
        while time.monotonic() < deadline:
            self.transport.sendto(self.codec.write(build_request(self.number)))
            try:
                while True:
                    status = await asyncio.wait_for(self.answers.get(), RETRY_S)
                    if status.number == self.number:
                        return status
            except TimeoutError:
                continue
        raise NotAppendedError("no answer: it is down or uses a different key or site")

    async def ask_or_keep(
        self, status: Status, build_request: Callable[[int], Submit | StatusRequest], deadline: float
    ) -> Status:
        """Return the answer, or `status` if none arrives before the deadline."""
        try:
            return await self.ask(build_request, deadline)
        except NotAppendedError:
            return status


async def submit(block: Control, key: str, group: int, wait_s: float) -> tuple[float, Status]:
    """Append a purge and wait up to `wait_s` seconds until it is in force.

    Returns:
        Elapsed seconds and the last Status.

    Raises:
        NotAppendedError: the control machine did not answer or has no majority.
    """
    started_at = time.monotonic()
    deadline = started_at + wait_s
    client = StatusClient(block)
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: client, remote_addr=block.listen
    )
    client.transport = transport
    entry = Entry(Kind.PURGE, key, group, round(1000 * time.time()))
    try:
        status = await client.ask(lambda number: Submit(number, entry), deadline)
        if not status.epoch:
            raise NotAppendedError("it cannot reach a majority of the control machines")
        position = status.epoch, status.index
        while status.outcome == Outcome.PENDING and time.monotonic() < deadline:
            await asyncio.sleep(POLL_S)
            status = await client.ask_or_keep(
                status, lambda number: StatusRequest(number, *position), deadline
            )
        return time.monotonic() - started_at, status
    finally:
        transport.close()
