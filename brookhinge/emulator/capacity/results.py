"""Rows of figures, one for each run, and the data that is kept of them. A row names its command, date and revision."""

import json
import subprocess
from pathlib import Path

ROOT = Path(__file__).parents[3]
KEPT = ROOT / "benchmarks" / "results" / "capacity.json"
LATE_S = (
    0.25  # a run on sockets whose event loops were later than that says more of the machine than of the fleet
)
ROW_KEY = ("kind", "mechanism", "routers", "seed", "loss", "scenario")


def revision():
    """The short name of the checked-out commit, or nothing outside of a clone."""
    try:
        done = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return ""
    return done.stdout.strip()


def command(arguments):
    """The command of a row, with the name under which the repository keeps it in the place of any other."""
    shown = list(arguments)
    if "--keep" in shown:
        shown[shown.index("--keep") + 1] = "benchmarks/results/capacity"
    return " ".join(["python -m benchmarks.capacity", *shown])


def load(file=KEPT):
    """Kept rows, in the order in which they were kept."""
    path = Path(file)
    return json.loads(path.read_text())["rows"] if path.exists() else []


def keep(rows, file=KEPT):
    """Adds rows to the kept ones; a row of the same run takes the place of the one before."""
    kept = {tuple(row[key] for key in ROW_KEY): row for row in [*load(file), *rows]}
    path = Path(file)
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = ",\n".join(json.dumps(row) for row in kept.values())
    path.write_text('{"rows": [\n' + lines + "\n]}\n")


def select(rows, **wanted):
    """Rows with those values."""
    return [row for row in rows if all(row.get(key) == value for key, value in wanted.items())]


def usable(row, phase):
    """Whether a run has a phase, and the machine carried it."""
    if phase not in row["phases"]:
        return False
    whole_run = row["state"].get("loop_late_s", 0.0)
    return row["phases"][phase].get("loop_late_s", whole_run) <= LATE_S


def value(row, phase, figure, part=None):
    """One figure of a row, or None where it was not measured."""
    found = row["phases"].get(phase, {}).get(figure)
    return found.get(part) if part is not None and isinstance(found, dict) else found


def worst(values):
    """The largest of the values that were measured, or None."""
    values = [one for one in values if one is not None]
    return max(values) if values else None


def total(values):
    """The sum of the values that were measured, or None."""
    values = [one for one in values if one is not None]
    return sum(values) if values else None


def summary(rows, mechanism, routers):
    """The figures of one mechanism at one size: the worst router of all runs."""
    own = select(rows, mechanism=mechanism, routers=routers)
    everywhere = select(rows, mechanism=mechanism)
    phases = {phase for row in own for phase in row["phases"]}
    late = [row["state"].get("loop_late_s") for row in own]
    return {
        "loop_late_s": worst(late),
        "bytes_s_router": worst(value(row, "ordinary", "bytes_s", "worst") for row in own),
        "core_share_router": worst(value(row, "ordinary", "core_share", "worst") for row in own),
        "memory_mb_router": worst(row["state"].get("memory_mb_router") for row in everywhere),
        "purge_all_s": worst(value(row, "ordinary", "all_s", "worst") for row in own),
        "purge_known_s": worst(value(row, "ordinary", "known_s", "worst") for row in own),
        "purges_missed": total(value(row, phase, "missed") for row in own for phase in phases),
        "catch_up_s": worst(value(row, phase, "catch_up_s") for row in everywhere for phase in row["phases"]),
        "flat": flat(everywhere),
    }


def flat(rows, least=132):
    """The median cost of a router in bytes at the largest size over that at `least` routers, of one kind of run."""
    for kind in ("virtual", "sockets"):
        costs = {}
        for row in select(rows, kind=kind):
            cost = value(row, "ordinary", "bytes_s", "median")
            if cost is not None:
                costs.setdefault(row["routers"], []).append(cost)
        if least in costs and max(costs) > least:
            largest = max(costs)
            return round(
                sum(costs[largest]) / len(costs[largest]) / (sum(costs[least]) / len(costs[least])), 3
            )
    return None


def last_line(rows, routers, seed, loss, before, after):
    """The JSON object of a run: the figures of the mechanism as it is, and `before`."""
    return {
        "routers": routers,
        "seed": seed,
        "loss": loss,
        "mechanism": after,
        **summary(rows, after, routers),
        "before": {"mechanism": before, **summary(rows, before, routers)},
    }
