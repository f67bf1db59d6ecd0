"""Rolls a new version out to the fleet in stages, and rolls it back if it does worse. No I/O, no clock.

The coordinator takes events (`AgentReport`, `EpochRejected`, `OperatorRequest`) and calls a
`CoordinatorOutput`. The desired version of each router follows from the journal's records alone, so a
coordinator that is killed at any moment and restarted on its journal continues the rollout. Commands are
idempotent and are repeated at intervals. A coordinator with a higher epoch supersedes this one.
"""

import math
from collections.abc import Iterable
from typing import Any

from brookhinge.rollout.canary_analysis import (
    CanaryAnalysis,
    RouterWindow,
    Verdict,
    VerdictKind,
)
from brookhinge.rollout.messages import (
    AgentReport,
    CoordinatorEvent,
    EpochRejected,
    OperatorRequest,
    RouterStatus,
)
from brookhinge.rollout.plan import OnInconclusive, Plan
from brookhinge.rollout.rollout_state import (
    CoordinatorOutput,
    Mode,
    Outcome,
    Phase,
    RecordKind,
    RouterView,
    Status,
    metric_deltas,
)
from brookhinge.rollout.stages import stages_of

SILENT_AFTER_S = 6.0  # no router is changed and no stage ends while a router's last report is older than this
REPEAT_INTERVAL_S = 1.0  # of commands to a router that does not run its desired version; doubled otherwise


class Coordinator:
    """State of one rollout.

    Attributes:
        plan: Plan of the rollout.
        epoch: Epoch of this coordinator, higher than that of any earlier one.
        stages: Names of the routers of each stage.
        agents: Name of the agent of each router.
        routers: Last reported state of each router.
        stage: Index of the current stage; the number of stages once all have passed.
        phase: Phase of the current stage.
        changed: Routers of the current stage that have been assigned the new version, in order.
        confirmed: Routers of the stages that passed.
        mode: Whether an operator or a missing verdict has paused the rollout.
        outcome: How the rollout ended, None while it is running.
        is_rolling_back: Whether the routers are being returned to the old version.
        verdict: Latest verdict, None before the first.
        serial: Serial number of the last command.
    """

    def __init__(self, plan: Plan, records: Iterable[dict[str, Any]], epoch: int, now: float):
        """Restore the state from the records of the journal."""
        self.plan = plan
        self.epoch = epoch
        self.stages = stages_of(plan)
        self.agents = dict(plan.routers)
        self.routers = {name: RouterView() for name, _ in plan.routers}
        self.stage = 0
        self.phase = Phase.BASELINE
        self.changed: list[str] = []
        self.confirmed: list[str] = []
        self.mode = Mode.RUNNING
        self.outcome: Outcome | None = None
        self.is_rolling_back = False
        self.verdict: Verdict | None = None
        self.serial = 0
        self._window_ends_at = now + plan.window_s
        self._last_command_at: dict[str, float] = {}
        for record in records:
            self.apply_record(record)
        self._begin_stage(now)

    def apply_record(self, record: dict[str, Any]) -> None:
        """Apply one journal record to the state.

        Measurements are not recorded, so a restarted coordinator repeats the recorded phase from its start.
        """
        match record.get("what"):
            case RecordKind.STAGE:
                self.stage = record["stage"]
                self.phase = Phase.BASELINE
                self.changed = []
                self.is_rolling_back = False
            case RecordKind.CHANGE:
                self.phase = Phase.CHANGE
                self.changed.append(record["router"])
            case RecordKind.PASSED:
                self.confirmed += self.stages[self.stage]
                self.changed = []
                self.stage += 1
                self.phase = Phase.BASELINE
            case RecordKind.ROLL_BACK:
                self.is_rolling_back = True
            case RecordKind.RETURNED:
                for routers in (self.changed, self.confirmed):
                    if record["router"] in routers:
                        routers.remove(record["router"])
            case RecordKind.MODE:
                self.mode = Mode(record["mode"])
            case RecordKind.END:
                self.outcome = Outcome(record["end"])

    def desired_version(self, router: str) -> str:
        """Return the version that a router should run according to the records."""
        is_new = router in self.confirmed or router in self.changed
        return self.plan.new_version if is_new else self.plan.old_version

    def stage_routers(self) -> list[str]:
        """Return the routers of the current stage, or an empty list after the last stage."""
        return self.stages[self.stage] if self.stage < len(self.stages) else []

    def next_at(self) -> float:
        """Return when the next round is due if no event arrives earlier."""
        return self._window_ends_at

    def run_round(self, now: float, events: Iterable[CoordinatorEvent], output: CoordinatorOutput) -> None:
        """Process events, take the next step of the rollout and send the commands that are due."""
        for event in events:
            match event:
                case AgentReport():
                    self._handle_report(now, event, output)
                case EpochRejected():
                    self._supersede(event, output)
                case OperatorRequest():
                    self._handle_request(event, output)
        if self.outcome in (Outcome.SUPERSEDED, Outcome.ABORTED):
            return
        if now >= self._window_ends_at:
            self._window_ends_at = now + self.plan.window_s
            self._close_window()
        if self.outcome is None and self.is_rolling_back:
            self._roll_back_one(now, output)
        elif self.outcome is None and self.mode == Mode.RUNNING:
            self._advance(now, output)
        self._send_commands(now, output)

    def status(self) -> Status:
        """Return the progress of the rollout for operators."""
        if self.outcome is not None:
            phase: str = self.outcome
        elif self.is_rolling_back:
            phase = "going back"
        else:
            phase = self.phase if self.mode == Mode.RUNNING else Mode.PAUSED
        return Status(
            phase=phase,
            stage=min(self.stage + 1, len(self.stages)),
            stages=len(self.stages),
            changed=len(self.confirmed) + len(self.changed),
            verdict=self.verdict,
        )

    # events

    def _handle_report(self, now: float, report: AgentReport, output: CoordinatorOutput) -> None:
        router = self.routers.get(report.router)
        if router is None:
            return
        if report.epoch > self.epoch:
            self._supersede(EpochRejected(report.router, report.epoch), output)
            return
        new_crashes = report.crashes - router.crashes
        if new_crashes > 0 and router.process is not None:
            for _ in range(new_crashes):
                self._analysis.add_crash(report.router in self.changed)
            output.log_event("crashed", router=report.router, version=report.version, times=new_crashes)
        router.version = report.version
        router.state = report.state
        router.process = report.process
        router.crashes = report.crashes
        router.totals = report.totals
        router.last_report_at = now
        router.can_run_both_versions = report.is_able

    def _supersede(self, rejection: EpochRejected, output: CoordinatorOutput) -> None:
        if self.outcome != Outcome.SUPERSEDED:
            self.outcome = (
                Outcome.SUPERSEDED
            )  # not recorded: the other coordinator may already use the journal
            output.log_event("superseded", by=rejection.epoch, at=rejection.router)

    def _handle_request(self, request: OperatorRequest, output: CoordinatorOutput) -> None:
        if self.outcome is not None:
            return
        match request:
            case OperatorRequest.ROLL_BACK if not self.is_rolling_back:
                self._record(output, what=RecordKind.ROLL_BACK, why="asked")
            case OperatorRequest.ABORT:
                self._end(Outcome.ABORTED, output)
            case OperatorRequest.PAUSE:
                self._record(output, what=RecordKind.MODE, mode=Mode.PAUSED)
            case OperatorRequest.RESUME:
                self._record(output, what=RecordKind.MODE, mode=Mode.RUNNING)

    # measuring

    def _begin_stage(self, now: float) -> None:
        """Reset the measurements for a new stage.

        After a restart in the middle of a stage there is no baseline, and until new windows are complete only
        crashes count.
        """
        self._analysis = CanaryAnalysis(self.plan.metrics, self.plan.alpha / len(self.stages))
        self._phase_began_at = now
        self._ready_wait_began_at = now

    def _close_window(self) -> None:
        """Add a window with each router that ran the same process from its start to its end."""
        group = set(self.stage_routers())
        rows = []
        for name, router in self.routers.items():
            previous = router.window
            router.window = (router.process, router.totals)
            if previous is None or router.process is None or previous[0] != router.process:
                continue
            deltas = metric_deltas(previous[1], router.totals)
            rows.append(RouterWindow(self.agents[name], name in group, deltas))
        if self.phase in (Phase.BASELINE, Phase.ANALYSIS):
            self._analysis.add_window(self.phase == Phase.BASELINE, rows)

    # steps

    def _advance(self, now: float, output: CoordinatorOutput) -> None:
        """Take the next step of the stage if the reported states allow it."""
        if not self.stage_routers():
            self._end(Outcome.DONE, output)
            return
        match self.phase:
            case Phase.BASELINE:
                if not self._pause_if_files_missing(now, output):
                    self._change_first_router(now, output)
                else:
                    return
            case Phase.CHANGE:
                self._change_next_router(now, output)
            case Phase.WARM_UP:
                if now - self._phase_began_at >= self.plan.warm_up_s:
                    self._enter_phase(Phase.ANALYSIS, now)
        self._evaluate(now, output)

    def _pause_if_files_missing(self, now: float, output: CoordinatorOutput) -> bool:
        """Pause if a router of the stage lacks files of a version, so that it could not be reverted."""
        affected = [name for name in self.stage_routers() if not self.routers[name].can_run_both_versions]
        if not affected or self._has_silent_router(now):
            return False
        self._record(output, what=RecordKind.MODE, mode=Mode.PAUSED)
        output.log_event(
            "paused",
            why=f"router {affected[0]}: files of the old or the new version are missing on its agent's disk",
        )
        return True

    def _change_first_router(self, now: float, output: CoordinatorOutput) -> None:
        is_baseline_complete = now - self._phase_began_at >= self.plan.baseline_s
        if is_baseline_complete and not self._has_silent_router(now) and self._is_settled():
            self._change_router(now, self.stage_routers()[0], output)

    def _change_next_router(self, now: float, output: CoordinatorOutput) -> None:
        """Change the next router once the last one is ready; roll back if it is not ready in time."""
        name = self.changed[-1]
        last = self.routers[name]
        if last.version == self.plan.new_version and last.state == RouterStatus.READY:
            remaining = [router for router in self.stage_routers() if router not in self.changed]
            if not remaining:
                self._enter_phase(Phase.WARM_UP, now)
            elif not self._has_silent_router(now):
                self._change_router(now, remaining[0], output)
        elif now - last.last_report_at > self.plan.ready_timeout_s / 2.0:
            self._ready_wait_began_at = now  # its agent is unreachable, and the router may be ready
        elif now - self._ready_wait_began_at > self.plan.ready_timeout_s:
            self._start_roll_back(f"{name} was not ready within {self.plan.ready_timeout_s:g} s", output)

    def _evaluate(self, now: float, output: CoordinatorOutput) -> None:
        """Update the verdict; roll back at any time if it is WORSE, and end the stage when it is due."""
        if self.is_rolling_back or not self.changed:
            return
        self.verdict = verdict = self._analysis.verdict()
        if verdict.kind == VerdictKind.WORSE:
            bounds = f"{verdict.low:+.4g} to {verdict.high:+.4g}"
            self._start_roll_back(f"{verdict.metric} {verdict.value:+.4g} ({bounds})", output)
            return
        elapsed_s = now - self._phase_began_at
        is_due = self.phase == Phase.ANALYSIS and elapsed_s >= self.plan.least_s
        if not is_due or self._has_silent_router(now):
            return
        if verdict.kind in (VerdictKind.BETTER, VerdictKind.NO_WORSE):
            self._pass_stage(now, verdict, output)
        elif elapsed_s >= self.plan.most_s:
            self._resolve_inconclusive(now, verdict, output)

    def _resolve_inconclusive(self, now: float, verdict: Verdict, output: CoordinatorOutput) -> None:
        match self.plan.on_inconclusive:
            case OnInconclusive.PASS:
                self._pass_stage(now, verdict, output)
            case OnInconclusive.ROLL_BACK:
                self._start_roll_back("can't tell within the time of a stage", output)
            case OnInconclusive.PAUSE:
                self._record(output, what=RecordKind.MODE, mode=Mode.PAUSED)
                output.log_event(
                    "paused", why="the stage reached most_s without a verdict", figure=verdict.metric
                )
                self._phase_began_at = now

    def _pass_stage(self, now: float, verdict: Verdict, output: CoordinatorOutput) -> None:
        output.log_event(
            "passed",
            stage=self.stage + 1,
            of=len(self.stages),
            verdict=verdict.kind,
            figure=verdict.metric,
            value=round(verdict.value, 5),
            low=round(verdict.low, 5),
            high=round(verdict.high, 5),
        )
        self._record(output, what=RecordKind.PASSED, stage=self.stage, verdict=verdict.kind)
        self._begin_stage(now)

    def _start_roll_back(self, why: str, output: CoordinatorOutput) -> None:
        self._record(output, what=RecordKind.ROLL_BACK, why=why, stage=self.stage)
        output.log_event("back", why=why, stage=self.stage + 1)

    def _roll_back_one(self, now: float, output: CoordinatorOutput) -> None:
        """Return the most recently changed router to the old version once the other routers run theirs.

        Routers whose reports have stopped are not waited for.
        """
        pending = self.changed + self.confirmed
        others = {
            name: router
            for name, router in self.routers.items()
            if now - router.last_report_at <= SILENT_AFTER_S and name not in pending
        }
        if not all(self._runs_desired(name, router) for name, router in others.items()):
            return
        remaining = self.changed or self.confirmed
        if remaining:
            self._record(output, what=RecordKind.RETURNED, router=remaining[-1])
        elif all(router.version == self.plan.old_version for router in self.routers.values()):
            self._end(Outcome.ROLLED_BACK, output)

    def _send_commands(self, now: float, output: CoordinatorOutput) -> None:
        """Send commands to routers that do not run their desired version, and to all others less often.

        The others need them as well: an agent that receives no command reverts an unconfirmed version.
        """
        for name, router in self.routers.items():
            version = self.desired_version(name)
            is_up_to_date = router.version == version and now - router.last_report_at <= SILENT_AFTER_S
            interval_s = 2.0 * REPEAT_INTERVAL_S if is_up_to_date else REPEAT_INTERVAL_S
            if now - self._last_command_at.get(name, -math.inf) >= interval_s:
                self._last_command_at[name] = now
                self.serial += 1
                output.send_command(name, version, name not in self.changed, self.serial)

    # helpers

    def _record(self, output: CoordinatorOutput, **record: Any) -> None:  # noqa: ANN401 - JSON values
        output.record(**record)
        self.apply_record(record)

    def _enter_phase(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self._phase_began_at = now

    def _change_router(self, now: float, router: str, output: CoordinatorOutput) -> None:
        self._record(output, what=RecordKind.CHANGE, router=router)
        self._ready_wait_began_at = now
        output.log_event("change", router=router, to=self.plan.new_version)

    def _end(self, outcome: Outcome, output: CoordinatorOutput) -> None:
        self._record(output, what=RecordKind.END, end=outcome)
        new = 0 if outcome == Outcome.ROLLED_BACK else len(self.confirmed) + len(self.changed)
        output.log_event("ended", how=outcome, new=new)

    def _has_silent_router(self, now: float) -> bool:
        return any(now - router.last_report_at > SILENT_AFTER_S for router in self.routers.values())

    def _is_settled(self) -> bool:
        """Return whether all routers run their desired version, so that changes do not overlap."""
        return all(self._runs_desired(name, router) for name, router in self.routers.items())

    def _runs_desired(self, name: str, router: RouterView) -> bool:
        return router.version == self.desired_version(name) and router.state == RouterStatus.READY
