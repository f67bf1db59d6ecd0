"""Messages between the coordinator and the agents of a rollout, and the events that both process.

`rename` gives the name that a field has on the wire where it differs; no other module uses wire names.
"""

import enum

import msgspec

MetricTotals = dict[str, tuple[float, float]]
"""Number of samples and sum of each metric since the process started."""


class RouterStatus(enum.StrEnum):
    """State of one router as its agent reports it; the values are sent on the wire."""

    DOWN = "down"
    STARTING = "starting"
    READY = "ready"
    CHANGING = "changing"  # a new process is starting or an old one is draining


class SetVersion(
    msgspec.Struct,
    frozen=True,
    rename={"is_confirmed": "sure", "plan_digest": "plan"},
    tag_field="kind",
    tag="should",
):
    """Coordinator to agent: sets the version that a router should run.

    Attributes:
        router: Name of the router.
        version: Name of the version in the plan.
        is_confirmed: False while the router runs the new version in a stage that has not passed; the agent
            reverts such a version when commands stop.
        epoch: Epoch of the coordinator.
        serial: Increases with each command of an epoch, so that a delayed command does not undo a later one.
        plan_digest: Digest of the coordinator's plan file; an agent with another plan ignores the command.
    """

    router: str
    version: str
    is_confirmed: bool
    epoch: int
    serial: int
    plan_digest: str


class AgentReport(msgspec.Struct, frozen=True, rename={"is_able": "able"}, tag_field="kind", tag="report"):
    """Agent to coordinator: reports the state of one router.

    Attributes:
        router: Name of the router.
        version: Version that the serving process runs, None if there is no process.
        state: State of the router.
        process: Number of the serving process, unique at its agent; None if there is none.
        crashes: Number of crashes since the agent started.
        totals: Metrics of the serving process.
        epoch: Highest epoch that the agent has seen.
        is_able: Whether the files of both versions are on the agent's disk.
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
    """Agent to coordinator: a command was rejected because its epoch is older than `epoch`."""

    router: str
    epoch: int


class PlanMismatch(
    msgspec.Struct, frozen=True, rename={"agent_digest": "mine"}, tag_field="kind", tag="other plan"
):
    """Agent to coordinator: the agent was started with another plan file."""

    agent_digest: str


class OperatorRequest(enum.StrEnum):
    """Request of an operator to a coordinator; the values are names of commands on the command line."""

    PAUSE = "pause"
    RESUME = "resume"
    ROLL_BACK = "back"
    ABORT = "abort"


class ProcessReady(msgspec.Struct, frozen=True):
    """A router's process has started to accept clients."""

    router: str
    process: int


class ProcessExited(msgspec.Struct, frozen=True):
    """A router's process ended or could not be started.

    Attributes:
        router: Name of the router.
        process: Number of the process.
        reason: Exit code, or why the process did not start; None if the exit code is unknown.
    """

    router: str
    process: int
    reason: int | str | None


AgentMessage = AgentReport | EpochRejected | PlanMismatch
CoordinatorEvent = AgentReport | EpochRejected | OperatorRequest
AgentEvent = SetVersion | ProcessReady | ProcessExited
