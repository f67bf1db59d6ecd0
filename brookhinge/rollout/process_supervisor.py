"""Starts, signals and polls the router processes of one agent.

It owns their listening sockets and settings files.

The agent opens the listening socket of a router and each process of the router inherits it, so that no client
is refused while one process replaces another. Processes log to files in the agent's folder and outlive the
agent: a new agent finds them by process id and start time, and opens a second socket on the same address
(SO_REUSEPORT) when one has to be replaced.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from brookhinge.rollout.journal import Journal, Record
from brookhinge.rollout.messages import AgentEvent, ProcessExited, ProcessReady
from brookhinge.rollout.plan import AgentSettings, Plan, Version, missing_on_disk
from brookhinge.rollout.router_process import RouterProcess, read_stat

SAMPLE_INTERVAL_S = 0.5
DRAIN_TIMEOUT_S = 8.0  # from SIGTERM to SIGKILL
RELOADABLE_SETTINGS = {"channel", "known"}  # applied on SIGHUP; all others need a restart
KEPT_FILES = 6  # log files, and as many settings files, kept for each router
LISTEN_BACKLOG = 1024
PROCESS_RECORD = "process"

LogFunction = Callable[..., None]


class ProcessSupervisor:
    """Manages the processes of one agent.

    Attributes:
        processes: Running processes by number.
        events: Events since the reconciler's last round.
    """

    def __init__(self, plan: Plan, settings: AgentSettings, log: LogFunction):
        self.processes: dict[int, RouterProcess] = {}
        self.events: list[AgentEvent] = []
        self._plan = plan
        self._settings = settings
        self._log = log
        self._folder = Path(settings.folder)
        self._journal: Journal | None = None
        self._sockets: dict[str, socket.socket] = {}
        self._spawning: set[asyncio.Task[None]] = set()
        self._ended_before_spawn: set[int] = set()  # ended while their process was still being spawned
        self._last_number = 0
        self._sampled_at = 0.0

    def open(self, journal: Journal) -> None:
        """Use a journal, and continue its process numbers."""
        self._journal = journal
        numbers = [record["number"] for record in journal.records if record["what"] == PROCESS_RECORD]
        self._last_number = max(numbers, default=0)

    def find_running(self) -> list[RouterProcess]:
        """Find the running processes of a previous agent, which are polled from now on."""
        if self._journal is None:
            return []
        latest = {
            record["number"]: record for record in self._journal.records if record["what"] == PROCESS_RECORD
        }
        found = []
        for record in latest.values():
            stat = read_stat(record["pid"])
            is_known_router = record["router"] in self._settings.routers
            if not is_known_router or stat is None or stat.start_ticks != record["born"]:
                continue
            process = RouterProcess(
                router=record["router"],
                number=record["number"],
                version=record["version"],
                pid=record["pid"],
                start_ticks=record["born"],
                log=self._folder / record["log"],
            )
            self.processes[process.number] = process
            found.append(process)
        return found

    def bind_idle(self) -> None:
        """Open the sockets of routers without a process, so that an address in use is reported at startup.

        Raises:
            OSError: An address is in use.
        """
        running = {process.router for process in self.processes.values()}
        for router in self._settings.routers:
            if router not in running:
                self._listening_socket(router)

    def next_number(self) -> int:
        """Return a process number that has never been used at this agent."""
        self._last_number += 1
        return self._last_number

    def start(self, router: str, version: str, number: int) -> None:
        """Start a process in the background; its readiness or failure is added to `events`."""
        settings = self._plan.versions.get(version)
        why = f"no version {version} in the plan" if settings is None else missing_on_disk(settings, [router])
        if settings is None or why is not None:
            self._report_start_failure(router, number, why or "")
            return
        task = asyncio.get_running_loop().create_task(self._spawn(router, settings, number))
        self._spawning.add(task)
        task.add_done_callback(self._spawning.discard)

    def can_reload(self, router: str, old: str, new: str) -> bool:
        """Return whether two versions have the same program and differ only in RELOADABLE_SETTINGS."""
        versions = [self._plan.versions[old], self._plan.versions[new]]
        programs = [version._replace(name="", config="") for version in versions]
        if programs[0] != programs[1]:
            return False
        try:
            settings = [
                json.loads(Path(version.config.format(router=router)).read_text()) for version in versions
            ]
        except (OSError, ValueError):
            return False
        if not all(isinstance(values, dict) for values in settings) or settings[0] == settings[1]:
            return False
        fixed = [
            {name: value for name, value in values.items() if name not in RELOADABLE_SETTINGS}
            for values in settings
        ]
        return fixed[0] == fixed[1]

    def reload(self, number: int, version: str) -> None:
        """Replace the settings file of a process and make it read the file again (SIGHUP)."""
        process = self.processes[number]
        settings = self._settings_file(process.router, number)
        replacement = settings.with_name(f"{settings.name}.new")
        shutil.copyfile(self._plan.versions[version].config.format(router=process.router), replacement)
        replacement.replace(settings)
        process.version = version
        process.send_signal(signal.SIGHUP)
        self._record(process)

    def drain(self, number: int) -> None:
        """Shut a process down gracefully; it is killed after DRAIN_TIMEOUT_S."""
        self._end(number, signal.SIGTERM)

    def kill(self, number: int) -> None:
        """Kill a process."""
        self._end(number, signal.SIGKILL)

    def poll(self) -> None:
        """Read all logs, add events for processes that are ready or have ended, and kill overdue ones."""
        now = time.monotonic()
        is_sample_due = now - self._sampled_at >= SAMPLE_INTERVAL_S
        if is_sample_due:
            self._sampled_at = now
        for process in list(self.processes.values()):
            self._read_log(process)
            stat = process.stat()
            if process.exit_code() is not None or stat is None:
                del self.processes[process.number]
                self.events.append(ProcessExited(process.router, process.number, process.exit_code()))
                continue
            if is_sample_due:
                process.sample(now, stat)
            if process.kill_at is not None and now > process.kill_at:
                process.send_signal(signal.SIGKILL)

    async def stop_all(self, poll_interval_s: float) -> None:
        """Send SIGTERM to all processes, and SIGKILL to those that still run after DRAIN_TIMEOUT_S."""
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        while self.processes and time.monotonic() < deadline:  # noqa: ASYNC110 - exits are found by polling
            await asyncio.sleep(poll_interval_s)
        for process in list(self.processes.values()):
            process.send_signal(signal.SIGKILL)

    def close(self) -> None:
        """Close the agent's copies of the listening sockets; the processes keep theirs."""
        for listener in self._sockets.values():
            listener.close()

    def _report_start_failure(self, router: str, number: int, why: str) -> None:
        self._log("cannot start", router=router, why=why)
        self.events.append(ProcessExited(router, number, why))

    async def _spawn(self, router: str, version: Version, number: int) -> None:
        log = self._folder / f"{router}.{number}.log"
        try:
            child = await self._execute(router, version, number, log)
        except OSError as error:
            self._report_start_failure(router, number, str(error))
            return
        stat = read_stat(child.pid)
        process = RouterProcess(
            router=router,
            number=number,
            version=version.name,
            pid=child.pid,
            start_ticks=stat.start_ticks if stat else 0,
            log=log,
        )
        process.child = child
        self._record(process)
        self.processes[number] = process
        if number in self._ended_before_spawn:
            self.kill(number)
        self._remove_old_files(router)

    async def _execute(
        self, router: str, version: Version, number: int, log: Path
    ) -> asyncio.subprocess.Process:
        """Start `python -m brookhinge` with its own copy of the settings file, which a reload can replace."""
        listener = self._listening_socket(router)
        settings = self._settings_file(router, number)
        shutil.copyfile(version.config.format(router=router), settings)
        with log.open("ab") as output:
            return await asyncio.create_subprocess_exec(
                version.python or sys.executable,
                "-m",
                "brookhinge",
                cwd=version.tree,
                env=self._environment(router, version, settings, listener),
                stdout=output,
                stderr=output,
                stdin=asyncio.subprocess.DEVNULL,
                pass_fds=(listener.fileno(),),
                start_new_session=True,
            )

    def _environment(
        self, router: str, version: Version, settings: Path, listener: socket.socket
    ) -> dict[str, str]:
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(settings),
            "BROOKHINGE_LISTENER": str(listener.fileno()),
            "BROOKHINGE_SCORES_S": str(SAMPLE_INTERVAL_S),
        }
        environment.pop("BROOKHINGE_FLEET", None)
        if version.fleet:
            environment["BROOKHINGE_FLEET"] = version.fleet.format(router=router)
        return environment

    def _record(self, process: RouterProcess) -> None:
        """Journal a process for the next agent.

        A write error is ignored: without the record the next agent does not find the process.
        """
        record: Record = {
            "what": PROCESS_RECORD,
            "router": process.router,
            "number": process.number,
            "version": process.version,
            "pid": process.pid,
            "born": process.start_ticks,
            "log": process.log.name,
        }
        if self._journal is not None:
            with contextlib.suppress(OSError):
                self._journal.append(record)

    def _remove_old_files(self, router: str) -> None:
        for suffix in ("log", "json"):
            files = sorted(self._folder.glob(f"{router}.*.{suffix}"), key=lambda file: file.stat().st_mtime)
            for file in files[:-KEPT_FILES]:
                file.unlink()

    def _end(self, number: int, signal_number: int) -> None:
        process = self.processes.get(number)
        if process is None:
            self._ended_before_spawn.add(number)
            return
        process.kill_at = time.monotonic() + DRAIN_TIMEOUT_S
        process.send_signal(signal_number)

    def _read_log(self, process: RouterProcess) -> None:
        for line in process.new_log_lines():
            event: Any = line.get("event")
            if event == "listening" and not process.is_ready:
                process.is_ready = True
                self.events.append(ProcessReady(process.router, process.number))
            elif event == "scores":
                process.totals = line["totals"]

    def _settings_file(self, router: str, number: int) -> Path:
        return self._folder / f"{router}.{number}.json"

    def _listening_socket(self, router: str) -> socket.socket:
        if router not in self._sockets:
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listener.bind(self._settings.routers[router])
            listener.listen(LISTEN_BACKLOG)
            listener.setblocking(False)
            self._sockets[router] = listener
        return self._sockets[router]
