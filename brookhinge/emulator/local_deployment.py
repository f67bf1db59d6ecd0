"""A town on loopback with free ports: origin and command channel in this process, parent and boxes as processes of their
own (so that they can be killed), and a router if wanted. Ends what it started, by id."""

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
    """The settings of a router among boxes of this town."""
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
    for process in processes:
        if process.returncode is None:
            process.kill()
    for process in processes:
        await process.wait()


def memory_stand(name, port, channel_port, memory_mb):
    """The settings of a box on loopback that keeps its copies in memory alone."""
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
    """async with LocalDeployment(folder) as town: town.boxes, town.origin, town.channel, town.router_address."""

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
        self.parent_here, self.parent_mb, self.parent = (
            parent_here,
            parent_mb,
            None,
        )  # in this process its counts can be read

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
                    memory_stand(name, self.ports[name], self.channel_port, self.parent_mb)
                )
                await self.parent.start()
            else:
                await self.start(name)
        if self.router:
            await self.start_router()
        return self

    def add(self, name, kind, site, port, **other):
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
        """Starts a box; back when it accepts connections."""
        kept = self.disk and name != "p-1"
        text = BOX.format(
            name=name,
            port=self.ports[name],
            channel=self.channel_port,
            dir=self.folder / name if kept else "",
            **self.tier,
        )
        (self.folder / f"{name}.hcl").write_text(text)
        await self.spawn(name, ["box", "--file", str(self.folder / f"{name}.hcl"), "--name", name])
        await self.accepts(name, self.ports[name], within_s)

    async def accepts(self, name, port, within_s):
        end = time.monotonic() + within_s
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            except OSError:
                ended = self.processes[name].returncode
                if time.monotonic() > end or ended is not None:
                    raise RuntimeError(
                        f"{name} is not up ({ended}): {self.logs[name].read_text()[-800:]}"
                    ) from None
                await asyncio.sleep(0.02)

    async def start_router(self):
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
        return await ThriftCaller(self.router_address).connect()

    async def kill(self, name, how=signal.SIGKILL):
        process = self.processes.pop(name)
        process.send_signal(how)
        await process.wait()

    async def restart(self, name):
        """A killed box comes back at its place, told as a late start."""
        await self.start(name)
        self.channel.list(name, born_ms=round(time.time() * 1000), health="up")

    def change(self, object_=None, group=None):
        """The origin has other bytes, and the channel tells the purge; its number there."""
        when = self.origin.change(object_, group)
        return self.channel.drop(object_, group, when)

    async def __aexit__(self, *_):
        await end_all(self.processes.values())
        if self.parent:
            await self.parent.stop()
        self.origin.end()
        self.channel.end()
