"""Records of a soak's processes: one JSON line per event, timed by the shared monotonic clock."""

import json
import os
import time
from pathlib import Path

SUFFIX = ".records"


class Recorder:
    """Appends events of one process to its file, each by its own write call so that a kill loses none."""

    def __init__(self, folder, name):
        self.name = name
        path = Path(folder) / f"{name}{SUFFIX}"
        self.handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def __call__(self, event, at=None, **values):
        """Append an event, timed now unless `at` is given."""
        line = {"at": time.monotonic() if at is None else at, "by": self.name, "event": event, **values}
        os.write(self.handle, json.dumps(line).encode() + b"\n")


def read_records(folder):
    """Return all events of a folder in the order of their times, without lines cut short by a kill."""
    events = []
    for path in sorted(Path(folder).glob(f"*{SUFFIX}")):
        for line in path.read_bytes().splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
    return sorted(events, key=lambda event: event["at"])
