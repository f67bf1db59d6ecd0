"""Asks the router of examples/config.json for one part of an object: .venv/bin/python examples/ask.py OBJECT [PART]

OBJECT is 16 hex digits, such as 7f3a9c21e0b4d655."""

import os
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from brookhinge.net import thrift


def main(key, part="0"):
    fields = {
        b"service": b"page",
        b"ref": os.urandom(8).hex().encode(),
        b"allow": b"2000",
        b"lookup": key.encode(),
        b"piece": part.encode(),
    }
    with socket.create_connection(("127.0.0.1", 8080), 5) as made:
        made.sendall(
            thrift.encode_message(
                b"serve",
                thrift.CALL,
                1,
                thrift.FIELD_HEADER.pack(thrift.MAP, 1),
                thrift.encode_string_map(fields),
                b"\0",
            )
        )
        frames, found = thrift.FrameSplitter(), []
        while not found:
            data = made.recv(65536)
            if not data:
                return "the connection ended without an answer"
            found = frames.feed(data)
    reader = thrift.Reader(found[0])
    _, kind, _ = thrift.read_message_header(reader)
    _, place = next(reader.read_fields())
    if kind == thrift.EXCEPTION:
        return "not taken: " + reader.read_string().decode()
    if place:
        return {1: "nacked", 2: "errored"}[place]
    return "satisfied: " + thrift.read_arguments(reader, {1: thrift.STRING})[1].decode()


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    print(main(*sys.argv[1:3]))
