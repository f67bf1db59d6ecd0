"""Plays an HCL script of faults on a cluster of real routers.

Reports a line for each event, and returns a table at the end.

rig {
  routers = 6
  seed    = 7
}
step { kill = ["n3"] }                       # also: freeze, thaw, end (SIGTERM), start
step { until = "one view"  within_s = 30 }   # every step may also have after_s
step { cut = ["n1", "n2"] }                  # off from all others, in both directions
step { heal = true }
step { wires { loss = 0.1  delay_s = 0.05  double = 0.1  corrupt = 0.01 } }
step { drain = "s-1"  told = "n1" }          # only that router receives it
"""

import asyncio
import time

from brookhinge.emulator.process_cluster import ProcessCluster
from brookhinge.operator.hcl import OperatorError, parse
from brookhinge.operator.schema import read_values
from brookhinge.operator.value_checks import number, text, whole

LIMIT_S = 600.0  # of a whole script
RIG = {
    "routers": (whole(1, 32), 6),
    "boxes": (whole(0, 8), 1),
    "seed": (whole(0, 1 << 31), 1),
    "lease_s": (number(0, 3600), 5),
}
WIRES = {
    "loss": (number(0, 1), 0.0),
    "delay_s": (number(0, 10), 0.0),
    "double": (number(0, 1), 0.0),
    "corrupt": (number(0, 1), 0.0),
}


def names(value):
    """Returns a non-empty list of strings; ValueError otherwise."""
    if not isinstance(value, list) or not value or not all(isinstance(item, str) for item in value):
        raise ValueError("a list of names")
    return value


def one_view(value):
    """Returns the only condition of `until`; ValueError otherwise."""
    if value != "one view":
        raise ValueError('"one view"')
    return value


def true(value):
    """Returns True; ValueError for any other value."""
    if value is not True:
        raise ValueError("true")
    return value


ACTIONS = {
    "kill": names,
    "freeze": names,
    "thaw": names,
    "end": names,
    "start": names,
    "cut": names,
    "heal": true,
    "until": one_view,
    "drain": text,
}
STEP = {
    "after_s": (number(0, LIMIT_S), 0.0),
    "within_s": (number(0, LIMIT_S), 30.0),
    "told": (text, None),
    **{key: (check, None) for key, check in ACTIONS.items()},
}


def read(source):
    """Returns the cluster's settings and the steps of a script.

    Raises:
        OperatorError: The script is invalid; the text names the line and the block or key.
    """
    top, rig, steps = parse(source), {key: default for key, (_, default) in RIG.items()}, []
    for key, line in top.lines.items():
        raise OperatorError(f"line {line}: {key}: expected a block rig or step")
    for block in top.blocks:
        if block.kind == "rig" and not block.labels:
            rig = read_values(block, RIG)
        elif block.kind == "step" and not block.labels:
            step = read_values(block, STEP)
            actions = [key for key in ACTIONS if step[key] is not None]
            wires = [inner for inner in block.blocks if inner.kind == "wires"]
            if len(wires) != len(block.blocks) or len(actions) + len(wires) != 1:
                raise OperatorError(f"line {block.line}: step: expected one of wires, {', '.join(ACTIONS)}")
            step["wires"] = read_values(wires[0], WIRES) if wires else None
            known = {f"n{k + 1}" for k in range(rig["routers"])}
            for name in [n for key in actions if ACTIONS[key] is names for n in step[key]] + [
                step["told"] or "n1"
            ]:
                if name not in known:
                    raise OperatorError(f"line {block.line}: step: no router {name}")
            steps.append(step)
        else:
            raise OperatorError(f"line {block.line}: {block.title()}: expected rig or step")
    return rig, steps


async def play(source, folder, say):
    """Plays a script; returns the rows of the final table and whether every `until` held in time.

    Args:
        source: Text of the script.
        folder: Directory for the files of the processes.
        say: Called with one line per event.
    """
    settings, steps = read(source)
    good, began = True, time.monotonic()

    def line(message):
        say(f"{time.monotonic() - began:7.2f} s  {message}")

    async with ProcessCluster(folder, **settings) as rig:
        line(f"{settings['routers']} routers up")
        for step in steps:
            await asyncio.sleep(step["after_s"])
            if time.monotonic() - began > LIMIT_S:
                raise OperatorError(f"a script may take {LIMIT_S:g} s")
            for key, action in (
                ("kill", rig.kill),
                ("end", rig.end),
                ("start", rig.start),
                ("freeze", rig.freeze),
                ("thaw", rig.thaw),
            ):
                for name in step[key] or ():
                    if (name in rig.processes) == (key == "start"):
                        raise OperatorError(f"{key}: {name} is {'up' if key == 'start' else 'not up'}")
                    pending = action(name)
                    if pending is not None:
                        await pending
                    line(f"{key} {name}")
            if step["cut"]:
                isolated = set(step["cut"])
                rig.wires.cut = lambda a, b, isolated=isolated: (a in isolated) != (b in isolated)
                line(f"cut {' '.join(sorted(isolated))} off")
            if step["heal"]:
                rig.wires.cut = lambda a, b: False
                line("healed")
            if step["wires"]:
                vars(rig.wires).update(step["wires"])
                line("wires: " + ", ".join(f"{key} {value:g}" for key, value in step["wires"].items()))
            if step["drain"]:
                if step["drain"] not in rig.boxes:
                    raise OperatorError(f"drain: no box {step['drain']}")
                rig.channels[step["told"] or "n1"].list(step["drain"], health="draining")
                line(f"{step['told'] or 'n1'} told that {step['drain']} drains")
            if step["until"]:
                took = await rig.until(rig.one_view, step["within_s"])
                good = good and took is not None
                line(f"one view after {took:.2f} s" if took else f"no one view within {step['within_s']:g} s")
        rows = []
        for name in rig.names:
            view = await rig.view(name) if name in rig.processes else None
            states = list((view or {}).values())
            rows.append(
                {
                    "router": name,
                    "up": name in rig.processes,
                    **{state: states.count(state) for state in ("alive", "suspected", "lost", "left")},
                    "drains heard": len(rig.log(name, "notice")),
                }
            )
    return rows, good
