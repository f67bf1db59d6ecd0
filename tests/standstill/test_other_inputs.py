"""Drains, purges, the rest of a call and SIGTERM that arrive during a stall must be read before decisions.

The fault is that of `test_client_gone.py`: after a stall, a decision or a timeout was based on the input
that was read first, while more input was still unread. Each test stops a real process.
"""

import asyncio
import signal
import time

from tests.crossings.test_sockets import RawClient
from tests.helpers import FakeCommandChannel, endpoint_list_command, host, settings
from tests.standstill.program import CACHES, run_cases
from tests.standstill.test_client_gone import POINTS, REQUEST_ID, open_request, stop_after_miss
from tests.test_service import until

BEYOND_GRACE_S = 0.8  # a drain or purge must be obeyed 0.5 s after it was sent
OLD_COPIES_S = 5.0


def drain_response(router):
    """Returns a response of the command channel that reports every cache server as draining."""
    hosts = [host(server, router.machines[server].port, health="draining") for server in CACHES]
    return FakeCommandChannel.reply(4, endpoint_list_command(4, hosts, whole=False))


async def attempts_after_drain(router, point, *earlier_responses):
    """Returns the number of attempts of an open request after its servers drained while the router was stopped."""
    client = await open_request(router)
    await stop_after_miss(router, point)
    router.commands.responses += [*earlier_responses, drain_response(router)]
    await asyncio.sleep(BEYOND_GRACE_S)
    await router.resume()
    await asyncio.sleep(0.4)
    client.close()
    return len(router.attempts_for(REQUEST_ID)) - 1


def test_no_attempt_goes_to_servers_that_drained_while_the_router_was_stopped(tmp_path):
    """The response that reports the drain is unread."""
    cases = [(point,) for point in POINTS]
    assert run_cases(attempts_after_drain, tmp_path, *cases) == dict.fromkeys(cases, 0)


def test_no_attempt_follows_when_only_the_next_poll_reports_the_drain(tmp_path):
    """A response without events is unread; the drain came after it and is reported to the next poll only."""
    cases = [(point, FakeCommandChannel.reply(3)) for point in POINTS]
    assert run_cases(attempts_after_drain, tmp_path, *cases) == dict.fromkeys(cases, 0)


def test_attempt_after_a_stop_accepts_no_copy_older_than_a_purge_sent_meanwhile(tmp_path):
    async def accepts_only_newer_copies(router, point):
        client = await open_request(router)
        await stop_after_miss(router, point)
        purge = {"cursor": 4, "drop": {"id": "ab" * 8, "when": int(time.time() * 1000)}}
        router.commands.responses.append(FakeCommandChannel.reply(4, purge))
        await asyncio.sleep(BEYOND_GRACE_S)
        await router.resume()
        await until(lambda: len(router.fields_for(REQUEST_ID)) > 1)
        client.close()
        accepted_ms = int(router.fields_for(REQUEST_ID)[1].get("accept", 0))
        return 0 < accepted_ms < 1000 * (BEYOND_GRACE_S + 0.4)

    cases = [(point,) for point in POINTS]
    changed_settings = settings()
    changed_settings["Specifics"]["GoneEverywhereNs"] = OLD_COPIES_S * 1e9
    outcome = run_cases(accepts_only_newer_copies, tmp_path, *cases, settings=changed_settings)
    assert outcome == dict.fromkeys(cases, True)


def test_poll_answered_in_time_does_not_fail_when_its_timeout_passes_in_a_stop(tmp_path):
    async def failed_polls(router):
        await router.warm_up()
        await until(lambda: router.commands.polls)
        await router.stop_now()
        router.commands.responses.append(drain_response(router))
        await asyncio.sleep(1.8)
        await router.resume()
        await asyncio.sleep(0.3)
        return [line["why"] for line in router.lines if line["event"] == "command channel"]

    assert run_cases(failed_polls, tmp_path, ()) == {(): []}


def test_call_completed_during_a_stop_is_answered(tmp_path):
    """The stop is longer than the timeout of a partial call, and the deadline of the request is near."""

    async def answered_request(router):
        await router.warm_up()
        client = RawClient(router.address).add_requests(REQUEST_ID, allow="2950")
        frame, client.unsent = client.unsent, client.unsent[:40]
        client.send()
        await asyncio.sleep(0.2)
        await router.stop_now()
        client.write(frame[40:])
        client.send()
        await asyncio.sleep(2.4)
        await router.resume()
        return (await (await client.to_thrift_client()).receive())[0]

    assert run_cases(answered_request, tmp_path, ()) == {(): REQUEST_ID}


def test_router_stopped_during_shutdown_answers_all_requests(tmp_path):
    """One request was open at SIGTERM, one arrived during the stop; the router resumes 50 ms before it may be killed."""

    async def answered_requests(router):
        client = await open_request(router)
        terminated_at = time.monotonic()
        router.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        await router.stop_now()
        client.add_requests(2).send()
        await asyncio.sleep(terminated_at + 3.65 - time.monotonic())
        await router.resume()
        thrift_client = await client.to_thrift_client()
        responses = {await thrift_client.receive(), await thrift_client.receive()}
        await asyncio.wait_for(router.process.wait(), 1.0)
        return sorted(number for number, _ in responses), router.process.returncode

    assert run_cases(answered_requests, tmp_path, ()) == {(): ([REQUEST_ID, 2], 0)}
