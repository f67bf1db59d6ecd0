"""A soak of real processes: python -m benchmarks.soak --seed N [--short | --brief] | --seeds A-B [--short | --brief]

Ends with 1 if an invariant was broken; the evidence stays in a folder that the output names. The last line is one JSON object."""

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
TRACED = 60  # violations of which the way of the request is put together: each is a pass over all that was written down
SHOWN = 12  # violations printed; all of them stand in the folder


def read_args(args):
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak", description=__doc__.splitlines()[0])
    seeds = parser.add_mutually_exclusive_group(required=True)
    seeds.add_argument("--seed", type=int, help="the schedule of troubles; the same seed gives the same one")
    seeds.add_argument("--seeds", type=seed_range, metavar="A-B", help="one run after another; stops at none")
    length = parser.add_mutually_exclusive_group()
    length.add_argument("--short", action="store_true", help="under two minutes a seed")
    length.add_argument("--brief", action="store_true", help="under a minute a seed: for many of them")
    parser.add_argument(
        "--fault", choices=sorted(FAULTS), help="plants a fault in the routers: the soak has to find it"
    )
    parser.add_argument("--tree", help="a checkout whose routers and boxes run in place of this one's")
    parser.add_argument("--keep", help="a folder for the evidence, also of runs that break nothing")
    return parser.parse_args(args)


def seed_range(text):
    first, dash, last = text.partition("-")
    if not (first.isdigit() and dash and last.isdigit() and int(first) <= int(last)):
        raise argparse.ArgumentTypeError(f"expected A-B, got {text!r}")
    return range(int(first), int(last) + 1)


def router_figures(folder):
    """What routers counted of themselves: violations by invariant, refusals and closes by reason, failed calls."""
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


def evidence(folder, violations):
    """Each violation with the way of its request, from all that was written down."""
    with open(Path(folder) / "violations.txt", "w") as out:
        for number, violation in enumerate(violations):
            out.write(
                f"{violation.invariant} at {violation.at:.3f}: {violation.ref or '-'}: {violation.detail}\n"
            )
            if violation.ref and number < TRACED:
                for line in way_of(folder, violation.ref):
                    out.write(f"    {line}\n")


def way_of(folder, ref):
    """Every line of records and traces that names the request, by time."""
    lines = []
    for path in [*Path(folder).glob("*.records"), *Path(folder).glob("*.trace")]:
        for text in path.read_text(errors="replace").splitlines():
            if ref in text:
                row = json.loads(text)
                lines.append((row.get("at", row.get("steady", 0.0)), text))
    return [text for _, text in sorted(lines)]


async def play(args, seed, folder, say):
    run_s = SHORT_S if args.short else BRIEF_S if args.brief else LONG_S
    driver = Driver(seed, run_s, folder, args.fault, args.tree, say)
    await driver.run()
    return driver


def soak(args, seed, say):
    """One run; the row of its last line."""
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
        evidence(folder, violations)
        (folder / "result.json").write_text(json.dumps(row))
        row["evidence"] = str(folder)
    else:
        shutil.rmtree(folder)
    for violation in violations[:SHOWN]:
        say(f"BROKEN {violation.invariant}: {violation.ref or '-'}: {violation.detail}")
    for fault in faults[:3]:
        say(f"FAULT {json.dumps(fault)[:300]}")
    if broken:
        say(f"evidence: {folder}")
    return row


def row_of(seed, args, driver, history, violations, figures, faults):
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
    args = read_args(args)
    began = time.monotonic()

    def say(text):
        print(f"{time.monotonic() - began:7.1f} s  {text}", file=sys.stderr, flush=True)

    rows = []
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # it ends what it started, as after SIGINT
    try:
        for seed in args.seeds or [args.seed]:
            rows.append(soak(args, seed, say))
            if args.seeds:
                print(json.dumps(rows[-1]), flush=True)
    except (Stuck, shim.NoCompiler) as fault:
        print(f"soak: {fault}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("soak: interrupted; all processes are ended", file=sys.stderr)
        return 130
    last = rows[-1] if len(rows) == 1 else summary(rows)
    print(json.dumps(last), flush=True)
    return 1 if any(row["violations"] or row["router_violations"] or row["faults"] for row in rows) else 0


def summary(rows):
    """All runs as one row: counts are added up."""
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
