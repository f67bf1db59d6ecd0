"""Servers were told of more time than the clients had left.

Seen in a soak: requests on new connections, sent while a router was stopped, were passed on with nearly their whole time. How it came
about: after a stall what is read counts as come at its beginning, for four passes of the loop; connections that wait to be accepted take
more passes than that. Cause: passes were counted to guess when all that lay there had been read. What proved it: three hundred
connections that come up during one stop."""

import asyncio
import time

from tests.crossings.test_sockets import Raw
from tests.standstill.program import WARMING, played
from tests.test_service import until

SILENT, ASKING = 300, 6  # connections: those that say nothing are accepted first
ALLOW_S, STOPPED_S = 2.0, 0.6
SLACK_S = 0.15  # by the terms


def test_servers_are_told_what_is_left_of_requests_that_wait_to_be_accepted(tmp_path):
    async def overstated(program):
        await program.warm()
        await program.stop_now()
        began = time.monotonic()
        numbers = range(2 * WARMING, 2 * WARMING + ASKING)
        clients = [Raw(program.address) for _ in range(SILENT)]
        clients += [
            Raw(program.address).asks(number, allow=str(int(1000 * ALLOW_S)), lookup=f"{number:016x}").send()
            for number in numbers
        ]
        sent_at = time.monotonic()
        await asyncio.sleep(STOPPED_S - (sent_at - began))
        await program.go_on()
        await until(
            lambda: any(program.attempts_for(number) for number in numbers[-30:])
        )  # most are refused: a crowd
        await asyncio.sleep(0.3)
        over = 0
        for number in numbers:
            for at, fields in zip(program.attempts_for(number), program.fields_for(number)):
                left_s = sent_at + ALLOW_S - at
                over += int(fields["patience"]) / 1000.0 > left_s + SLACK_S
        for client in clients:
            client.close()
        return over

    assert played(overstated, tmp_path, ()) == {(): 0}
