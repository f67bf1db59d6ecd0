"""Carries a new version through the fleet in stages, and back if it does worse. No I/O, no clock.

The coordinator takes events (`AgentReport`, `EpochRejected`, `OperatorRequest`) and calls a
`CoordinatorOutput`. What each router should run follows from the journal's records alone, so a coordinator
that is killed at any moment and restarted on its journal continues where it stood; commands state what should
run and may be repeated at any time. A command under a higher epoch supersedes this coordinator.
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

SILENT_AFTER_S = 6.0  # nothing is changed or judged while a router has not been heard of for so long
REPEAT_INTERVAL_S = (
    1.0  # between commands to a router that does not run what it should; twice that to the others
)


class Coordinator:
    """The state of one rollout.

    Attributes:
        epoch: of this coordinator, above that of any before.
        stages: names of the routers of each stage.
        stage, phase: where the rollout stands.
        changed: routers of the present stage that were told the new version, in order.
        confirmed: routers of the stages that passed.
        outcome: how it ended, None while it goes on.
        serial: of the last command.
    """

    def __init__(self, plan: Plan, records: Iterable[dict[str, Any]], epoch: int, now: float):
        """Restore the state that the records of the journal describe."""
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
        self._commanded_at: dict[str, float] = {}
        for record in records:
            self.apply_record(record)
        self._begin_stage(now)

    def apply_record(self, record: dict[str, Any]) -> None:
        """Change the state as a record of the journal says.

        A record read after a restart begins its phase anew: what had been measured is gone with the process.
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
        """Return the version that a router should run by the records."""
        is_new = router in self.confirmed or router in self.changed
        return self.plan.new_version if is_new else self.plan.old_version

    def stage_routers(self) -> list[str]:
        """Return the routers of the present stage; none after the last."""
        return self.stages[self.stage] if self.stage < len(self.stages) else []

    def next_at(self) -> float:
        """Return when a round is due without any event."""
        return self._window_ends_at

    def run_round(self, now: float, events: Iterable[CoordinatorEvent], output: CoordinatorOutput) -> None:
        """Apply events, take the next step of the rollout and repeat commands where they are due."""
        for event in events:
            match event:
                case AgentReport():
                    self._take_report(now, event, output)
                case EpochRejected():
                    self._supersede(event, output)
                case OperatorRequest():
                    self._take_request(event, output)
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
        """Return the progress for people."""
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

    def _take_report(self, now: float, report: AgentReport, output: CoordinatorOutput) -> None:
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
            output.say("crashed", router=report.router, version=report.version, times=new_crashes)
        router.version = report.version
        router.state = report.state
        router.process = report.process
        router.crashes = report.crashes
        router.totals = report.totals
        router.heard_at = now
        router.is_able = report.is_able

    def _supersede(self, rejection: EpochRejected, output: CoordinatorOutput) -> None:
        if self.outcome != Outcome.SUPERSEDED:
            self.outcome = Outcome.SUPERSEDED  # not recorded: the journal may be the other one's by now
            output.say("superseded", by=rejection.epoch, at=rejection.router)

    def _take_request(self, request: OperatorRequest, output: CoordinatorOutput) -> None:
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
        """Begin a stage's measurements.

        After a restart in the middle of a change there is no baseline: until new windows have come only
        crashes count.
        """
        self._analysis = CanaryAnalysis(self.plan.metrics, self.plan.alpha / len(self.stages))
        self._phase_began_at = now
        self._readiness_counts_from = now

    def _close_window(self) -> None:
        """Add one window of each router that ran through it as one process."""
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
        """Take the stage one step further, as far as what is seen allows."""
        if not self.stage_routers():
            self._end(Outcome.DONE, output)
            return
        match self.phase:
            case Phase.BASELINE:
                if not self._pause_if_unable(now, output):
                    self._change_first(now, output)
                else:
                    return
            case Phase.CHANGE:
                self._change_next(now, output)
            case Phase.WARM_UP:
                if now - self._phase_began_at >= self.plan.warm_up_s:
                    self._enter(Phase.ANALYSIS, now)
        self._analyse(now, output)

    def _pause_if_unable(self, now: float, output: CoordinatorOutput) -> bool:
        """Pause if a router of the stage could not be taken back, for want of a program on its disk."""
        unable = [name for name in self.stage_routers() if not self.routers[name].is_able]
        if not unable or self._has_silent_router(now):
            return False
        self._record(output, what=RecordKind.MODE, mode=Mode.PAUSED)
        output.say("paused", why=f"{unable[0]} lacks the old or the new program on its disk")
        return True

    def _change_first(self, now: float, output: CoordinatorOutput) -> None:
        is_measured = now - self._phase_began_at >= self.plan.baseline_s
        if is_measured and not self._has_silent_router(now) and self._is_settled():
            self._change(now, self.stage_routers()[0], output)

    def _change_next(self, now: float, output: CoordinatorOutput) -> None:
        """Change the next router once the last one is ready, and roll back if that takes too long."""
        name = self.changed[-1]
        last = self.routers[name]
        if last.version == self.plan.new_version and last.state == RouterStatus.READY:
            remaining = [router for router in self.stage_routers() if router not in self.changed]
            if not remaining:
                self._enter(Phase.WARM_UP, now)
            elif not self._has_silent_router(now):
                self._change(now, remaining[0], output)
        elif now - last.heard_at > self.plan.ready_timeout_s / 2.0:
            self._readiness_counts_from = now  # its agent is out of reach: it may be ready all the same
        elif now - self._readiness_counts_from > self.plan.ready_timeout_s:
            self._start_roll_back(f"{name} was not ready within {self.plan.ready_timeout_s:g} s", output)

    def _analyse(self, now: float, output: CoordinatorOutput) -> None:
        """Judge the stage so far; a worse version ends it at any time from its first changed router on."""
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
                output.say("paused", why="can't tell within the time of a stage", figure=verdict.metric)
                self._phase_began_at = now

    def _pass_stage(self, now: float, verdict: Verdict, output: CoordinatorOutput) -> None:
        output.say(
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
        output.say("back", why=why, stage=self.stage + 1)

    def _roll_back_one(self, now: float, output: CoordinatorOutput) -> None:
        """Return the router that was changed last to the old version, once all others have settled."""
        pending = self.changed + self.confirmed
        others = {
            name: router
            for name, router in self.routers.items()
            if now - router.heard_at <= SILENT_AFTER_S and name not in pending
        }
        if not all(self._runs_desired(name, router) for name, router in others.items()):
            return
        remaining = self.changed or self.confirmed
        if remaining:
            self._record(output, what=RecordKind.RETURNED, router=remaining[-1])
        elif all(router.version == self.plan.old_version for router in self.routers.values()):
            self._end(Outcome.ROLLED_BACK, output)

    def _send_commands(self, now: float, output: CoordinatorOutput) -> None:
        """Command routers that do not run what they should, and all others at times.

        An agent that hears nothing for long reverts by itself what was not confirmed.
        """
        for name, router in self.routers.items():
            version = self.desired_version(name)
            agrees = router.version == version and now - router.heard_at <= SILENT_AFTER_S
            interval_s = 2.0 * REPEAT_INTERVAL_S if agrees else REPEAT_INTERVAL_S
            if now - self._commanded_at.get(name, -math.inf) >= interval_s:
                self._commanded_at[name] = now
                self.serial += 1
                output.command(name, version, name not in self.changed, self.serial)

    # helpers

    def _record(self, output: CoordinatorOutput, **record: Any) -> None:  # noqa: ANN401 - JSON values
        output.record(**record)
        self.apply_record(record)

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self._phase_began_at = now

    def _change(self, now: float, router: str, output: CoordinatorOutput) -> None:
        self._record(output, what=RecordKind.CHANGE, router=router)
        self._readiness_counts_from = now
        output.say("change", router=router, to=self.plan.new_version)

    def _end(self, outcome: Outcome, output: CoordinatorOutput) -> None:
        self._record(output, what=RecordKind.END, end=outcome)
        new = 0 if outcome == Outcome.ROLLED_BACK else len(self.confirmed) + len(self.changed)
        output.say("ended", how=outcome, new=new)

    def _has_silent_router(self, now: float) -> bool:
        return any(now - router.heard_at > SILENT_AFTER_S for router in self.routers.values())

    def _is_settled(self) -> bool:
        """Whether all routers run what they should, so that no change is made on top of another."""
        return all(self._runs_desired(name, router) for name, router in self.routers.items())

    def _runs_desired(self, name: str, router: RouterView) -> bool:
        return router.version == self.desired_version(name) and router.state == RouterStatus.READY
