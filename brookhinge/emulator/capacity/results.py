"""Rows of figures, one for each run, and the file that stores them.

A row records its command, date and revision.
"""

import json
import subprocess
from pathlib import Path

ROOT = Path(__file__).parents[3]
RESULTS_FILE = ROOT / "benchmarks" / "results" / "capacity.json"
LATE_S = 0.25  # with later event loops, a run on sockets measures the machine rather than the fleet
ROW_KEY = ("kind", "mechanism", "routers", "seed", "loss", "scenario")


def revision():
    """Return the short hash of the checked-out commit, or an empty string outside a clone."""
    try:
        git = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return ""
    return git.stdout.strip()


def command(arguments):
    """Return the command of a row, with the repository's results file in place of any other `--keep` path."""
    shown = list(arguments)
    if "--keep" in shown:
        shown[shown.index("--keep") + 1] = "benchmarks/results/capacity"
    return " ".join(["python -m benchmarks.capacity", *shown])


def load(file=RESULTS_FILE):
    """Return the stored rows, in the order in which they were added."""
    path = Path(file)
    return json.loads(path.read_text())["rows"] if path.exists() else []


def keep(rows, file=RESULTS_FILE):
    """Add rows to the stored ones; a row replaces a stored one with the same ROW_KEY."""
    kept = {tuple(row[key] for key in ROW_KEY): row for row in [*load(file), *rows]}
    path = Path(file)
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = ",\n".join(json.dumps(row) for row in kept.values())
    path.write_text('{"rows": [\n' + lines + "\n]}\n")


def select(rows, **wanted):
    """Return the rows with the given values."""
    return [row for row in rows if all(row.get(key) == value for key, value in wanted.items())]


def usable(row, phase):
    """Return whether a run has a phase and its event loops were on time in it."""
    if phase not in row["phases"]:
        return False
    whole_run = row["state"].get("loop_late_s", 0.0)
    return row["phases"][phase].get("loop_late_s", whole_run) <= LATE_S


def value(row, phase, figure, part=None):
    """Return one figure of a row, or None if it was not measured."""
    found = row["phases"].get(phase, {}).get(figure)
    return found.get(part) if part is not None and isinstance(found, dict) else found


def worst(values):
    """Return the largest of the values that are not None, or None."""
    values = [one for one in values if one is not None]
    return max(values) if values else None


def total(values):
    """Return the sum of the values that are not None, or None."""
    values = [one for one in values if one is not None]
    return sum(values) if values else None


def summary(rows, mechanism, routers):
    """Return the figures of one mechanism at one size, for the worst router of all runs."""
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
    """Return the ratio of a router's median traffic at the largest size to that at `least` routers.

    Both sizes come from one kind of run, virtual if possible. None without both sizes.
    """
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
    """Return the JSON object of a run, with the figures of the earlier mechanism under `before`."""
    return {
        "routers": routers,
        "seed": seed,
        "loss": loss,
        "mechanism": after,
        **summary(rows, after, routers),
        "before": {"mechanism": before, **summary(rows, before, routers)},
    }
