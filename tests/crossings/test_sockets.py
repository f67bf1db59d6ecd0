"""Races between two events on real sockets, with each order forced: a peer that holds, half-closes, resets
or sends at a given point. docs/design/crossings.md lists the pairs."""

import asyncio
import gc
import json
import os
import resource
import signal
import socket
import struct
import subprocess
import sys
import time

import pytest

from brookhinge.decisions.rules import CloseReason
from brookhinge.engine.events import RequestReceived, ShutdownBegan
from brookhinge.net import client_calls, client_connection, client_connections, program, upstream_pool
from brookhinge.net.service import Service
from tests.helpers import (
    FakeCommandChannel,
    StateHarness,
    ThriftClient,
    configuration,
    endpoint_list_command,
    host,
    load_site,
    settings,
)
from tests.test_service import ROOT, caches, run_scenario, until

DATA = b"ID data n=hit 3\r\nyes\r\n"


class RawClient:
    """A client whose sends and closes take effect in the kernel at once, independent of the event loop."""

    def __init__(self, address):
        self.socket, self.unsent = socket.create_connection(address), b""
        self.encoder = ThriftClient(None, self)

    def write(self, data):
        self.unsent += data

    def add_requests(self, *request_ids, **fields):
        for request_id in request_ids:
            self.encoder.ask(request_id, **fields)
        return self

    def send(self):
        data, self.unsent = self.unsent, b""
        self.socket.sendall(data)
        return self

    def close(self, reset=False):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    async def to_thrift_client(self):
        self.socket.setblocking(False)
        return ThriftClient(*await asyncio.open_connection(sock=self.socket))


def pull_lines(t):
    return [line for line in t.attempt_lines() if "PULL" in line]


async def warm_up_connections(t):
    """Opens idle connections to every cache server, so that attempts are written at once."""
    for n in range(1000, 1030):
        t.client.ask(n, lookup=f"{n:016x}")
        await t.client.receive()
    await until(
        lambda: all(connection.is_connected for connection in t.service.upstream_connections.pool.connections)
    )
    for machine in t.machines.values():
        machine.received_lines.clear()


# a client's disconnect and its earlier requests


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("partial_frame", [b"", b"x" * 60_000], ids=["little", "much"])
def test_requests_followed_by_their_clients_disconnect_are_not_forwarded(tmp_path, reset, partial_frame):
    async def scene(t):
        await warm_up_connections(t)
        raw_client = RawClient(t.address)
        raw_client.add_requests(1, 2, 3)
        raw_client.write(struct.pack(">i", len(partial_frame) + 9) + partial_frame)  # an incomplete frame
        raw_client.send().close(reset)
        t.client.ask(9)
        response = await t.client.receive()
        await asyncio.sleep(0.1)
        return response[1], len(pull_lines(t)), t.service.state.requests.open

    assert run_scenario(scene, tmp_path) == ("satisfied 19", 1, {})


def test_request_queued_behind_an_invalid_call_is_dropped_with_its_client(tmp_path, monkeypatch):
    monkeypatch.setattr(client_calls, "INVALID_CALL_PAUSE_S", 0.2)

    async def scene(t):
        raw_client = RawClient(t.address).add_requests(1, room="-1").add_requests(2).send()
        await until(lambda: any(c.is_paused for c in t.service.client_connections.clients.values()))
        raw_client.close()
        await asyncio.sleep(0.4)
        return (
            pull_lines(t),
            len(t.service.client_connections.clients),
            t.service.client_connections.memory.call_bytes,
        )

    assert run_scenario(scene, tmp_path) == ([], 1, 0)


def test_no_further_attempt_when_the_client_disconnects_during_a_stall(tmp_path):
    """The attempt's timeout and the client's disconnect fall into the stall; the disconnect is read first."""

    async def scene(t):
        await warm_up_connections(t)
        t.service.state.decisions.retry_budget.tokens = 10.0
        for machine in t.machines.values():
            machine.behavior = "silent"
        raw_client = RawClient(t.address).add_requests(2, allow="1600", lookup=f"{1000:016x}").send()
        await until(lambda: len(pull_lines(t)) == 1)
        timer_at = t.service.state.next_at()
        assert timer_at - t.service.now() < 1.0  # leaves time for a further attempt
        raw_client.close()
        time.sleep(timer_at - t.service.now() + 0.05)
        await asyncio.sleep(0.1)
        return len(pull_lines(t)), t.service.state.requests.open

    assert run_scenario(scene, tmp_path) == (1, {})


def test_no_further_attempt_when_a_failure_and_the_clients_disconnect_are_read_together(tmp_path):
    async def scene(t):
        await warm_up_connections(t)
        t.service.state.decisions.retry_budget.tokens = 10.0
        received = []
        for machine in t.machines.values():
            machine.behavior = lambda line: received.append(line) or "silent"
        raw_client = RawClient(t.address).add_requests(1).send()
        await until(lambda: received)
        request_id, machine = (
            received[0][1].encode(),
            next(m for m in t.machines.values() if m.received_lines),
        )
        connection = next(
            c for c in t.service.upstream_connections.pool.connections if request_id in c.in_flight
        )
        writer = next(
            w
            for w in machine.writers
            if w.get_extra_info("peername") == connection.stream.socket.getsockname()
        )
        os.write(writer.get_extra_info("socket").fileno(), b"%b failed - 0\r\n\r\n" % request_id)
        raw_client.close()
        await asyncio.sleep(0.2)
        return len(pull_lines(t)), t.service.state.requests.open

    assert run_scenario(scene, tmp_path) == (1, {})


# connections closed by the router and calls that arrive at that moment


def test_connection_is_not_closed_between_reading_a_call_and_its_round(tmp_path):
    async def scene(t):
        post = t.service.client_connections.calls.post

        def post_and_close_idle(event):
            post(event)
            if isinstance(event, RequestReceived):
                t.service.client_connections.make_capacity()

        t.service.client_connections.calls.post = post_and_close_idle
        t.client.ask(1)
        return await t.client.receive()

    assert run_scenario(scene, tmp_path) == (1, "satisfied 19")


def test_unread_call_keeps_its_idle_connection_open(tmp_path, monkeypatch):
    """It arrives after the last check for input and before the close."""

    async def scene(t):
        raw_client, has_no_unread_bytes = (
            RawClient(t.address),
            client_connection.ClientConnection.has_no_unread_bytes,
        )
        await until(lambda: len(t.service.client_connections.clients) == 2)
        monkeypatch.setattr(
            client_connection.ClientConnection,
            "has_no_unread_bytes",
            lambda c: (
                raw_client.add_requests(1).send() and has_no_unread_bytes(c)
                if c.number == 2
                else has_no_unread_bytes(c)
            ),
        )
        t.service.client_connections.close_gracefully(
            t.service.client_connections.clients[2], CloseReason.IDLE
        )
        return await (await raw_client.to_thrift_client()).receive()

    assert run_scenario(scene, tmp_path) == (1, "satisfied 19")


def test_call_that_crosses_an_idle_close_causes_no_reset(tmp_path, monkeypatch):
    monkeypatch.setattr(client_connections, "IDLE_TIMEOUT_S", 0.1)

    async def scene(t):
        raw_client = RawClient(t.address).add_requests(1).send()
        client = await raw_client.to_thrift_client()
        responses = [
            await client.receive(),
            await client.receive(),
        ]  # the response, then the end of the connection
        client.ask(2)
        await asyncio.sleep(0.05)
        return (
            responses,
            client.reader.exception(),
            len(pull_lines(t)),
            len(t.service.client_connections.lingering) > 0,
        )

    assert run_scenario(scene, tmp_path) == ([(1, "satisfied 19"), None], None, 1, True)


def test_responses_before_a_protocol_error_arrive_despite_unread_bytes(tmp_path, monkeypatch):
    monkeypatch.setattr(client_calls, "INVALID_CALL_PAUSE_S", 0.0)

    async def scene(t):
        raw_client = RawClient(t.address).add_requests(*range(1, 9), room="-1")
        raw_client.write(b"\0" * 300_000)
        client = await raw_client.send().to_thrift_client()
        responses = [await client.receive() for _ in range(9)]
        return [h and h[1] for h in responses], client.reader.exception()

    responses, error = run_scenario(scene, tmp_path)
    assert responses == ["exception room: missing or unusable"] * 8 + [None] and error is None


def test_requests_before_malformed_bytes_are_answered(tmp_path):
    """All arrive in one piece; then the connection is closed, and later bytes are ignored."""

    async def scene(t):
        raw_client = RawClient(t.address).add_requests(1, 2)
        raw_client.write(b"\xff" * 70_000)
        raw_client.add_requests(3)
        client = await raw_client.send().to_thrift_client()
        return {await client.receive(), await client.receive()}, await client.receive(), len(pull_lines(t))

    assert run_scenario(scene, tmp_path, machines=caches(delay=0.1)) == (
        {(1, "satisfied 19"), (2, "satisfied 19")},
        None,
        2,
    )


def test_request_on_an_idle_connection_during_shutdown_is_rejected_and_not_forwarded(tmp_path, monkeypatch):
    """It arrives after the last request has ended and before the connection is closed."""

    async def scene(t):
        raw_client, has_no_unread_bytes, sent = (
            RawClient(t.address),
            client_connection.ClientConnection.has_no_unread_bytes,
            [],
        )
        await until(lambda: len(t.service.client_connections.clients) == 2)

        def send_before_check(client):
            if client.number == 2 and not sent:
                sent.append(raw_client.add_requests(1).send())
            return has_no_unread_bytes(client)

        monkeypatch.setattr(client_connection.ClientConnection, "has_no_unread_bytes", send_before_check)
        t.service.stop()
        await t.task
        client = await raw_client.to_thrift_client()
        return await client.receive(), await client.receive(), client.reader.exception(), pull_lines(t)

    assert run_scenario(scene, tmp_path) == ((1, "nack"), None, None, [])


def test_request_read_after_shutdown_began_is_rejected(tmp_path):
    desk = StateHarness(tmp_path)
    assert desk.ask()[0][:4] == "pull"
    assert [line.split()[0] for line in desk.process(ShutdownBegan())] == ["kill", "error"]
    assert desk.ask(key=b"bb") == ["nack 1 2 0.0"]
    assert not desk.state.requests.open and not desk.router.requests


def test_stop_before_the_service_is_ready_ends_it(tmp_path):
    async def run():
        service = Service(load_site(configuration(), tmp_path), lambda event, **values: None)
        service.stop()
        await asyncio.wait_for(service.run(), 5)
        return service.lifecycle.phase

    assert asyncio.run(run()) == "ended"


# connections to servers that are established late


class DelayedStream(upstream_pool.Stream):
    """A stream that connects once `gate` is set."""

    gate = None

    async def connect(self, *address):
        await DelayedStream.gate.wait()
        return await super().connect(*address)


def played_with_delayed_connections(scene, folder, monkeypatch, **deployment):
    """Delays connections to servers; runs scene(t, server) once an attempt waits for one to `server`."""

    async def run_scene(t):
        DelayedStream.gate = asyncio.Event()
        t.client.ask(1, lookup="ab" * 8)
        await until(
            lambda: any(connection.waiting for connection in t.service.upstream_connections.pool.connections)
        )
        server = next(
            connection.server.server
            for connection in t.service.upstream_connections.pool.connections
            if connection.waiting
        )
        return await scene(t, server)

    monkeypatch.setattr(upstream_pool, "Stream", DelayedStream)
    return run_scenario(run_scene, folder, settings=settings(ConnectTimeoutNs=2e9), **deployment)


@pytest.mark.parametrize("health", ["draining", "removed"])
def test_attempt_waiting_for_its_connection_is_not_written_to_a_draining_server(
    tmp_path, monkeypatch, health
):
    async def scene(t, server):
        row = host(server, t.machines[server].port, health=health)
        t.commands.responses.append(FakeCommandChannel.reply(4, endpoint_list_command(4, [row], whole=False)))
        await until(lambda: t.service.state.commands.cursor == 4)
        await asyncio.sleep(0.1)
        DelayedStream.gate.set()
        return await t.client.receive(), [line for line in pull_lines(t) if line.startswith(server)]

    assert played_with_delayed_connections(scene, tmp_path, monkeypatch) == ((1, "satisfied 19"), [])


def test_attempt_waiting_for_its_connection_names_no_draining_parent(tmp_path, monkeypatch):
    lines = []

    async def scene(t, server):
        t.service.state.decisions.fill_planner.routers_here = 1
        rows = [host(s, t.machines[s].port, health="draining") for s in ("s-11", "s-12")]
        t.commands.responses.append(FakeCommandChannel.reply(4, endpoint_list_command(4, rows, whole=False)))
        await until(lambda: t.service.state.commands.cursor == 4)
        await asyncio.sleep(0.1)
        DelayedStream.gate.set()
        return await t.client.receive(), [
            ("parent=s-11" in line[2], "parent=s-12" in line[2]) for line in lines
        ]

    machines = caches(behavior=lambda line: lines.append(line) or "data")
    assert played_with_delayed_connections(scene, tmp_path, monkeypatch, machines=machines) == (
        (1, "satisfied 19"),
        [(False, False)],
    )


def test_attempt_waiting_for_its_connection_accepts_no_copy_older_than_a_purge(tmp_path, monkeypatch):
    lines = []

    async def scene(t, server):
        purge = {"cursor": 4, "drop": {"id": "ab" * 8, "when": int(time.time() * 1000)}}
        t.service.state.decisions.purges.settled_s = 6.0
        t.commands.responses.append(FakeCommandChannel.reply(4, purge))
        await until(lambda: t.service.state.commands.cursor == 4)
        await asyncio.sleep(0.1)
        DelayedStream.gate.set()
        await t.client.receive()
        return [0 < int(line[2].partition("accept=")[2].split(",")[0] or 0) < 1000 for line in lines]

    machines = caches(behavior=lambda line: lines.append(line) or "data")
    assert played_with_delayed_connections(scene, tmp_path, monkeypatch, machines=machines) == [True]


def test_attempt_waiting_for_its_connection_is_dropped_with_its_client(tmp_path, monkeypatch):
    async def scene(t, server):
        t.client.writer.transport.abort()
        await until(lambda: not t.service.state.requests.open)
        DelayedStream.gate.set()
        await asyncio.sleep(0.1)
        return pull_lines(t), t.service.upstream_connections.placements

    assert played_with_delayed_connections(scene, tmp_path, monkeypatch) == ([], {})


def test_attempt_that_waited_briefly_for_its_connection_is_written_unchanged(tmp_path, monkeypatch):
    """A connect of normal duration requires no second decision."""

    async def scene(t, server):
        DelayedStream.gate.set()
        return await t.client.receive(), t.service.state.totals.counts["pushes"], len(pull_lines(t))

    assert played_with_delayed_connections(scene, tmp_path, monkeypatch) == ((1, "satisfied 19"), 1, 1)


# responses of servers


@pytest.mark.parametrize(
    "malformed",
    [DATA + DATA, DATA + b"nobody data - 3\r\nyes\r\n", DATA + b"ID da", DATA + b"other data - 90\r\nhalf"],
    ids=["second", "unknown", "half", "no end"],
)
def test_connection_with_an_unexpected_response_is_not_reused(tmp_path, malformed):
    async def scene(t):
        used, write = [], t.service.upstream_connections.write

        def recording_write(connection, wire):
            if wire.startswith(b"PULL"):
                used.append(connection)
            write(connection, wire)

        t.service.upstream_connections.write = recording_write
        for machine in t.machines.values():
            machine.behavior = lambda line: malformed if len(used) == 1 else "data"
        responses = []
        for n in range(1, 6):
            t.client.ask(n)
            responses.append(await t.client.receive())
        await until(lambda: used[0].is_closed)
        return responses, used[0] in used[1:]

    assert run_scenario(scene, tmp_path) == (
        [(1, "satisfied 3")] + [(n, "satisfied 19") for n in range(2, 6)],
        False,
    )


def test_slow_response_of_an_abandoned_attempt_ends_its_connection(tmp_path):
    """Each byte shows that the connection is alive, but no request waits for the response."""

    async def scene(t):
        for machine in t.machines.values():
            machine.behavior = b"ID data - 200000\r\nfirst"
        t.client.ask(1, allow="100")
        response = await t.client.receive()
        connection = next(c for c in t.service.upstream_connections.pool.connections if c.answers.head)
        writer = next(w for m in t.machines.values() for w in m.writers if m.received_lines)
        for _ in range(200):
            if connection.is_closed:
                break
            writer.write(b"x")
            await asyncio.sleep(0.01)
        return response, connection.is_closed, t.service.upstream_connections.placements

    assert run_scenario(scene, tmp_path) == ((1, "nack"), True, {})


# file descriptors and startup


def test_longest_idle_connections_are_closed_for_capacity_but_none_with_a_partial_call(tmp_path):
    async def scene(t):
        t.service.client_connections.max_connections = 6
        half = RawClient(t.address)
        frame = half.add_requests(1).unsent
        half.socket.sendall(frame[:30])
        idle = [await ThriftClient.connect(t.address) for _ in range(3)]
        await until(
            lambda: (
                len(t.service.client_connections.clients) == 5
                and any(c.partial_since for c in t.service.client_connections.clients.values())
            )
        )
        # the connection of t.client becomes the most recently used one
        t.service.client_connections.clients[1].used_at += 100.0
        late = [await ThriftClient.connect(t.address) for _ in range(2)]
        closed = await idle[0].receive()
        late[-1].ask(2)
        half.socket.sendall(frame[30:])
        return closed, await late[-1].receive(), await (await half.to_thrift_client()).receive()

    assert run_scenario(scene, tmp_path) == (None, (1, "satisfied 19"), (1, "satisfied 19"))


def test_nagle_algorithm_is_disabled_on_all_connections(tmp_path):
    async def scene(t):
        t.client.ask(1)
        await t.client.receive()
        channel = t.service.command_channel
        await until(lambda: channel.current is not None and channel.current.stream is not None)
        streams = (
            [c.stream for c in t.service.client_connections.clients.values()]
            + [channel.current.stream]
            + [n.stream for n in t.service.upstream_connections.pool.connections]
        )
        return {s.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0 for s in streams}, len(
            streams
        ) > 2

    assert run_scenario(scene, tmp_path) == ({True}, True)


def test_idle_clients_at_the_descriptor_limit_leave_descriptors_for_channel_and_servers(tmp_path):
    """The command channel is down while they connect; the settings allow more descriptors than the system."""

    async def scene(t):
        reserved = socket.create_server(("127.0.0.1", 0))
        port = reserved.getsockname()[1]
        reserved.close()
        box = t.machines["s-22"]
        values = {**t.values, "channel": f"127.0.0.1:{port}"}
        values["known"] = {
            "cursor": 3,
            "cmds": [endpoint_list_command(3, [host("s-01", t.machines["s-01"].port)])],
        }
        (tmp_path / "n1.json").write_text(json.dumps(values))
        router = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "brookhinge",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(tmp_path / "n1.json")},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64)),
        )
        while b'"listening"' not in (line := await router.stdout.readline()):
            assert line
        address = "127.0.0.1", int(json.loads(line)["address"].split(":")[1])
        idle = [RawClient(address) for _ in range(150)]
        await asyncio.sleep(0.3)
        commands = FakeCommandChannel(
            FakeCommandChannel.reply(4, endpoint_list_command(4, [host("s-22", box.port)], whole=False))
        )
        commands.server = await asyncio.start_server(commands.serve, "127.0.0.1", port)
        for n in range(200):
            client = await ThriftClient.connect(address)
            client.ask(n)
            response = await client.receive()
            if response and response[1] == "satisfied 19":
                break
            await asyncio.sleep(0.05)
        router.terminate()
        code = await router.wait()
        for raw_client in idle:
            raw_client.close()
        return response, code

    assert run_scenario(scene, tmp_path) == ((1, "satisfied 19"), 0)


def test_descriptor_limit_is_bounded_by_the_system_limit(tmp_path, monkeypatch):
    site = load_site(configuration(), tmp_path)
    monkeypatch.setattr(program.resource, "getrlimit", lambda what: (256, 256))
    assert program.limit_descriptors(site).bounds.sockets == 256
    monkeypatch.setattr(program.resource, "getrlimit", lambda what: (16, 16))
    with pytest.raises(program.StartError, match=r"limits.sockets: .* limit is 16"):
        program.limit_descriptors(site)


def test_sighup_during_startup_reloads_the_configuration(tmp_path):
    """The configuration file is a pipe, so that the router is still reading it when the signal arrives."""

    async def scene(t):
        pipe, new_channel = tmp_path / "n1.json", await FakeCommandChannel().start()
        os.mkfifo(pipe)
        router = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "brookhinge",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(pipe)},
        )
        loop, text = asyncio.get_running_loop(), json.dumps(t.values)
        # returns once the router reads
        pipe_fd = await loop.run_in_executor(None, os.open, pipe, os.O_WRONLY)
        router.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
        os.write(pipe_fd, text.encode())
        later = tmp_path / "later.json"
        later.write_text(text.replace(f"127.0.0.1:{t.commands.port}", f"127.0.0.1:{new_channel.port}"))
        os.replace(later, pipe)
        os.close(pipe_fd)
        await until(lambda: new_channel.polls)
        router.terminate()
        return await router.wait()

    assert run_scenario(scene, tmp_path) == 0


def test_frame_received_in_pieces_is_one_call(tmp_path):
    """The reader checks for more input right after each piece; the call is handled once, when complete."""

    async def scene(t):
        raw_client = RawClient(t.address)
        frame = raw_client.add_requests(1).unsent
        for offset in range(0, len(frame), 7):
            raw_client.socket.sendall(frame[offset : offset + 7])
            await asyncio.sleep(0)
        return await (await raw_client.to_thrift_client()).receive(), len(pull_lines(t))

    assert run_scenario(scene, tmp_path) == ((1, "satisfied 19"), 1)


def test_closed_client_connections_are_freed_without_the_collector(tmp_path):
    """A connection's error referenced a frame that referenced the error: one reference cycle per client."""

    async def scene(t):
        gc.collect()
        gc.disable()
        try:
            for n in range(20):
                client = await ThriftClient.connect(t.address)
                client.ask(n)
                await client.receive()
                client.writer.close()
            await until(lambda: len(t.service.client_connections.clients) == 1)
            await asyncio.sleep(0.05)
            return sum(isinstance(obj, client_connection.ClientConnection) for obj in gc.get_objects())
        finally:
            gc.enable()

    assert run_scenario(scene, tmp_path) == 1


def test_command_line_keeps_the_inherited_sighup_disposition():
    """Under nohup SIGHUP is ignored, and `brookhinge box` must outlive its terminal."""
    script = (
        "import signal, sys\nsignal.signal(signal.SIGHUP, signal.SIG_IGN)\n"
        "sys.argv = ['brookhinge', '--help']\n"
        "from brookhinge.__main__ import main\ntry:\n    main()\nexcept SystemExit:\n    pass\n"
        "print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)"
    )
    completed = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True)
    assert completed.stdout.splitlines()[-1] == "True", completed.stderr
