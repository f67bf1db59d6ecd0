"""The files that decide stay small enough to be read whole."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
MOST_LINES = 720  # non-blank ones, as the formatter leaves them


def test_the_policy_fits_its_bound_as_formatted():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    lines = [line for name in deploy["policy"] for line in (ROOT / name).read_text().splitlines()]
    assert sum(bool(line.strip()) for line in lines) <= MOST_LINES
    lint = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
    assert not lint.get("exclude") and not lint.get("format", {}).get("exclude")
