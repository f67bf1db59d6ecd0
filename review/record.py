"""The record of one run: what was sent, answered and run, one line an event."""

import time
from pathlib import Path


class Record:
    """Writes record.txt; times are seconds since the start of the run.

    Attributes:
        started_at: Unix time of the start of the run.
        is_brief: Whether events are only counted for now.
    """

    def __init__(self, folder: Path) -> None:
        """Start an empty record in the folder of a case."""
        self.started_at = time.time()
        self.is_brief = False
        self._counts: dict[str, int] = {}
        self._file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.time() - self.started_at

    def add(self, event: str, /, **values: object) -> float:
        """Write one event and return its time."""
        at = self.now()
        if self.is_brief:
            self._counts[event] = self._counts.get(event, 0) + 1
            return at
        details = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{at:9.3f} {event} {details}\n")
        return at

    def end_brief(self) -> None:
        """Write the events that were only counted, and write each event again from now on."""
        self.is_brief = False
        self.add("counted so far", **self._counts)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
