"""Guards against attempts that give servers more time than their clients have left.

In a soak test, requests that arrived on new connections while a router was stopped were forwarded with
nearly their whole time. After a stall, input counted as received at the start of the stall for four passes
of the loop only, and connections in the accept backlog take more passes than that. The test opens three
hundred connections during one stop.
"""

import asyncio
import time

from tests.crossings.test_sockets import RawClient
from tests.standstill.program import WARM_UP_FIRST_ID, run_cases
from tests.test_service import until

SILENT, REQUESTING = 300, 6  # connections; the silent ones are accepted first
ALLOW_S, STOPPED_S = 2.0, 0.6
SLACK_S = 0.15  # tolerated excess of the time given to a server


def test_time_in_the_accept_backlog_counts_against_the_request(tmp_path):
    async def overstated_attempts(router):
        await router.warm_up()
        await router.stop_now()
        stopped_at = time.monotonic()
        request_ids = range(2 * WARM_UP_FIRST_ID, 2 * WARM_UP_FIRST_ID + REQUESTING)
        clients = [RawClient(router.address) for _ in range(SILENT)]
        clients += [
            RawClient(router.address)
            .add_requests(request_id, allow=str(int(1000 * ALLOW_S)), lookup=f"{request_id:016x}")
            .send()
            for request_id in request_ids
        ]
        sent_at = time.monotonic()
        await asyncio.sleep(STOPPED_S - (sent_at - stopped_at))
        await router.resume()
        # most requests are rejected because of the overload
        await until(lambda: any(router.attempts_for(request_id) for request_id in request_ids[-30:]))
        await asyncio.sleep(0.3)
        overstated = 0
        for request_id in request_ids:
            for at, fields in zip(router.attempts_for(request_id), router.fields_for(request_id)):
                remaining_s = sent_at + ALLOW_S - at
                overstated += int(fields["patience"]) / 1000.0 > remaining_s + SLACK_S
        for client in clients:
            client.close()
        return overstated

    assert run_cases(overstated_attempts, tmp_path, ()) == {(): 0}
