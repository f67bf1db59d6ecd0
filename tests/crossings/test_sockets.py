"""Two events that cross on real sockets, each order forced: a peer that holds, half-closes, resets or sends
at a named point. The pairs stand in docs/design/crossings.md."""

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
from tests.helpers import Caller, Commands, Desk, configuration, host, listed, read, settings
from tests.test_service import ROOT, caches, run_scenario, until

DATA = b"ID data n=hit 3\r\nyes\r\n"


class Raw:
    """A client whose every byte and close happens at once, in the system, whatever the loop does."""

    def __init__(self, address):
        self.socket, self.bytes = socket.create_connection(address), b""
        self.call = Caller(None, self)

    def write(self, data):
        self.bytes += data

    def asks(self, *names, **fields):
        for name in names:
            self.call.ask(name, **fields)
        return self

    def send(self):
        data, self.bytes = self.bytes, b""
        self.socket.sendall(data)
        return self

    def close(self, reset=False):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    async def caller(self):
        self.socket.setblocking(False)
        return Caller(*await asyncio.open_connection(sock=self.socket))


def pulls(t):
    return [line for line in t.pulled() if "PULL" in line]


async def warm(t):
    """Connections to every cache are up and idle: what is pushed is written in the same pass."""
    for n in range(1000, 1030):
        t.caller.ask(n, lookup=f"{n:016x}")
        await t.caller.hear()
    await until(lambda: all(line.is_connected for line in t.service.upstream_connections.pool.connections))
    for machine in t.machines.values():
        machine.seen.clear()


# a client's end and what it asked before


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("much", [b"", b"x" * 60_000], ids=["little", "much"])
def test_queries_with_their_clients_end_behind_them_are_not_sent_on(tmp_path, reset, much):
    async def scene(t):
        await warm(t)
        raw = Raw(t.address)
        raw.asks(1, 2, 3)
        raw.write(struct.pack(">i", len(much) + 9) + much)  # a frame that breaks off, before the end
        raw.send().close(reset)
        t.caller.ask(9)
        heard = await t.caller.hear()
        await asyncio.sleep(0.1)
        return heard[1], len(pulls(t)), t.service.state.requests.open

    assert run_scenario(scene, tmp_path) == ("satisfied 19", 1, {})


def test_a_query_that_waits_behind_a_call_refused_goes_with_its_client(tmp_path, monkeypatch):
    monkeypatch.setattr(client_calls, "INVALID_CALL_PAUSE_S", 0.2)

    async def scene(t):
        raw = Raw(t.address).asks(1, room="-1").asks(2).send()
        await until(lambda: any(c.is_paused for c in t.service.client_connections.clients.values()))
        raw.close()
        await asyncio.sleep(0.4)
        return (
            pulls(t),
            len(t.service.client_connections.clients),
            t.service.client_connections.memory.buffered_bytes,
        )

    assert run_scenario(scene, tmp_path) == ([], 1, 0)


def test_no_further_push_once_the_client_went_while_the_loop_stood_still(tmp_path):
    """The push's time and the client's end both come about during the stall: the end is read first."""

    async def scene(t):
        await warm(t)
        t.service.state.decisions.retry_budget.tokens = 10.0
        for machine in t.machines.values():
            machine.act = "silent"
        raw = Raw(t.address).asks(2, allow="1600", lookup=f"{1000:016x}").send()
        await until(lambda: len(pulls(t)) == 1)
        due = t.service.state.next_at()
        assert due - t.service.now() < 1.0  # time is left then for a further push
        raw.close()
        time.sleep(due - t.service.now() + 0.05)
        await asyncio.sleep(0.1)
        return len(pulls(t)), t.service.state.requests.open

    assert run_scenario(scene, tmp_path) == (1, {})


def test_no_further_push_on_an_answer_that_lay_there_with_the_clients_end(tmp_path):
    async def scene(t):
        await warm(t)
        t.service.state.decisions.retry_budget.tokens = 10.0
        first = []
        for machine in t.machines.values():
            machine.act = lambda line: first.append(line) or "silent"
        raw = Raw(t.address).asks(1).send()
        await until(lambda: first)
        name, machine = first[0][1].encode(), next(m for m in t.machines.values() if m.seen)
        line = next(n for n in t.service.upstream_connections.pool.connections if name in n.in_flight)
        writer = next(
            w for w in machine.writers if w.get_extra_info("peername") == line.stream.socket.getsockname()
        )
        os.write(writer.get_extra_info("socket").fileno(), b"%b failed - 0\r\n\r\n" % name)
        raw.close()
        await asyncio.sleep(0.2)
        return len(pulls(t)), t.service.state.requests.open

    assert run_scenario(scene, tmp_path) == (1, {})


# closes of ours and calls that come just then


def test_a_connection_is_not_closed_between_the_read_of_a_call_and_its_round(tmp_path):
    async def scene(t):
        post = t.service.client_connections.calls.post

        def and_close(event):
            post(event)
            if isinstance(event, RequestReceived):
                t.service.client_connections.make_capacity()

        t.service.client_connections.calls.post = and_close
        t.caller.ask(1)
        return await t.caller.hear()

    assert run_scenario(scene, tmp_path) == (1, "satisfied 19")


def test_a_call_that_lies_unread_keeps_its_idle_connection(tmp_path, monkeypatch):
    """It came after the last look for it and before the close."""

    async def scene(t):
        raw, silent = Raw(t.address), client_connection.ClientConnection.has_no_unread_bytes
        await until(lambda: len(t.service.client_connections.clients) == 2)
        monkeypatch.setattr(
            client_connection.ClientConnection,
            "has_no_unread_bytes",
            lambda c: raw.asks(1).send() and silent(c) if c.number == 2 else silent(c),
        )
        t.service.client_connections.close_gracefully(
            t.service.client_connections.clients[2], CloseReason.IDLE
        )
        return await (await raw.caller()).hear()

    assert run_scenario(scene, tmp_path) == (1, "satisfied 19")


def test_a_call_that_crosses_a_close_of_ours_resets_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(client_connections, "IDLE_TIMEOUT_S", 0.1)

    async def scene(t):
        raw = Raw(t.address).asks(1).send()
        caller = await raw.caller()
        heard = [await caller.hear(), await caller.hear()]  # the answer, then the end
        caller.ask(2)
        await asyncio.sleep(0.05)
        return (
            heard,
            caller.reader.exception(),
            len(pulls(t)),
            len(t.service.client_connections.lingering) > 0,
        )

    assert run_scenario(scene, tmp_path) == ([(1, "satisfied 19"), None], None, 1, True)


def test_who_breaks_the_protocol_still_hears_what_was_answered_over_unread_bytes(tmp_path, monkeypatch):
    monkeypatch.setattr(client_calls, "INVALID_CALL_PAUSE_S", 0.0)

    async def scene(t):
        raw = Raw(t.address).asks(*range(1, 9), room="-1")
        raw.write(b"\0" * 300_000)
        caller = await raw.send().caller()
        heard = [await caller.hear() for _ in range(9)]
        return [h and h[1] for h in heard], caller.reader.exception()

    heard, fault = run_scenario(scene, tmp_path)
    assert heard == ["exception room: missing or unusable"] * 8 + [None] and fault is None


def test_queries_taken_before_bytes_that_cannot_be_read_are_answered(tmp_path):
    """In one piece with them; then the connection is closed, and what comes behind them is no call."""

    async def scene(t):
        raw = Raw(t.address).asks(1, 2)
        raw.write(b"\xff" * 70_000)
        raw.asks(3)
        caller = await raw.send().caller()
        return {await caller.hear(), await caller.hear()}, await caller.hear(), len(pulls(t))

    assert run_scenario(scene, tmp_path, machines=caches(delay=0.1)) == (
        {(1, "satisfied 19"), (2, "satisfied 19")},
        None,
        2,
    )


def test_a_query_on_a_resting_connection_as_the_router_ends_is_answered_and_not_sent_on(
    tmp_path, monkeypatch
):
    """It is written after the last query was settled and before the connection's end."""

    async def scene(t):
        raw, silent, sent = Raw(t.address), client_connection.ClientConnection.has_no_unread_bytes, []
        await until(lambda: len(t.service.client_connections.clients) == 2)

        def crossing(client):
            if client.number == 2 and not sent:
                sent.append(raw.asks(1).send())
            return silent(client)

        monkeypatch.setattr(client_connection.ClientConnection, "has_no_unread_bytes", crossing)
        t.service.stop()
        await t.task
        caller = await raw.caller()
        return await caller.hear(), await caller.hear(), caller.reader.exception(), pulls(t)

    assert run_scenario(scene, tmp_path) == ((1, "nack"), None, None, [])


def test_what_is_read_after_the_end_began_is_refused(tmp_path):
    desk = Desk(tmp_path)
    assert desk.ask()[0][:4] == "pull"
    assert [line.split()[0] for line in desk.hear(ShutdownBegan())] == ["kill", "error"]
    assert desk.ask(key=b"bb") == ["nack 1 2 0.0"]
    assert not desk.state.requests.open and not desk.router.requests


def test_told_to_end_before_it_is_ready_it_ends(tmp_path):
    async def play():
        service = Service(read(configuration(), tmp_path), lambda event, **values: None)
        service.stop()
        await asyncio.wait_for(service.run(), 5)
        return service.lifecycle.phase

    assert asyncio.run(play()) == "ended"


# connections that come up late


class Held(upstream_pool.Stream):
    """Connects when `gate` is set."""

    gate = None

    async def connect(self, *address):
        await Held.gate.wait()
        return await super().connect(*address)


def held(scene, folder, monkeypatch, **town):
    """Plays it with connections to servers held: scene(t, push) is called with the first push waiting."""

    async def play(t):
        Held.gate = asyncio.Event()
        t.caller.ask(1, lookup="ab" * 8)
        await until(lambda: any(line.waiting for line in t.service.upstream_connections.pool.connections))
        server = next(
            line.server.server for line in t.service.upstream_connections.pool.connections if line.waiting
        )
        return await scene(t, server)

    monkeypatch.setattr(upstream_pool, "Stream", Held)
    return run_scenario(play, folder, settings=settings(ConnectTimeoutNs=2e9), **town)


@pytest.mark.parametrize("health", ["draining", "removed"])
def test_a_push_that_waits_for_its_connection_is_not_written_to_a_server_told_to_drain(
    tmp_path, monkeypatch, health
):
    async def scene(t, server):
        row = host(server, t.machines[server].port, health=health)
        t.commands.answers.append(Commands.reply(4, listed(4, [row], whole=False)))
        await until(lambda: t.service.state.commands.cursor == 4)
        await asyncio.sleep(0.1)
        Held.gate.set()
        return await t.caller.hear(), [line for line in pulls(t) if line.startswith(server)]

    assert held(scene, tmp_path, monkeypatch) == ((1, "satisfied 19"), [])


def test_a_push_that_waits_names_no_source_told_to_drain_meanwhile(tmp_path, monkeypatch):
    lines = []

    async def scene(t, server):
        t.service.state.decisions.fill_planner.routers_here = 1
        rows = [host(s, t.machines[s].port, health="draining") for s in ("s-11", "s-12")]
        t.commands.answers.append(Commands.reply(4, listed(4, rows, whole=False)))
        await until(lambda: t.service.state.commands.cursor == 4)
        await asyncio.sleep(0.1)
        Held.gate.set()
        return await t.caller.hear(), [("parent=s-11" in line[2], "parent=s-12" in line[2]) for line in lines]

    machines = caches(act=lambda line: lines.append(line) or "data")
    assert held(scene, tmp_path, monkeypatch, machines=machines) == ((1, "satisfied 19"), [(False, False)])


def test_a_push_that_waits_asks_for_no_copy_from_before_a_purge_told_meanwhile(tmp_path, monkeypatch):
    lines = []

    async def scene(t, server):
        drop = {"cursor": 4, "drop": {"id": "ab" * 8, "when": int(time.time() * 1000)}}
        t.service.state.decisions.purges.settled_s = 6.0
        t.commands.answers.append(Commands.reply(4, drop))
        await until(lambda: t.service.state.commands.cursor == 4)
        await asyncio.sleep(0.1)
        Held.gate.set()
        await t.caller.hear()
        return [0 < int(line[2].partition("accept=")[2].split(",")[0] or 0) < 1000 for line in lines]

    machines = caches(act=lambda line: lines.append(line) or "data")
    assert held(scene, tmp_path, monkeypatch, machines=machines) == [True]


def test_a_push_that_waits_is_not_written_once_its_client_went(tmp_path, monkeypatch):
    async def scene(t, server):
        t.caller.writer.transport.abort()
        await until(lambda: not t.service.state.requests.open)
        Held.gate.set()
        await asyncio.sleep(0.1)
        return pulls(t), t.service.upstream_connections.placements

    assert held(scene, tmp_path, monkeypatch) == ([], {})


def test_a_push_that_waited_a_moment_is_written_as_it_was(tmp_path, monkeypatch):
    """A usual connect costs no second decision."""

    async def scene(t, server):
        Held.gate.set()
        return await t.caller.hear(), t.service.state.totals.counts["pushes"], len(pulls(t))

    assert held(scene, tmp_path, monkeypatch) == ((1, "satisfied 19"), 1, 1)


# servers' answers


@pytest.mark.parametrize(
    "spoilt",
    [DATA + DATA, DATA + b"nobody data - 3\r\nyes\r\n", DATA + b"ID da", DATA + b"other data - 90\r\nhalf"],
    ids=["second", "unknown", "half", "no end"],
)
def test_a_connection_that_brought_what_nobody_waits_for_is_not_used_again(tmp_path, spoilt):
    async def scene(t):
        used, write = [], t.service.upstream_connections.write

        def noted(line, wire):
            if wire.startswith(b"PULL"):
                used.append(line)
            write(line, wire)

        t.service.upstream_connections.write = noted
        for machine in t.machines.values():
            machine.act = lambda line: spoilt if len(used) == 1 else "data"
        heard = []
        for n in range(1, 6):
            t.caller.ask(n)
            heard.append(await t.caller.hear())
        await until(lambda: used[0].is_closed)
        return heard, used[0] in used[1:]

    assert run_scenario(scene, tmp_path) == (
        [(1, "satisfied 3")] + [(n, "satisfied 19") for n in range(2, 6)],
        False,
    )


def test_an_answer_that_dribbles_on_after_its_push_was_given_up_ends_its_connection(tmp_path):
    """Each byte is heard, so it is not silent; nobody waits for it."""

    async def scene(t):
        for machine in t.machines.values():
            machine.act = b"ID data - 200000\r\nfirst"
        t.caller.ask(1, allow="100")
        heard = await t.caller.hear()
        line = next(n for n in t.service.upstream_connections.pool.connections if n.answers.head)
        writer = next(w for m in t.machines.values() for w in m.writers if m.seen)
        for _ in range(200):
            if line.is_closed:
                break
            writer.write(b"x")
            await asyncio.sleep(0.01)
        return heard, line.is_closed, t.service.upstream_connections.placements

    assert run_scenario(scene, tmp_path) == ((1, "nack"), True, {})


# descriptors, and the program's start


def test_for_room_the_longest_idle_go_and_none_of_which_half_a_call_has_come(tmp_path):
    async def scene(t):
        t.service.client_connections.max_connections = 6
        half = Raw(t.address)
        wire = half.asks(1).bytes
        half.socket.sendall(wire[:30])
        idle = [await Caller.connect(t.address) for _ in range(3)]
        await until(
            lambda: (
                len(t.service.client_connections.clients) == 5
                and any(c.partial_since for c in t.service.client_connections.clients.values())
            )
        )
        t.service.client_connections.clients[1].used_at += 100.0  # the town's own, used last of all
        late = [await Caller.connect(t.address) for _ in range(2)]
        gone = await idle[0].hear()
        late[-1].ask(2)
        half.socket.sendall(wire[30:])
        return gone, await late[-1].hear(), await (await half.caller()).hear()

    assert run_scenario(scene, tmp_path) == (None, (1, "satisfied 19"), (1, "satisfied 19"))


def test_small_writes_are_never_held_back(tmp_path):
    async def scene(t):
        t.caller.ask(1)
        await t.caller.hear()
        await until(lambda: t.service.command_channel.stream is not None)
        streams = (
            [c.stream for c in t.service.client_connections.clients.values()]
            + [t.service.command_channel.stream]
            + [n.stream for n in t.service.upstream_connections.pool.connections]
        )
        return {s.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0 for s in streams}, len(
            streams
        ) > 2

    assert run_scenario(scene, tmp_path) == ({True}, True)


def test_idle_clients_at_the_systems_bound_starve_neither_discovery_nor_servers(tmp_path):
    """The command channel is down while they come; the settings allow more descriptors than the system."""

    async def scene(t):
        spare = socket.create_server(("127.0.0.1", 0))
        port = spare.getsockname()[1]
        spare.close()
        box = t.machines["s-22"]
        values = {**t.values, "channel": f"127.0.0.1:{port}"}
        values["known"] = {"cursor": 3, "cmds": [listed(3, [host("s-01", t.machines["s-01"].port)])]}
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
        idle = [Raw(address) for _ in range(150)]
        await asyncio.sleep(0.3)
        commands = Commands(Commands.reply(4, listed(4, [host("s-22", box.port)], whole=False)))
        commands.server = await asyncio.start_server(commands.serve, "127.0.0.1", port)
        for n in range(200):
            caller = await Caller.connect(address)
            caller.ask(n)
            heard = await caller.hear()
            if heard and heard[1] == "satisfied 19":
                break
            await asyncio.sleep(0.05)
        router.terminate()
        code = await router.wait()
        for raw in idle:
            raw.close()
        return heard, code

    assert run_scenario(scene, tmp_path) == ((1, "satisfied 19"), 0)


def test_the_share_of_descriptors_is_of_what_the_system_gives(tmp_path, monkeypatch):
    site = read(configuration(), tmp_path)
    monkeypatch.setattr(program.resource, "getrlimit", lambda what: (256, 256))
    assert program.limit_descriptors(site).bounds.sockets == 256
    monkeypatch.setattr(program.resource, "getrlimit", lambda what: (16, 16))
    with pytest.raises(program.StartError, match=r"limits.sockets: .* limit is 16"):
        program.limit_descriptors(site)


def test_sighup_while_it_starts_ends_nothing_and_the_new_file_holds(tmp_path):
    """The file is a pipe: the router stands in the middle of reading it when the signal comes."""

    async def scene(t):
        pipe, new = tmp_path / "n1.json", await Commands().start()
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
        end = await loop.run_in_executor(None, os.open, pipe, os.O_WRONLY)  # it reads
        router.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
        os.write(end, text.encode())
        later = tmp_path / "later.json"
        later.write_text(text.replace(f"127.0.0.1:{t.commands.port}", f"127.0.0.1:{new.port}"))
        os.replace(later, pipe)
        os.close(end)
        await until(lambda: new.polls)
        router.terminate()
        return await router.wait()

    assert run_scenario(scene, tmp_path) == 0


def test_a_frame_in_pieces_is_one_call(tmp_path):
    """The reader looks at once for what stands behind a piece: a call in pieces is taken once, whole."""

    async def scene(t):
        raw = Raw(t.address)
        wire = raw.asks(1).bytes
        for at in range(0, len(wire), 7):
            raw.socket.sendall(wire[at : at + 7])
            await asyncio.sleep(0)
        return await (await raw.caller()).hear(), len(pulls(t))

    assert run_scenario(scene, tmp_path) == ((1, "satisfied 19"), 1)


def test_a_client_that_is_gone_leaves_nothing_behind(tmp_path):
    """Its connection's error held the frame that held it: a cycle a client, for the collector to find."""

    async def scene(t):
        gc.collect()
        gc.disable()
        try:
            for n in range(20):
                caller = await Caller.connect(t.address)
                caller.ask(n)
                await caller.hear()
                caller.writer.close()
            await until(lambda: len(t.service.client_connections.clients) == 1)
            await asyncio.sleep(0.05)
            return sum(isinstance(o, client_connection.ClientConnection) for o in gc.get_objects())
        finally:
            gc.enable()

    assert run_scenario(scene, tmp_path) == 1


def test_the_command_line_leaves_the_word_to_hang_up_as_it_found_it():
    """Under nohup it is ignored: `brookhinge box` must outlive its terminal."""
    script = (
        "import signal, sys\nsignal.signal(signal.SIGHUP, signal.SIG_IGN)\n"
        "sys.argv = ['brookhinge', '--help']\n"
        "from brookhinge.__main__ import main\ntry:\n    main()\nexcept SystemExit:\n    pass\n"
        "print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)"
    )
    done = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout.splitlines()[-1] == "True", done.stderr
