"""Plays a script (HCL) on the rig: real routers, faults in and between them, a line an event and a table at the end.

rig {
  routers = 6
  seed    = 7
}
step { kill = ["n3"] }                       # also: freeze, thaw, end (SIGTERM), start
step { until = "one view"  within_s = 30 }   # each step may also say after_s
step { cut = ["n1", "n2"] }                  # from all others, both ways
step { heal = true }
step { wires { loss = 0.1  delay_s = 0.05  double = 0.1  corrupt = 0.01 } }
step { drain = "s-1"  told = "n1" }          # told to that router alone"""

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
    if not isinstance(value, list) or not value or not all(isinstance(one, str) for one in value):
        raise ValueError("a list of names")
    return value


def one_view(value):
    if value != "one view":
        raise ValueError('"one view"')
    return value


def true(value):
    if value is not True:
        raise ValueError("true")
    return value


DOING = {
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
    **{key: (check, None) for key, check in DOING.items()},
}


def read(source):
    """(rig's settings, steps) of a script; OperatorError names line, block and key."""
    top, rig, steps = parse(source), {key: default for key, (_, default) in RIG.items()}, []
    for key, line in top.lines.items():
        raise OperatorError(f"line {line}: {key}: expected a block rig or step")
    for block in top.blocks:
        if block.kind == "rig" and not block.labels:
            rig = read_values(block, RIG)
        elif block.kind == "step" and not block.labels:
            step = read_values(block, STEP)
            doing = [key for key in DOING if step[key] is not None]
            wires = [inner for inner in block.blocks if inner.kind == "wires"]
            if len(wires) != len(block.blocks) or len(doing) + len(wires) != 1:
                raise OperatorError(f"line {block.line}: step: expected one of wires, {', '.join(DOING)}")
            step["wires"] = read_values(wires[0], WIRES) if wires else None
            known = {f"n{k + 1}" for k in range(rig["routers"])}
            for name in [n for key in doing if DOING[key] is names for n in step[key]] + [
                step["told"] or "n1"
            ]:
                if name not in known:
                    raise OperatorError(f"line {block.line}: step: no router {name}")
            steps.append(step)
        else:
            raise OperatorError(f"line {block.line}: {block.title()}: expected rig or step")
    return rig, steps


async def play(source, folder, say):
    """Plays a script; says a line an event. Rows of the table at the end, and whether every `until` held."""
    settings, steps = read(source)
    good, began = True, time.monotonic()

    def line(what):
        say(f"{time.monotonic() - began:7.2f} s  {what}")

    async with ProcessCluster(folder, **settings) as rig:
        line(f"{settings['routers']} routers up")
        for step in steps:
            await asyncio.sleep(step["after_s"])
            if time.monotonic() - began > LIMIT_S:
                raise OperatorError(f"a script may take {LIMIT_S:g} s")
            for key, act in (
                ("kill", rig.kill),
                ("end", rig.end),
                ("start", rig.start),
                ("freeze", rig.freeze),
                ("thaw", rig.thaw),
            ):
                for name in step[key] or ():
                    if (name in rig.processes) == (key == "start"):
                        raise OperatorError(f"{key}: {name} is {'up' if key == 'start' else 'not up'}")
                    done = act(name)
                    if done is not None:
                        await done
                    line(f"{key} {name}")
            if step["cut"]:
                apart = set(step["cut"])
                rig.wires.cut = lambda a, b, apart=apart: (a in apart) != (b in apart)
                line(f"cut {' '.join(sorted(apart))} off")
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
