"""Runs a soak: python -m benchmarks.soak --seed N [--short | --brief] | --seeds A-B [--short | --brief].

The exit status is 1 if an invariant was violated; the evidence then stays in a folder that the output names.
The last line of the output is one JSON object.
"""

import argparse
import asyncio
import collections
import json
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.soak import judge, shim
from benchmarks.soak.driver import Driver, Stuck
from benchmarks.soak.faults import FAULTS
from benchmarks.soak.records import read_records

BRIEF_S = 26.0
SHORT_S = 60.0
LONG_S = 200.0
MAX_TRACED_VIOLATIONS = 60  # violations with a trace of their request; each trace reads all records again
MAX_PRINTED_VIOLATIONS = 12  # violations printed; the folder has all of them


def read_args(args):
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak", description=__doc__.splitlines()[0])
    seeds = parser.add_mutually_exclusive_group(required=True)
    seeds.add_argument(
        "--seed", type=int, help="seed of the schedule of troubles; the same seed gives the same schedule"
    )
    seeds.add_argument(
        "--seeds", type=seed_range, metavar="A-B", help="one run per seed; goes on after violations"
    )
    length = parser.add_mutually_exclusive_group()
    length.add_argument("--short", action="store_true", help="under two minutes per seed")
    length.add_argument("--brief", action="store_true", help="under a minute per seed, for many seeds")
    parser.add_argument(
        "--fault", choices=sorted(FAULTS), help="plant a fault in the routers, which the soak must find"
    )
    parser.add_argument("--tree", help="checkout whose routers and boxes run instead of this one's")
    parser.add_argument("--keep", help="folder for the evidence, also of runs without violations")
    return parser.parse_args(args)


def seed_range(text):
    """Parse a range of seeds, A-B."""
    first, dash, last = text.partition("-")
    if not (first.isdigit() and dash and last.isdigit() and int(first) <= int(last)):
        raise argparse.ArgumentTypeError(f"expected a range A-B, got {text!r}")
    return range(int(first), int(last) + 1)


def router_figures(folder):
    """Return what routers logged: counts of violations, refusals, retries and closes, and the fault rows."""
    totals = collections.defaultdict(collections.Counter)
    faults = []
    for path in sorted(Path(folder).glob("r*.log")):
        for line in path.read_bytes().splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            if row["event"] == "violation":
                totals["violations"][row["invariant"]] += 1
            elif row["event"] in ("totals", "figures"):
                for name in ("refusals", "retries", "client_closes", "server_closes"):
                    if row["event"] == "totals":
                        totals[name].update(row[name])
            elif row["event"] == "fault" or (row["event"] == "decisions" and "Error" in row.get("text", "")):
                faults.append(row)
    return {name: dict(counter) for name, counter in totals.items()}, faults


def write_evidence(folder, violations):
    """Write each violation with the trace of its request to violations.txt."""
    with open(Path(folder) / "violations.txt", "w") as out:
        for number, violation in enumerate(violations):
            out.write(
                f"{violation.invariant} at {violation.at:.3f}: {violation.ref or '-'}: {violation.detail}\n"
            )
            if violation.ref and number < MAX_TRACED_VIOLATIONS:
                for line in trace_of_request(folder, violation.ref):
                    out.write(f"    {line}\n")


def trace_of_request(folder, ref):
    """Return the lines of records and traces that contain the request id, by time."""
    lines = []
    for path in [*Path(folder).glob("*.records"), *Path(folder).glob("*.trace")]:
        for text in path.read_text(errors="replace").splitlines():
            if ref in text:
                row = json.loads(text)
                lines.append((row.get("at", row.get("steady", 0.0)), text))
    return [text for _, text in sorted(lines)]


async def play(args, seed, folder, say):
    """Run the driver for one seed and return it."""
    run_s = SHORT_S if args.short else BRIEF_S if args.brief else LONG_S
    driver = Driver(seed, run_s, folder, args.fault, args.tree, say)
    await driver.run()
    return driver


def soak(args, seed, say):
    """Run one seed and return its result row."""
    folder = Path(args.keep) / f"seed-{seed}" if args.keep else Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    folder.mkdir(parents=True, exist_ok=True)
    began = time.monotonic()
    driver = asyncio.run(play(args, seed, folder, say))
    records = read_records(folder)
    violations, history = judge.judge(records)
    figures, faults = router_figures(folder)
    row = row_of(seed, args, driver, history, violations, figures, faults)
    row["took_s"] = round(time.monotonic() - began, 1)
    broken = row["violations"] or row["router_violations"] or row["faults"]
    if broken or args.keep:
        write_evidence(folder, violations)
        (folder / "result.json").write_text(json.dumps(row))
        row["evidence"] = str(folder)
    else:
        shutil.rmtree(folder)
    for violation in violations[:MAX_PRINTED_VIOLATIONS]:
        say(f"BROKEN {violation.invariant}: {violation.ref or '-'}: {violation.detail}")
    for fault in faults[:3]:
        say(f"FAULT {json.dumps(fault)[:300]}")
    if broken:
        say(f"evidence: {folder}")
    return row


def row_of(seed, args, driver, history, violations, figures, faults):
    """Return the result row of a run."""
    counts = collections.Counter(violation.invariant for violation in violations)
    troubles = collections.Counter(
        r["kind"] for r in history.records if r["event"] == "trouble" and r["begins"]
    )
    requests = history.requests.values()
    answers = collections.Counter(r.answers[0]["kind"] for r in requests if r.answers)
    late = sum(
        1
        for r in requests
        if r.answers and r.answers[0]["at"] > r.sent_at + r.allow_s and r.answers[0]["kind"] == "served"
    )
    invariant = judge.Invariant
    return {
        "seed": seed,
        "short": args.short,
        "brief": args.brief,
        "fault": args.fault,
        "processes": driver.started,
        "troubles": dict(troubles),
        "overlaps": judge.overlaps(history.records),
        "requests": len(requests),
        "answers": dict(answers),
        "attempts": sum(map(len, history.attempts.values())),
        "violations": {str(name): count for name, count in counts.items()},
        "lost": sum(
            counts[i] for i in (invariant.ANSWER_MISSING, invariant.CLOSED_UNANSWERED, invariant.ANSWER_LATE)
        ),
        "late": late,
        "duplicates": counts[invariant.EFFECT_TWICE] + counts[invariant.ANSWER_TWICE],
        "crashes": counts[invariant.CRASH],
        "router_violations": figures.get("violations", {}),
        "refusals": figures.get("refusals", {}),
        "faults": len(faults),
        "failed_calls": sum(part.control.failure_count() for part in (*driver.routers, *driver.boxes)),
    }


def main(args=None):
    """Run the soak of each seed and return the exit status."""
    args = read_args(args)
    began = time.monotonic()

    def say(text):
        print(f"{time.monotonic() - began:7.1f} s  {text}", file=sys.stderr, flush=True)

    rows = []
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # stops all started processes, as SIGINT does
    try:
        for seed in args.seeds or [args.seed]:
            rows.append(soak(args, seed, say))
            if args.seeds:
                print(json.dumps(rows[-1]), flush=True)
    except (Stuck, shim.NoCompiler) as fault:
        print(f"soak: {fault}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("soak: interrupted; all started processes were stopped", file=sys.stderr)
        return 130
    last = rows[-1] if len(rows) == 1 else summary(rows)
    print(json.dumps(last), flush=True)
    return 1 if any(row["violations"] or row["router_violations"] or row["faults"] for row in rows) else 0


def summary(rows):
    """Return the sums over all runs as one row."""
    total = {
        "seed": [row["seed"] for row in rows],
        "broken": [row["seed"] for row in rows if row["violations"]],
    }
    for name in ("requests", "attempts", "lost", "late", "duplicates", "crashes", "faults", "failed_calls"):
        total[name] = sum(row[name] for row in rows)
    total["processes"] = max(row["processes"] for row in rows)
    for name in ("troubles", "overlaps", "violations", "router_violations", "refusals", "answers"):
        total[name] = dict(sum((collections.Counter(row[name]) for row in rows), collections.Counter()))
    return total


if __name__ == "__main__":
    sys.exit(main())
