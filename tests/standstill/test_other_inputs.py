"""What else came while a router stood still, and was decided without: drains, purges, the rest of a call, the end of the process.

The same mistake as in `test_client_gone.py`, found by reading on from it: a decision, or a judgement by time, was made on what had been
read first after the stop, though more lay unread. Each is forced with a real process that is stopped."""

import asyncio
import signal
import time

from tests.crossings.test_sockets import Raw
from tests.helpers import FakeCommandChannel, endpoint_list_command, host, settings
from tests.standstill.program import CACHES, played
from tests.standstill.test_client_gone import ASKED, POINTS, asks, stopped
from tests.test_service import until

BEYOND_GRACE_S = 0.8  # a drain or purge binds 0.5 s after it was told
OLD_COPIES_S = 5.0


def drains(program):
    """The command channel's answer that tells that every cache server drains."""
    hosts = [host(server, program.machines[server].port, health="draining") for server in CACHES]
    return FakeCommandChannel.reply(4, endpoint_list_command(4, hosts, whole=False))


async def sent_to_draining(program, point, *answers_before):
    """How many attempts a router makes that was stopped as its servers were told to drain, with a request open."""
    raw = await asks(program)
    await stopped(program, point)
    program.commands.responses += [*answers_before, drains(program)]
    await asyncio.sleep(BEYOND_GRACE_S)
    await program.go_on()
    await asyncio.sleep(0.4)
    raw.close()
    return len(program.attempts_for(ASKED)) - 1


def test_nothing_goes_to_servers_that_were_told_to_drain_while_the_router_was_stopped(tmp_path):
    """The answer to its poll lies unread."""
    cases = [(point,) for point in POINTS]
    assert played(sent_to_draining, tmp_path, *cases) == dict.fromkeys(cases, 0)


def test_nor_where_they_were_told_to_drain_after_its_last_poll_had_been_answered(tmp_path):
    """An answer without events lies unread; the drain came after it and is told to the next poll alone."""
    cases = [(point, FakeCommandChannel.reply(3)) for point in POINTS]
    assert played(sent_to_draining, tmp_path, *cases) == dict.fromkeys(cases, 0)


def test_an_attempt_after_a_stop_asks_for_no_copy_from_before_a_purge_told_meanwhile(tmp_path):
    async def oldest_copy(program, point):
        raw = await asks(program)
        await stopped(program, point)
        drop = {"cursor": 4, "drop": {"id": "ab" * 8, "when": int(time.time() * 1000)}}
        program.commands.responses.append(FakeCommandChannel.reply(4, drop))
        await asyncio.sleep(BEYOND_GRACE_S)
        await program.go_on()
        await until(lambda: len(program.fields_for(ASKED)) > 1)
        raw.close()
        accepted_ms = int(program.fields_for(ASKED)[1].get("accept", 0))
        return 0 < accepted_ms < 1000 * (BEYOND_GRACE_S + 0.4)

    cases = [(point,) for point in POINTS]
    told = settings()
    told["Specifics"]["GoneEverywhereNs"] = OLD_COPIES_S * 1e9
    outcome = played(oldest_copy, tmp_path, *cases, settings=told)
    assert outcome == dict.fromkeys(cases, True)


def test_a_poll_that_was_answered_in_time_is_read_though_its_time_ran_out_in_the_stop(tmp_path):
    async def failed_polls(program):
        await program.warm()
        await until(lambda: program.commands.polls)
        await program.stop_now()
        program.commands.responses.append(drains(program))
        await asyncio.sleep(1.8)
        await program.go_on()
        await asyncio.sleep(0.3)
        return [line["why"] for line in program.lines if line["event"] == "command channel"]

    assert played(failed_polls, tmp_path, ()) == {(): []}


def test_a_call_whose_rest_came_in_the_stop_is_answered(tmp_path):
    """For longer than a call in pieces may take; its time is nearly over."""

    async def answer(program):
        await program.warm()
        raw = Raw(program.address).asks(ASKED, allow="2950")
        whole, raw.bytes = raw.bytes, raw.bytes[:40]
        raw.send()
        await asyncio.sleep(0.2)
        await program.stop_now()
        raw.write(whole[40:])
        raw.send()
        await asyncio.sleep(2.4)
        await program.go_on()
        return (await (await raw.client()).receive())[0]

    assert played(answer, tmp_path, ()) == {(): ASKED}


def test_a_router_stopped_past_its_end_answers_all_that_came(tmp_path):
    """One request was open as it was told to end, one came while it was stopped; it goes on 50 ms before it may be killed."""

    async def answers(program):
        raw = await asks(program)
        told_at = time.monotonic()
        program.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        await program.stop_now()
        raw.asks(2).send()
        await asyncio.sleep(told_at + 3.65 - time.monotonic())
        await program.go_on()
        caller = await raw.client()
        heard = {await caller.receive(), await caller.receive()}
        await asyncio.wait_for(program.process.wait(), 1.0)
        return sorted(number for number, _ in heard), program.process.returncode

    assert played(answers, tmp_path, ()) == {(): ([ASKED, 2], 0)}
