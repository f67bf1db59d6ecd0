"""Usual clients get their answers in their own time while others keep a router busy."""

import asyncio

import pytest

from tests.crowd.deployment import TIMEOUT_S, Deployment

CROWD_S = 4.0
SHORT_TIMEOUT_S = 1.0  # of clients that open a connection for each request


# One connection that sends without pause made the event loop do thousands of calls in one turn.
@pytest.mark.parametrize(
    ("kind", "count"),
    [
        ("health_checks", 1),
        ("health_checks", 40),
        ("many_fields", 40),
        ("skipped_arguments", 10),
        ("cancels", 1),
        ("cancels", 20),
        ("unknown_methods", 40),
        ("unsound_requests", 40),
        ("new_objects", 10),
        ("many_requests", 100),
    ],
)
def test_usual_clients_are_answered_in_their_time_beside_busy_ones(tmp_path, kind, count):
    async def run():
        async with Deployment(tmp_path, memory_mb=192, sockets=1024) as site:
            await site.play(kind, count, CROWD_S)
            return site

    site = asyncio.run(run())
    assert site.lost == 0, f"{site.lost} of {len(site.waits)} lost, {site.kinds}"
    assert max(site.waits) < TIMEOUT_S


# Clients that stopped in the middle of a call held all connections for 2.2 s; others waited in the backlog.
@pytest.mark.parametrize("kind", ["half_call", "silent"])
def test_new_connections_are_served_in_their_time_beside_more_clients_than_the_router_can_have(
    tmp_path, kind
):
    async def run():
        async with Deployment(tmp_path, memory_mb=64, sockets=256) as site:
            crowd = asyncio.create_task(site.crowd(kind, 300, CROWD_S + 1.0))
            await asyncio.sleep(0.5)
            await site.ask_on_new_connections(CROWD_S, SHORT_TIMEOUT_S)
            await crowd
            return site

    site = asyncio.run(run())
    assert site.lost == 0, f"{site.lost} of {len(site.waits)} lost, {site.kinds}"
