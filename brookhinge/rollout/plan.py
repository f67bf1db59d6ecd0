"""The plan of a rollout, in HCL: read and checked in one place, for keepers and coordinator alike.

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
}"""

import hashlib
import os
from typing import NamedTuple

from brookhinge.operator import schema
from brookhinge.operator.hcl import OperatorError, parse
from brookhinge.operator.schema import MUST, address, key, number, one_of, path, take, text, whole

FIGURES = {
    "worth": (1.0, 0.02),
    "failed": (-1.0, 0.01),
    "nacked": (-1.0, 0.03),
    "late": (-1.0, 0.03),
    "growth_mb": (-1.0, 0.05),
    "cpu": (-1.0, 0.1),
}  # name: (more is better, how much worse is too much)
MOST_ROUTERS = 4096


class Version(NamedTuple):
    """One program with its settings. config, fleet: paths in which {router} stands for a router's name."""

    name: str
    tree: str
    python: str  # the interpreter; "" : this one
    config: str
    fleet: str  # operator's file for BROOKHINGE_FLEET; "": shares nothing


class Keeper(NamedTuple):
    """One place: who starts and ends its routers."""

    name: str
    listen: tuple
    dir: str
    routers: dict  # name -> (host, port)


class Plan(NamedTuple):
    """Everything of one rollout; times are seconds."""

    name: str
    old: str
    to: str
    stages: tuple
    key: bytes
    seed: int
    alpha: float  # the chance of a false 'worse' over the whole rollout
    window_s: float
    before_s: float  # how long the groups are compared before a stage changes anything
    warm_s: float  # how long a new router is left alone before it is judged
    least_s: float
    most_s: float
    ready_s: float
    alone_s: float  # a keeper that hears nothing for so long takes back what was not judged
    untold: str
    versions: dict
    keepers: dict
    figures: tuple  # (name, good, most_worse) each
    routers: tuple  # (name, place) each
    digest: str  # of the text: a plan that changed is another plan


def parts(value):
    if (
        not isinstance(value, list)
        or not value
        or not all(isinstance(p, (int, float)) and not isinstance(p, bool) and 0.0 < p <= 1.0 for p in value)
    ):
        raise ValueError("a list of parts of all routers, over 0 to 1")
    if sorted(set(value)) != value or value[-1] != 1.0:
        raise ValueError("rising parts of all routers, the last 1.0")
    return tuple(float(p) for p in value)


def absolute(value):
    path(value)
    if not os.path.isabs(value):
        raise ValueError("an absolute path")
    return value


ROLLOUT = {
    "old": (text, MUST),
    "to": (text, MUST),
    "stages": (parts, (0.1, 0.5, 1.0)),
    "key": (key, MUST),
    "seed": (whole(0, 1 << 31), 1),
    "alpha": (number(1e-6, 0.2), 0.01),
    "window_s": (number(0.05, 60), 1.0),
    "before_s": (number(0, 3600), 60.0),
    "warm_s": (number(0, 3600), 20.0),
    "least_s": (number(0, 3600), 30.0),
    "most_s": (number(1, 86400), 300.0),
    "ready_s": (number(0.5, 600), 30.0),
    "alone_s": (number(1, 86400), 60.0),
    "untold": (one_of("pause", "back", "go"), "pause"),
}
VERSION = {"tree": (absolute, MUST), "python": (path, ""), "config": (absolute, MUST), "fleet": (path, "")}
KEEPER = {"listen": (address, MUST), "dir": (absolute, MUST)}
ROUTER = {"listen": (address, MUST)}
FIGURE = {"most_worse": (number(1e-6, 1e6), MUST)}


def wrong(block, why):
    return OperatorError(f"line {block.line}: {block.title()}: {why}")


def inner(block, kind, labels, keys):
    """[(label, values, block)] of the blocks of a kind within another; each label stands once."""
    seen = {}
    for one in block.blocks:
        if one.kind == kind:
            if len(one.labels) != labels:
                raise wrong(one, f"expected {labels} label")
            if one.labels[0] in seen:
                raise wrong(one, "stands twice")
            seen[one.labels[0]] = (one.labels[0], take(one, keys), one)
    return list(seen.values())


def read(source):
    """A Plan; OperatorError names line, block and key."""
    top = parse(source)
    for name, line in top.lines.items():
        raise OperatorError(f"line {line}: {name}: expected a block rollout")
    if len(top.blocks) != 1 or top.blocks[0].kind != "rollout" or len(top.blocks[0].labels) != 1:
        raise OperatorError("expected one block rollout with its name")
    block = top.blocks[0]
    for one in block.blocks:
        if one.kind not in ("version", "keeper", "figure"):
            raise wrong(one, "no such block, expected version, keeper or figure")
    told = take(block, ROLLOUT)
    versions = {label: Version(label, **values) for label, values, _ in inner(block, "version", 1, VERSION)}
    for word in ("old", "to"):
        if told[word] not in versions:
            raise OperatorError(
                f'line {block.lines[word]}: {block.title()}: {word}: no block version "{told[word]}"'
            )
    if told["old"] == told["to"]:
        raise OperatorError(
            f"line {block.lines['to']}: {block.title()}: to: the same as old: nothing would change"
        )
    for version in versions.values():
        if "{router}" not in version.config:
            raise wrong(block, f'version "{version.name}": config: expected a path with {{router}} in it')
    keepers, listens, places = {}, {}, []
    for label, values, one in inner(block, "keeper", 1, KEEPER):
        routers = {}
        for name, router, where in inner(one, "router", 1, ROUTER):
            if router["listen"] in listens:
                raise wrong(where, f"listen: that of {listens[router['listen']]} too")
            if name in dict(places):
                raise wrong(where, "stands at two keepers")
            listens[router["listen"]] = name
            routers[name] = router["listen"]
            places.append((name, label))
        if not routers:
            raise wrong(one, "expected a block router")
        keepers[label] = Keeper(label, values["listen"], values["dir"], routers)
    if not 2 <= len(places) <= MOST_ROUTERS:
        raise wrong(block, f"expected 2 to {MOST_ROUTERS} routers: one alone can be compared with none")
    if round(told["stages"][0] * len(places)) >= len(places):
        raise OperatorError(
            f"line {block.line}: {block.title()}: stages: the first takes all {len(places)} routers: none would be "
            "left to compare with"
        )
    figures = dict(FIGURES)
    for label, values, one in inner(block, "figure", 1, FIGURE):
        good = figures.get(label, (1.0 if label.startswith("worth ") else None, 0.0))[0]
        if good is None:
            raise wrong(one, f'no such figure, expected one of {", ".join(FIGURES)} or "worth TRACK"')
        figures[label] = good, values["most_worse"]
    return Plan(
        name=block.labels[0],
        versions=versions,
        keepers=keepers,
        routers=tuple(places),
        figures=tuple((name, *told_) for name, told_ in figures.items()),
        digest=hashlib.blake2b(source.encode(), digest_size=8).hexdigest(),
        **told,
    )


def read_file(name):
    return schema.read_file(name, read)


def lacks(version, routers):
    """What of a version is not on this disk, or None: looked for before anything is changed, for it may have to come back."""
    if not os.path.isfile(os.path.join(version.tree, "brookhinge", "__main__.py")):
        return f'version "{version.name}": no brookhinge in {version.tree}'
    for name in routers:
        for pattern in filter(None, (version.config, version.fleet)):
            if not os.access(pattern.format(router=name), os.R_OK):
                return f'version "{version.name}": cannot read {pattern.format(router=name)}'
    return None
