"""A small deployment: a station with a router and cache servers, parents, the origin, a command channel."""

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Self

from review import settings
from review.channel import Channel
from review.processes import Processes
from review.record import Record
from review.servers import CacheServer, Content

COULD_NOT_RUN = 2
LONGEST_S = 110.0


class Deployment:
    """Runs stand-ins of the platform while its `async with` block runs; ends all processes after it.

    Attributes:
        record: The record of the run.
        trouble: Whether the disruption of the case is played.
        content: What the origin holds.
        origin: The origin.
        parents: The parents.
        boxes: The cache servers.
        channel: The command channel.
        processes: The project's programs.
    """

    def __init__(
        self,
        record: Record,
        folder: Path,
        *,
        trouble: bool,
        boxes: int,
        parents: int = 2,
        body_bytes: int = 2000,
    ) -> None:
        """Create the stand-ins; nothing listens yet.

        Args:
            record: The record of the run.
            folder: Temporary folder of the run.
            trouble: Whether the disruption of the case is played.
            boxes: Number of stand-ins of cache servers.
            parents: Number of parents.
            body_bytes: Size of the answered parts.
        """

        def server(name: str, *, is_origin: bool = False) -> CacheServer:
            return CacheServer(name, self.content, record, is_origin=is_origin)

        self.record = record
        self.trouble = trouble
        self.content = Content(body_bytes)
        self.origin = server("s-origin", is_origin=True)
        self.parents = [server(f"s-parent-{number + 1}") for number in range(parents)]
        self.boxes = [server(f"s-{number + 1}") for number in range(boxes)]
        self.channel = Channel(record)
        self.processes = Processes(folder)

    async def __aenter__(self) -> Self:
        for server in self.servers():
            server.peers = {peer.name: peer for peer in self.servers()}
            await server.start()
        await self.channel.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.processes.end_all()
        for server in self.servers():
            server.stop()
        self.channel.stop()

    def servers(self) -> list[CacheServer]:
        """Return all stand-ins of servers."""
        return [self.origin, *self.parents, *self.boxes]

    def rows(self) -> list[dict[str, object]]:
        """Return the rows of the list of servers."""
        rows = [self.origin.row("main-hub", "origin")]
        rows += [parent.row("main-hub", "parent") for parent in self.parents]
        return rows + [box.row("edge-1", "small-box") for box in self.boxes]

    def record_stalls(self) -> None:
        """Copy what the router's log says of stalls of its event loop into the record."""
        for line in self.processes.log("n1").splitlines():
            if '"event":"stalled"' in line:
                self.record.add("the router's log", line=line)

    def drop_copies(self) -> None:
        """Drop all copies at parents and cache servers, as after a purge."""
        for server in self.servers():
            server.copies.clear()

    async def start_router(
        self,
        tracks: list[settings.Track],
        *,
        notice_ms: int = 500,
        stations: int = 1,
        others: Sequence[dict[str, object]] = (),
    ) -> tuple[str, int]:
        """Tell the list of servers, start the router and return its address once it is well.

        Args:
            tracks: The tracks.
            notice_ms: Grace of the rule on purges.
            stations: Number of stations; the router is at the first.
            others: Rows of the servers of other stations.
        """
        self.channel.tell_servers([*self.rows(), *others], whole=True)
        config = settings.router_config(
            self.channel.address, self.channel.known(), tracks, notice_ms=notice_ms, stations=stations
        )
        return await self.processes.start_router("n1", config)


def play(case: str, run: Callable[[Record, Path, bool], Awaitable[int]]) -> int:
    """Play a case in a temporary folder; return its exit code, COULD_NOT_RUN after any exception.

    Args:
        case: Path of the case's program; the record is written beside it.
        run: Plays the case; called with the record, the folder, and whether the disruption is played.
    """
    record = Record(Path(case).parent)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play_in(folder: str) -> int:
        return await asyncio.wait_for(run(record, Path(folder), trouble), LONGEST_S)

    # Ends the run in the ordinary way, with all its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(play_in(folder))
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return COULD_NOT_RUN
    finally:
        record.close()
