"""Each reason for which an attempt is not written at the moment at which it could be."""

import asyncio
import time

from brookhinge.decisions.rules import HeldBack
from brookhinge.engine.effects import SendAttempt
from brookhinge.engine.endpoints import ListedEndpoint
from brookhinge.engine.events import EndpointsListed, ObjectsPurged
from brookhinge.net.upstream_connection import PendingAttempt
from tests.crossings.test_sockets import Raw
from tests.helpers import host
from tests.test_service import caches, run_scenario, until


async def one_out(t):
    """A query that is out at a silent server, its client's socket, and its attempt as it was decided."""
    raw = Raw(t.address).asks(1).send()
    await until(lambda: t.service.state.requests.open)
    (query, q), now = next(iter(t.service.state.requests.open.items())), t.service.now()
    await asyncio.sleep(0.05)  # its connection was read empty longer ago than a moment
    t.service.watch.tick()
    server = t.service.state.endpoints.instances[q.server]
    attempt = SendAttempt(
        request_id=query,
        attempt=q.attempts,
        server=server,
        client_request_id=q.call.client_request_id,
        class_name=b"page",
        object_key=b"ab" * 8,
        part=b"0",
        deadline=now + 1.0,
        fill_from=None,
        retention=0,
        max_age_s=0.0,
        joins_fill=False,
        cached_only=False,
        revalidates=False,
        known_version=None,
        body=b"",
    )
    return raw, attempt


def reason_after(tmp_path, change):
    """The reason once change(t, raw, decided) has come back with the attempt to ask for, and the one before."""

    async def scene(t):
        raw, decided = await one_out(t)
        await until(t.service.scheduler.is_caught_up)
        before = t.service.write_guard.hold_reason(decided)
        t.service.client_connections.clients[2].last_empty_at = t.service.command_channel.checked_empty_at = (
            float("-inf")
        )
        return before, t.service.write_guard.hold_reason(change(t, raw, decided) or decided)

    before, after = run_scenario(scene, tmp_path, machines=caches(act="silent"))
    assert before is None
    return after


def test_its_client_has_sent_more(tmp_path):
    assert reason_after(tmp_path, lambda t, raw, _: raw.call.forget(1) or raw.send() and None) is (
        HeldBack.CLIENT_UNREAD
    )


def test_its_client_has_closed(tmp_path):
    assert reason_after(tmp_path, lambda t, raw, _: raw.close()) is HeldBack.CLIENT_UNREAD


def test_its_client_is_known_to_have_cancelled(tmp_path):
    def cancel(t, raw, decided):
        t.service.client_connections.calls.cancel(t.service.client_connections.clients[2], 1)

    assert reason_after(tmp_path, cancel) is HeldBack.CLIENT_GONE


def test_an_event_of_the_command_channel_waits_for_its_round(tmp_path):
    def post(t, raw, decided):
        t.service.post(ObjectsPurged(9, 0, 0.0, "aa"))

    assert reason_after(tmp_path, post) is HeldBack.LIST_UNREAD


def test_the_command_channel_has_sent_something(tmp_path):
    def answered(t, raw, decided):
        t.service.command_channel.pending_read = asyncio.get_running_loop().create_future()
        t.service.command_channel.pending_read.set_result(b"")

    assert reason_after(tmp_path, answered) is HeldBack.LIST_UNREAD


def test_the_loop_stood_still(tmp_path):
    assert reason_after(tmp_path, lambda *_: time.sleep(0.3)) is HeldBack.STALLED


def test_its_server_drains_by_now(tmp_path):
    def drain(t, raw, decided):
        row = host(decided.server[0], health="draining")
        t.service.state.reduce(
            t.service.now(),
            [
                EndpointsListed(
                    9,
                    False,
                    [ListedEndpoint(row["host"], ("h", 1), "edge-1", "box", 0, "draining", 4.0, None)],
                )
            ],
        )

    assert reason_after(tmp_path, drain) is HeldBack.CHANGED


def test_its_time_is_over(tmp_path):
    assert (
        reason_after(tmp_path, lambda t, raw, decided: decided._replace(deadline=t.service.now()))
        is HeldBack.NO_TIME
    )


def test_it_waited_too_long_for_its_connection(tmp_path):
    async def scene(t):
        _, decided = await one_out(t)
        line = next(line for line in t.service.upstream_connections.pool.connections if line.in_flight)
        other = decided._replace(client_request_id=b"other", attempt=9)
        queued_at = t.service.now() - 1.0
        t.service.upstream_connections.place(line, PendingAttempt(other, queued_at))
        return dict(t.service.upstream_connections.holds)

    assert run_scenario(scene, tmp_path, machines=caches(act="silent")) == {HeldBack.LATE: 1}
