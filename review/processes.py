"""Starts the project's own programs as processes, with the commands of the deploy file, and ends them."""

import asyncio
import json
import os
import socket
import tomllib
from pathlib import Path

from review.thrift_client import Client

ROOT = Path(__file__).resolve().parents[1]
READY_S = 20.0


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Processes:
    """The processes of one run; all are ended by their ids.

    Attributes:
        folder: Temporary folder of the run, for configurations and logs.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._running: list[asyncio.subprocess.Process] = []

    async def start_router(self, name: str, config: dict) -> tuple[str, int]:
        """Start a router by the `run` line of the deploy file; return its address once it is well.

        Raises:
            RuntimeError: It does not get ready in time.
        """
        port = free_port()
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({**config, "name": name, "listen": f"127.0.0.1:{port}"}))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "BALANCER_NAME": name,
            "BALANCER_LISTEN": f"127.0.0.1:{port}",
            "BALANCER_CONFIG": str(path),
        }
        await self.start(name, ["/bin/sh", "-c", run], environment)
        deadline = asyncio.get_running_loop().time() + READY_S
        while asyncio.get_running_loop().time() < deadline:
            client = Client(("127.0.0.1", port), 0)
            try:
                await client.connect()
                if await client.is_well():
                    return "127.0.0.1", port
            except OSError:
                pass
            finally:
                client.close()
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{name} is not ready within {READY_S:g} s: {self.log(name)[-800:]}")

    async def start(
        self, name: str, command: list[str], environment: dict[str, str] | None = None
    ) -> asyncio.subprocess.Process:
        """Start a program from the root of the project; its output goes to a file in the folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._running.append(process)
        return process

    def log(self, name: str) -> str:
        """Return what a program has written so far."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def end_all(self) -> None:
        """Kill all processes that still run, and wait for them."""
        for process in self._running:
            if process.returncode is None:
                process.kill()
        for process in self._running:
            await process.wait()
