"""The command channel's wire: HTTP/1.1 requests and answers. No I/O."""

LONGEST_HEAD, LONGEST_BODY = 16 * 1024, 4 * 1024 * 1024


class Unreadable(Exception):
    """Bytes that can't be read as this protocol; the connection they came on is closed."""


def request(host, resume, block_ms):
    return (
        f"GET /cmd/next?resume={resume}&block={block_ms} HTTP/1.1\r\nHost: {host}\r\n"
        "Accept: application/json\r\n\r\n"
    ).encode()


class Answer:
    """One answer, fed in any pieces; `feed` returns (status, body, whether the connection goes on) or None."""

    def __init__(self):
        self.held, self.status, self.body = bytearray(), None, bytearray()
        self.left = self.kept = self.chunked = None

    def feed(self, data):
        self.held += data
        while self.status is None:
            end = self.held.find(b"\r\n\r\n")
            if end < 0:
                if len(self.held) > LONGEST_HEAD:
                    raise Unreadable("a head that is too long")
                return None
            self.head(bytes(self.held[:end]))
            del self.held[: end + 4]
        if self.chunked:
            return self.chunks()
        if len(self.held) > LONGEST_BODY:
            raise Unreadable("a body that is too long")
        if self.left is None or len(self.held) < self.left:  # without a length it ends with its connection
            return None
        return self.status, bytes(self.held[: self.left]), self.kept

    def head(self, text):
        first, *lines = text.decode("latin-1").split("\r\n")
        version, _, rest = first.partition(" ")
        if not version.startswith("HTTP/1.") or not rest[:3].isdigit():
            raise Unreadable(f"the status line {first[:80]!r}")
        status = int(rest[:3])
        if 100 <= status < 200:  # something else follows
            return
        fields = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon:
                raise Unreadable(f"the header {line[:80]!r}")
            fields[name.strip().lower()] = value.strip()
        self.status, length = status, fields.get("content-length")
        self.chunked = "chunked" in fields.get("transfer-encoding", "").lower()
        if length is not None and not self.chunked:
            if not length.isdigit() or len(length) > 9 or int(length) > LONGEST_BODY:
                raise Unreadable(f"the length {length!r:.40}")
            self.left = int(length)
        elif status in (204, 304):
            self.left = 0
        closes = fields.get("connection", "" if version != "HTTP/1.0" else "close").lower()
        self.kept = "close" not in closes and (self.chunked or self.left is not None)

    def chunks(self):
        while True:
            end = self.held.find(b"\r\n")
            if end < 0:
                if len(self.held) > LONGEST_HEAD:
                    raise Unreadable("a chunk's line that is too long")
                return None
            size = bytes(self.held[:end]).partition(b";")[0].strip()
            try:
                size = int(size, 16)
            except ValueError:
                raise Unreadable(f"the chunk length {size[:40]!r}") from None
            if size < 0 or len(self.body) + size > LONGEST_BODY:
                raise Unreadable(f"a chunk of {size} bytes")
            if not size:  # trailers end with an empty line
                if self.held[end : end + 4] == b"\r\n\r\n":
                    return self.status, bytes(self.body), self.kept
                done = self.held.find(b"\r\n\r\n", end) >= 0
                return (self.status, bytes(self.body), False) if done else None
            if len(self.held) < end + 2 + size + 2:
                return None
            if self.held[end + 2 + size : end + 4 + size] != b"\r\n":
                raise Unreadable("a chunk that does not end with its length")
            self.body += self.held[end + 2 : end + 2 + size]
            del self.held[: end + 4 + size]

    def ended(self):
        """What the end of the connection makes of an answer without a length."""
        if self.status is None or self.chunked or self.left is not None:
            raise Unreadable("an answer that is cut off")
        return self.status, bytes(self.held), False
