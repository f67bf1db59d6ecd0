"""Routers' lines as a cache server reads and writes them. Parses and encodes bytes, no I/O."""

from typing import NamedTuple

from brookhinge.net.cachewire import MAX_BODY_BYTES, LineSplitter, UnreadableError, read_fields

HEX = frozenset(b"0123456789abcdef")
HINTS = {b"merge", b"local", b"skip", b"revalidate"}


class Unusable(ValueError):
    """A PULL that can be read and not used: it is answered `failed`, nothing else on its connection is harmed."""


class Pull(NamedTuple):
    """One query for a part. Times are seconds."""

    sort: bytes  # the track
    object: bytes
    part: int
    patience_s: float
    source: str  # "" : no fill
    rank: int
    accept_s: float  # the oldest copy that will do; 0: the track's fresh time
    merge: bool
    local: bool
    skip: bool
    renew: bool
    got: bytes  # tag of the client's copy, or b""


class Commands(LineSplitter):
    """Commands: ("pull", id, fields, body), ("kill", id), ("echo", tag)."""

    @staticmethod
    def begin(line):
        words = line.split(b" ")
        if len(words) == 2 and words[0] in (b"KILL", b"ECHO") and words[1]:
            return (words[0].decode().lower(), words[1]), None
        if (
            len(words) != 4
            or words[0] != b"PULL"
            or not words[1]
            or not words[3].isdigit()
            or len(words[3]) > 7
            or int(words[3]) > MAX_BODY_BYTES
        ):
            raise UnreadableError(f"the line {line[:80]!r}")
        return ("pull", words[1], words[2]), int(words[3])


def whole(fields, name, default, least, most):
    text = fields.get(name)
    if text is None:
        if default is None:
            raise Unusable(f"{name.decode()}: missing")
        return default
    if not text.isdigit() or len(text) > 15 or not least <= int(text) <= most:
        raise Unusable(f"{name.decode()}: expected a whole number from {least} to {most}, got {text!r:.40}")
    return int(text)


def read_pull(raw):
    """The fields of a PULL, checked."""
    fields = read_fields(raw)
    object_, sort = fields.get(b"asset", b""), fields.get(b"sort", b"")
    if len(object_) != 16 or not HEX.issuperset(object_):
        raise Unusable(f"asset: expected 16 hex digits, got {object_!r:.40}")
    if not sort or len(sort) > 64:
        raise Unusable(f"sort: expected a class, got {sort!r:.40}")
    hints = set(fields.get(b"hints", b"").split(b"+")) - {b""}
    if not hints <= HINTS:
        raise Unusable(f"hints: unknown {sorted(hints - HINTS)!r:.60}")
    source, got = fields.get(b"parent", b""), fields.get(b"got", b"")
    if len(source) > 255 or len(got) > 255:
        raise Unusable("parent or got: too long")
    return Pull(
        sort,
        object_,
        whole(fields, b"slice", None, 0, (1 << 32) - 1),
        whole(fields, b"patience", None, 1, 86_400_000) / 1000.0,
        source.decode("latin-1"),
        whole(fields, b"shelf", 0, 0, 3),
        whole(fields, b"accept", 0, 0, 10**13) / 1000.0,
        b"merge" in hints,
        b"local" in hints,
        b"skip" in hints,
        b"revalidate" in hints,
        got,
    )


def answer(name, word, fields=(), body=b""):
    """fields: pairs of bytes."""
    text = b",".join(b"%b=%b" % pair for pair in fields) or b"-"
    return b"%b %b %b %d\r\n%b\r\n" % (name, word, text, len(body), body)
