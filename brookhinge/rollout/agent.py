"""Runs the agent of a rollout: connects the reconciler to processes, journal and coordinators.

`brookhinge agent PLAN --place NAME` runs one agent. Coordinators decide which versions run; the agent only
ends processes that it started or adopted.
"""

import asyncio
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from brookhinge.rollout.agent_protocol import AgentProtocol, ProtocolError
from brookhinge.rollout.journal import FORMAT_VERSION, Journal, Record
from brookhinge.rollout.messages import (
    AgentReport,
    EpochRejected,
    PlanMismatch,
    SetVersion,
)
from brookhinge.rollout.plan import Plan, missing_on_disk
from brookhinge.rollout.process_supervisor import LogFunction, ProcessSupervisor
from brookhinge.rollout.reconciler import Reconciler, RecordKind

REPORT_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.1
READ_BYTES = 65536

Action = Callable[[], None]


class CoordinatorConnection:
    """One connection from a coordinator to this agent."""

    def __init__(self, key: bytes, writer: asyncio.StreamWriter):
        self.protocol = AgentProtocol(key, secrets.token_hex(8))
        self.writer = writer

    def send(self, message: AgentReport | EpochRejected | PlanMismatch) -> None:
        """Write a message; the coordinator's `hello` must have arrived."""
        self.writer.write(self.protocol.encode(message))


class Agent:
    """One agent: `open()` starts it, `stop()` ends it and its routers, `close()` ends only the agent."""

    def __init__(self, plan: Plan, name: str, log: LogFunction):
        """Create an agent.

        Args:
            plan: Plan of the rollout.
            name: Name of this agent in the plan.
            log: Called as log(event, **values) for each log line.
        """
        self._plan = plan
        self._settings = plan.agents[name]
        self._log = log
        self._folder = Path(self._settings.folder)
        self._supervisor = ProcessSupervisor(plan, self._settings, log)
        self._connections: set[CoordinatorConnection] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_ending = False
        self._records: list[Record] = []
        self._actions: list[Action] = []

    async def open(self) -> None:
        """Restore the state from the journal, adopt running processes and start to serve coordinators.

        Raises:
            JournalError: The journal cannot be used.
            OSError: An address is in use or the folder cannot be written.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        self._journal = Journal(self._folder / f"{self._settings.name}.keep")
        if not self._journal.records:
            self._journal.append({"form": FORMAT_VERSION, "what": "form", "keeper": self._settings.name})
        stored = [record for record in self._journal.records if record["what"] in list(RecordKind)]
        self._reconciler = Reconciler(
            self._settings.routers, self._plan.old_version, stored, self._plan.revert_timeout_s
        )
        self._supervisor.open(self._journal)
        self._adopt_running()
        self._supervisor.bind_idle()
        self._server = await asyncio.start_server(self._serve, *self._settings.listen)
        self._run_round()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._poll()), loop.create_task(self._report())]
        host, port = self._server.sockets[0].getsockname()[:2]
        self._log(
            "keeping",
            place=self._settings.name,
            routers=len(self._settings.routers),
            address=f"{host}:{port}",
        )

    async def stop(self) -> None:
        """Shut all routers down gracefully, then end the agent."""
        self._is_ending = True
        await self._supervisor.stop_all(POLL_INTERVAL_S)
        await self.close()

    async def close(self) -> None:
        """End the agent and leave its routers running."""
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for connection in list(self._connections):
            connection.writer.transport.abort()
        self._supervisor.close()
        self._journal.close()

    # the Supervisor of the reconciler: starts and reloads wait until the round's records are on disk

    def start(self, router: str, version: str) -> int:
        """Assign a process number and start the process once the round's records are on disk."""
        number = self._supervisor.next_number()
        self._actions.append(lambda: self._supervisor.start(router, version, number))
        return number

    def can_reload(self, router: str, old: str, new: str) -> bool:
        """Return whether a running process of version `old` can switch to `new` without a restart."""
        return self._supervisor.can_reload(router, old, new)

    def reload(self, process: int, version: str) -> None:
        """Reload a process's settings once the round's records are on disk."""
        self._actions.append(lambda: self._supervisor.reload(process, version))

    def drain(self, process: int) -> None:
        """Shut a process down gracefully."""
        self._supervisor.drain(process)

    def kill(self, process: int) -> None:
        """Kill a process."""
        self._supervisor.kill(process)

    def record(self, **record: Any) -> None:  # noqa: ANN401 - JSON values
        """Queue a journal record; all records of a round are written together."""
        self._records.append(record)

    def log_event(self, event: str, **values: Any) -> None:  # noqa: ANN401 - JSON values
        """Write a log line."""
        self._log(event, **values)

    def _run_round(self) -> None:
        """Run one round of the reconciler; its records are on disk before it starts or reloads a process."""
        if self._is_ending:
            return
        events = self._supervisor.events
        self._supervisor.events = []
        self._records = []
        self._actions = []
        self._reconciler.run_round(time.monotonic(), events, self)
        try:
            if self._records:
                self._journal.append(*self._records)
        except OSError as error:  # the round's starts and reloads are not executed
            self._log("disk", why=str(error))
            return
        for action in self._actions:
            action()

    def _adopt_running(self) -> None:
        """Adopt the processes of a previous agent; if a router has two, drain the older one."""
        for process in self._supervisor.find_running():
            slot = self._reconciler.slots[process.router]
            if slot.process is not None:
                slot.draining.add(slot.process)
                self._supervisor.drain(slot.process)
            self._reconciler.adopt(process.router, process.number, process.version, False)
            self._log("found", router=process.router, pid=process.pid, version=process.version)

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._supervisor.poll()
            due_at = self._reconciler.next_at()
            if self._supervisor.events or (due_at is not None and time.monotonic() >= due_at):
                self._run_round()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = CoordinatorConnection(self._plan.key, writer)
        self._connections.add(connection)
        try:
            writer.write(connection.protocol.hello())
            while data := await reader.read(READ_BYTES):
                for message in connection.protocol.receive(data):
                    if isinstance(message, SetVersion):
                        self._handle_command(message, connection)
        except ProtocolError as error:
            self._log("link", why=str(error))
        except ConnectionError:
            pass  # the coordinator reconnects
        finally:
            self._connections.discard(connection)
            writer.close()

    def _handle_command(self, command: SetVersion, connection: CoordinatorConnection) -> None:
        if command.router not in self._reconciler.slots:
            return
        if command.plan_digest != self._plan.digest:
            connection.send(PlanMismatch(self._plan.digest))
            return
        if command.epoch < self._reconciler.epoch:
            connection.send(EpochRejected(command.router, self._reconciler.epoch))
            return
        self._supervisor.events.append(command)
        self._run_round()

    async def _report(self) -> None:
        """Send the state of all routers to every coordinator whose `hello` has arrived."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            reports = [self._build_report(router) for router in self._reconciler.slots]
            for connection in list(self._connections):
                if connection.protocol.peer_session is not None:
                    for report in reports:
                        connection.send(report)

    def _build_report(self, router: str) -> AgentReport:
        slot = self._reconciler.slots[router]
        process = self._supervisor.processes.get(slot.process) if slot.process is not None else None
        totals = {**process.totals, **process.resource_totals} if process else {}
        return AgentReport(
            router=router,
            version=slot.version,
            state=slot.status(),
            process=slot.process,
            crashes=slot.crashes,
            totals=totals,
            epoch=self._reconciler.epoch,
            is_able=self._can_run_both_versions(router),
        )

    def _can_run_both_versions(self, router: str) -> bool:
        versions = (self._plan.old_version, self._plan.new_version)
        return all(missing_on_disk(self._plan.versions[version], [router]) is None for version in versions)
