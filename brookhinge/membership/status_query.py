"""An onlooker's question to one router: what it believes of its fleet. The onlooker joins nothing."""

import asyncio
import random
import time

from brookhinge.membership.codec import Codec

TRIES, WAIT_S = 4, 0.4
MEMBERS, LIMITS, VERDICTS = range(3)  # what can be asked for


class Onlooker(asyncio.DatagramProtocol):
    def __init__(self, codec):
        self.codec, self.answers = codec, asyncio.Queue()

    def datagram_received(self, data, address):
        message = self.codec.read(data)
        if message is not None and message[4] == "seen":
            self.answers.put_nowait(message)


async def look(address, site, key, what=MEMBERS):
    """(rows, digest) of the router that listens at address, in order; None if nothing answers. Rows of members: (member,
    state, seconds since, by whose claim, zone, address); of limits and verdicts as their cores' `shown` says. A view that
    changes while it is read is read again."""
    uid = random.getrandbits(62)
    codec = Codec(site, key)
    transport, onlooker = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Onlooker(codec), remote_addr=address
    )
    me = ("?", uid, 0, 0, 0, *transport.get_extra_info("sockname")[:2], "", 1, 0.0)
    rows, tries, digest = [], 0, None
    try:
        while tries < TRIES:
            transport.sendto(codec.write(me, 0, "look", (len(rows), what), [], []))
            end = time.monotonic() + WAIT_S
            try:
                _, seen, _, shown, _, (at, total) = await asyncio.wait_for(
                    onlooker.answers.get(), max(0.01, end - time.monotonic())
                )
            except TimeoutError:
                tries += 1
                continue
            if digest not in (None, seen) and rows:
                rows, digest, tries = [], None, tries + 1
                continue
            digest = seen
            if at == len(rows):
                rows += shown
            if len(rows) >= total:
                return sorted(rows), digest
        return None
    finally:
        transport.close()
