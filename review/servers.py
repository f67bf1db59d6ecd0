"""Stand-ins of cache servers, parents and the origin, on the platform's line protocol.

The origin's content is a version number by object. A cache keeps what it was filled with, answers from its
copy as long as that is young enough for the request, and fills from the origin otherwise.
"""

import asyncio
import time
from typing import NamedTuple

from review.record import Record

LINE_END = b"\r\n"


class Content:
    """What the origin holds.

    Attributes:
        versions: Version by object; 1 where an object is not listed.
        body_bytes: Size of the answered parts.
    """

    def __init__(self, body_bytes: int = 2000) -> None:
        self.versions: dict[str, int] = {}
        self.body_bytes = body_bytes

    def change(self, name: str) -> float:
        """Change an object; return the Unix time of the change."""
        self.versions[name] = self.versions.get(name, 1) + 1
        return time.time()

    def body(self, name: str) -> bytes:
        """Return the bytes of an object in its present version."""
        head = f"{name} version {self.versions.get(name, 1)} ".encode()
        return head.ljust(self.body_bytes, b".")


class Copy(NamedTuple):
    """A copy at a cache: its bytes, and when the origin gave it out (Unix time)."""

    body: bytes
    dated: float


class Pull(NamedTuple):
    """A request of a router."""

    request_id: bytes
    fields: dict[str, str]
    body: bytes


def encode_answer(request_id: bytes, word: bytes, fields: dict[str, object], body: bytes = b"") -> bytes:
    """Encode an answer line and its body."""
    text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    return b"%b %b %b %d\r\n%b\r\n" % (request_id, word, text.encode(), len(body), body)


class CacheServer:
    """One cache server, parent or origin.

    Attributes:
        name: Id in the list of servers.
        copies: Kept copies by object and part; the origin keeps none.
        sending_s: How long the answers for an object take, where it is longer than usual.
        peers: All servers by name, among them the sources of fills.
    """

    def __init__(
        self,
        name: str,
        content: Content,
        record: Record,
        *,
        is_origin: bool = False,
        delay_s: float = 0.01,
    ) -> None:
        self.name = name
        self.copies: dict[tuple[str, str], Copy] = {}
        self.sending_s: dict[str, float] = {}
        self.peers: dict[str, CacheServer] = {}
        self.address = ("127.0.0.1", 0)
        self._content = content
        self._record = record
        self._is_origin = is_origin
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def row(self, site: str, kind: str, health: str = "up") -> dict[str, object]:
        """Return the row of this server in the list of the command channel."""
        host, port = self.address
        return {
            "host": self.name,
            "dial": f"{host}:{port}",
            "site": site,
            "class": kind,
            "block": 0,
            "health": health,
            "share": 4,
            "born_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        open_pulls: dict[bytes, asyncio.Task] = {}
        try:
            while True:
                words = (await reader.readuntil(LINE_END))[: -len(LINE_END)].split(b" ")
                await self._handle_line(words, reader, writer, open_pulls)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # cancelled at the end of the run
        finally:
            self._writers.discard(writer)
            writer.close()
            for task in open_pulls.values():
                task.cancel()

    async def _handle_line(
        self,
        words: list[bytes],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        open_pulls: dict[bytes, asyncio.Task],
    ) -> None:
        if words[0] == b"ECHO":
            writer.write(encode_answer(words[1], b"well", {}))
        elif words[0] == b"KILL":
            self._record.add("kill", to=self.name, id=words[1].decode())
            if words[1] in open_pulls:
                open_pulls.pop(words[1]).cancel()
        elif words[0] == b"PULL":
            body = (await reader.readexactly(int(words[3]) + len(LINE_END)))[: -len(LINE_END)]
            fields = dict(pair.split("=", 1) for pair in words[2].decode().split(","))
            pull = Pull(words[1], fields, body)
            self._record.add(
                "pull",
                to=self.name,
                id=pull.request_id.decode(),
                sort=fields["sort"],
                asset=fields["asset"],
                parent=fields.get("parent", "-"),
                accept=fields.get("accept", "-"),
            )
            task = asyncio.get_running_loop().create_task(self._answer(pull, writer, open_pulls))
            open_pulls[pull.request_id] = task

    async def _answer(
        self, pull: Pull, writer: asyncio.StreamWriter, open_pulls: dict[bytes, asyncio.Task]
    ) -> None:
        writer.write(await self._make_answer(pull))
        open_pulls.pop(pull.request_id, None)

    async def _make_answer(self, pull: Pull) -> bytes:
        fields = pull.fields
        name = fields["asset"]
        await asyncio.sleep(self.sending_s.get(name, self._delay_s))
        key = (name, fields["slice"])
        copy = self.copies.get(key)
        note = "hit"
        oldest_s = int(fields.get("accept", 0)) / 1000.0
        if copy is not None and oldest_s and time.time() - copy.dated > oldest_s:
            copy = None
        if copy is None:
            copy = self._fill(fields, key, oldest_s)
            note = "via_origin"
            if copy is None:
                return encode_answer(pull.request_id, b"absent", {})
            if fields.get("shelf", "0") != "0" and not self._is_origin:
                self.copies[key] = copy
        version = copy.body.split()[2].decode()
        values = {"n": note, "digest": f"v{version}", "dated": int(copy.dated * 1000)}
        return encode_answer(pull.request_id, b"data", values, copy.body)

    def _fill(self, fields: dict[str, str], key: tuple[str, str], oldest_s: float) -> Copy | None:
        """Return a copy from the source that a request names; None if there is none."""
        if not self._is_origin and "parent" not in fields:
            return None
        if "local" not in fields.get("hints", "").split("+"):
            return Copy(self._content.body(key[0]), time.time())
        copy = self.peers[fields["parent"]].copies.get(key)
        is_too_old = copy is not None and oldest_s and time.time() - copy.dated > oldest_s
        return None if is_too_old else copy
