"""A command channel of the soak: one port for each reader, so that it is known who was told what, and when."""

import asyncio
import json
import time

from benchmarks.soak import process, world


class Channel:
    """spec: ports: {reader: port}; events: those of before, with their numbers."""

    def __init__(self, spec, record, chance):
        self.record = record
        self.ports = spec["ports"]
        self.events = spec["events"]
        self.news = asyncio.Event()
        self.listeners = []
        self.writers = set()
        self.silent_until = self.down_until = self.slow_until = 0.0

    async def begin(self):
        await self.listen()

    async def listen(self):
        for reader, port in self.ports.items():
            self.listeners.append(await asyncio.start_server(self.serving(reader), world.HOST, port))

    def serving(self, name):
        async def serve(reader, writer):
            await self.serve(name, reader, writer)

        return serve

    # orders of the driver

    def tell(self, events):
        self.events += events
        self.news.set()
        self.news = asyncio.Event()

    def silent(self, for_s):
        """Polls are taken and not answered, on connections that stay open."""
        self.silent_until = time.monotonic() + for_s

    def slow(self, for_s):
        """Each answer is written in pieces, with pauses."""
        self.slow_until = time.monotonic() + for_s

    def down(self, for_s):
        """Connections end, some in the middle of what they say; new ones are refused."""
        for listener in self.listeners:
            listener.close()
        self.listeners = []
        for writer in list(self.writers):
            writer.close()
        asyncio.get_running_loop().call_later(for_s, lambda: asyncio.ensure_future(self.listen()))

    # readers

    async def serve(self, name, reader, writer):
        self.writers.add(writer)
        try:
            while words := (await reader.readuntil(b"\r\n\r\n")).decode().split():
                asked = dict(pair.split("=") for pair in words[1].partition("?")[2].split("&"))
                rows, cursor = await self.news_for(int(asked["resume"]), int(asked["block"]) / 1000.0)
                if reader.at_eof():
                    return  # it has gone to another channel: it is told nothing here
                await self.answer(writer, rows, cursor)
                if rows:
                    self.record("told", reader=name, cursor=cursor)
        except (ConnectionError, asyncio.IncompleteReadError, KeyError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def news_for(self, resume, block_s):
        """What is told after a number, once there is something or the wait is over; and the last number."""
        until = time.monotonic() + block_s
        while self.last() <= resume and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.news.wait(), max(0.001, until - time.monotonic()))
            except TimeoutError:
                break
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(0.02)
        rows = [event for event in self.events if event["cursor"] > resume]
        return rows, max(resume, self.last())

    async def answer(self, writer, rows, cursor):
        body = json.dumps({"cursor": cursor, "cmds": rows}).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        if time.monotonic() < self.slow_until:
            half = len(data) // 2
            writer.write(data[:half])
            await asyncio.sleep(0.2)
            data = data[half:]
        writer.write(data)
        await writer.drain()

    def last(self):
        return self.events[-1]["cursor"] if self.events else 0


if __name__ == "__main__":
    process.start(Channel)
