"""A rig of several real routers on loopback with faults between and in them: wires that lose, delay, double and cut
datagrams by a seed, processes killed, frozen, thawed, ended, restarted, started with a clock that is off. Boxes, origin and
a command channel for each router stand in this process. Ends only what it started, by id.

    async with ProcessCluster(folder, routers=6) as rig:
        await rig.until(rig.one_view, 10)
        rig.kill("n3"); rig.wires.cut = lambda a, b: {a, b} == {"n1", "n2"}

Waiting is always `until(it holds, at most so long)`: a slow machine takes longer and comes to the same verdict."""

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
OFF = "import time; real = time.time; time.time = lambda: real() + {off}"  # a wall clock that is off
OTHER_VERSION = (
    "import brookhinge.membership.codec as codec; codec.VERSION += 1"  # a program that speaks other messages
)
BOX_MB = 16  # memory of each box
STARTING_S = 60.0  # for a slow machine: twelve processes side by side took 12 s at load 37
MAIN = "; import sys; sys.argv = ['brookhinge']; from brookhinge.__main__ import main; sys.exit(main())"


def seed_of(name):
    """The same in every run, which `hash` is not."""
    return zlib.crc32(name.encode()) % 65536


class Wire(asyncio.DatagramProtocol):
    """The way to one router: peers know it by this address."""

    def __init__(self, wires, name):
        self.wires, self.name = wires, name

    def datagram_received(self, data, address):
        self.wires.carry(self, data, address)


class Wires:
    """cut(a, b): whether what a sends to b is lost; loss, double: chances; delay_s: on the mean."""

    def __init__(self, seed):
        self.chance, self.loss, self.double, self.delay_s, self.corrupt = (
            random.Random(seed),
            0.0,
            0.0,
            0.0,
            0.0,
        )
        self.cut, self.ports, self.ways = lambda a, b: False, {}, {}

    async def open(self, name, host, port, sender=None):
        """Opens a way to the process that listens at host and port; the port that it is known by. sender: the process's
        name where that has more than one way."""
        self.ports[port] = sender or name
        transport, way = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Wire(self, name), local_addr=("127.0.0.1", 0)
        )
        way.transport, way.to = transport, (host, port)
        self.ways[name] = way
        return transport.get_extra_info("sockname")[1]

    def carry(self, way, data, address):
        sender = self.ports.get(address[1])
        if sender is not None and (
            self.cut(sender, way.name.partition("/")[0]) or self.chance.random() < self.loss
        ):
            return
        if self.chance.random() < self.corrupt:
            at = self.chance.randrange(len(data))
            data = data[:at] + bytes([self.chance.randrange(256)]) + data[at + 1 :]
        for _ in range(1 + (self.chance.random() < self.double)):
            wait = self.delay_s * 2 * self.chance.random()
            if wait > 0:
                asyncio.get_running_loop().call_later(wait, self.pass_on, way, data)
            else:
                self.pass_on(way, data)

    @staticmethod
    def pass_on(way, data):
        if not way.transport.is_closing():
            way.transport.sendto(data, way.to)

    def close(self):
        for way in self.ways.values():
            way.transport.close()


class ObservedCacheServer(CacheServer):
    """A box that notes when each query came, and fails some: all kinds alike, by a seed."""

    def __init__(self, stand, seed):
        super().__init__(stand)
        self.came, self.fails, self.chance = [], 0.0, random.Random(f"{seed} {stand.name}")

    async def answer(self, name, raw, body):
        self.came.append(time.monotonic())
        if self.chance.random() < self.fails:
            return protocol.encode_answer(name, protocol.FAILED)
        return await super().answer(name, raw, body)

    def most_in(self, seconds, since=0.0):
        """The most queries that came within any stretch of so many seconds."""
        came = [at for at in self.came if at >= since]
        first = most = 0
        for last, at in enumerate(came):
            while came[first] <= at - seconds:
                first += 1
            most = max(most, last - first + 1)
        return most


class Pipe:
    """The way from one router to one box: TCP, cut short by a seed."""

    def __init__(self, port, seed):
        self.port, self.breaks, self.chance, self.open = port, 0.0, random.Random(seed), set()

    async def listen(self):
        self.server = await asyncio.start_server(self.carry, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def carry(self, reader, writer):
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return writer.transport.abort()
        self.open |= {writer, back}
        try:
            await asyncio.gather(self.pump(reader, back), self.pump(there, writer))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open -= {writer, back}
            writer.transport.abort()
            back.transport.abort()

    async def pump(self, reader, writer):
        while data := await reader.read(65536):
            if self.chance.random() < self.breaks:
                raise ConnectionError
            writer.write(data)
            await writer.drain()
        raise ConnectionError

    def close(self):
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


class ProcessCluster:
    """more: lines that each router's block of the operator's file has beside the usual ones; piped: names of routers that
    reach the boxes over ways of their own (`rig.pipes[router, box]`); first: Python that each router runs first; controls:
    so many control machines of the purge log, c1 and so on, in two regions as the routers are: the first half stands west,
    the rest east. Purges that `rig.feed` tells reach boxes and control machines, not the routers' own channels.
    link_bytes_s: of each router's link; without it a router keeps no copies of its own."""

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
        self.wires, self.origin = Wires(seed), Origin((2_000, 8_000), 0.005)
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
        """Starts all of it; what fails is raised once every router is up or has failed."""
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
                pipe = self.pipes[name, box] = Pipe(self.box_ports[box], f"{seed_of(name)} {box}")
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
        for fault in starts:
            if fault is not None:
                raise fault

    def block(self, name):
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
        """Where a router or control machine stands."""
        names = self.names if name in self.names else self.control_names
        return "west" if names.index(name) < (len(names) + 1) // 2 else "east"

    def control_block(self, name):
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
        """Starts a control machine, with nothing in its memory."""
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
        process = self.controls.pop(name)
        process.send_signal(how)
        await process.wait()

    async def start_box(self, name):
        """Starts a box, or starts it anew, with nothing in its memory."""
        if name in self.boxes:
            await self.boxes[name].stop()
        self.boxes[name] = ObservedCacheServer(
            memory_only_settings(name, self.box_ports[name], self.feed_port, BOX_MB),
            self.seed,
        )
        await self.boxes[name].start()

    async def cold(self, *names):
        """Boxes start anew, and every router that has a command channel is told so."""
        born = round(time.time() * 1000)
        await asyncio.gather(*map(self.start_box, names))
        for channel in self.channels.values():
            for name in names:
                channel.list(name, born_ms=born)

    @staticmethod
    def row(name, kind, site, port):
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
        """Starts a router; back when it accepts connections and listens to the fleet. RuntimeError if it ends before.

        under: with another's name; first: Python that its process runs before the program."""
        self.ports[name], before = free_port(self.host), self.fleet_listenings(name)
        path, said = self.folder / f"{name}.json", under or name
        path.write_text(self.configuration(name, said))
        file = self.folder / "fleet.hcl"
        if under or key:
            file = self.folder / f"{name}.hcl"
            file.write_text(self.block(name).replace(f'"{name}"', f'"{said}"', 1).replace(KEY, key or KEY))
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

        async def settled():
            listens = self.fleet_listenings(name) > before and await self.accepts(name)
            return listens or process.returncode is not None

        if not await self.until(settled, STARTING_S) or process.returncode is not None:
            raise RuntimeError(f"{name} is not up: {(self.folder / f'{name}.log').read_text()[-800:]}")

    def fleet_listenings(self, name):
        """How many processes under this name came as far as to listen to the fleet."""
        log = self.folder / f"{name}.log"
        return sum(line["change"] == "listening" for line in self.log(name, "fleet")) if log.exists() else 0

    def configuration(self, name, said):
        return json.dumps(
            {
                "name": said,
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
        try:
            _, writer = await asyncio.open_connection(self.host, self.ports[name])
            writer.close()
            return True
        except OSError:
            return False

    async def kill(self, name, how=signal.SIGKILL):
        process = self.processes.pop(name)
        process.send_signal(how)
        await process.wait()

    async def end(self, name):
        await self.kill(name, signal.SIGTERM)

    def freeze(self, name):
        self.process(name).send_signal(signal.SIGSTOP)

    def thaw(self, name):
        self.process(name).send_signal(signal.SIGCONT)

    def process(self, name):
        """The process of a router or control machine."""
        return self.processes.get(name) or self.controls[name]

    def last_rule(self, name):
        """What a router logged last of its proof: `proven`, `stale` ..."""
        rules = ("stale", "proven", "aside", "readmit", "drop")
        changes = [line["change"] for line in self.log(name, "purge log") if line["change"] in rules]
        return changes[-1] if changes else None

    def read_at(self, name):
        """The control machine at which a router reads, as it logged last."""
        machines = [line["machine"] for line in self.log(name, "purge log") if line["change"] == "reads at"]
        return machines[-1] if machines else None

    async def caller(self, name):
        return await ThriftCaller((self.host, self.ports[name])).connect()

    async def view(self, name):
        """What a router believes: {member: state}, or None if it does not answer."""
        seen = await query_status((self.host, self.udp[name]), "rig", bytes.fromhex(KEY))
        return seen and {row[0]: row[1] for row in seen[0]}

    async def parts(self, name):
        """What a router says of the limits that it shares."""
        return await self.shown(name, StatusTopic.LIMITS)

    async def verdicts(self, name):
        """What it says of servers in question."""
        return await self.shown(name, StatusTopic.VERDICTS)

    async def shown(self, name, what):
        seen = await query_status((self.host, self.udp[name]), "rig", bytes.fromhex(KEY), what)
        return seen and seen[0]

    async def one_view(self, names=None, but=(), others=()):
        """Whether all those hold just each other for living, and `others`, who are not asked."""
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
        """Waits until holds() does; seconds it took, or None."""
        began = time.monotonic()
        while True:
            told = holds()
            if asyncio.iscoroutine(told):
                told = await told
            if told:
                return max(1e-6, time.monotonic() - began)
            if time.monotonic() - began > at_most_s:
                return None
            await asyncio.sleep(0.05)

    def log(self, name, event):
        """Lines of that event in a router's log."""
        text = (self.folder / f"{name}.log").read_text().splitlines()
        return [
            line for line in map(json.loads, (t for t in text if t.startswith("{"))) if line["event"] == event
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
