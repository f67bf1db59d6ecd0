"""Status queries: an observer asks one router what it believes, without joining the fleet."""

import asyncio
import random
import time
from typing import NamedTuple

from brookhinge.membership.claims import Claim, MemberState
from brookhinge.membership.codec import Codec
from brookhinge.membership.local_member import INCARNATION_ID_BITS
from brookhinge.membership.messages import Received, StatusRequest, StatusResponse, StatusTopic

MAX_UNANSWERED = 4
ANSWER_TIMEOUT_S = 0.4
LEAST_WAIT_S = 0.01
OBSERVER_NAME = "?"  # names of members never begin with it


class Status(NamedTuple):
    """All rows of one topic, in order, and the digest of the router's view."""

    rows: list[list]
    digest: int


class Observer(asyncio.DatagramProtocol):
    """Queues the status responses that come."""

    def __init__(self, codec: Codec) -> None:
        self.codec = codec
        self.responses: asyncio.Queue[Received] = asyncio.Queue()

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Queue a status response; anything else is dropped."""
        received = self.codec.read(data)
        if received is not None and isinstance(received.message, StatusResponse):
            self.responses.put_nowait(received)


async def query_status(
    address: tuple[str, int], site: str, key: bytes, topic: StatusTopic = StatusTopic.MEMBERS
) -> Status | None:
    """Read all rows of a topic from the router at an address; None if nothing answers.

    Rows of members: (member, state, seconds since, by whose claim, zone, address); of limits and verdicts
    as their cores' `status_rows` says. A view that changes while it is read is read again.
    """
    codec = Codec(site, key)
    transport, observer = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Observer(codec), remote_addr=address
    )
    host, port = transport.get_extra_info("sockname")[:2]
    incarnation_id = random.getrandbits(INCARNATION_ID_BITS)
    claim = Claim(OBSERVER_NAME, incarnation_id, 0, 0, MemberState.ALIVE, host, port, "", 1, 0.0)
    try:
        return await _read_rows(transport, observer, claim, topic)
    finally:
        transport.close()


async def _read_rows(
    transport: asyncio.DatagramTransport, observer: Observer, claim: Claim, topic: StatusTopic
) -> Status | None:
    rows: list[list] = []
    unanswered = 0
    digest = None
    while unanswered < MAX_UNANSWERED:
        transport.sendto(observer.codec.write(claim, 0, StatusRequest(len(rows), topic), [], []))
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        try:
            received = await asyncio.wait_for(
                observer.responses.get(), max(LEAST_WAIT_S, deadline - time.monotonic())
            )
        except TimeoutError:
            unanswered += 1
            continue
        if digest not in (None, received.digest) and rows:
            rows = []
            digest = None
            unanswered += 1
            continue
        digest = received.digest
        if received.message.offset == len(rows):
            rows += received.notices
        if len(rows) >= received.message.total:
            return Status(sorted(rows), digest)
    return None
