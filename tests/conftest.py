import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
KNOWN = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MOST = 3


def known_red():
    """{test: the line} of the tests that fail for a known fault: `path::name: cause, issue` each."""
    lines = [line for line in KNOWN.read_text().splitlines() if line.strip()] if KNOWN.exists() else []
    if len(lines) > MOST:
        raise pytest.UsageError(f"{KNOWN.name}: {len(lines)} tests, {MOST} at most")
    return {line.partition(": ")[0]: line for line in lines}


def pytest_collection_modifyitems(config, items):
    """What is listed has to fail: it fails the run when it passes, as any other does when it fails."""
    known = known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter):
    for line in known_red().values():
        terminalreporter.write_line(f"known red: {line}")
