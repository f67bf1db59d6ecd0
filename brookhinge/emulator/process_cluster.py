"""Runs a cluster of several real routers on loopback, with faults between and in them.

Relays lose, delay, duplicate and cut off datagrams according to a seed; processes are killed, frozen, thawed,
ended, restarted, or started with a wrong clock. The cache servers, the origin and one command channel per
router run in this process. Child processes are ended by process id.

    async with ProcessCluster(folder, routers=6) as rig:
        await rig.until(rig.one_view, 10)
        rig.kill("n3"); rig.wires.cut = lambda a, b: {a, b} == {"n1", "n2"}

Tests wait with `until(condition, at_most_s)`, so that a slow machine takes longer for the same result.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time
import zlib
from pathlib import Path

from brookhinge.cache_server import CacheServer, protocol
from brookhinge.emulator.command_channel import CommandChannel
from brookhinge.emulator.local_deployment import end_all, memory_only_settings, settings
from brookhinge.emulator.origin import Origin
from brookhinge.emulator.ports import free_port, own_host
from brookhinge.emulator.thrift_caller import ThriftCaller
from brookhinge.membership.messages import StatusTopic
from brookhinge.membership.status_query import query_status

KEY = "0123456789abcdef" * 2
BLOCK = """fleet "{name}" {{
  listen    = "{host}:{port}"
  advertise = "127.0.0.1:{relay}"
  join      = [{join}]
  site      = "rig"
  key       = "{key}"
  zone      = "edge-1"
  lease_s   = {lease_s}
{more}}}
"""
READER = """  region        = "{region}"
  purge_log     = true
  purge_notices = false
  log_listen    = "{host}:{port}"
  log_advertise = "127.0.0.1:{relay}"
"""
CONTROL = """control "{name}" {{
  listen    = "{host}:{port}"
  advertise = "127.0.0.1:{relay}"
  site      = "rig"
  key       = "{key}"
  region    = "{region}"
  channel   = "127.0.0.1:{channel}"
  proof_s   = {proof_s}
}}
"""
OFF = "import time; real = time.time; time.time = lambda: real() + {off}"  # patches the wall clock
# A program that speaks another version of the fleet protocol.
OTHER_VERSION = "import brookhinge.membership.codec as codec; codec.VERSION += 1"
CACHE_SERVER_MB = 16  # memory of each cache server
START_TIMEOUT_S = 60.0  # on a slow machine: 12 processes started together took 12 s at load 37
MAIN = "; import sys; sys.argv = ['brookhinge']; from brookhinge.__main__ import main; sys.exit(main())"


def seed_of(name):
    """Returns a number that is the same for a name in every run, unlike `hash`."""
    return zlib.crc32(name.encode()) % 65536


class UdpRelay(asyncio.DatagramProtocol):
    """UDP relay in front of one process, which its peers know by the relay's address."""

    def __init__(self, wires, name):
        self.wires, self.name = wires, name

    def datagram_received(self, data, address):
        """Relays a datagram."""
        self.wires.carry(self, data, address)


class UdpRelays:
    """The relays of all processes, and their faults.

    Attributes:
        chance: Random number generator of the faults.
        loss: Probability that a datagram is lost.
        double: Probability that a datagram is sent twice.
        delay_s: Mean delay of a datagram.
        corrupt: Probability that one byte of a datagram is replaced.
        cut: Function of two process names: whether datagrams from the first to the second are lost.
        ports: Names of the processes by the port that they send from.
        relays: Relays by name.
    """

    def __init__(self, seed):
        self.chance, self.loss, self.double, self.delay_s, self.corrupt = (
            random.Random(seed),
            0.0,
            0.0,
            0.0,
            0.0,
        )
        self.cut, self.ports, self.relays = lambda a, b: False, {}, {}

    async def open(self, name, host, port, sender=None):
        """Opens a relay to the process that listens at host and port; returns the relay's port.

        Args:
            name: Name of the relay.
            host: Host of the process.
            port: Port of the process.
            sender: Name of the process if it differs from the relay's, since it has several relays.
        """
        self.ports[port] = sender or name
        transport, relay = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: UdpRelay(self, name), local_addr=("127.0.0.1", 0)
        )
        relay.transport, relay.to = transport, (host, port)
        self.relays[name] = relay
        return transport.get_extra_info("sockname")[1]

    def carry(self, relay, data, address):
        """Relays a datagram, subject to the faults."""
        sender = self.ports.get(address[1])
        if sender is not None and (
            self.cut(sender, relay.name.partition("/")[0]) or self.chance.random() < self.loss
        ):
            return
        if self.chance.random() < self.corrupt:
            at = self.chance.randrange(len(data))
            data = data[:at] + bytes([self.chance.randrange(256)]) + data[at + 1 :]
        for _ in range(1 + (self.chance.random() < self.double)):
            wait = self.delay_s * 2 * self.chance.random()
            if wait > 0:
                asyncio.get_running_loop().call_later(wait, self.forward, relay, data)
            else:
                self.forward(relay, data)

    @staticmethod
    def forward(relay, data):
        """Sends a datagram to the process behind a relay."""
        if not relay.transport.is_closing():
            relay.transport.sendto(data, relay.to)

    def close(self):
        """Closes all relays."""
        for relay in self.relays.values():
            relay.transport.close()


class ObservedCacheServer(CacheServer):
    """Cache server that records the arrival of each request and fails a seeded share of them.

    Attributes:
        arrival_times: Arrival time of each request.
        fails: Share of the requests that are answered with `failed`.
        chance: Random number generator of the failures.
    """

    def __init__(self, settings_, seed):
        super().__init__(settings_)
        self.arrival_times, self.fails, self.chance = [], 0.0, random.Random(f"{seed} {settings_.name}")

    async def answer(self, name, raw, body):
        """Returns the answer to a request."""
        self.arrival_times.append(time.monotonic())
        if self.chance.random() < self.fails:
            return protocol.encode_answer(name, protocol.FAILED)
        return await super().answer(name, raw, body)

    def most_in(self, seconds, since=0.0):
        """Returns the highest number of requests that arrived within any window of this length."""
        arrivals = [at for at in self.arrival_times if at >= since]
        first = most = 0
        for last, at in enumerate(arrivals):
            while arrivals[first] <= at - seconds:
                first += 1
            most = max(most, last - first + 1)
        return most


class TcpRelay:
    """TCP relay from one router to one cache server, which breaks connections according to a seed.

    Attributes:
        port: Port of the cache server.
        breaks: Probability that a connection breaks at each block read.
        chance: Random number generator of the breaks.
        open: Writers of all open connections.
    """

    def __init__(self, port, seed):
        self.port, self.breaks, self.chance, self.open = port, 0.0, random.Random(seed), set()

    async def listen(self):
        """Starts listening; returns the port."""
        self.server = await asyncio.start_server(self.carry, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def carry(self, reader, writer):
        """Relays one connection until either side ends it or it breaks."""
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return writer.transport.abort()
        self.open |= {writer, server_writer}
        try:
            await asyncio.gather(self.pump(reader, server_writer), self.pump(server_reader, writer))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open -= {writer, server_writer}
            writer.transport.abort()
            server_writer.transport.abort()

    async def pump(self, reader, writer):
        """Copies one direction of a connection; always ends with ConnectionError."""
        while data := await reader.read(65536):
            if self.chance.random() < self.breaks:
                raise ConnectionError
            writer.write(data)
            await writer.drain()
        raise ConnectionError

    def close(self):
        """Stops listening and aborts all connections."""
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


class ProcessCluster:
    """Runs the cluster while its `async with` block runs.

    Routers (n1, ...) and control machines of the purge log (c1, ...) are divided over two regions: the first
    half of each is in `west`, the rest in `east`. Purges that `feed` publishes reach cache servers and
    control machines, but not the routers' own channels.

    Attributes:
        folder: Directory of the settings and logs of the processes.
        settings: Arguments of `local_deployment.settings` for the routers.
        lease_s: Seconds of the `lease_s` setting in the routers' blocks of the operator file.
        boxes: Cache servers by name.
        more: Additional lines of each router's block in the operator file.
        piped: Names of the routers that reach the cache servers over TCP relays.
        pipes: TCP relays by router and cache server.
        seed: Seed of the faults.
        feed: Command channel of the cache servers and control machines.
        first: Python that each router runs before the program.
        host: Loopback address of the processes' own listeners.
        link_bytes_s: Bytes per second of each router's link; at 0 a router stores no copies of its own.
        names: Names of the routers.
        control_names: Names of the control machines.
        proof_s: Seconds for which a proof of the purge log is valid.
        box_names: Names of the cache servers.
        wires: UDP relays between the processes.
        origin: Emulated origin.
        channels: Command channel of each router.
        processes: Running routers by name.
        controls: Running control machines by name.
    """

    def __init__(
        self,
        folder,
        routers=6,
        boxes=2,
        seed=1,
        lease_s=5,
        more="",
        piped=(),
        first="",
        controls=0,
        proof_s=3.0,
        link_bytes_s=0,
        **settings_,
    ):
        self.folder, self.settings, self.lease_s, self.boxes = Path(folder), settings_, lease_s, {}
        self.more, self.piped, self.pipes, self.seed = (
            "".join(f"  {line}\n" for line in more.splitlines()),
            piped,
            {},
            seed,
        )
        self.feed = CommandChannel()
        self.box_ports, self.first, self.host = {}, first, own_host()
        self.link_bytes_s = link_bytes_s
        self.names = [f"n{k + 1}" for k in range(routers)]
        self.control_names, self.proof_s = [f"c{k + 1}" for k in range(controls)], proof_s
        self.box_names = [f"s-{k + 1}" for k in range(boxes)]
        self.wires, self.origin = UdpRelays(seed), Origin((2_000, 8_000), 0.005)
        self.channels, self.ports, self.udp, self.relay, self.processes = {}, {}, {}, {}, {}
        self.log_ports, self.log_relay, self.controls = {}, {}, {}

    async def __aenter__(self):
        try:
            await self.begin()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def begin(self):
        """Starts everything; raises the first failure of a router once all have started or failed."""
        self.folder.mkdir(parents=True, exist_ok=True)
        _, origin_port = self.origin.listen()
        rows = [self.row("origin", "origin", "hub", origin_port)]
        _, self.feed_port = await self.feed.listen()
        for name in self.box_names:
            self.box_ports[name] = free_port()
            rows.append(self.row(name, "box", "edge-1", self.box_ports[name]))
            self.feed.hosts = {row["host"]: row for row in rows}
            await self.start_box(name)
        for name in self.names:
            self.udp[name] = free_port(self.host)
            self.relay[name] = await self.wires.open(name, self.host, self.udp[name])
            self.channels[name] = CommandChannel([dict(row) for row in rows])
            for box in self.box_names if name in self.piped else ():
                pipe = self.pipes[name, box] = TcpRelay(self.box_ports[box], f"{seed_of(name)} {box}")
                self.channels[name].hosts[box]["dial"] = f"127.0.0.1:{await pipe.listen()}"
            await self.channels[name].listen()
        for name in [*self.control_names, *(self.names if self.control_names else ())]:
            self.log_ports[name] = free_port(self.host)
            self.log_relay[name] = await self.wires.open(f"{name}/log", self.host, self.log_ports[name], name)
        self.join = ", ".join(f'"127.0.0.1:{self.relay[name]}"' for name in self.names[:3])
        blocks = [*map(self.block, self.names), *map(self.control_block, self.control_names)]
        (self.folder / "fleet.hcl").write_text("".join(blocks))
        await asyncio.gather(*map(self.start_control, self.control_names))
        starts = await asyncio.gather(*(self.start(name) for name in self.names), return_exceptions=True)
        for error in starts:
            if error is not None:
                raise error

    def block(self, name):
        """Returns a router's block of the operator file."""
        reader = ""
        if self.control_names:
            reader = READER.format(
                region=self.region(name),
                host=self.host,
                port=self.log_ports[name],
                relay=self.log_relay[name],
            )
        return BLOCK.format(
            name=name,
            host=self.host,
            port=self.udp[name],
            relay=self.relay[name],
            join=self.join,
            key=KEY,
            lease_s=self.lease_s,
            more=self.more + reader,
        )

    def region(self, name):
        """Returns the region of a router or control machine."""
        names = self.names if name in self.names else self.control_names
        return "west" if names.index(name) < (len(names) + 1) // 2 else "east"

    def control_block(self, name):
        """Returns a control machine's block of the operator file."""
        return CONTROL.format(
            name=name,
            host=self.host,
            port=self.log_ports[name],
            relay=self.log_relay[name],
            key=KEY,
            region=self.region(name),
            channel=self.feed_port,
            proof_s=self.proof_s,
        )

    async def start_control(self, name):
        """Starts a control machine with empty memory."""
        args = ["control", "serve", "--file", str(self.folder / "fleet.hcl"), "--name", name]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.controls[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "brookhinge",
                *args,
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parents[2],
            )

    async def kill_control(self, name, how=signal.SIGKILL):
        """Sends a signal to a control machine and waits for its end."""
        process = self.controls.pop(name)
        process.send_signal(how)
        await process.wait()

    async def start_box(self, name):
        """Starts or restarts a cache server with empty memory."""
        if name in self.boxes:
            await self.boxes[name].stop()
        self.boxes[name] = ObservedCacheServer(
            memory_only_settings(name, self.box_ports[name], self.feed_port, CACHE_SERVER_MB),
            self.seed,
        )
        await self.boxes[name].start()

    async def restart_cold(self, *names):
        """Restarts cache servers; the routers' command channels list them with the new start time."""
        born = round(time.time() * 1000)
        await asyncio.gather(*map(self.start_box, names))
        for channel in self.channels.values():
            for name in names:
                channel.list(name, born_ms=born)

    @staticmethod
    def row(name, kind, site, port):
        """Returns a server's row of the endpoint list."""
        return {
            "host": name,
            "dial": f"127.0.0.1:{port}",
            "site": site,
            "class": kind,
            "block": 0,
            "health": "up",
            "share": 4,
            "born_ms": 0,
        }

    async def start(self, name, first="", under=None, key=None):
        """Starts a router; returns once it accepts connections and listens to the fleet.

        Args:
            name: Name of the router.
            first: Python that its process runs before the program, or empty for the cluster's.
            under: Name of another router that it uses instead of its own, or None.
            key: Fleet key that it uses instead of the cluster's, or None.

        Raises:
            RuntimeError: The router ended or did not start in time.
        """
        self.ports[name], before = free_port(self.host), self.fleet_listenings(name)
        path, used_name = self.folder / f"{name}.json", under or name
        path.write_text(self.configuration(name, used_name))
        file = self.folder / "fleet.hcl"
        if under or key:
            file = self.folder / f"{name}.hcl"
            file.write_text(
                self.block(name).replace(f'"{name}"', f'"{used_name}"', 1).replace(KEY, key or KEY)
            )
        first = first or self.first
        args = ["-c", first + MAIN] if first else ["-m", "brookhinge"]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *args,
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parents[2],
                env={**os.environ, "BALANCER_CONFIG": str(path), "BROOKHINGE_FLEET": str(file)},
            )
        process = self.processes[name]

        async def started_or_ended():
            listens = self.fleet_listenings(name) > before and await self.accepts(name)
            return listens or process.returncode is not None

        if not await self.until(started_or_ended, START_TIMEOUT_S) or process.returncode is not None:
            raise RuntimeError(f"{name} is not up: {(self.folder / f'{name}.log').read_text()[-800:]}")

    def fleet_listenings(self, name):
        """Returns how many processes have logged under this name that they listen to the fleet."""
        log = self.folder / f"{name}.log"
        return sum(line["change"] == "listening" for line in self.log(name, "fleet")) if log.exists() else 0

    def configuration(self, name, used_name):
        """Returns a router's configuration as JSON."""
        return json.dumps(
            {
                "name": used_name,
                "listen": f"{self.host}:{self.ports[name]}",
                "seed": f"{seed_of(name):x}",
                "channel": "%s:%d" % self.channels[name].server.sockets[0].getsockname()[:2],
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "flow_bytes_per_s": self.link_bytes_s,
                "link_bytes_per_s": self.link_bytes_s,
                "known": self.channels[name].answer(0),
                "settings": {**settings(**self.settings), "Instances": len(self.names)},
            }
        )

    async def accepts(self, name):
        """Returns whether a router accepts connections."""
        try:
            _, writer = await asyncio.open_connection(self.host, self.ports[name])
            writer.close()
            return True
        except OSError:
            return False

    async def kill(self, name, how=signal.SIGKILL):
        """Sends a signal to a router and waits for its end."""
        process = self.processes.pop(name)
        process.send_signal(how)
        await process.wait()

    async def end(self, name):
        """Ends a router with SIGTERM."""
        await self.kill(name, signal.SIGTERM)

    def freeze(self, name):
        """Stops a process with SIGSTOP."""
        self.process(name).send_signal(signal.SIGSTOP)

    def thaw(self, name):
        """Continues a stopped process."""
        self.process(name).send_signal(signal.SIGCONT)

    def process(self, name):
        """Returns the process of a router or control machine."""
        return self.processes.get(name) or self.controls[name]

    def last_rule(self, name):
        """Returns the copy rule that a router logged last (`proven`, `stale`, ...), or None."""
        rules = ("stale", "proven", "aside", "readmit", "drop")
        changes = [line["change"] for line in self.log(name, "purge log") if line["change"] in rules]
        return changes[-1] if changes else None

    def read_at(self, name):
        """Returns the control machine that a router reads from according to its log, or None."""
        machines = [line["machine"] for line in self.log(name, "purge log") if line["change"] == "reads at"]
        return machines[-1] if machines else None

    async def caller(self, name):
        """Returns a connected caller of a router."""
        return await ThriftCaller((self.host, self.ports[name])).connect()

    async def view(self, name):
        """Returns a router's view as {member: state}, or None if it does not answer."""
        answer = await query_status((self.host, self.udp[name]), "rig", bytes.fromhex(KEY))
        return answer and {row[0]: row[1] for row in answer[0]}

    async def parts(self, name):
        """Returns a router's status of the shared limits, or None if it does not answer."""
        return await self.query_topic(name, StatusTopic.LIMITS)

    async def verdicts(self, name):
        """Returns a router's status of the servers with outlier evidence, or None if it does not answer."""
        return await self.query_topic(name, StatusTopic.VERDICTS)

    async def query_topic(self, name, topic):
        """Returns the rows of a status topic of a router, or None if it does not answer."""
        answer = await query_status((self.host, self.udp[name]), "rig", bytes.fromhex(KEY), topic)
        return answer and answer[0]

    async def one_view(self, names=None, but=(), others=()):
        """Returns whether the routers' views hold exactly themselves and `others` as alive or suspected.

        Args:
            names: Routers that are queried, or None for all that run except `but`.
            but: Running routers that are left out.
            others: Members that the views must hold as well, but that are not queried.
        """
        names = names or [name for name in self.processes if name not in but]
        views = await asyncio.gather(*map(self.view, names))
        return all(
            view is not None
            and {member for member, state in view.items() if state in ("alive", "suspected")}
            == {*names, *others}
            for view in views
        )

    @staticmethod
    async def until(holds, at_most_s):
        """Waits until a condition holds; returns the seconds that it took, or None after `at_most_s`."""
        began = time.monotonic()
        while True:
            result = holds()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return max(1e-6, time.monotonic() - began)
            if time.monotonic() - began > at_most_s:
                return None
            await asyncio.sleep(0.05)

    def log(self, name, event):
        """Returns the lines of an event in a process's log."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [
            line
            for line in map(json.loads, (text for text in lines if text.startswith("{")))
            if line["event"] == event
        ]

    async def __aexit__(self, *_):
        await end_all([*self.processes.values(), *self.controls.values()])
        self.wires.close()
        for pipe in self.pipes.values():
            pipe.close()
        for channel in self.channels.values():
            channel.end()
        for box in self.boxes.values():
            await box.stop()
        self.feed.end()
        self.origin.end()
