"""Toy cache servers, parent, origin and command channel for examples/config.json.

Usage: python examples/toy_server.py

Each server keeps the parts that it has filled. A miss is filled, which takes 100 ms, if the request names a
source.
"""

import asyncio
import contextlib
import json
import time
from asyncio import StreamReader, StreamWriter
from collections.abc import Awaitable, Callable
from pathlib import Path

CONFIGURATION = json.loads((Path(__file__).parent / "config.json").read_text())
FILL_S = 0.1
ORIGIN = "s-origin"

Item = tuple[str, str]  # object and part
Handler = Callable[[StreamReader, StreamWriter], Awaitable[None]]


class ToyServer:
    """A server that keeps every part that it has filled."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.filled_at_ms: dict[Item, int] = {}

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Answer the requests of one connection."""
        while words := (await reader.readline()).decode().split():
            if words[0] == "ECHO":
                writer.write(f"{words[1]} well - 0\r\n\r\n".encode())
            elif words[0] == "PULL":
                _, request_id, fields, body_size = words
                await reader.readexactly(int(body_size) + 2)
                answer = await self.answer(dict(pair.split("=", 1) for pair in fields.split(",")))
                writer.write(f"{request_id} ".encode() + answer)

    async def answer(self, fields: dict[str, str]) -> bytes:
        """Return the answer to one request without the leading request id."""
        item = (fields["asset"], fields["slice"])
        source = fields.get("parent")
        note = "hit"
        if item not in self.filled_at_ms and (source or self.name == ORIGIN):
            await asyncio.sleep(FILL_S)
            self.filled_at_ms[item] = int(time.time() * 1000)
            note = "filled"
        if item not in self.filled_at_ms:
            self.print_outcome(item, "absent")
            return b"absent - 0\r\n\r\n"
        self.print_outcome(item, note + (f" from {source}" if note == "filled" else ""))
        body = f"part {item[1]} of {item[0]}, from {self.name}".encode()
        head = f"data n={note},digest=1,dated={self.filled_at_ms[item]} {len(body)}\r\n"
        return head.encode() + body + b"\r\n"

    def print_outcome(self, item: Item, outcome: str) -> None:
        """Print the outcome of a request."""
        print(f"{self.name}: {item[0]}/{item[1]} {outcome}", flush=True)


async def serve_channel(reader: StreamReader, writer: StreamWriter) -> None:
    """Answer polls of the command channel; there are never new commands."""
    while words := (await reader.readuntil(b"\r\n\r\n")).decode().split():
        query = dict(pair.split("=") for pair in words[1].partition("?")[2].split("&"))
        await asyncio.sleep(int(query["block"]) / 1000)
        body = json.dumps({"cursor": int(query["resume"]), "cmds": []})
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


def until_closed(handler: Handler) -> Handler:
    """Wrap a handler so that it returns without an error when its connection closes."""

    async def run(reader: StreamReader, writer: StreamWriter) -> None:
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return run


async def main() -> None:
    """Serve until interrupted."""
    for row in CONFIGURATION["known"]["cmds"][0]["nodes"]["hosts"]:
        host, port = row["dial"].split(":")
        await asyncio.start_server(until_closed(ToyServer(row["host"]).serve), host, int(port))
    host, port = CONFIGURATION["channel"].split(":")
    await asyncio.start_server(until_closed(serve_channel), host, int(port))
    print("toy servers are up", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
