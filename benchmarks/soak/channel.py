"""A command channel of the soak, with a port per reader so that deliveries are recorded by reader."""

import asyncio
import json
import time

from benchmarks.soak import process, world


class Channel:
    """One command channel.

    Its spec holds `ports`, a map of readers to ports, and `events`, the earlier events with their cursors.
    """

    def __init__(self, spec, record, rng):
        self.record = record
        self.ports = spec["ports"]
        self.events = spec["events"]
        self.published = asyncio.Event()
        self.listeners = []
        self.writers = set()
        self.silent_until = self.down_until = self.slow_until = 0.0

    async def begin(self):
        """Start to accept connections."""
        await self.listen()

    async def listen(self):
        """Open the port of every reader."""
        for reader, port in self.ports.items():
            self.listeners.append(await asyncio.start_server(self.serving(reader), world.HOST, port))

    def serving(self, name):
        """Return the connection handler of a reader."""

        async def serve(reader, writer):
            await self.serve(name, reader, writer)

        return serve

    # orders of the driver

    def tell(self, events):
        """Publish events."""
        self.events += events
        self.published.set()
        self.published = asyncio.Event()

    def silent(self, for_s):
        """Accept polls without answering them for a while, on connections that stay open."""
        self.silent_until = time.monotonic() + for_s

    def slow(self, for_s):
        """Write each response in two pieces with a pause between them, for a while."""
        self.slow_until = time.monotonic() + for_s

    def down(self, for_s):
        """Close all connections, perhaps within a response, and refuse new ones for a while."""
        for listener in self.listeners:
            listener.close()
        self.listeners = []
        for writer in list(self.writers):
            writer.close()
        asyncio.get_running_loop().call_later(for_s, lambda: asyncio.ensure_future(self.listen()))

    # readers

    async def serve(self, name, reader, writer):
        """Answer the polls on one connection."""
        self.writers.add(writer)
        try:
            while words := (await reader.readuntil(b"\r\n\r\n")).decode().split():
                query = dict(pair.split("=") for pair in words[1].partition("?")[2].split("&"))
                rows, cursor = await self.events_after(int(query["resume"]), int(query["block"]) / 1000.0)
                if reader.at_eof():
                    return  # the reader switched to another channel, so nothing is delivered here
                await self.answer(writer, rows, cursor)
                if rows:
                    self.record("told", reader=name, cursor=cursor)
        except (ConnectionError, asyncio.IncompleteReadError, KeyError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def events_after(self, resume, block_s):
        """Wait for events after a cursor or the end of the block time; return them and the last cursor."""
        until = time.monotonic() + block_s
        while self.last_cursor() <= resume and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.published.wait(), max(0.001, until - time.monotonic()))
            except TimeoutError:
                break
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(0.02)
        rows = [event for event in self.events if event["cursor"] > resume]
        return rows, max(resume, self.last_cursor())

    async def answer(self, writer, rows, cursor):
        """Write one response."""
        body = json.dumps({"cursor": cursor, "cmds": rows}).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        if time.monotonic() < self.slow_until:
            half = len(data) // 2
            writer.write(data[:half])
            await asyncio.sleep(0.2)
            data = data[half:]
        writer.write(data)
        await writer.drain()

    def last_cursor(self):
        """Return the cursor of the last event, or 0."""
        return self.events[-1]["cursor"] if self.events else 0


if __name__ == "__main__":
    process.start(Channel)
