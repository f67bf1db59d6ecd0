"""Reports overload episodes from a router's log: when each began, its signs, and how it ended. No I/O."""

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict, dataclass
from typing import Any, NamedTuple

from brookhinge.overload.overload_detector import OverloadState

_NO_OVERLOAD = (OverloadState.CALM, OverloadState.BUSY)
_STATE_FIGURES = ("connects_s", "queries_s", "returns", "networks")  # of the log event `storm`
_COUNTS = ("queries", "satisfied", "nacked", "errored", "again", "beside")  # of the log event `figures`

LogRow = dict[str, Any]


class ParsedLog(NamedTuple):
    """A parsed log.

    Attributes:
        rows: Log lines sorted by time.
        unreadable: Number of lines that could not be parsed.
    """

    rows: list[LogRow]
    unreadable: int


@dataclass(slots=True)
class Episode:
    """One storm, or one surge caused by a client. The field names are keys of the JSON report.

    Attributes:
        router: Name of the router.
        begin: Start of the episode, in Unix seconds.
        end: End of the episode, in Unix seconds; None if the log ends before it.
        kind: Value of the worst overload state reached.
        connects_s: Highest rate of new connections per second among the `storm` events.
        queries_s: Highest rate of requests per second.
        returns: Highest share of retries among the requests.
        networks: Highest effective number of client networks.
        queries: Requests in the `figures` events of the episode.
        satisfied: Requests that were satisfied.
        nacked: Requests that were rejected.
        errored: Requests that failed.
        again: Retries that were counted toward their first request.
        beside: Requests that waited for an open request for the same object.
        lines: Number of `figures` events in the episode.
        restarted: Whether a restart of the router ended the episode.
    """

    router: str
    begin: float
    end: float | None
    kind: str
    connects_s: float = 0.0
    queries_s: float = 0.0
    returns: float = 0.0
    networks: float = 0.0
    queries: int = 0
    satisfied: int = 0
    nacked: int = 0
    errored: int = 0
    again: int = 0
    beside: int = 0
    lines: int = 0
    restarted: bool = False

    def as_dict(self) -> dict[str, Any]:
        """Return the episode as a JSON-serializable dict."""
        return asdict(self)

    def add_state(self, row: LogRow) -> None:
        """Add the figures of a `storm` event."""
        if row["state"] == OverloadState.STORM:
            self.kind = OverloadState.STORM.value
        for name in _STATE_FIGURES:
            setattr(self, name, max(getattr(self, name), row.get(name, 0.0)))

    def add_counts(self, row: LogRow) -> None:
        """Add the counts of a `figures` event."""
        self.lines += 1
        for name in _COUNTS:
            setattr(self, name, getattr(self, name) + row.get(name, 0))


def parse_log(lines: Iterable[str]) -> ParsedLog:
    """Parse the lines of a log, skipping blank ones."""
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
    """Find the overload episodes of a log; a restart of the router ends the current one."""
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
    """Yield lines of text that describe an episode."""
    kind = "storm" if episode.kind == OverloadState.STORM else "connection surge from one or two networks"
    yield f"{format_time(episode.begin)} {kind} at {episode.router or 'a router'}"
    yield (
        f"  peak rates: {episode.connects_s:g} connections/s from about {episode.networks:g} networks, "
        f"{episode.queries_s:g} requests/s, {100 * episode.returns:.0f}% of them retries"
    )
    if episode.lines:
        satisfied = _percent(episode.satisfied, episode.queries)
        rejected = _percent(episode.nacked, episode.queries)
        yield (
            f"  outcome: of {episode.queries} requests {satisfied} were satisfied and {rejected} rejected; "
            f"{episode.again} were counted as retries of an earlier request, {episode.beside} waited for an "
            "open request"
        )
    yield _describe_end(episode)


def _describe_end(episode: Episode) -> str:
    if episode.end is None:
        return "  still in progress at the end of the log"
    duration_s = episode.end - episode.begin
    if episode.restarted:
        return f"  the router restarted after {duration_s:.0f} s and lost its retry schedule"
    return f"  ended after {duration_s:.0f} s"
