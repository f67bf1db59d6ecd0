"""A router in its own process that can be stopped at named points, with fakes of its peers in the test process."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from tests.helpers import SERVERS, FakeCacheServer, FakeCommandChannel, ThriftClient, configuration
from tests.test_service import ROOT

CACHES = ("s-21", "s-22", "s-23")
MAX_CONCURRENT_ROUTERS = 5
WARM_UP_FIRST_ID = 1000  # requests with this id or a higher one are satisfied at once


class StoppableRouter:
    """A router process for use with `async with`.

    Cache servers delay their response to the first attempt of a request until `miss_released` is set, then report a miss. They
    satisfy every further attempt, and warm-up requests at once. `attempts` holds (time, request id) of every attempt that
    they received, `fields` the fields of these attempts by request id."""

    def __init__(self, folder, **configuration_values):
        self.folder, self.configuration_values = Path(folder), configuration_values
        self.stop_file = self.folder / "stops"
        self.attempts, self.fields, self.miss_released, self.lines = [], {}, asyncio.Event(), []

    async def __aenter__(self):
        self.machines = {server: FakeCacheServer() for server in SERVERS}
        for server, machine in self.machines.items():
            machine.answer = self.response_handler(machine)
            await machine.start()
        self.commands = await FakeCommandChannel().start()
        ports = {server: machine.port for server, machine in self.machines.items()}
        (self.folder / "n1.json").write_text(
            json.dumps(configuration(ports, self.commands.port, **self.configuration_values))
        )
        environment = {
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
            env={**os.environ, **environment},
        )
        while (line := await self.read_log_line())["event"] != "listening":
            pass
        self.address = "127.0.0.1", int(line["address"].split(":")[1])
        self.log_reader = asyncio.ensure_future(self.read_log())
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()
        self.log_reader.cancel()

    async def read_log_line(self):
        line = await self.process.stdout.readline()
        assert line, "the router ended before it was ready"
        return json.loads(line)

    async def read_log(self):
        while line := await self.process.stdout.readline():
            self.lines.append(json.loads(line))

    def response_handler(self, machine):
        """Returns the function that replaces the cache server's own response to an attempt."""

        async def respond(writer, line):
            request_id = line[1]
            is_first = self.is_delayed(request_id) and not any(
                request_id == earlier for _, earlier in self.attempts
            )
            self.attempts.append((asyncio.get_running_loop().time(), request_id))
            self.fields.setdefault(request_id, []).append(
                dict(word.split("=") for word in line[2].split(","))
            )
            if is_first:
                await self.miss_released.wait()
                writer.write(f"{request_id} absent - 0\r\n\r\n".encode())
            else:
                writer.write(
                    f"{request_id} data n=filled {len(machine.body)}\r\n".encode() + machine.body + b"\r\n"
                )

        return respond

    @staticmethod
    def is_delayed(request_id):
        return int(request_id, 16) < WARM_UP_FIRST_ID

    def attempts_for(self, number):
        return [at for at, request_id in self.attempts if request_id == f"{number:016x}"]

    def fields_for(self, number):
        return self.fields.get(f"{number:016x}", [])

    # control of the process

    async def stop_now(self):
        self.process.send_signal(signal.SIGSTOP)
        await self.until_stopped()

    def stop_next_at(self, *points):
        self.stop_file.write_text(" ".join(points))

    async def until_stopped(self, remaining_points=0):
        """Waits until the process is stopped and the stop file lists only this many further points."""
        path = Path(f"/proc/{self.process.pid}/stat")
        for _ in range(2000):
            points = self.stop_file.read_text().split() if self.stop_file.exists() else []
            state = path.read_text().rpartition(")")[2].split()[0]
            if len(points) == remaining_points and state == "T":
                return
            await asyncio.sleep(0.005)
        raise AssertionError("the router was not stopped within 10 s")

    async def resume(self):
        self.process.send_signal(signal.SIGCONT)

    # clients

    async def warm_up(self):
        """Makes the router open connections to every cache server and leave them idle."""
        client = await ThriftClient.connect(self.address)
        for number in range(WARM_UP_FIRST_ID, WARM_UP_FIRST_ID + 30):
            client.ask(number, lookup=f"{number:016x}")
            await client.receive()
        client.writer.close()


def run_cases(scene, folder, *cases, **configuration_values):
    """Runs scene(router, *case) for each case with a router of its own, some concurrently; returns {case: result}."""
    slots = asyncio.Semaphore(MAX_CONCURRENT_ROUTERS)

    async def run_case(number, case):
        async with slots:
            case_folder = Path(folder) / str(number)
            case_folder.mkdir()
            async with StoppableRouter(case_folder, **configuration_values) as router:
                return case, await asyncio.wait_for(scene(router, *case), 30)

    async def run_all():
        return dict(await asyncio.gather(*(run_case(number, case) for number, case in enumerate(cases))))

    return asyncio.run(run_all())
