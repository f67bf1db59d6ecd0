"""What benchmarks share: their options, and keeping figures and chart."""

import argparse
import json
from pathlib import Path


def given():
    """The options of a benchmark that has a short form and keeps its figures under a name."""
    options = argparse.ArgumentParser()
    options.add_argument("--short", action="store_true")
    options.add_argument("--keep", help="keep figures and chart under this name")
    return options.parse_args()


def finish(figures, name, chart):
    """Keeps figures and chart under a name, if there is one; prints the last line."""
    if name:
        path = Path(name)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.with_suffix(".json").write_text(json.dumps(figures, indent=1) + "\n")
        chart(figures, path.with_suffix(".png"))
    print(json.dumps(figures))
