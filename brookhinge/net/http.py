"""HTTP/1.1 for the command channel: encodes polls and parses responses. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from brookhinge.net.errors import UnreadableError

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
STATUSES_WITHOUT_BODY = (204, 304)


class Response(NamedTuple):
    """A complete response."""

    status: int
    body: bytes
    keeps_alive: bool  # whether the connection can be reused


def encode_poll(host: str, cursor: int, wait_ms: int) -> bytes:
    """Encode a long poll for the commands after `cursor`; the channel answers within `wait_ms`."""
    return (
        f"GET /cmd/next?resume={cursor}&block={wait_ms} HTTP/1.1\r\nHost: {host}\r\n"
        "Accept: application/json\r\n\r\n"
    ).encode()


class ResponseParser:
    """Parses one response, fed in chunks of any size."""

    def __init__(self) -> None:
        self._buffered = bytearray()
        self._status: int | None = None
        self._body = bytearray()  # of a chunked response
        self._length: int | None = None
        self._keeps_alive = False
        self._is_chunked = False

    def feed(self, data: bytes) -> Response | None:
        """Add `data` and return the response once it is complete, else None.

        Raises:
            UnreadableError: The response is not valid HTTP, or too long.
        """
        self._buffered += data
        while self._status is None:
            end = self._buffered.find(HEAD_END)
            if end < 0:
                if len(self._buffered) > MAX_HEAD_BYTES:
                    raise UnreadableError("response head is too long")
                return None
            self._read_head(bytes(self._buffered[:end]).decode("latin-1"))
            del self._buffered[: end + len(HEAD_END)]
        if self._is_chunked:
            return self._read_chunks()
        if len(self._buffered) > MAX_BODY_BYTES:
            raise UnreadableError("response body is too long")
        if self._length is None or len(self._buffered) < self._length:
            return None  # without a length, the body ends with the connection
        return Response(self._status, bytes(self._buffered[: self._length]), self._keeps_alive)

    def end(self) -> Response:
        """Return the response that is complete because the connection has ended.

        Raises:
            UnreadableError: The response is truncated.
        """
        if self._status is None or self._is_chunked or self._length is not None:
            raise UnreadableError("response is truncated: the connection ended before it was complete")
        return Response(self._status, bytes(self._buffered), keeps_alive=False)

    def _read_head(self, text: str) -> None:
        status_line, *lines = text.split("\r\n")
        version, _, rest = status_line.partition(" ")
        if not version.startswith("HTTP/1.") or not rest[:3].isdigit():
            raise UnreadableError(f"invalid status line {status_line[:80]!r}")
        status = int(rest[:3])
        if 100 <= status < 200:  # an interim response; the final one follows
            return
        headers = _read_headers(lines)
        self._status = status
        self._is_chunked = "chunked" in headers.get("transfer-encoding", "").lower()
        if not self._is_chunked:
            self._length = _body_length(status, headers)
        default = "close" if version == "HTTP/1.0" else ""
        closes = "close" in headers.get("connection", default).lower()
        self._keeps_alive = not closes and (self._is_chunked or self._length is not None)

    def _read_chunks(self) -> Response | None:
        while True:
            line_end = self._buffered.find(LINE_END)
            if line_end < 0:
                if len(self._buffered) > MAX_HEAD_BYTES:
                    raise UnreadableError("chunk header is too long")
                return None
            size = self._read_chunk_size(line_end)
            if not size:
                return self._read_trailers(line_end)
            start = line_end + len(LINE_END)
            end = start + size
            if len(self._buffered) < end + len(LINE_END):
                return None
            if self._buffered[end : end + len(LINE_END)] != LINE_END:
                raise UnreadableError("chunk data is not followed by CRLF")
            self._body += self._buffered[start:end]
            del self._buffered[: end + len(LINE_END)]

    def _read_chunk_size(self, line_end: int) -> int:
        digits = bytes(self._buffered[:line_end]).partition(b";")[0].strip()
        try:
            size = int(digits, 16)
        except ValueError:
            raise UnreadableError(f"invalid chunk length {digits[:40]!r}") from None
        if size < 0 or len(self._body) + size > MAX_BODY_BYTES:
            raise UnreadableError(f"chunk length {size} is out of range")
        return size

    def _read_trailers(self, line_end: int) -> Response | None:
        """Return the response once the empty line after the trailers has been received, else None."""
        if self._buffered[line_end : line_end + len(HEAD_END)] == HEAD_END:
            return Response(self._status, bytes(self._body), self._keeps_alive)
        if self._buffered.find(HEAD_END, line_end) < 0:
            return None
        return Response(self._status, bytes(self._body), keeps_alive=False)


def _read_headers(lines: list[str]) -> dict[str, str]:
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise UnreadableError(f"header line without a colon: {line[:80]!r}")
        headers[name.strip().lower()] = value.strip()
    return headers


def _body_length(status: int, headers: dict[str, str]) -> int | None:
    """Return the length of a body that is not chunked; None if it ends with the connection."""
    length = headers.get("content-length")
    if length is None:
        return 0 if status in STATUSES_WITHOUT_BODY else None
    if not length.isdigit() or len(length) > 9 or int(length) > MAX_BODY_BYTES:
        raise UnreadableError(f"invalid Content-Length {length!r:.40}")
    return int(length)
