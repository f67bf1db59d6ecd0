"""The plan of a rollout, in HCL: read and checked in one place, for agents and coordinator alike.

    rollout "name" {
      old    = "v1"
      to     = "v2"
      stages = [0.1, 0.5, 1.0]        # of all routers, so far; the first has one router at least
      key    = "00112233445566778899aabbccddeeff"
      untold = "pause"                # if a stage ends without a verdict: pause, back or go
      figure "worth" { most_worse = 0.02 }
      version "v1" {
        tree   = "/srv/brookhinge-1"  # where `python -m brookhinge` is run
        config = "/etc/brookhinge/1/{router}.json"
      }
      keeper "edge-1" {
        listen = "127.0.0.1:7501"
        dir    = "/var/lib/brookhinge/keep"
        router "n1" { listen = "127.0.0.1:8301" }
      }
    }

The file keeps its own words; `_PLAN_FIELDS` and `_agent` translate them to the terms of the code.
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

MOST_ROUTERS = 4096
LEAST_ROUTERS = 2  # one alone has nothing to be compared with
TRACK_METRIC_PREFIX = "worth "

Address = tuple[str, int]


class OnInconclusive(enum.StrEnum):
    """What follows if a stage ends without a verdict; the values are the file's."""

    PAUSE = "pause"
    ROLL_BACK = "back"
    PASS = "go"


class Metric(NamedTuple):
    """One metric to compare routers by.

    Attributes:
        sign: +1 where more is better, -1 where less is.
        tolerance: by how much worse the new version may be.
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
    """One program with its settings.

    Attributes:
        tree: folder in which `python -m brookhinge` is run.
        python: path of the interpreter; empty for the agent's own.
        config: path of the settings; {router} in it stands for a router's name.
        fleet: path of the operator's file, likewise; empty for none.
    """

    name: str
    tree: str
    python: str
    config: str
    fleet: str


class AgentSettings(NamedTuple):
    """One agent: its address, folder, and the listening addresses of its routers by name."""

    name: str
    listen: Address
    folder: str
    routers: dict[str, Address]


class Plan(NamedTuple):
    """Everything of one rollout.

    Attributes:
        stages: rising shares of all routers, the last 1.0.
        alpha: probability of a false "worse" over the whole rollout.
        window_s: length of one measuring window.
        baseline_s: how long the groups are compared before a stage changes anything.
        warm_up_s: how long a new process is left alone before it is compared.
        least_s, most_s: bounds of a stage's comparison.
        ready_timeout_s: a changed router that is not ready by then ends the stage.
        revert_timeout_s: an agent reverts an unconfirmed version after so long without a command.
        routers: (router, agent) pairs.
        digest: of the file's text; a changed plan is another plan.
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


def rising_shares(value: object) -> tuple[float, ...]:
    """Check the key `stages`."""
    if not isinstance(value, list) or not value or not all(_is_share(share) for share in value):
        raise ValueError("a list of parts of all routers, over 0 to 1")
    if sorted(set(value)) != value or value[-1] != 1.0:
        raise ValueError("rising parts of all routers, the last 1.0")
    return tuple(float(share) for share in value)


def absolute_path(value: object) -> str:
    """Check a key that is an absolute path."""
    checked = path(value)
    if not os.path.isabs(checked):
        raise ValueError("an absolute path")
    return checked


def _is_share(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 < value <= 1.0


# key of the file: (field of Plan, check, default)
_PLAN_FIELDS: dict[str, tuple[str, Callable[[Any], Any], Any]] = {
    "old": ("old_version", text, REQUIRED),
    "to": ("new_version", text, REQUIRED),
    "stages": ("stages", rising_shares, (0.1, 0.5, 1.0)),
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
    """A block with one label, and its checked values."""

    label: str
    values: dict[str, Any]
    block: Block


def read_plan(source: str) -> Plan:
    """Read a plan.

    Raises:
        OperatorError: names line, block and key and what was expected there.
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
    """Read a plan from a file; OperatorError as `read_plan`, and where the file cannot be read."""
    return schema.read_file(name, read_plan)


def missing_on_disk(version: Version, routers: list[str]) -> str | None:
    """Return what this machine lacks to run a version for these routers, or None.

    Asked before anything is changed, since the old version may have to come back.
    """
    if not (Path(version.tree) / "brookhinge" / "__main__.py").is_file():
        return f'version "{version.name}": no brookhinge in {version.tree}'
    for router in routers:
        for pattern in filter(None, (version.config, version.fleet)):
            file = pattern.format(router=router)
            if not os.access(file, os.R_OK):
                return f'version "{version.name}": cannot read {file}'
    return None


def _error(block: Block, why: str) -> OperatorError:
    return OperatorError(f"line {block.line}: {block.title()}: {why}")


def _key_error(block: Block, name: str, why: str) -> OperatorError:
    return OperatorError(f"line {block.lines[name]}: {block.title()}: {name}: {why}")


def _rollout_block(source: str) -> Block:
    """Return the one block of the file, its inner blocks of known kinds."""
    top = parse(source)
    for name, line in top.lines.items():
        raise OperatorError(f"line {line}: {name}: expected a block rollout")
    if len(top.blocks) != 1 or top.blocks[0].kind != "rollout" or len(top.blocks[0].labels) != 1:
        raise OperatorError("expected one block rollout with its name")
    block = top.blocks[0]
    for inner in block.blocks:
        if inner.kind not in _INNER_BLOCKS:
            raise _error(inner, "no such block, expected version, keeper or figure")
    return block


def _labelled_blocks(block: Block, kind: str, keys: dict[str, Any]) -> list[_LabelledBlock]:
    """Return the inner blocks of a kind, each with one label that stands once."""
    found: dict[str, _LabelledBlock] = {}
    for inner in block.blocks:
        if inner.kind != kind:
            continue
        if len(inner.labels) != 1:
            raise _error(inner, "expected 1 label")
        label = inner.labels[0]
        if label in found:
            raise _error(inner, "stands twice")
        found[label] = _LabelledBlock(label, read_values(inner, keys), inner)
    return list(found.values())


def _versions(block: Block) -> dict[str, Version]:
    found = _labelled_blocks(block, "version", _VERSION_KEYS)
    return {one.label: Version(one.label, **one.values) for one in found}


def _check_versions(block: Block, values: dict[str, Any], versions: dict[str, Version]) -> None:
    for name in ("old", "to"):
        if values[name] not in versions:
            raise _key_error(block, name, f'no block version "{values[name]}"')
    if values["old"] == values["to"]:
        raise _key_error(block, "to", "the same as old: nothing would change")
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
                raise _error(router.block, f"listen: that of {by_address[listen]} too")
            if router.label in by_address.values():
                raise _error(router.block, "stands at two keepers")
            by_address[listen] = router.label
            routers[router.label] = listen
        if not routers:
            raise _error(agent.block, "expected a block router")
        agents[agent.label] = AgentSettings(agent.label, agent.values["listen"], agent.values["dir"], routers)
    return agents


def _check_router_count(block: Block, stages: tuple[float, ...], count: int) -> None:
    if not LEAST_ROUTERS <= count <= MOST_ROUTERS:
        raise _error(
            block, f"expected {LEAST_ROUTERS} to {MOST_ROUTERS} routers: one alone can be compared with none"
        )
    if round(stages[0] * count) >= count:
        raise _error(
            block, f"stages: the first takes all {count} routers: none would be left to compare with"
        )


def _metrics(block: Block) -> tuple[Metric, ...]:
    metrics = {metric.name: metric for metric in METRICS}
    for one in _labelled_blocks(block, "figure", _METRIC_KEYS):
        if one.label in metrics:
            sign = metrics[one.label].sign
        elif one.label.startswith(TRACK_METRIC_PREFIX):
            sign = 1.0
        else:
            known = ", ".join(metric.name for metric in METRICS)
            raise _error(one.block, f'no such figure, expected one of {known} or "worth TRACK"')
        metrics[one.label] = Metric(one.label, sign, one.values["most_worse"])
    return tuple(metrics.values())
