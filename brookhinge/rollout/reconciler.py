"""Reconciles one agent's routers with the versions they should run. No I/O, no clock.

The reconciler takes events (`SetVersion`, `ProcessReady`, `ProcessExited`) and calls a `Supervisor` for what
is to be done. A router has one serving process; during a change a second one, the candidate, starts on the
same socket and replaces it once ready, after which the old one drains. A crashed process is restarted with
exponential backoff. A version that its coordinator has not confirmed is reverted when the coordinator falls
silent.
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

FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 10.0
STABLE_AFTER_S = 20.0  # a process that ran so long starts a new series of crashes
READY_TIMEOUT_S = 30.0
CRASH_LOOP_COUNT = 4

NO_COMMAND = (0, 0)


class RecordKind(enum.StrEnum):
    """Kinds of the agent's journal records; the values are stored."""

    EPOCH = "epoch"
    ROUTER = "router"


class Supervisor(Protocol):
    """Carries out what the reconciler decides. Records are durable before any action of the same round."""

    def start(self, router: str, version: str) -> int:
        """Start a process and return its number, which is never used again."""

    def drain(self, process: int) -> None:
        """Ask a process to shut down gracefully (SIGTERM, later SIGKILL)."""

    def end(self, process: int) -> None:
        """Kill a process (SIGKILL)."""

    def can_reload(self, router: str, old: str, new: str) -> bool:
        """Whether a running process of `old` can take over the settings of `new` without a restart."""

    def reload(self, process: int, version: str) -> None:
        """Give a running process the settings of a version (SIGHUP)."""

    def record(self, **record: Any) -> None:  # noqa: ANN401 - JSON values
        """Add a record to the journal."""

    def say(self, event: str, **values: Any) -> None:  # noqa: ANN401 - JSON values
        """Write a log line."""


class RouterSlot:
    """One router: what it should run, what it runs, and its crashes. Times are seconds of the caller's clock.

    Attributes:
        desired_version, is_confirmed: as last commanded. confirmed_version: the last confirmed one, to which
        an unconfirmed one is reverted. heard_at: when the last command came, None before the first. process,
        version, is_ready: the serving process, or the one started for it. candidate, candidate_version,
        candidate_at: the process that is to replace it, and when it was started. draining: processes that
        were told to shut down. last_command: epoch and serial of the last command that counted. crashes,
        crashes_in_row, retry_at, started_at: restarts and their backoff.
    """

    def __init__(self, version: str):
        self.desired_version = version
        self.confirmed_version = version
        self.is_confirmed = True
        self.heard_at: float | None = None
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
        """Return the state as an agent reports it."""
        if self.process is None:
            return RouterStatus.DOWN
        is_changing = self.candidate is not None or bool(self.draining)
        if is_changing:
            return RouterStatus.CHANGING
        return RouterStatus.READY if self.is_ready else RouterStatus.STARTING


class Reconciler:
    """Desired and actual state of all routers of one agent.

    Attributes:
        slots: the routers by name.
        epoch: the highest epoch of a coordinator that was heeded.
    """

    def __init__(
        self, routers: Iterable[str], version: str, records: Iterable[dict[str, Any]], revert_timeout_s: float
    ):
        """Restore the state that the records describe.

        Args:
            routers: names of the agent's routers.
            version: what they run before any command.
            records: the journal's, in order.
            revert_timeout_s: an unconfirmed version is reverted after so long without a command.
        """
        self.slots = {name: RouterSlot(version) for name in routers}
        self.epoch = 0
        self.revert_timeout_s = revert_timeout_s
        for record in records:
            self.apply_record(record)

    def apply_record(self, record: dict[str, Any]) -> None:
        """Change the desired state as a record of the journal says."""
        if record["what"] == RecordKind.EPOCH:
            self.epoch = record["epoch"]
        elif record["router"] in self.slots:
            slot = self.slots[record["router"]]
            slot.desired_version = record["version"]
            slot.is_confirmed = record["sure"]
            if slot.is_confirmed:
                slot.confirmed_version = slot.desired_version

    def adopt(self, router: str, process: int, version: str, is_ready: bool) -> None:
        """Take over a process that a previous agent started."""
        slot = self.slots[router]
        slot.process = process
        slot.version = version
        slot.is_ready = is_ready

    def run_round(self, now: float, events: Iterable[AgentEvent], supervisor: Supervisor) -> None:
        """Apply events, then take the next step of each router towards its desired version."""
        for event in events:
            match event:
                case SetVersion():
                    self.set_version(now, event, supervisor)
                case ProcessReady():
                    self._process_ready(now, event, supervisor)
                case ProcessExited():
                    self._process_exited(now, event, supervisor)
        for name, slot in self.slots.items():
            self._reconcile(now, name, slot, supervisor)

    def set_version(self, now: float, command: SetVersion, supervisor: Supervisor) -> None:
        """Take a coordinator's command, unless it is of an older epoch or was overtaken by a later one."""
        slot = self.slots.get(command.router)
        order = (command.epoch, command.serial)
        if slot is None or command.epoch < self.epoch or order <= slot.last_command:
            return
        slot.last_command = order
        if command.epoch > self.epoch:
            self._record(supervisor, what=RecordKind.EPOCH, epoch=command.epoch)
        slot.heard_at = now
        if (command.version, command.is_confirmed) != (slot.desired_version, slot.is_confirmed):
            self.record_version(supervisor, command.router, command.version, command.is_confirmed)

    def record_version(self, supervisor: Supervisor, router: str, version: str, is_confirmed: bool) -> None:
        """Journal and apply the version that a router should run."""
        self._record(supervisor, what=RecordKind.ROUTER, router=router, version=version, sure=is_confirmed)

    def next_at(self) -> float | None:
        """Return when a round is due without any event, or None."""
        times = []
        for slot in self.slots.values():
            if slot.candidate is not None:
                times.append(slot.candidate_at + READY_TIMEOUT_S)
            elif slot.process is None:
                times.append(slot.retry_at)
            if not slot.is_confirmed and slot.heard_at is not None:
                times.append(slot.heard_at + self.revert_timeout_s)
        return min(times, default=None)

    def _record(self, supervisor: Supervisor, **record: Any) -> None:  # noqa: ANN401 - JSON values
        supervisor.record(**record)
        self.apply_record(record)

    def _process_ready(self, now: float, event: ProcessReady, supervisor: Supervisor) -> None:
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
            supervisor.say("took over", router=event.router, version=slot.version)
        elif event.process == slot.process:
            slot.is_ready = True
            slot.started_at = now

    def _process_exited(self, now: float, event: ProcessExited, supervisor: Supervisor) -> None:
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
        slot.retry_at = now + min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (slot.crashes_in_row - 1))
        was_candidate = event.process == slot.candidate
        supervisor.say(
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
        """Change the version without a restart, where the supervisor says that this can be done."""
        if not slot.is_ready or slot.process is None or slot.version is None:
            return False
        if not supervisor.can_reload(name, slot.version, slot.desired_version):
            return False
        supervisor.reload(slot.process, slot.desired_version)
        slot.version = slot.desired_version
        supervisor.say("settings", router=name, version=slot.version)
        return True

    def _revert_if_silent(self, now: float, name: str, slot: RouterSlot, supervisor: Supervisor) -> None:
        """Go back to the confirmed version if no command has come for too long."""
        if slot.heard_at is None:  # an agent that has just started waits as long for a first command
            slot.heard_at = now
        elif not slot.is_confirmed and now - slot.heard_at > self.revert_timeout_s:
            self.record_version(supervisor, name, slot.confirmed_version, True)
            supervisor.say("alone", router=name, back_to=slot.desired_version)

    def _check_candidate(self, now: float, name: str, slot: RouterSlot, supervisor: Supervisor) -> None:
        """End a candidate that is not ready in time or whose version is no longer wanted."""
        candidate = slot.candidate
        if candidate is None:
            return
        is_late = now - slot.candidate_at > READY_TIMEOUT_S
        if not is_late and slot.candidate_version == slot.desired_version:
            return
        supervisor.end(candidate)
        if is_late:
            self._process_exited(now, ProcessExited(name, candidate, "not ready"), supervisor)
            return
        slot.draining.add(candidate)
        slot.candidate = None
