"""What a fleet's control plane costs and how soon a purge is in force everywhere, at any size:

    python -m benchmarks.capacity --short                 under a minute
    python -m benchmarks.capacity --routers 530 --seed 7  one size; --file takes a layout other than deploy/capacity.hcl
    python -m benchmarks.capacity --keep benchmarks/results/capacity     all sizes, three seeds, some minutes
    python -m benchmarks.capacity --page                  docs/CAPACITY.md from what is kept

Hollow routers, the control path of a router as in service, on loopback sockets and in virtual time (simulated): see
brookhinge/emulator/capacity. Bytes are those of UDP datagrams with 28 for IP and UDP headers, sent and received. Last line:
one JSON object; docs/operators/capacity.md says how to read it."""

import argparse
import asyncio
import json
import signal
import sys
from pathlib import Path

from brookhinge.emulator.capacity.driver import LOG, PEERS, ProcessFailed, TooLarge
from brookhinge.emulator.capacity.layout import read_layout
from brookhinge.emulator.capacity.runs import Plan, long_run, router_run, short_run, single_run
from brookhinge.operator import OperatorError

LAYOUT = Path(__file__).parents[1] / "deploy" / "capacity.hcl"


def options():
    """The options of the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    parser.add_argument("--file", default=str(LAYOUT), help="a file with a capacity block")
    parser.add_argument("--short", action="store_true", help="under a minute")
    parser.add_argument("--routers", type=int, help="so many routers, over the sites of the file")
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument(
        "--loss", type=float, help="chance of a datagram to be lost, in the place of the file's"
    )
    parser.add_argument("--virtual", action="store_true", help="in virtual time alone")
    parser.add_argument("--sockets", action="store_true", help="with --keep: on sockets alone")
    parser.add_argument("--router", action="store_true", help="one real router with its data path")
    parser.add_argument("--mechanism", choices=(PEERS, LOG), help="one of them alone")
    parser.add_argument("--keep", help="keep figures under this name; without --routers: all sizes and seeds")
    parser.add_argument("--page", action="store_true", help="write docs/CAPACITY.md from what is kept")
    return parser.parse_args()


def tell(line):
    """A line of progress, where a terminal shows it."""
    if sys.stderr.isatty():
        print(line, file=sys.stderr, flush=True)


def write_page_and_chart():
    """docs/CAPACITY.md and the chart, from what is kept; 0."""
    from benchmarks.capacity_chart import write_chart
    from brookhinge.emulator.capacity import results
    from brookhinge.emulator.capacity.page import write_page

    write_chart(results.load(), results.KEPT.with_suffix(".png"))
    return write_page()


def chosen_run(given):
    """The kind of run that the options ask for."""
    if given.router:
        return router_run
    if given.short:
        return short_run
    return long_run if given.keep and not given.routers else single_run


def main():
    """Runs what the options ask for; 2 where the layout can't be used, 1 where a process failed, 130 on an interrupt."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    given = options()
    if given.page:
        return write_page_and_chart()
    try:
        layout = read_layout(given.file, given.routers, given.loss)
        plan = Plan(given.file, layout, given.seed, given.loss, tell)
        figures = asyncio.run(chosen_run(given)(plan, given))
    except (OperatorError, TooLarge, ValueError) as fault:
        print(f"capacity: {fault}", file=sys.stderr)
        return 2
    except ProcessFailed as fault:
        print(f"capacity: {fault}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
