"""Reconciles one agent's routers with the versions they should run. No I/O, no clock.

The reconciler takes events (`SetVersion`, `ProcessReady`, `ProcessExited`) and calls a `Supervisor` to act on
processes. A router has one serving process. During a change a second one, the candidate, starts on the same
socket; once it is ready it replaces the serving process, which drains. A crashed process is restarted with
exponential backoff. An unconfirmed version is reverted when the coordinator sends no commands for too long.
"""

import enum
from collections.abc import Iterable
from typing import Any, Protocol

from brookhinge.rollout.messages import (
    AgentEvent,
    ProcessExited,
    ProcessReady,
    RouterStatus,
    SetVersion,
)

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0
STABLE_AFTER_S = 20.0  # a crash after this uptime resets the backoff
READY_TIMEOUT_S = 30.0
CRASH_LOOP_COUNT = 4  # consecutive crashes at which a crash loop is logged

NO_COMMAND = (0, 0)  # (epoch, serial) below those of any command


class RecordKind(enum.StrEnum):
    """Kinds of the agent's journal records; the values are stored."""

    EPOCH = "epoch"
    ROUTER = "router"


class Supervisor(Protocol):
    """Executes the reconciler's decisions.

    The records of a round are durable before its starts and reloads are executed.
    """

    def start(self, router: str, version: str) -> int:
        """Start a process and return its number, which is never used again."""

    def drain(self, process: int) -> None:
        """Shut a process down gracefully (SIGTERM, after a timeout SIGKILL)."""

    def kill(self, process: int) -> None:
        """Kill a process (SIGKILL)."""

    def can_reload(self, router: str, old: str, new: str) -> bool:
        """Return whether a running process of version `old` can switch to `new` without a restart."""

    def reload(self, process: int, version: str) -> None:
        """Apply the settings of a version to a running process (SIGHUP)."""

    def record(self, **record: Any) -> None:  # noqa: ANN401 - JSON values
        """Add a record to the journal."""

    def log_event(self, event: str, **values: Any) -> None:  # noqa: ANN401 - JSON values
        """Write a log line."""


class RouterSlot:
    """Desired and actual state of one router. Times are seconds of the caller's clock.

    Attributes:
        desired_version: Version that the router should run.
        confirmed_version: Last confirmed version, to which an unconfirmed one is reverted.
        is_confirmed: Whether `desired_version` is confirmed.
        last_command_at: When the last command arrived. Until the first one, the time of the first round; None
            before that.
        process: Number of the serving process, None if there is none.
        version: Version of the serving process, None if there is none.
        is_ready: Whether the serving process is ready.
        candidate: Number of the process that will replace the serving one, None if there is none.
        candidate_version: Version of the candidate.
        candidate_at: When the candidate was started.
        draining: Numbers of processes that are shutting down.
        last_command: Epoch and serial of the last accepted command.
        crashes: Number of crashes since the agent started.
        crashes_in_row: Number of consecutive crashes, which determines the backoff.
        retry_at: Earliest time of the next start.
        started_at: When the serving process became ready, or the first candidate without one was started.
    """

    def __init__(self, version: str):
        self.desired_version = version
        self.confirmed_version = version
        self.is_confirmed = True
        self.last_command_at: float | None = None
        self.process: int | None = None
        self.version: str | None = None
        self.is_ready = False
        self.candidate: int | None = None
        self.candidate_version: str | None = None
        self.candidate_at = 0.0
        self.draining: set[int] = set()
        self.last_command = NO_COMMAND
        self.crashes = 0
        self.crashes_in_row = 0
        self.retry_at = 0.0
        self.started_at = 0.0

    def status(self) -> RouterStatus:
        """Return the state that the agent reports to coordinators."""
        if self.process is None:
            return RouterStatus.DOWN
        is_changing = self.candidate is not None or bool(self.draining)
        if is_changing:
            return RouterStatus.CHANGING
        return RouterStatus.READY if self.is_ready else RouterStatus.STARTING


class Reconciler:
    """Moves all routers of one agent to their desired versions.

    Attributes:
        slots: State of each router by name.
        epoch: Highest epoch of an accepted command.
        revert_timeout_s: Time without a command after which an unconfirmed version is reverted.
    """

    def __init__(
        self, routers: Iterable[str], version: str, records: Iterable[dict[str, Any]], revert_timeout_s: float
    ):
        """Restore the desired versions from the journal.

        Args:
            routers: Names of the agent's routers.
            version: Version that they run until a command sets another.
            records: Records of the journal, in order.
            revert_timeout_s: Time without a command after which an unconfirmed version is reverted.
        """
        self.slots = {name: RouterSlot(version) for name in routers}
        self.epoch = 0
        self.revert_timeout_s = revert_timeout_s
        for record in records:
            self.apply_record(record)

    def apply_record(self, record: dict[str, Any]) -> None:
        """Apply one journal record to the desired state."""
        if record["what"] == RecordKind.EPOCH:
            self.epoch = record["epoch"]
        elif record["router"] in self.slots:
            slot = self.slots[record["router"]]
            slot.desired_version = record["version"]
            slot.is_confirmed = record["sure"]
            if slot.is_confirmed:
                slot.confirmed_version = slot.desired_version

    def adopt(self, router: str, process: int, version: str, is_ready: bool) -> None:
        """Make a running process of a previous agent the serving process of its router."""
        slot = self.slots[router]
        slot.process = process
        slot.version = version
        slot.is_ready = is_ready

    def run_round(self, now: float, events: Iterable[AgentEvent], supervisor: Supervisor) -> None:
        """Process events, then take the next step of each router towards its desired version."""
        for event in events:
            match event:
                case SetVersion():
                    self.set_version(now, event, supervisor)
                case ProcessReady():
                    self._handle_ready(now, event, supervisor)
                case ProcessExited():
                    self._handle_exit(now, event, supervisor)
        for name, slot in self.slots.items():
            self._reconcile(now, name, slot, supervisor)

    def set_version(self, now: float, command: SetVersion, supervisor: Supervisor) -> None:
        """Apply a command, unless its epoch is outdated or a later command has been applied."""
        slot = self.slots.get(command.router)
        order = (command.epoch, command.serial)
        if slot is None or command.epoch < self.epoch or order <= slot.last_command:
            return
        slot.last_command = order
        if command.epoch > self.epoch:
            self._record(supervisor, what=RecordKind.EPOCH, epoch=command.epoch)
        slot.last_command_at = now
        if (command.version, command.is_confirmed) != (slot.desired_version, slot.is_confirmed):
            self.record_version(supervisor, command.router, command.version, command.is_confirmed)

    def record_version(self, supervisor: Supervisor, router: str, version: str, is_confirmed: bool) -> None:
        """Record and apply the version that a router should run."""
        self._record(supervisor, what=RecordKind.ROUTER, router=router, version=version, sure=is_confirmed)

    def next_at(self) -> float | None:
        """Return when the next round is due if no event arrives earlier, or None if none is due."""
        times = []
        for slot in self.slots.values():
            if slot.candidate is not None:
                times.append(slot.candidate_at + READY_TIMEOUT_S)
            elif slot.process is None:
                times.append(slot.retry_at)
            if not slot.is_confirmed and slot.last_command_at is not None:
                times.append(slot.last_command_at + self.revert_timeout_s)
        return min(times, default=None)

    def _record(self, supervisor: Supervisor, **record: Any) -> None:  # noqa: ANN401 - JSON values
        supervisor.record(**record)
        self.apply_record(record)

    def _handle_ready(self, now: float, event: ProcessReady, supervisor: Supervisor) -> None:
        slot = self.slots[event.router]
        if event.process == slot.candidate:
            replaced = slot.process
            slot.process = event.process
            slot.version = slot.candidate_version
            slot.is_ready = True
            slot.candidate = None
            slot.started_at = now
            if replaced is not None:
                slot.draining.add(replaced)
                supervisor.drain(replaced)
            supervisor.log_event("took over", router=event.router, version=slot.version)
        elif event.process == slot.process:
            slot.is_ready = True
            slot.started_at = now

    def _handle_exit(self, now: float, event: ProcessExited, supervisor: Supervisor) -> None:
        slot = self.slots[event.router]
        if event.process in slot.draining:
            slot.draining.discard(event.process)
            return
        if event.process not in (slot.process, slot.candidate):
            return
        if now - slot.started_at > STABLE_AFTER_S:
            slot.crashes_in_row = 0
        slot.crashes += 1
        slot.crashes_in_row += 1
        slot.retry_at = now + min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (slot.crashes_in_row - 1))
        was_candidate = event.process == slot.candidate
        supervisor.log_event(
            "crash loop" if slot.crashes_in_row >= CRASH_LOOP_COUNT else "crashed",
            router=event.router,
            code=event.reason,
            times=slot.crashes_in_row,
            version=slot.candidate_version if was_candidate else slot.version,
        )
        if was_candidate:
            slot.candidate = None
        else:
            slot.process = None
            slot.version = None
            slot.is_ready = False

    def _reconcile(self, now: float, name: str, slot: RouterSlot, supervisor: Supervisor) -> None:
        self._revert_if_silent(now, name, slot, supervisor)
        if slot.candidate is not None:
            self._check_candidate(now, name, slot, supervisor)
            return
        if now < slot.retry_at or slot.draining:
            return
        if slot.process is not None and slot.version == slot.desired_version:
            return
        if self._try_reload(name, slot, supervisor):
            return
        slot.candidate = supervisor.start(name, slot.desired_version)
        slot.candidate_version = slot.desired_version
        slot.candidate_at = now
        if slot.process is None:
            slot.started_at = now

    def _try_reload(self, name: str, slot: RouterSlot, supervisor: Supervisor) -> bool:
        """Change the version without a restart and return True, if the supervisor can reload it."""
        if not slot.is_ready or slot.process is None or slot.version is None:
            return False
        if not supervisor.can_reload(name, slot.version, slot.desired_version):
            return False
        supervisor.reload(slot.process, slot.desired_version)
        slot.version = slot.desired_version
        supervisor.log_event("settings", router=name, version=slot.version)
        return True

    def _revert_if_silent(self, now: float, name: str, slot: RouterSlot, supervisor: Supervisor) -> None:
        """Revert to the confirmed version if no command has arrived for too long."""
        if slot.last_command_at is None:  # the timeout before the first command starts with the first round
            slot.last_command_at = now
        elif not slot.is_confirmed and now - slot.last_command_at > self.revert_timeout_s:
            self.record_version(supervisor, name, slot.confirmed_version, True)
            supervisor.log_event("alone", router=name, back_to=slot.desired_version)

    def _check_candidate(self, now: float, name: str, slot: RouterSlot, supervisor: Supervisor) -> None:
        """Kill a candidate that is not ready in time or whose version is no longer the desired one."""
        candidate = slot.candidate
        if candidate is None:
            return
        is_late = now - slot.candidate_at > READY_TIMEOUT_S
        if not is_late and slot.candidate_version == slot.desired_version:
            return
        supervisor.kill(candidate)
        if is_late:
            self._handle_exit(now, ProcessExited(name, candidate, "not ready"), supervisor)
            return
        slot.draining.add(candidate)
        slot.candidate = None
