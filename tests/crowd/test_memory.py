"""What a router process holds beside crowds of bad clients: never more than `limits.memory_mb`."""

import asyncio
import compileall

import pytest

from brookhinge.decisions.memory_limits import PROGRAM_MB
from tests.crowd.deployment import ROOT, Deployment

CROWD_S = 4.0
CLOSE_WITHIN_S = 3.0  # a bad client gets a refusal, an error or a close by then
SETTLE_S = 2.5  # after the crowd, until all its connections are closed


def play(folder, kind, count, *, memory_mb, sockets, **options):
    """Plays a crowd beside usual clients; returns the deployment and the crowd's report after all checks."""

    async def run():
        async with Deployment(folder, memory_mb=memory_mb, sockets=sockets, **options) as site:
            report = await site.play(kind, count, CROWD_S)
            assert site.router.returncode is None, "the router ended by itself"
            assert site.memory() < memory_mb, f"{report} {site.kinds}"
            assert site.lost == 0, f"{site.lost} of {len(site.waits)} lost, {site.kinds}"
            return site, report

    return asyncio.run(run())


# What the limits divide is what the program leaves; compiling at the start took it past what is set aside.
def test_program_at_ready_takes_no_more_than_is_set_aside_for_it(tmp_path):
    async def run():
        async with Deployment(tmp_path, memory_mb=32, sockets=1024) as site:
            return site.memory()

    compileall.compile_dir(ROOT / "brookhinge", quiet=1)
    assert asyncio.run(run()) < PROGRAM_MB


# A crowd that stops in the middle of large calls, and comes again at once, takes the process past its memory.
@pytest.mark.parametrize(
    ("count", "memory_mb", "sockets"), [(340, 32, 1024), (640, 32, 1024), (85, 32, 256), (340, 64, 1024)]
)
def test_half_calls_of_a_crowd_stay_within_the_memory(tmp_path, count, memory_mb, sockets):
    _, report = play(tmp_path, "half_call", count, memory_mb=memory_mb, sockets=sockets)
    assert max(report["longest_wait_s"], report["longest_open_s"]) < CLOSE_WITHIN_S


# Calls with very many short fields take some twenty times their bytes once they are decoded.
@pytest.mark.parametrize(("count", "memory_mb", "sockets"), [(40, 32, 1024), (340, 32, 1024), (40, 32, 256)])
def test_calls_of_very_many_fields_stay_within_the_memory(tmp_path, count, memory_mb, sockets):
    _, report = play(tmp_path, "many_fields", count, memory_mb=memory_mb, sockets=sockets)
    assert max(report["longest_wait_s"], report["longest_open_s"]) < CLOSE_WITHIN_S


# Open requests keep the bodies of their calls until the last attempt has ended; nothing counted them.
@pytest.mark.parametrize(("memory_mb", "delay_s"), [(32, 0.01), (192, 1.0)])
def test_bodies_of_open_requests_stay_within_the_memory(tmp_path, memory_mb, delay_s):
    play(tmp_path, "large_bodies", 100, memory_mb=memory_mb, sockets=1024, delay_s=delay_s)


# Answers that clients ask for and do not read are kept for them.
def test_answers_that_nobody_reads_stay_within_the_memory(tmp_path):
    play(tmp_path, "unread_replies", 200, memory_mb=32, sockets=1024, body_bytes=200_000)


# Calls that are written slowly by very many clients add up.
def test_calls_written_slowly_stay_within_the_memory(tmp_path):
    play(tmp_path, "trickled_call", 340, memory_mb=32, sockets=1024)


# Each open request takes some kilobytes, and a client may have 32 of them.
def test_small_requests_of_a_crowd_stay_within_the_memory(tmp_path):
    play(tmp_path, "many_requests", 340, memory_mb=32, sockets=1024, delay_s=1.0)


# A connection that says nothing takes memory as well; descriptors allow hundreds.
def test_silent_connections_stay_within_the_memory(tmp_path):
    _, report = play(tmp_path, "silent", 640, memory_mb=32, sockets=1024)
    assert max(report["longest_wait_s"], report["longest_open_s"]) < CLOSE_WITHIN_S


# A usual client that writes a large call at an honest pace is served or refused, never closed for others.
@pytest.mark.parametrize("kind", ["half_call", "trickled_call", "many_fields"])
def test_large_calls_written_at_an_honest_pace_are_answered_beside_a_crowd(tmp_path, kind):
    async def run():
        async with Deployment(tmp_path, memory_mb=32, sockets=1024) as site:
            crowd = asyncio.create_task(site.crowd(kind, 300, CROWD_S))
            await asyncio.sleep(0.3)
            await site.write_large_calls(CROWD_S, b"b" * 200_000, 20, 0.04)
            await crowd
            assert site.memory() < 32
            return site

    site = asyncio.run(run())
    assert site.lost == 0, f"{site.lost} of {len(site.waits)} lost, {site.kinds}"
    assert set(site.kinds) <= {"served", "refused"}


# After a crowd has gone the process kept what the crowd had made it take.
def test_memory_comes_back_after_a_crowd_and_stays(tmp_path):
    async def run():
        async with Deployment(tmp_path, memory_mb=64, sockets=1024) as site:
            await site.play("silent", 6, 1.0)  # what ordinary service takes
            before = site.memory("VmRSS")
            held = []
            for _ in range(3):
                await site.play("half_call", 340, 2.0)
                await asyncio.sleep(SETTLE_S)
                held.append(site.memory("VmRSS"))
            return before, held

    before, held = asyncio.run(run())
    available = 64 - before
    assert held[0] < before + available / 4, (before, held)
    assert held[2] < held[0] + available / 16, (before, held)
