"""Reports on overload from a router's log: when it began, how it was seen, how it ended. No I/O."""

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict, dataclass
from typing import Any, NamedTuple

from brookhinge.overload.overload_detector import OverloadState

_NO_OVERLOAD = (OverloadState.CALM, OverloadState.BUSY)
_STATE_FIGURES = ("connects_s", "queries_s", "returns", "networks")  # of the line `storm`
_COUNTS = ("queries", "satisfied", "nacked", "errored", "again", "beside")  # of the line `figures`

LogRow = dict[str, Any]


class ParsedLog(NamedTuple):
    """The lines of a log in the order of their times, and how many could not be read."""

    rows: list[LogRow]
    unreadable: int


@dataclass(slots=True)
class Episode:
    """One storm, or crowd of one client. The names stand in the report's JSON; times are Unix seconds."""

    router: str
    begin: float
    end: float | None
    kind: str
    connects_s: float = 0.0  # the highest of its lines, as are the next three
    queries_s: float = 0.0
    returns: float = 0.0
    networks: float = 0.0
    queries: int = 0
    satisfied: int = 0
    nacked: int = 0
    errored: int = 0
    again: int = 0
    beside: int = 0
    lines: int = 0  # `figures` that fall into it
    restarted: bool = False  # the router started anew in the middle

    def as_dict(self) -> dict[str, Any]:
        """The episode for JSON."""
        return asdict(self)

    def add_state(self, row: LogRow) -> None:
        """Take a line `storm`."""
        if row["state"] == OverloadState.STORM:
            self.kind = OverloadState.STORM.value
        for name in _STATE_FIGURES:
            setattr(self, name, max(getattr(self, name), row.get(name, 0.0)))

    def add_counts(self, row: LogRow) -> None:
        """Take a line `figures`."""
        self.lines += 1
        for name in _COUNTS:
            setattr(self, name, getattr(self, name) + row.get(name, 0))


def parse_log(lines: Iterable[str]) -> ParsedLog:
    """Read the lines of a log; a blank one is passed over."""
    rows = []
    unreadable = 0
    for line in lines:
        if not line.strip():
            continue
        row = _parse_line(line)
        if row is None:
            unreadable += 1
        else:
            rows.append(row)
    return ParsedLog(sorted(rows, key=lambda row: row["at"]), unreadable)


def _parse_line(line: str) -> LogRow | None:
    try:
        row = json.loads(line)
    except ValueError:
        return None
    if not isinstance(row, dict) or "event" not in row or not isinstance(row.get("at"), int | float):
        return None
    return row


def find_episodes(rows: Iterable[LogRow]) -> list[Episode]:
    """The episodes of a log; a router that starts anew in the middle of one ends it."""
    episodes = []
    current: Episode | None = None
    for row in rows:
        event = row["event"]
        if event == "storm" and row.get("state") not in _NO_OVERLOAD:
            if current is None:
                current = Episode(row.get("router", ""), begin=row["at"], end=None, kind=row["state"])
                episodes.append(current)
            current.add_state(row)
        elif current is None:
            continue
        elif event == "storm":
            current.end = row["at"]
            current = None
        elif event == "phase" and row.get("phase") == "ready":
            current.end = row["at"]
            current.restarted = True
            current = None
        elif event == "figures":
            current.add_counts(row)
    return episodes


def _percent(part: int, whole: int) -> str:
    return f"{100.0 * part / whole:.0f}%" if whole else "none"


def describe(episode: Episode, format_time: Callable[[float], str]) -> Iterator[str]:
    """An episode as lines of text."""
    what = "a storm" if episode.kind == OverloadState.STORM else "a crowd from one or two networks"
    yield f"{format_time(episode.begin)} {what} at {episode.router or 'a router'}"
    yield (
        f"  seen by {episode.connects_s:g} connections a second from about {episode.networks:g} networks, "
        f"{episode.queries_s:g} queries a second, {100 * episode.returns:.0f}% of them returns"
    )
    if episode.lines:
        satisfied = _percent(episode.satisfied, episode.queries)
        rejected = _percent(episode.nacked, episode.queries)
        yield (
            f"  damped: of {episode.queries} queries {satisfied} were satisfied and {rejected} told to come "
            f"back; {episode.again} were retries counted under their first try, {episode.beside} waited for "
            "what was out"
        )
    yield _describe_end(episode)


def _describe_end(episode: Episode) -> str:
    if episode.end is None:
        return "  not over when the log ends"
    duration_s = episode.end - episode.begin
    if episode.restarted:
        return f"  the router started anew after {duration_s:.0f} s: its plan of returns went with it"
    return f"  over after {duration_s:.0f} s"
