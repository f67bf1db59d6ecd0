"""A router in a process of its own that can be stopped at named points, among stand-ins in the test's process."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from tests.helpers import SERVERS, FakeCacheServer, FakeCommandChannel, ThriftClient, configuration
from tests.test_service import ROOT

CACHES = ("s-21", "s-22", "s-23")
AT_ONCE = 5  # routers
WARMING = 1000  # request ids from here on are satisfied at once


class Program:
    """For `async with`. Cache servers keep their answer to the first attempt until `answer` is set, then say that they have
    nothing; every further attempt, and each while it warms up, is satisfied. `attempts` holds (moment, request id) of each that came, `fields` the fields of each under its request id."""

    def __init__(self, folder, **other):
        self.folder, self.other = Path(folder), other
        self.stop_file = self.folder / "stops"
        self.attempts, self.fields, self.answer, self.lines = [], {}, asyncio.Event(), []

    async def __aenter__(self):
        self.machines = {server: FakeCacheServer() for server in SERVERS}
        for server, machine in self.machines.items():
            machine.answer = self.answering(machine)
            await machine.start()
        self.commands = await FakeCommandChannel().start()
        ports = {server: machine.port for server, machine in self.machines.items()}
        (self.folder / "n1.json").write_text(
            json.dumps(configuration(ports, self.commands.port, **self.other))
        )
        environ = {
            "BALANCER_CONFIG": str(self.folder / "n1.json"),
            "STOP_FILE": str(self.stop_file),
            "STOP_PORT": ",".join(str(ports[server]) for server in CACHES),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.standstill.stoppable",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, **environ},
        )
        while (line := await self.log_line())["event"] != "listening":
            pass
        self.address = "127.0.0.1", int(line["address"].split(":")[1])
        self.reading = asyncio.ensure_future(self.read_log())
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()
        self.reading.cancel()

    async def log_line(self):
        line = await self.process.stdout.readline()
        assert line, "the router ended before it was ready"
        return json.loads(line)

    async def read_log(self):
        while line := await self.process.stdout.readline():
            self.lines.append(json.loads(line))

    def answering(self, machine):
        """What the machine does with an attempt, in place of its own answer."""

        async def answer(writer, line):
            name = line[1]
            first = self.held_back(name) and not any(name == other for _, other in self.attempts)
            self.attempts.append((asyncio.get_running_loop().time(), name))
            self.fields.setdefault(name, []).append(dict(word.split("=") for word in line[2].split(",")))
            if first:
                await self.answer.wait()
                writer.write(f"{name} absent - 0\r\n\r\n".encode())
            else:
                writer.write(
                    f"{name} data n=filled {len(machine.body)}\r\n".encode() + machine.body + b"\r\n"
                )

        return answer

    @staticmethod
    def held_back(name):
        return int(name, 16) < WARMING

    def attempts_for(self, number):
        return [at for at, name in self.attempts if name == f"{number:016x}"]

    def fields_for(self, number):
        return self.fields.get(f"{number:016x}", [])

    # stops

    async def stop_now(self):
        self.process.send_signal(signal.SIGSTOP)
        await self.until_stopped()

    def stop_next_at(self, *points):
        self.stop_file.write_text(" ".join(points))

    async def until_stopped(self, left=0):
        """It is stopped, with so many points to stop at still before it."""
        path = Path(f"/proc/{self.process.pid}/stat")
        for _ in range(2000):
            points = self.stop_file.read_text().split() if self.stop_file.exists() else []
            state = path.read_text().rpartition(")")[2].split()[0]
            if len(points) == left and state == "T":
                return
            await asyncio.sleep(0.005)
        raise AssertionError("the router was never stopped")

    async def go_on(self):
        self.process.send_signal(signal.SIGCONT)

    # clients

    async def warm(self):
        """Connections to every cache server are up and idle."""
        caller = await ThriftClient.connect(self.address)
        for number in range(WARMING, WARMING + 30):
            caller.ask(number, lookup=f"{number:016x}")
            await caller.receive()
        caller.writer.close()


def played(scene, folder, *cases, **other):
    """{case: what scene(program, *case) came back with}: each case has a router of its own, some play at once."""
    at_once = asyncio.Semaphore(AT_ONCE)

    async def play(number, case):
        async with at_once:
            own = Path(folder) / str(number)
            own.mkdir()
            async with Program(own, **other) as program:
                return case, await asyncio.wait_for(scene(program, *case), 30)

    async def play_all():
        return dict(await asyncio.gather(*(play(number, case) for number, case in enumerate(cases))))

    return asyncio.run(play_all())
