"""Options and storage of results that benchmarks share."""

import argparse
import json
from pathlib import Path


def parse_options():
    """Parse the options of a benchmark: `--short`, and `--keep` with the name for its results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--keep", help="store figures and chart under this name")
    return parser.parse_args()


def finish(figures, name, chart):
    """Store figures and chart under a name, if there is one, and print the figures as the last line.

    Args:
        figures: Figures of the benchmark, which can be converted to JSON.
        name: Path without suffix, or None to store nothing.
        chart: Called with the figures and the path of the chart to write.
    """
    if name:
        path = Path(name)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.with_suffix(".json").write_text(json.dumps(figures, indent=1) + "\n")
        chart(figures, path.with_suffix(".png"))
    print(json.dumps(figures))
