"""Measures the cost of a fleet's control plane and how soon a purge is in force everywhere, at any size.

    python -m benchmarks.capacity --short                 runs for less than a minute
    python -m benchmarks.capacity --routers 530 --seed 7  one size; --file selects another layout
    python -m benchmarks.capacity --keep benchmarks/results/capacity     all sizes, three seeds, some minutes
    python -m benchmarks.capacity --page                  generates docs/CAPACITY.md from the stored figures

Hollow routers run the production control path without a data path, on loopback sockets and in virtual time
(simulated); see brookhinge/emulator/capacity. Bytes are those of UDP datagrams, sent and received, with 28
bytes each for IP and UDP headers. The last line of the output is a JSON object, which
docs/operators/capacity.md describes.
"""

import argparse
import asyncio
import json
import signal
import sys
from pathlib import Path

from brookhinge.emulator.capacity.driver import LOG, PEERS, ProcessFailedError, TooLargeError
from brookhinge.emulator.capacity.layout import read_layout
from brookhinge.emulator.capacity.runs import Plan, long_run, router_run, short_run, single_run
from brookhinge.operator import OperatorError

LAYOUT = Path(__file__).parents[1] / "deploy" / "capacity.hcl"


def parse_options():
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    parser.add_argument("--file", default=str(LAYOUT), help="file with a capacity block")
    parser.add_argument("--short", action="store_true", help="run for less than a minute")
    parser.add_argument(
        "--routers", type=int, help="number of routers, distributed over the sites of the file"
    )
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument(
        "--loss", type=float, help="probability that a datagram is lost, instead of that of the file"
    )
    parser.add_argument("--virtual", action="store_true", help="run in virtual time only")
    parser.add_argument("--sockets", action="store_true", help="with --keep: run on sockets only")
    parser.add_argument("--router", action="store_true", help="measure one real router with its data path")
    parser.add_argument("--mechanism", choices=(PEERS, LOG), help="run only this mechanism")
    parser.add_argument(
        "--keep", help="store figures under this name; without --routers: all sizes and seeds"
    )
    parser.add_argument(
        "--page", action="store_true", help="generate docs/CAPACITY.md from the stored figures"
    )
    return parser.parse_args()


def report_progress(line):
    """Print a line of progress if standard error is a terminal."""
    if sys.stderr.isatty():
        print(line, file=sys.stderr, flush=True)


def write_page_and_chart():
    """Generate docs/CAPACITY.md and the chart from the stored figures, and return exit status 0."""
    from benchmarks.capacity_chart import write_chart
    from brookhinge.emulator.capacity import results
    from brookhinge.emulator.capacity.page import write_page

    write_chart(results.load(), results.RESULTS_FILE.with_suffix(".png"))
    return write_page()


def select_run(options):
    """Return the run function that the options select."""
    if options.router:
        return router_run
    if options.short:
        return short_run
    return long_run if options.keep and not options.routers else single_run


def main():
    """Execute the command.

    Returns:
        Exit status: 0 on success, 1 if a process failed, 2 if the layout cannot be used, 130 on an interrupt.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    options = parse_options()
    if options.page:
        return write_page_and_chart()
    try:
        layout = read_layout(options.file, options.routers, options.loss)
        plan = Plan(options.file, layout, options.seed, options.loss, report_progress)
        figures = asyncio.run(select_run(options)(plan, options))
    except (OperatorError, TooLargeError, ValueError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 2
    except ProcessFailedError as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
