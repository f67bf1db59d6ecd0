"""Requests one part of an object from the router of examples/config.json.

Usage: .venv/bin/python examples/ask.py OBJECT [PART]

OBJECT is 16 hex digits, such as 7f3a9c21e0b4d655.
"""

import os
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from brookhinge.net import thrift

ROUTER = ("127.0.0.1", 8080)
CONNECT_TIMEOUT_S = 5
READ_BYTES = 64 * 1024
BODY_FIELD = 1
DECLARED_EXCEPTIONS = {1: "nacked", 2: "errored"}  # by their field id in the result


def encode_request(object_key: str, part: str) -> bytes:
    """Encode a call of `serve` with a timeout of two seconds."""
    fields = {
        b"service": b"page",
        b"ref": os.urandom(8).hex().encode(),
        b"allow": b"2000",
        b"lookup": object_key.encode(),
        b"piece": part.encode(),
    }
    arguments = (thrift.FIELD_HEADER.pack(thrift.MAP, 1), thrift.encode_string_map(fields), b"\0")
    return thrift.encode_message(b"serve", thrift.CALL, 1, *arguments)


def read_reply(connection: socket.socket) -> bytes | None:
    """Return the first frame of the reply; None if the connection closes before it."""
    splitter = thrift.FrameSplitter()
    while data := connection.recv(READ_BYTES):
        frames = splitter.feed(data)
        if frames:
            return frames[0]
    return None


def describe(reply: bytes) -> str:
    """Return a line of text that describes a reply."""
    reader = thrift.Reader(reply)
    header = thrift.read_message_header(reader)
    _, field_id = next(reader.read_fields())
    if header.message_type == thrift.EXCEPTION:
        return "rejected: " + reader.read_string().decode()
    if field_id in DECLARED_EXCEPTIONS:
        return DECLARED_EXCEPTIONS[field_id]
    body = thrift.read_arguments(reader, {BODY_FIELD: thrift.STRING})[BODY_FIELD]
    return "satisfied: " + body.decode()


def main(object_key: str, part: str = "0") -> str:
    """Send the request and return a description of the reply."""
    with socket.create_connection(ROUTER, CONNECT_TIMEOUT_S) as connection:
        connection.sendall(encode_request(object_key, part))
        reply = read_reply(connection)
    if reply is None:
        return "the connection closed without an answer"
    return describe(reply)


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    print(main(*sys.argv[1:3]))
