"""Each reason for which the write guard holds back an attempt."""

import asyncio
import time

from brookhinge.decisions.rules import HeldBack
from brookhinge.engine.effects import SendAttempt
from brookhinge.engine.endpoints import ListedEndpoint
from brookhinge.engine.events import EndpointsListed, ObjectsPurged
from brookhinge.net.upstream_connection import PendingAttempt
from tests.crossings.test_sockets import RawClient
from tests.helpers import host
from tests.test_service import caches, run_scenario, until


async def start_attempt(t):
    """Opens a request at a silent cache server; returns its client and its attempt as decided."""
    client = RawClient(t.address).add_requests(1).send()
    await until(lambda: t.service.state.requests.open)
    (request_id, request), now = next(iter(t.service.state.requests.open.items())), t.service.now()
    await asyncio.sleep(0.05)  # the last check that its connection has no unread input is no longer fresh
    t.service.watch.tick()
    server = t.service.state.endpoints.instances[request.server]
    attempt = SendAttempt(
        request_id=request_id,
        attempt=request.attempts,
        server=server,
        client_request_id=request.call.client_request_id,
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
    return client, attempt


def hold_reason_after(tmp_path, change):
    """Returns the hold reason after change(t, client, decided), which may return another attempt to check.

    Requires that there is no reason before the change.
    """

    async def scene(t):
        client, decided = await start_attempt(t)
        await until(t.service.scheduler.is_caught_up)
        reason_before = t.service.write_guard.hold_reason(decided)
        t.service.client_connections.clients[2].last_empty_at = t.service.command_channel.checked_empty_at = (
            float("-inf")
        )
        return reason_before, t.service.write_guard.hold_reason(change(t, client, decided) or decided)

    reason_before, reason = run_scenario(scene, tmp_path, machines=caches(behavior="silent"))
    assert reason_before is None
    return reason


def test_unread_input_of_the_client_holds_the_attempt(tmp_path):
    assert hold_reason_after(
        tmp_path, lambda t, client, _: client.encoder.forget(1) or client.send() and None
    ) is (HeldBack.CLIENT_UNREAD)


def test_unread_close_of_the_client_holds_the_attempt(tmp_path):
    assert hold_reason_after(tmp_path, lambda t, client, _: client.close()) is HeldBack.CLIENT_UNREAD


def test_cancelled_request_holds_the_attempt(tmp_path):
    def cancel(t, client, decided):
        t.service.client_connections.calls.cancel(t.service.client_connections.clients[2], 1)

    assert hold_reason_after(tmp_path, cancel) is HeldBack.CLIENT_GONE


def test_queued_event_of_the_command_channel_holds_the_attempt(tmp_path):
    def post(t, client, decided):
        t.service.post(ObjectsPurged(9, 0, 0.0, "aa"))

    assert hold_reason_after(tmp_path, post) is HeldBack.LIST_UNREAD


def test_unread_response_of_the_command_channel_holds_the_attempt(tmp_path):
    def receive_response(t, client, decided):
        t.commands.writer.write(b"HTTP/1.1 200 OK")  # taken by the kernel at once; the router has not read it

    assert hold_reason_after(tmp_path, receive_response) is HeldBack.LIST_UNREAD


def test_stalled_loop_holds_the_attempt(tmp_path):
    assert hold_reason_after(tmp_path, lambda *_: time.sleep(0.3)) is HeldBack.STALLED


def test_draining_server_holds_the_attempt(tmp_path):
    def drain(t, client, decided):
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

    assert hold_reason_after(tmp_path, drain) is HeldBack.CHANGED


def test_passed_deadline_holds_the_attempt(tmp_path):
    assert (
        hold_reason_after(tmp_path, lambda t, client, decided: decided._replace(deadline=t.service.now()))
        is HeldBack.NO_TIME
    )


def test_attempt_queued_too_long_for_its_connection_is_held(tmp_path):
    async def scene(t):
        _, decided = await start_attempt(t)
        connection = next(
            connection
            for connection in t.service.upstream_connections.pool.connections
            if connection.in_flight
        )
        second_attempt = decided._replace(client_request_id=b"other", attempt=9)
        queued_at = t.service.now() - 1.0
        t.service.upstream_connections.place(connection, PendingAttempt(second_attempt, queued_at))
        return dict(t.service.upstream_connections.holds)

    assert run_scenario(scene, tmp_path, machines=caches(behavior="silent")) == {HeldBack.LATE: 1}
