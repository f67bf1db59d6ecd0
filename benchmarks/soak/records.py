"""What the processes of a soak saw: one JSON line an event, by the machine's steady clock, which all of them share."""

import json
import os
import time
from pathlib import Path

SUFFIX = ".records"


class Recorder:
    """Appends a process's events to its file; each line reaches the system at once, so that a kill loses none."""

    def __init__(self, folder, name):
        self.name = name
        path = Path(folder) / f"{name}{SUFFIX}"
        self.handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def __call__(self, event, at=None, **values):
        line = {"at": time.monotonic() if at is None else at, "by": self.name, "event": event, **values}
        os.write(self.handle, json.dumps(line).encode() + b"\n")


def read_records(folder):
    """All events of a folder, in the order of their times. A line that a kill cut off is left out."""
    events = []
    for path in sorted(Path(folder).glob(f"*{SUFFIX}")):
        for line in path.read_bytes().splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
    return sorted(events, key=lambda event: event["at"])
