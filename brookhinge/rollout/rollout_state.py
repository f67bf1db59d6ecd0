"""Record kinds, phases and outcomes of a rollout, and the reported state of routers. No I/O, no clock."""

import dataclasses
import enum
import math
from typing import Any, Protocol

from brookhinge.rollout.canary_analysis import MetricDelta, Verdict
from brookhinge.rollout.messages import MetricTotals, RouterStatus


class RecordKind(enum.StrEnum):
    """Kinds of the coordinator's journal records; the values are stored."""

    EPOCH = "epoch"
    STAGE = "stage"
    CHANGE = "change"
    PASSED = "passed"
    ROLL_BACK = "back"
    RETURNED = "returned"
    MODE = "mode"
    END = "end"


class Phase(enum.StrEnum):
    """Phase of a stage; the values are shown to operators."""

    BASELINE = "before"  # both groups run the old version and are compared
    CHANGE = "change"  # routers are changed one after another
    WARM_UP = "warm"  # new processes warm up and are not compared yet
    ANALYSIS = "judge"  # the new version is compared with the old one


class Mode(enum.StrEnum):
    """Whether the rollout is paused; the values are stored."""

    RUNNING = "running"
    PAUSED = "paused"


class Outcome(enum.StrEnum):
    """How a rollout ended; the values are stored and shown to operators."""

    DONE = "done"  # all routers run the new version
    ROLLED_BACK = "back"  # all routers run the old version
    ABORTED = "left"  # stopped by an operator; no further commands are sent
    SUPERSEDED = "superseded"  # another coordinator has a higher epoch


class CoordinatorOutput(Protocol):
    """Executes the coordinator's decisions.

    The records of a round are durable before any of its commands is sent.
    """

    def record(self, **record: Any) -> None:  # noqa: ANN401 - JSON values
        """Add a record to the journal."""

    def send_command(self, router: str, version: str, is_confirmed: bool, serial: int) -> None:
        """Send a `SetVersion` to the router's agent under this coordinator's epoch."""

    def log_event(self, event: str, **values: Any) -> None:  # noqa: ANN401 - JSON values
        """Write a log line."""


@dataclasses.dataclass(slots=True)
class RouterView:
    """Last reported state of one router.

    Attributes:
        version: Version that the serving process runs, None if there is no process.
        state: State of the router.
        process: Number of the serving process, None if there is none.
        crashes: Number of crashes since its agent started.
        totals: Metrics of the serving process.
        last_report_at: When the last report arrived.
        window: Process and totals at the end of the last window, None before the first.
        can_run_both_versions: Whether the files of both versions are on its agent's disk.
    """

    version: str | None = None
    state: str = RouterStatus.DOWN
    process: int | None = None
    crashes: int = 0
    totals: MetricTotals = dataclasses.field(default_factory=dict)
    last_report_at: float = -math.inf
    window: tuple[int | None, MetricTotals] | None = None
    can_run_both_versions: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Progress of a rollout, as shown to operators.

    Attributes:
        phase: Phase of the current stage, mode or outcome.
        stage: Number of the current stage, from 1.
        stages: Number of stages.
        changed: Number of routers that have been assigned the new version.
        verdict: Latest verdict, None before the first.
    """

    phase: str
    stage: int
    stages: int
    changed: int
    verdict: Verdict | None


def metric_deltas(before: MetricTotals, after: MetricTotals) -> dict[str, MetricDelta]:
    """Return the growth of each metric's totals; metrics without new samples are omitted."""
    deltas = {}
    for metric, (samples, total) in after.items():
        if metric in before:
            samples_before, total_before = before[metric]
            if samples > samples_before:
                deltas[metric] = MetricDelta(samples - samples_before, total - total_before)
    return deltas
