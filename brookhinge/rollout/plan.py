"""Reads and checks the plan of a rollout, an HCL file that the coordinator and its agents share.

    rollout "name" {
      old    = "v1"
      to     = "v2"
      stages = [0.1, 0.5, 1.0]        # cumulative shares of all routers; at least one in the first stage
      key    = "00112233445566778899aabbccddeeff"
      untold = "pause"                # action if a stage ends without a verdict: pause, back or go
      figure "worth" { most_worse = 0.02 }
      version "v1" {
        tree   = "/srv/brookhinge-1"  # working directory of `python -m brookhinge`
        config = "/etc/brookhinge/1/{router}.json"
      }
      keeper "edge-1" {
        listen = "127.0.0.1:7501"
        dir    = "/var/lib/brookhinge/keep"
        router "n1" { listen = "127.0.0.1:8301" }
      }
    }

The keys of the file differ from the names in the code; `_PLAN_FIELDS` and `_agents` map them.
"""

import enum
import hashlib
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from brookhinge.operator import schema
from brookhinge.operator.hcl import Block, OperatorError, parse
from brookhinge.operator.schema import REQUIRED, read_values
from brookhinge.operator.value_checks import (
    address,
    key,
    number,
    one_of,
    path,
    text,
    whole,
)

MAX_ROUTERS = 4096
MIN_ROUTERS = 2  # a single router has none to be compared with
TRACK_METRIC_PREFIX = "worth "

Address = tuple[str, int]


class OnInconclusive(enum.StrEnum):
    """Action if a stage ends without a verdict; the values are those of the plan file."""

    PAUSE = "pause"
    ROLL_BACK = "back"
    PASS = "go"


class Metric(NamedTuple):
    """A metric by which routers are compared.

    Attributes:
        name: Name of the metric.
        sign: +1 if higher is better, -1 if lower is better.
        tolerance: Loss of the new version that still counts as no worse, in the metric's unit.
    """

    name: str
    sign: float
    tolerance: float


METRICS = (
    Metric("worth", 1.0, 0.02),
    Metric("failed", -1.0, 0.01),
    Metric("nacked", -1.0, 0.03),
    Metric("late", -1.0, 0.03),
    Metric("growth_mb", -1.0, 0.05),
    Metric("cpu", -1.0, 0.1),
)


class Version(NamedTuple):
    """A version of the program with its settings.

    Attributes:
        name: Name of the version in the plan.
        tree: Working directory of `python -m brookhinge`.
        python: Path of the interpreter, empty for the agent's own.
        config: Path of the settings file; {router} is replaced by the router's name.
        fleet: Path of the operator's file, with the same replacement; empty if there is none.
    """

    name: str
    tree: str
    python: str
    config: str
    fleet: str


class AgentSettings(NamedTuple):
    """An agent in the plan.

    Attributes:
        name: Name of the agent.
        listen: Address on which the agent accepts coordinators.
        folder: Folder of the agent's journal, logs and settings files.
        routers: Listening address of each router of the agent, by name.
    """

    name: str
    listen: Address
    folder: str
    routers: dict[str, Address]


class Plan(NamedTuple):
    """The checked content of a plan file.

    Attributes:
        name: Name of the rollout.
        old_version: Name of the version that the routers run before the rollout.
        new_version: Name of the version to roll out.
        stages: Cumulative shares of all routers by stage, the last 1.0.
        key: Key that authenticates coordinator and agents to each other.
        seed: Seed of the random assignment of routers to stages.
        alpha: Probability of a false WORSE verdict over the whole rollout.
        window_s: Length of a measurement window.
        baseline_s: Time for which the groups are compared before a stage changes a router.
        warm_up_s: Time between the last change of a stage and the start of its comparison.
        least_s: Minimum duration of a stage's comparison.
        most_s: Duration of a comparison after which `on_inconclusive` applies.
        ready_timeout_s: Time a changed router has to become ready before the rollout is rolled back.
        revert_timeout_s: Time without a command after which an agent reverts an unconfirmed version.
        on_inconclusive: Action if a stage ends without a verdict.
        versions: Versions by name.
        agents: Agents by name.
        metrics: Metrics by which routers are compared.
        routers: All routers as (router, agent) pairs.
        digest: Digest of the file's text; any change of the text makes it a different plan.
    """

    name: str
    old_version: str
    new_version: str
    stages: tuple[float, ...]
    key: bytes
    seed: int
    alpha: float
    window_s: float
    baseline_s: float
    warm_up_s: float
    least_s: float
    most_s: float
    ready_timeout_s: float
    revert_timeout_s: float
    on_inconclusive: OnInconclusive
    versions: dict[str, Version]
    agents: dict[str, AgentSettings]
    metrics: tuple[Metric, ...]
    routers: tuple[tuple[str, str], ...]
    digest: str


def cumulative_shares(value: object) -> tuple[float, ...]:
    """Check the value of the key `stages` and return it as floats."""
    if not isinstance(value, list) or not value or not all(_is_share(share) for share in value):
        raise ValueError("a list of shares of all routers, each above 0 and at most 1")
    if sorted(set(value)) != value or value[-1] != 1.0:
        raise ValueError("increasing shares of all routers, the last 1.0")
    return tuple(float(share) for share in value)


def absolute_path(value: object) -> str:
    """Check that a value is an absolute path and return it."""
    checked = path(value)
    if not os.path.isabs(checked):
        raise ValueError("an absolute path")
    return checked


def _is_share(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 < value <= 1.0


# by key of the file: field of Plan, check, default
_PLAN_FIELDS: dict[str, tuple[str, Callable[[Any], Any], Any]] = {
    "old": ("old_version", text, REQUIRED),
    "to": ("new_version", text, REQUIRED),
    "stages": ("stages", cumulative_shares, (0.1, 0.5, 1.0)),
    "key": ("key", key, REQUIRED),
    "seed": ("seed", whole(0, 1 << 31), 1),
    "alpha": ("alpha", number(1e-6, 0.2), 0.01),
    "window_s": ("window_s", number(0.05, 60), 1.0),
    "before_s": ("baseline_s", number(0, 3600), 60.0),
    "warm_s": ("warm_up_s", number(0, 3600), 20.0),
    "least_s": ("least_s", number(0, 3600), 30.0),
    "most_s": ("most_s", number(1, 86400), 300.0),
    "ready_s": ("ready_timeout_s", number(0.5, 600), 30.0),
    "alone_s": ("revert_timeout_s", number(1, 86400), 60.0),
    "untold": ("on_inconclusive", one_of(*OnInconclusive), OnInconclusive.PAUSE),
}
_PLAN_KEYS = {name: (check, default) for name, (_, check, default) in _PLAN_FIELDS.items()}
_VERSION_KEYS = {
    "tree": (absolute_path, REQUIRED),
    "python": (path, ""),
    "config": (absolute_path, REQUIRED),
    "fleet": (path, ""),
}
_AGENT_KEYS = {"listen": (address, REQUIRED), "dir": (absolute_path, REQUIRED)}
_ROUTER_KEYS = {"listen": (address, REQUIRED)}
_METRIC_KEYS = {"most_worse": (number(1e-6, 1e6), REQUIRED)}
_INNER_BLOCKS = ("version", "keeper", "figure")


class _LabelledBlock(NamedTuple):
    """A block with its single label and its checked values."""

    label: str
    values: dict[str, Any]
    block: Block


def read_plan(source: str) -> Plan:
    """Parse and check the text of a plan file.

    Raises:
        OperatorError: The text is not a valid plan; names the line, block and key and what was expected.
    """
    block = _rollout_block(source)
    values = read_values(block, _PLAN_KEYS)
    versions = _versions(block)
    _check_versions(block, values, versions)
    agents = _agents(block)
    routers = tuple((router, agent.name) for agent in agents.values() for router in agent.routers)
    _check_router_count(block, values["stages"], len(routers))
    fields = {_PLAN_FIELDS[name][0]: value for name, value in values.items()}
    fields["on_inconclusive"] = OnInconclusive(fields["on_inconclusive"])
    return Plan(
        name=block.labels[0],
        versions=versions,
        agents=agents,
        routers=routers,
        metrics=_metrics(block),
        digest=hashlib.blake2b(source.encode(), digest_size=8).hexdigest(),
        **fields,
    )


def read_plan_file(name: str) -> Plan:
    """Read and check a plan file.

    Raises:
        OperatorError: The file cannot be read or is not a valid plan.
    """
    return schema.read_file(name, read_plan)


def missing_on_disk(version: Version, routers: list[str]) -> str | None:
    """Return which file this machine lacks to run a version for these routers, or None if it lacks none.

    Both versions are checked before a stage changes a router, since it may have to return to the old version.
    """
    if not (Path(version.tree) / "brookhinge" / "__main__.py").is_file():
        return f'version "{version.name}": no brookhinge in {version.tree}'
    for router in routers:
        for pattern in filter(None, (version.config, version.fleet)):
            file = pattern.format(router=router)
            if not os.access(file, os.R_OK):
                return f'version "{version.name}": cannot read {file}'
    return None


def _error(block: Block, reason: str) -> OperatorError:
    return OperatorError(f"line {block.line}: {block.title()}: {reason}")


def _key_error(block: Block, name: str, reason: str) -> OperatorError:
    return OperatorError(f"line {block.lines[name]}: {block.title()}: {name}: {reason}")


def _rollout_block(source: str) -> Block:
    """Return the only block of the file; all of its inner blocks are of known kinds."""
    top = parse(source)
    for name, line in top.lines.items():
        raise OperatorError(f"line {line}: {name}: expected a block rollout, got a key")
    if len(top.blocks) != 1 or top.blocks[0].kind != "rollout" or len(top.blocks[0].labels) != 1:
        raise OperatorError("expected one block rollout with a name")
    block = top.blocks[0]
    for inner in block.blocks:
        if inner.kind not in _INNER_BLOCKS:
            raise _error(inner, "no such block, expected version, keeper or figure")
    return block


def _labelled_blocks(block: Block, kind: str, keys: dict[str, Any]) -> list[_LabelledBlock]:
    """Return the inner blocks of a kind, each with one label that is unique among them."""
    found: dict[str, _LabelledBlock] = {}
    for inner in block.blocks:
        if inner.kind != kind:
            continue
        if len(inner.labels) != 1:
            raise _error(inner, "expected 1 label")
        label = inner.labels[0]
        if label in found:
            raise _error(inner, "defined twice")
        found[label] = _LabelledBlock(label, read_values(inner, keys), inner)
    return list(found.values())


def _versions(block: Block) -> dict[str, Version]:
    found = _labelled_blocks(block, "version", _VERSION_KEYS)
    return {version.label: Version(version.label, **version.values) for version in found}


def _check_versions(block: Block, values: dict[str, Any], versions: dict[str, Version]) -> None:
    for name in ("old", "to"):
        if values[name] not in versions:
            raise _key_error(block, name, f'no block version "{values[name]}"')
    if values["old"] == values["to"]:
        raise _key_error(block, "to", "expected another version than old")
    for version in versions.values():
        if "{router}" not in version.config:
            raise _error(block, f'version "{version.name}": config: expected a path with {{router}} in it')


def _agents(block: Block) -> dict[str, AgentSettings]:
    agents = {}
    by_address: dict[Address, str] = {}
    for agent in _labelled_blocks(block, "keeper", _AGENT_KEYS):
        routers: dict[str, Address] = {}
        for router in _labelled_blocks(agent.block, "router", _ROUTER_KEYS):
            listen = router.values["listen"]
            if listen in by_address:
                raise _error(router.block, f"listen: address already used by router {by_address[listen]}")
            if router.label in by_address.values():
                raise _error(router.block, "defined in two keeper blocks")
            by_address[listen] = router.label
            routers[router.label] = listen
        if not routers:
            raise _error(agent.block, "expected a block router")
        agents[agent.label] = AgentSettings(agent.label, agent.values["listen"], agent.values["dir"], routers)
    return agents


def _check_router_count(block: Block, stages: tuple[float, ...], count: int) -> None:
    if not MIN_ROUTERS <= count <= MAX_ROUTERS:
        raise _error(
            block, f"expected {MIN_ROUTERS} to {MAX_ROUTERS} routers, so that there are two groups to compare"
        )
    if round(stages[0] * count) >= count:
        raise _error(block, f"stages: the first stage has all {count} routers, none is left to compare with")


def _metrics(block: Block) -> tuple[Metric, ...]:
    metrics = {metric.name: metric for metric in METRICS}
    for figure in _labelled_blocks(block, "figure", _METRIC_KEYS):
        if figure.label in metrics:
            sign = metrics[figure.label].sign
        elif figure.label.startswith(TRACK_METRIC_PREFIX):
            sign = 1.0
        else:
            known = ", ".join(metric.name for metric in METRICS)
            raise _error(figure.block, f'no such figure, expected one of {known} or "worth TRACK"')
        metrics[figure.label] = Metric(figure.label, sign, figure.values["most_worse"])
    return tuple(metrics.values())
