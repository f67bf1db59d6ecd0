"""Stand-in of the command channel: long polls over HTTP/1.1, numbered events from 1."""

import asyncio
import json
import time
from collections.abc import Iterable, Sequence

from review.record import Record


class Channel:
    """Answers a poll when there are later events or its time is over, late by `delay_s`.

    Attributes:
        events: All events so far, in order.
        delay_s: By how much each answer comes later than it is due.
        answers: Number of answers written as a whole.
    """

    def __init__(self, record: Record) -> None:
        self.events: list[dict] = []
        self.delay_s = 0.0
        self.answers = 0
        self.address = ("127.0.0.1", 0)
        self._record = record
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 takes a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Accept no connection any more, and close those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def tell(self, **event: object) -> float:
        """Add an event; return its time in the record."""
        self.events.append({"cursor": len(self.events) + 1, **event})
        at = self._record.add("event", number=len(self.events), what=json.dumps(event).replace(" ", "")[:160])
        self._changed.set()
        self._changed = asyncio.Event()
        return at

    def tell_servers(self, rows: list[dict], *, whole: bool = False) -> float:
        """Add an event with rows of the list of servers."""
        return self.tell(nodes={"seq": len(self.events) + 1, "whole": whole, "hosts": rows})

    def tell_changes(self, changes: Iterable[list[dict]]) -> float:
        """Add events, each with rows that have changed, which are recorded as one."""
        first = len(self.events) + 1
        for rows in changes:
            number = len(self.events) + 1
            nodes = {"seq": number, "whole": False, "hosts": rows}
            self.events.append({"cursor": number, "nodes": nodes})
        at = self._record.add("changes of servers", events=f"{first}-{len(self.events)}")
        self._changed.set()
        self._changed = asyncio.Event()
        return at

    def tell_purge(self, name: str, when: float) -> float:
        """Add the purge of an object at a Unix time."""
        return self.tell(drop={"id": name, "when": int(when * 1000)})

    def tell_purges_of_groups(self, groups: Sequence[int], when: float) -> float:
        """Add the purges of groups, one event each, which readers are told together."""
        for group in groups:
            drop = {"family": group, "when": int(when * 1000)}
            self.events.append({"cursor": len(self.events) + 1, "drop": drop})
        at = self._record.add("events", up_to=len(self.events), purges_of_groups=len(groups))
        self._changed.set()
        self._changed = asyncio.Event()
        return at

    def known(self) -> dict:
        """Return all events so far, in the form of an answer."""
        return {"cursor": len(self.events), "cmds": self.events}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = request.split()[1].partition("?")[2]
                values = dict(pair.split("=") for pair in query.split("&"))
                await self._answer(int(values["resume"]), int(values["block"]) / 1000.0, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled at the end of the run
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, resume: int, block_s: float, writer: asyncio.StreamWriter) -> None:
        deadline = time.monotonic() + min(block_s, 5.0)
        while len(self.events) <= resume and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self._changed.wait(), max(0.001, deadline - time.monotonic()))
            except TimeoutError:
                break
        await asyncio.sleep(self.delay_s)
        later = [event for event in self.events if event["cursor"] > resume]
        body = json.dumps({"cursor": len(self.events), "cmds": later}).encode()
        if writer.transport.is_closing():
            self._record.add("poll given up by the router", resume=resume)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        await writer.drain()
        self.answers += 1
        if later:
            self._record.add("answer of discovery", events=f"{resume + 1}-{len(self.events)}")
