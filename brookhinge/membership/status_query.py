"""Status queries: an observer reads the state of one router without joining the fleet."""

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
MIN_WAIT_S = 0.01
OBSERVER_NAME = "?"  # member names never start with this character


class Status(NamedTuple):
    """All rows of one topic, sorted, and the digest of the router's view."""

    rows: list[list]
    digest: int


class Observer(asyncio.DatagramProtocol):
    """Queues the status responses that are received."""

    def __init__(self, codec: Codec) -> None:
        self.codec = codec
        self.responses: asyncio.Queue[Received] = asyncio.Queue()

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Queue a status response; drop any other datagram."""
        received = self.codec.read(data)
        if received is not None and isinstance(received.message, StatusResponse):
            self.responses.put_nowait(received)


async def query_status(
    address: tuple[str, int], site: str, key: bytes, topic: StatusTopic = StatusTopic.MEMBERS
) -> Status | None:
    """Read all rows of a topic from the router at an address; return None if it does not answer.

    Rows of members are (member, state, seconds in this state, reporter, zone, address). Rows of limits and
    verdicts are described at `status_rows` of their cores. If the view changes between two responses,
    reading starts again.
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
                observer.responses.get(), max(MIN_WAIT_S, deadline - time.monotonic())
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
