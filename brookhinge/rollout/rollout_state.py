"""Kinds, phases and outcomes of a rollout, and what is known of each router. No I/O, no clock."""

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
    """What a stage is doing; the values are shown to operators."""

    BASELINE = "before"  # comparing the groups while both run the old version
    CHANGE = "change"  # changing one router after another
    WARM_UP = "warm"  # new processes are left alone
    ANALYSIS = "judge"  # comparing new with old


class Mode(enum.StrEnum):
    """Whether an operator has paused the rollout; the values are stored."""

    RUNNING = "running"
    PAUSED = "paused"


class Outcome(enum.StrEnum):
    """How a rollout ended; the values are stored and shown to operators."""

    DONE = "done"  # all run the new version
    ROLLED_BACK = "back"  # all run the old version
    ABORTED = "left"  # stopped where it stands
    SUPERSEDED = "superseded"  # another coordinator has a higher epoch


class CoordinatorOutput(Protocol):
    """Carries out what the coordinator decides.

    Records are durable before any command of the same round goes out.
    """

    def record(self, **record: Any) -> None:  # noqa: ANN401 - JSON values
        """Add a record to the journal."""

    def command(self, router: str, version: str, is_confirmed: bool, serial: int) -> None:
        """Send a `SetVersion` to the router's agent under this coordinator's epoch."""

    def say(self, event: str, **values: Any) -> None:  # noqa: ANN401 - JSON values
        """Write a log line."""


@dataclasses.dataclass(slots=True)
class RouterView:
    """What was last reported of one router. `window` is its process and totals at the last window's end."""

    version: str | None = None
    state: str = RouterStatus.DOWN
    process: int | None = None
    crashes: int = 0
    totals: MetricTotals = dataclasses.field(default_factory=dict)
    heard_at: float = -math.inf
    window: tuple[int | None, MetricTotals] | None = None
    is_able: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Progress of a rollout for people.

    Attributes:
        stage: counted from 1.
        changed: number of routers that were told the new version.
    """

    phase: str
    stage: int
    stages: int
    changed: int
    verdict: Verdict | None


def metric_deltas(before: MetricTotals, after: MetricTotals) -> dict[str, MetricDelta]:
    """Return by how much each metric's totals grew; metrics without new samples are left out."""
    deltas = {}
    for metric, (samples, total) in after.items():
        if metric in before:
            samples_before, total_before = before[metric]
            if samples > samples_before:
                deltas[metric] = MetricDelta(samples - samples_before, total - total_before)
    return deltas
