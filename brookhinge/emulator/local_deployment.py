"""Runs a local deployment on free loopback ports.

The origin and the command channel run in this process. The parent and the cache servers run as child
processes, so that they can be killed, and so does the optional router. Child processes are ended by process
id.
"""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

from brookhinge.cache_server import CacheServer
from brookhinge.emulator.command_channel import CommandChannel
from brookhinge.emulator.origin import Origin
from brookhinge.emulator.ports import free_port
from brookhinge.emulator.thrift_caller import ThriftCaller
from brookhinge.operator.settings import CacheServerSettings, StoreSettings

BOX = """box "{name}" {{
  listen  = "127.0.0.1:{port}"
  channel = "127.0.0.1:{channel}"
  drain_s = 0.5
  store {{
    dir        = "{dir}"
    memory_mb  = {memory_mb}
    disk_mb    = {disk_mb}
    segment_mb = {segment_mb}
    sync_s     = 0.2
    snapshot_s = {snapshot_s}
  }}
}}
"""


def settings(aim_s=0.3, patience_s=3.0, warm_s=5.0, longest_hint_s=0.0, flow_kb_s=0.0):
    """Returns the settings of a router in this deployment."""
    return {
        "Az": "edge-1",
        "Zones": ["hub", "edge-1"],
        "MachineTypes": ["box", "parent", "origin"],
        "Instances": 1,
        "Classes": [
            {"Name": "page", "AimNs": aim_s * 1e9, "DeadlineNs": patience_s * 1e9, "Effect": "retryable"}
        ],
        "Limits": {
            "MaxAttempts": 4,
            "Cancel": True,
            "ConnectTimeoutNs": 2e8,
            "Multiplex": 32,
            "RetryAfter": longest_hint_s > 0,
            "MaxRetryAfterNs": longest_hint_s * 1e9,
        },
        "Rules": {"ColdFrom": 0.3, "WarmUpNs": warm_s * 1e9, "FallMultiple": 3.0, "FallNs": 1e9},
        "Report": {"Columns": ["cpu"]},
        "WeightSource": "nominal",
        "Specifics": {
            "UpperKind": 1,
            "MasterKind": 2,
            "Says": "all",
            "SharesFills": True,
            "PeersFill": "any",
            "OneFlowKbPerS": flow_kb_s,
        },
    }


async def end_all(processes):
    """Kills the processes that still run and waits for all of them."""
    for process in processes:
        if process.returncode is None:
            process.kill()
    for process in processes:
        await process.wait()


def memory_only_settings(name, port, channel_port, memory_mb):
    """Returns the settings of a cache server on loopback that stores its copies in memory only."""
    return CacheServerSettings(
        name=name,
        listen=("127.0.0.1", port),
        channel=("127.0.0.1", channel_port),
        fills=64,
        fill_s=2.0,
        idle_s=30.0,
        connect_s=0.4,
        drain_s=0.5,
        parent_kind="parent",
        origin_kind="origin",
        reports=(),
        tracks={},
        store=StoreSettings("", memory_mb, 1, 1, 1, 1, 1),
    )


class LocalDeployment:
    """Runs the deployment while its `async with` block runs.

    Attributes:
        folder: Directory of the settings, logs and stores of the processes.
        router: Whether a router is started.
        disk: Whether the cache servers other than the parent also store copies on disk.
        settings: Arguments of `settings` for the router.
        tier: Sizes and snapshot interval of each cache server's store.
        storm: Value of the router's `storm` setting.
        origin: Emulated origin.
        channel: Emulated command channel.
        names: Names of the cache servers other than the parent.
        own: Names of all cache servers, the parent first.
        processes: Running child processes by name.
        ports: Ports by name.
        logs: Log files by name.
        parent_here: Whether the parent runs in this process, where its counters can be read.
        parent_mb: Memory of the parent if it runs in this process.
        parent: The parent if it runs in this process, else None.
        router_address: Host and port of the router, once it has started.
    """

    def __init__(
        self,
        folder,
        boxes=3,
        router=True,
        parent=True,
        disk=True,
        memory_mb=64,
        disk_mb=256,
        segment_mb=4,
        snapshot_s=1.0,
        origin_delay_s=0.02,
        sizes=(2_000, 60_000),
        parent_here=False,
        parent_mb=64,
        storm=False,
        **settings_,
    ):
        self.folder, self.router, self.disk, self.settings = Path(folder), router, disk, settings_
        self.tier = dict(memory_mb=memory_mb, disk_mb=disk_mb, segment_mb=segment_mb, snapshot_s=snapshot_s)
        self.storm = storm
        self.origin = Origin(sizes, origin_delay_s)
        self.channel = CommandChannel()
        self.names = [f"s-{i + 1}" for i in range(boxes)]
        self.own = (["p-1"] if parent else []) + self.names
        self.processes, self.ports, self.logs = {}, {}, {}
        self.parent_here, self.parent_mb, self.parent = parent_here, parent_mb, None

    async def __aenter__(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        _, self.ports["origin"] = self.origin.listen()
        _, self.channel_port = await self.channel.listen()
        self.add("origin", "origin", "hub", self.ports["origin"])
        for name in self.own:
            self.ports[name] = free_port()
            self.add(
                name,
                "parent" if name == "p-1" else "box",
                "hub" if name == "p-1" else "edge-1",
                self.ports[name],
            )
        for name in self.own:
            if name == "p-1" and self.parent_here:
                self.parent = CacheServer(
                    memory_only_settings(name, self.ports[name], self.channel_port, self.parent_mb)
                )
                await self.parent.start()
            else:
                await self.start(name)
        if self.router:
            await self.start_router()
        return self

    def add(self, name, kind, site, port, **other):
        """Adds a server to the channel's list without an event."""
        self.channel.hosts[name] = {
            "host": name,
            "dial": f"127.0.0.1:{port}",
            "site": site,
            "class": kind,
            "block": 0,
            "health": "up",
            "share": 4,
            "born_ms": 0,
            **other,
        }

    async def spawn(self, name, args, environ=None):
        """Starts a process of this program; its output is appended to its log file."""
        self.logs[name] = self.folder / f"{name}.log"
        with open(self.logs[name], "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "brookhinge",
                *args,
                stdout=log,
                stderr=log,
                env={**os.environ, **(environ or {})},
                cwd=Path(__file__).parents[2],
            )

    async def start(self, name, within_s=10.0):
        """Starts a cache server; returns once it accepts connections."""
        on_disk = self.disk and name != "p-1"
        text = BOX.format(
            name=name,
            port=self.ports[name],
            channel=self.channel_port,
            dir=self.folder / name if on_disk else "",
            **self.tier,
        )
        (self.folder / f"{name}.hcl").write_text(text)
        await self.spawn(name, ["box", "--file", str(self.folder / f"{name}.hcl"), "--name", name])
        await self.accepts(name, self.ports[name], within_s)

    async def accepts(self, name, port, within_s):
        """Waits until a process accepts connections.

        Raises:
            RuntimeError: The process ended or does not accept connections in time.
        """
        deadline = time.monotonic() + within_s
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            except OSError:
                exit_code = self.processes[name].returncode
                if time.monotonic() > deadline or exit_code is not None:
                    raise RuntimeError(
                        f"{name} does not accept connections (exit code {exit_code}): "
                        f"{self.logs[name].read_text()[-800:]}"
                    ) from None
                await asyncio.sleep(0.02)

    async def start_router(self):
        """Starts the router; returns once it accepts connections."""
        self.ports["router"] = free_port()
        path = self.folder / "router.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": f"127.0.0.1:{self.ports['router']}",
                    "seed": "8c1f",
                    "channel": f"127.0.0.1:{self.channel_port}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "known": self.channel.answer(0),
                    "storm": self.storm,
                    "settings": settings(**self.settings),
                }
            )
        )
        await self.spawn("router", [], {"BALANCER_CONFIG": str(path)})
        await self.accepts("router", self.ports["router"], 10.0)
        self.router_address = "127.0.0.1", self.ports["router"]

    async def caller(self):
        """Returns a connected caller of the router."""
        return await ThriftCaller(self.router_address).connect()

    async def kill(self, name, how=signal.SIGKILL):
        """Sends a signal to a process and waits for its end."""
        process = self.processes.pop(name)
        process.send_signal(how)
        await process.wait()

    async def restart(self, name):
        """Starts a killed cache server again on its port; the channel lists it with its new start time."""
        await self.start(name)
        self.channel.list(name, born_ms=round(time.time() * 1000), health="up")

    def change(self, object_=None, group=None):
        """Changes an object or group at the origin and publishes the purge; returns its cursor."""
        when = self.origin.change(object_, group)
        return self.channel.drop(object_, group, when)

    async def __aexit__(self, *_):
        await end_all(self.processes.values())
        if self.parent:
            await self.parent.stop()
        self.origin.end()
        self.channel.end()
