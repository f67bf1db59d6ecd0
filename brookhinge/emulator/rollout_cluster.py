"""Runs a process cluster whose routers are run by `brookhinge agent` and changed by `brookhinge rollout`.

A faulty version of the program is the current one with a line of Python that runs before it.
"""

import asyncio
import os
import signal
import sys

from brookhinge.emulator.ports import free_port
from brookhinge.emulator.process_cluster import KEY, MAIN, ProcessCluster
from brookhinge.rollout.coordinator_service import leave_request, read_status
from brookhinge.rollout.messages import OperatorRequest

PLAN = """rollout "test" {{
  old      = "v1"
  to       = "v2"
  stages   = {stages}
  key      = "{key}"
  seed     = 3
  window_s = 0.25
  before_s = {before_s}
  warm_s   = 0.5
  least_s  = 2.0
  most_s   = {most_s}
  ready_s  = 6.0
  alone_s  = {alone_s}
  untold   = "{untold}"
{figures}
{blocks}
}}
"""
# Faults of a new version, as lines of Python that its process runs before the program.
FAILS = (
    "import brookhinge.decisions.router as d, random; real = d.Router.on_request; "
    "d.Router.on_request = lambda self, request: "
    "self.sink.reject(request.request_id, 0) if random.random() < {part} else real(self, request)"
)
LEAKS = (
    "import brookhinge.engine.scheduler as s; S = s.EventScheduler; real = S.run_round; kept = []; "
    "S.run_round = lambda self: "
    "(kept.append(bytearray({kb} * 1024)), real(self))[1]"
)
LATE = (
    "import brookhinge.net.client_connections as f; import asyncio; real = f.ClientConnections.respond; "
    "f.ClientConnections.respond = lambda self, *values: "
    "asyncio.get_running_loop().call_later({late_s}, real, self, *values)"
)
CRASHES = "import threading, os; threading.Timer({after_s}, lambda: os._exit(3)).start()"
NEVER_READY = "import time; time.sleep(3600)"


class RolloutCluster(ProcessCluster):
    """A process cluster with agents (k1, ...), between which the routers are divided.

    Attributes:
        same_program: Whether the new version is the same program and differs only in its configuration.
        tree: Source tree of the old program.
        version: Python that the new version's processes run before the program.
        change_config: Function that returns the new version's configuration from the old one's text.
        plan_values: Values of the rollout plan.
        places: Names of the routers of each agent.
        agent_ports: Port of each agent.
        agents: Processes of the agents.
        coordinators: Processes of all coordinators.
        plan: Path of the rollout plan.
    """

    def __init__(
        self,
        folder,
        routers=4,
        agents=2,
        version="",
        change_config=lambda text: text,
        stages="[0.25, 0.5, 1.0]",
        untold="go",
        same_program=False,
        tree=None,
        before_s=2.0,
        most_s=8.0,
        alone_s=30.0,
        worse="",
        **rig_,
    ):
        super().__init__(folder, routers=routers, **rig_)
        self.same_program, self.tree = same_program, tree or os.getcwd()
        self.version, self.change_config, self.plan_values = (
            version,
            change_config,
            dict(
                stages=stages,
                untold=untold,
                before_s=before_s,
                most_s=most_s,
                alone_s=alone_s,
                figures="".join(
                    f'  figure "{name}" {{\n    most_worse = {most}\n  }}\n'
                    for name, most in (pair.split() for pair in worse.split(",") if pair)
                ),
            ),
        )
        self.places = {f"k{k + 1}": self.names[k::agents] for k in range(agents)}
        self.agent_ports, self.agents, self.coordinators = {}, {}, []

    async def start(self, name, **_):
        """Writes a router's configuration for both versions; its agent starts it."""
        self.ports[name] = free_port(self.host)
        for version in ("v1", "v2"):
            (self.folder / version).mkdir(exist_ok=True)
            text = self.configuration(name, name)
            (self.folder / version / f"{name}.json").write_text(
                self.change_config(text) if version == "v2" else text
            )

    async def __aenter__(self):
        await super().__aenter__()
        new = self.folder / "new"
        new.write_text(
            f"#!{sys.executable}\nimport sys; sys.path.insert(0, '')\n{self.version or 'pass'}{MAIN}\n"
        )
        new.chmod(0o700)
        blocks = "".join(
            f'  version "{version}" {{\n    tree   = "{tree}"\n    python = "{python}"\n'
            f'    config = "{self.folder}/{version}/{{router}}.json"\n'
            f'    fleet = "{self.folder}/fleet.hcl"\n  }}\n'
            for version, tree, python in (
                ("v1", self.tree, ""),
                ("v2", os.getcwd(), "" if self.same_program else new),
            )
        )
        for place, names in self.places.items():
            self.agent_ports[place] = free_port(self.host)
            routers = "".join(
                f'    router "{name}" {{\n      listen = "{self.host}:{self.ports[name]}"\n    }}\n'
                for name in names
            )
            blocks += (
                f'  keeper "{place}" {{\n    listen = "{self.host}:{self.agent_ports[place]}"\n'
                f'    dir    = "{self.folder}/{place}"\n{routers}  }}\n'
            )
        self.plan = self.folder / "plan.hcl"
        self.plan.write_text(PLAN.format(key=KEY, blocks=blocks, **self.plan_values))
        await asyncio.gather(*map(self.start_agent, self.places))

        # The agents hold the listening sockets, which accept connections before a router can answer.
        def all_up():
            return sum(self.text(place).count('"event":"took over"') for place in self.places) == len(
                self.names
            )

        if not await self.until(all_up, 60.0):
            raise RuntimeError(f"not all routers are up: {self.text('k1')[-800:]}")
        return self

    async def spawn(self, log, *args):
        """Starts a process of this program; its output is appended to a log file."""
        with open(self.folder / f"{log}.log", "ab") as out:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", "brookhinge", *args, stdout=out, stderr=out
            )

    async def start_agent(self, place):
        """Starts an agent."""
        self.agents[place] = await self.spawn(place, "agent", str(self.plan), "--place", place)

    async def start_coordinator(self, journal="roll"):
        """Starts a coordinator with a journal; returns its process."""
        process = await self.spawn(
            journal, "rollout", "start", str(self.plan), "--journal", self.journal(journal), "--json"
        )
        self.coordinators.append(process)
        return process

    def journal(self, name="roll"):
        """Returns the path of a journal."""
        return str(self.folder / f"{name}.journal")

    def status(self, name="roll"):
        """Returns the status that the coordinator of a journal wrote last, or {}."""
        return read_status(self.journal(name)) or {}

    def ask(self, word, name="roll"):
        """Leaves an operator's request for the coordinator of a journal."""
        leave_request(self.journal(name), OperatorRequest(word))

    def text(self, log):
        """Returns the text of a log file."""
        return (self.folder / f"{log}.log").read_text()

    def versions(self, name="roll"):
        """Returns {router: version} from the coordinator's last status."""
        return {row["router"]: row["version"] for row in self.status(name).get("members", ())}

    def settled(self, version, name="roll"):
        """Returns a condition for `until`: all routers are ready with a version."""
        return lambda: (
            [
                row["version"] == version and row["state"] == "ready"
                for row in self.status(name).get("members", [])
            ]
            == [True] * len(self.names)
        )

    async def ended(self, process, within_s):
        """Returns the exit code of a process, or None if it has not ended in time."""
        try:
            return await asyncio.wait_for(process.wait(), within_s)
        except TimeoutError:
            return None

    async def __aexit__(self, *_):
        for process in self.coordinators:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for process in (
            self.agents.values()
        ):  # an agent ends all its routers, including those that an earlier agent started
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self.agents.values():
            if await self.ended(process, 20.0) is None:
                process.kill()
                await process.wait()
        await super().__aexit__()
