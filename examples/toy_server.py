"""Toy cache servers, parent, origin and command channel for examples/config.json: python examples/toy_server.py

Each server keeps what it was asked for. A miss is filled, which takes 100 ms, where the router names a source."""

import asyncio
import json
import time
from pathlib import Path

CONFIGURATION = json.loads((Path(__file__).parent / "config.json").read_text())


async def server(name, reader, writer, kept):
    while line := (await reader.readline()).decode().split():
        if line[0] == "ECHO":
            writer.write(f"{line[1]} well - 0\r\n\r\n".encode())
        if line[0] != "PULL":
            continue
        await reader.readexactly(int(line[3]) + 2)
        fields = dict(pair.split("=", 1) for pair in line[2].split(","))
        item, source, note = (fields["asset"], fields["slice"]), fields.get("parent"), "hit"
        if item not in kept and (source or name == "s-origin"):
            await asyncio.sleep(0.1)
            kept[item], note = int(time.time() * 1000), "filled"
        if item in kept:
            body = f"part {item[1]} of {item[0]}, from {name}".encode()
            writer.write(
                f"{line[1]} data n={note},digest=1,dated={kept[item]} {len(body)}\r\n".encode()
                + body
                + b"\r\n"
            )
        else:
            note = "absent"
            writer.write(f"{line[1]} absent - 0\r\n\r\n".encode())
        print(
            f"{name}: {item[0]}/{item[1]} {note}" + (f" from {source}" if note == "filled" else ""),
            flush=True,
        )


async def channel(reader, writer):
    """Has nothing new to tell, ever."""
    while words := (await reader.readuntil(b"\r\n\r\n")).decode().split():
        query = dict(pair.split("=") for pair in words[1].partition("?")[2].split("&"))
        await asyncio.sleep(int(query["block"]) / 1000)
        body = json.dumps({"cursor": int(query["resume"]), "cmds": []})
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


def quietly(serve, *args):
    async def run(reader, writer):
        try:
            await serve(*args[:1], reader, writer, *args[1:])
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return run


async def main():
    for told in CONFIGURATION["known"]["cmds"][0]["nodes"]["hosts"]:
        host, port = told["dial"].split(":")
        await asyncio.start_server(quietly(server, told["host"], {}), host, int(port))
    host, port = CONFIGURATION["channel"].split(":")
    await asyncio.start_server(quietly(channel), host, int(port))
    print("toy servers are up", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
