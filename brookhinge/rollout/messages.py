"""Messages between a rollout's coordinator and its agents, and the events that their cores take.

A `Struct` with `rename` also defines the field's name on the wire: this module is the only place that knows
both.
"""

import enum

import msgspec

MetricTotals = dict[str, tuple[float, float]]
"""Of each metric (samples, sum) since the process started."""


class RouterStatus(enum.StrEnum):
    """What an agent says of one router; the values stand on the wire."""

    DOWN = "down"
    STARTING = "starting"
    READY = "ready"
    CHANGING = "changing"  # a new process is starting or an old one draining


class SetVersion(
    msgspec.Struct,
    frozen=True,
    rename={"is_confirmed": "sure", "plan_digest": "plan"},
    tag_field="kind",
    tag="should",
):
    """Coordinator to agent: the version that a router should run.

    Attributes:
        is_confirmed: it passed its stage; else the agent reverts it when the coordinator falls silent.
        serial: rises with every command of one epoch, so that a late command does not undo a later one.
        plan_digest: of the coordinator's plan file; an agent with another one does nothing.
    """

    router: str
    version: str
    is_confirmed: bool
    epoch: int
    serial: int
    plan_digest: str


class AgentReport(msgspec.Struct, frozen=True, rename={"is_able": "able"}, tag_field="kind", tag="report"):
    """Agent to coordinator: the state of one router.

    Attributes:
        process: number of the serving process, unique at its agent; None if there is none.
        crashes: since the agent started.
        epoch: the highest that the agent knows.
        is_able: both versions can be started from the agent's disk.
    """

    router: str
    version: str | None
    state: RouterStatus
    process: int | None
    crashes: int
    totals: MetricTotals
    epoch: int
    is_able: bool


class EpochRejected(msgspec.Struct, frozen=True, tag_field="kind", tag="refused"):
    """Agent to coordinator: a command came under an older epoch than `epoch`."""

    router: str
    epoch: int


class PlanMismatch(
    msgspec.Struct, frozen=True, rename={"agent_digest": "mine"}, tag_field="kind", tag="other plan"
):
    """Agent to coordinator: the agent was started with another plan file."""

    agent_digest: str


class OperatorRequest(enum.StrEnum):
    """What an operator asks of a running coordinator; the values are the command line's."""

    PAUSE = "pause"
    RESUME = "resume"
    ROLL_BACK = "back"
    ABORT = "abort"


class ProcessReady(msgspec.Struct, frozen=True):
    """A router's process accepts clients."""

    router: str
    process: int


class ProcessExited(msgspec.Struct, frozen=True):
    """A router's process ended or could not be started; `reason` is its exit code or why."""

    router: str
    process: int
    reason: int | str | None


AgentMessage = AgentReport | EpochRejected | PlanMismatch
CoordinatorEvent = AgentReport | EpochRejected | OperatorRequest
AgentEvent = SetVersion | ProcessReady | ProcessExited
