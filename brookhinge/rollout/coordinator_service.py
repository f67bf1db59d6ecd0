"""Connects a coordinator to its agents, its journal and its operators: `brookhinge rollout start PLAN`.

Two files next to the journal share its name: `.status` contains the coordinator's progress, `.word` the next
request of an operator.
"""

import asyncio
import contextlib
import json
import os
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from brookhinge.rollout.agent_protocol import AgentProtocol, ProtocolError
from brookhinge.rollout.canary_analysis import Verdict
from brookhinge.rollout.coordinator import Coordinator
from brookhinge.rollout.journal import FORMAT_VERSION, Journal, JournalError, Record
from brookhinge.rollout.messages import (
    AgentReport,
    CoordinatorEvent,
    EpochRejected,
    OperatorRequest,
    PlanMismatch,
    SetVersion,
)
from brookhinge.rollout.plan import AgentSettings, Plan
from brookhinge.rollout.rollout_state import Outcome, RecordKind

RECONNECT_INTERVAL_S = 0.5
ROUND_INTERVAL_S = 0.2
STATUS_INTERVAL_S = 0.5
LINGER_S = 3.0 * RECONNECT_INTERVAL_S  # after the end, so that a reconnecting agent gets the last commands
READ_BYTES = 65536
MAX_JSON_NUMBER = 1e300  # JSON has no infinity


class _Command(NamedTuple):
    router: str
    version: str
    is_confirmed: bool
    serial: int


class _AgentConnection:
    """Connection from the coordinator to one agent."""

    def __init__(self, key: bytes, writer: asyncio.StreamWriter):
        self.protocol = AgentProtocol(key, secrets.token_hex(8))
        self.writer = writer

    def send(self, command: SetVersion) -> None:
        """Write a command if the agent's `hello` has arrived; else drop it, as commands are repeated."""
        if self.protocol.peer_session is not None:
            with contextlib.suppress(ConnectionError):
                self.writer.write(self.protocol.encode(command))


class CoordinatorService:
    """Runs the coordinator of a rollout."""

    def __init__(
        self,
        plan: Plan,
        journal: str | Path,
        log: Callable[..., None],
        wall_clock: Callable[[], float] = time.time,
    ):
        """Create a service; `run()` starts it.

        Args:
            plan: Plan of the rollout.
            journal: Path of the rollout's journal, which is created if it does not exist.
            log: Called as log(event, **values) for each log line.
            wall_clock: Returns Unix time in seconds, from which epochs are derived.
        """
        self._plan = plan
        self._journal_path = Path(journal)
        self._log = log
        self._wall_clock = wall_clock
        self._connections: dict[str, _AgentConnection] = {}
        self._events: list[CoordinatorEvent] = []
        self._records: list[Record] = []
        self._commands: list[_Command] = []
        self._stopped = asyncio.Event()

    async def run(self) -> Outcome | None:
        """Run the rollout, or continue it from the state in its journal.

        Returns:
            How the rollout ended, or None after stop().

        Raises:
            JournalError: The journal cannot be used or belongs to another plan.
            OSError: The journal cannot be written.
        """
        with Journal(self._journal_path) as journal:
            self._journal = journal
            self._check_journal()
            epoch = self._next_epoch()
            journal.append({"what": RecordKind.EPOCH, "epoch": epoch})
            self._coordinator = Coordinator(self._plan, journal.records, epoch, time.monotonic())
            stage_sizes = [len(stage) for stage in self._coordinator.stages]
            self._log("rolling", plan=self._plan.name, epoch=epoch, stages=stage_sizes)
            loop = asyncio.get_running_loop()
            tasks = [loop.create_task(self._stay_connected(agent)) for agent in self._plan.agents.values()]
            try:
                await self._run_rounds()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            return self._coordinator.outcome

    def stop(self) -> None:
        """End the run after the current round; a later run on the same journal continues the rollout."""
        self._stopped.set()

    # the CoordinatorOutput: commands wait until the round's records are on disk

    def record(self, **record: Any) -> None:  # noqa: ANN401 - JSON values
        """Queue a journal record; all records of a round are written together."""
        self._records.append(record)

    def send_command(self, router: str, version: str, is_confirmed: bool, serial: int) -> None:
        """Queue a command, sent once the round's records are on disk."""
        self._commands.append(_Command(router, version, is_confirmed, serial))

    def log_event(self, event: str, **values: Any) -> None:  # noqa: ANN401 - JSON values
        """Write a log line."""
        self._log(event, **values)

    def _check_journal(self) -> None:
        """Write the first record of a new journal, or check that an existing one belongs to this plan."""
        records = self._journal.records
        if not records:
            self._journal.append(
                {"form": FORMAT_VERSION, "what": "form", "plan": self._plan.digest, "name": self._plan.name}
            )
        elif records[0]["plan"] != self._plan.digest:
            raise JournalError(
                "the journal belongs to another plan, or the plan file has changed since the rollout began"
            )

    def _next_epoch(self) -> int:
        """Return an epoch above all in this journal, and above all others unless the clock was set back."""
        previous = [record["epoch"] for record in self._journal.records if record["what"] == RecordKind.EPOCH]
        return max([round(self._wall_clock() * 1000), *(epoch + 1 for epoch in previous)])

    async def _run_rounds(self) -> None:
        """Run rounds until stopped, or until LINGER_S after the end of the rollout."""
        ended_at: float | None = None
        status_at = float("-inf")
        while not self._stopped.is_set():
            now = time.monotonic()
            self._run_round(now)
            if now - status_at >= STATUS_INTERVAL_S:
                status_at = now
                self._write_status()
            if self._coordinator.outcome is not None:
                ended_at = now if ended_at is None else ended_at
                if now - ended_at > LINGER_S:
                    break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._stopped.wait(), ROUND_INTERVAL_S)
        self._write_status()

    def _run_round(self, now: float) -> None:
        events = self._events
        self._events = []
        request = self._read_request()
        if request is not None:
            events.append(request)
        self._records = []
        self._commands = []
        self._coordinator.run_round(now, events, self)
        if self._records:
            self._journal.append(*self._records)  # a write error ends the run before any command is sent
        for command in self._commands:
            self._write_command(command)

    def _read_request(self) -> OperatorRequest | None:
        """Return the operator's request since the last round and delete its file; None without a request."""
        file = _request_file(self._journal_path)
        try:
            text = file.read_text(encoding="ascii").strip()
            file.unlink()
            return OperatorRequest(text)
        except (OSError, ValueError):
            return None

    def _write_command(self, command: _Command) -> None:
        connection = self._connections.get(self._coordinator.agents[command.router])
        if connection is not None:
            connection.send(
                SetVersion(
                    router=command.router,
                    version=command.version,
                    is_confirmed=command.is_confirmed,
                    epoch=self._coordinator.epoch,
                    serial=command.serial,
                    plan_digest=self._plan.digest,
                )
            )

    async def _stay_connected(self, agent: AgentSettings) -> None:
        """Connect to one agent and reconnect whenever the connection ends."""
        while True:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(*agent.listen)
                connection = _AgentConnection(self._plan.key, writer)
                writer.write(connection.protocol.hello())
                self._connections[agent.name] = connection
                while data := await reader.read(READ_BYTES):
                    for message in connection.protocol.receive(data):
                        self._handle_message(agent, message)
            except ProtocolError as error:
                self._log("link", keeper=agent.name, why=str(error))
            except OSError:
                pass  # reconnects after RECONNECT_INTERVAL_S
            finally:
                self._connections.pop(agent.name, None)
                if writer is not None:
                    writer.transport.abort()
            await asyncio.sleep(RECONNECT_INTERVAL_S)

    def _handle_message(self, agent: AgentSettings, message: object) -> None:
        match message:
            case AgentReport() if message.router in agent.routers:
                self._events.append(message)
            case EpochRejected():
                self._events.append(message)
            case PlanMismatch():
                self._log("other plan", keeper=agent.name, theirs=message.agent_digest)

    def _write_status(self) -> None:
        coordinator = self._coordinator
        status = coordinator.status()
        values = {
            "plan": self._plan.name,
            "epoch": coordinator.epoch,
            "phase": status.phase,
            "stage": status.stage,
            "stages": status.stages,
            "new": status.changed,
            "routers": len(coordinator.routers),
            "at": round(self._wall_clock(), 1),
            "pid": os.getpid(),
            "verdict": _verdict_values(status.verdict) if status.verdict else None,
            "members": [
                {
                    "router": name,
                    "version": router.version,
                    "state": router.state,
                    "crashes": router.crashes,
                    "should": coordinator.desired_version(name),
                }
                for name, router in coordinator.routers.items()
            ],
        }
        with contextlib.suppress(OSError):
            _replace(_status_file(self._journal_path), json.dumps(values))


def leave_request(journal: str | Path, request: OperatorRequest) -> None:
    """Store a request for the coordinator that uses this journal, or for the next one.

    Raises:
        OSError: The request file cannot be written.
    """
    _replace(_request_file(Path(journal)), request)


def read_status(journal: str | Path) -> dict[str, Any] | None:
    """Return the content of the status file for this journal, or None if it is missing or invalid."""
    try:
        return json.loads(_status_file(Path(journal)).read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return None


def _verdict_values(verdict: Verdict) -> dict[str, Any]:
    """Return a verdict with the keys of the status file; infinite bounds become None."""

    def finite(value: float) -> float | None:
        return value if abs(value) < MAX_JSON_NUMBER else None

    return {
        "word": verdict.kind,
        "figure": verdict.metric,
        "value": finite(verdict.value),
        "low": finite(verdict.low),
        "high": finite(verdict.high),
        "windows": verdict.windows,
    }


def _status_file(journal: Path) -> Path:
    return journal.with_name(f"{journal.name}.status")


def _request_file(journal: Path) -> Path:
    return journal.with_name(f"{journal.name}.word")


def _replace(file: Path, text: str) -> None:
    """Replace a file atomically, so that no reader sees it incomplete."""
    new = file.with_name(f"{file.name}.new")
    new.write_text(text, encoding="utf-8")
    new.replace(file)
