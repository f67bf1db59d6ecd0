"""The line protocol between routers and cache servers, on the side of the cache server. No I/O.

Only this module of the cache server knows the protocol's field names. The router's side is
`net/cachewire.py`.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from brookhinge.net.cachewire import LineSplitter, is_body_size, read_fields
from brookhinge.net.errors import UnreadableError

_HEX_DIGITS = frozenset(b"0123456789abcdef")
_OBJECT_KEY_DIGITS = 16
_MAX_CLASS_BYTES = 64
_MAX_NAME_BYTES = 255
_MAX_NUMBER_DIGITS = 15
_MAX_PART = (1 << 32) - 1
_MAX_TIMEOUT_MS = 86_400_000
_MAX_RANK = 3
_MAX_AGE_MS = 10**13

_HINT_JOIN_FILL = b"merge"
_HINT_CACHED_ONLY = b"local"
_HINT_SKIP_CACHE = b"skip"
_HINT_REVALIDATE = b"revalidate"
_HINTS = frozenset({_HINT_JOIN_FILL, _HINT_CACHED_ONLY, _HINT_SKIP_CACHE, _HINT_REVALIDATE})

# Statuses of answers.
DATA = b"data"
UNCHANGED = b"unchanged"
ABSENT = b"absent"
FULL = b"full"
FAILED = b"failed"
ALIVE = b"well"  # answers an ECHO

AnswerFields = Iterable[tuple[bytes, bytes]]


class UnusableRequestError(ValueError):
    """A request has an invalid field: it is answered with `failed`, and its connection stays open."""


class CommandKind(StrEnum):
    """The commands that a router sends."""

    PULL = "pull"
    KILL = "kill"
    ECHO = "echo"


class Request(NamedTuple):
    """A request for one part of an object. Times are in seconds.

    Attributes:
        request_class: Name of the request class.
        object_key: Key of the object.
        part: Number of the part.
        timeout_s: Time within which the client needs the answer.
        source: Name of the server to fill from; empty if the server must not fill.
        rank: Rank of the copy for eviction.
        max_age_s: Maximum age of a copy; 0 is the fresh time of the class.
        joins_fill: Whether the request may wait for a fill that is under way.
        cached_only: Whether the source must answer from its cache and not fill.
        skips_cache: Whether a parent must not keep the copy.
        revalidate: Whether a stale copy is to be revalidated in the background.
        known_tag: Tag of the client's copy; empty if it has none.
    """

    request_class: bytes
    object_key: bytes
    part: int
    timeout_s: float
    source: str
    rank: int
    max_age_s: float
    joins_fill: bool
    cached_only: bool
    skips_cache: bool
    revalidate: bool
    known_tag: bytes


class CommandSplitter(LineSplitter):
    """Splits the bytes from a router into commands: (PULL, id, fields, body), (KILL, id) and (ECHO, id)."""

    @staticmethod
    def parse_line(line: bytes) -> tuple[tuple, int | None]:
        """Return the values of a command and the size of its body; the size is None if no body follows.

        Raises:
            UnreadableError: The line is not a command.
        """
        words = line.split(b" ")
        if len(words) == 2 and words[0] in (b"KILL", b"ECHO") and words[1]:
            return (CommandKind(words[0].decode().lower()), words[1]), None
        if len(words) != 4 or words[0] != b"PULL" or not words[1] or not is_body_size(words[3]):
            raise UnreadableError(f"expected PULL, KILL or ECHO with its fields, got {line[:80]!r}")
        return (CommandKind.PULL, words[1], words[2]), int(words[3])


def decode_request(text: bytes) -> Request:
    """Decode and check the fields of a PULL.

    Raises:
        UnusableRequestError: A field is missing or out of range; the message names it.
    """
    fields = read_fields(text)
    object_key = fields.get(b"asset", b"")
    if len(object_key) != _OBJECT_KEY_DIGITS or not _HEX_DIGITS.issuperset(object_key):
        raise UnusableRequestError(f"asset: expected 16 hex digits, got {object_key!r:.40}")
    request_class = fields.get(b"sort", b"")
    if not request_class or len(request_class) > _MAX_CLASS_BYTES:
        raise UnusableRequestError(
            f"sort: expected a request class of at most 64 bytes, got {request_class!r:.40}"
        )
    hints = set(fields.get(b"hints", b"").split(b"+")) - {b""}
    if not hints <= _HINTS:
        raise UnusableRequestError(f"hints: unknown {sorted(hints - _HINTS)!r:.60}")
    source = fields.get(b"parent", b"")
    known_tag = fields.get(b"got", b"")
    if len(source) > _MAX_NAME_BYTES or len(known_tag) > _MAX_NAME_BYTES:
        raise UnusableRequestError("parent or got: expected at most 255 bytes")
    return Request(
        request_class=request_class,
        object_key=object_key,
        part=_decode_number(fields, b"slice", None, 0, _MAX_PART),
        timeout_s=_decode_number(fields, b"patience", None, 1, _MAX_TIMEOUT_MS) / 1000.0,
        source=source.decode("latin-1"),
        rank=_decode_number(fields, b"shelf", 0, 0, _MAX_RANK),
        max_age_s=_decode_number(fields, b"accept", 0, 0, _MAX_AGE_MS) / 1000.0,
        joins_fill=_HINT_JOIN_FILL in hints,
        cached_only=_HINT_CACHED_ONLY in hints,
        skips_cache=_HINT_SKIP_CACHE in hints,
        revalidate=_HINT_REVALIDATE in hints,
        known_tag=known_tag,
    )


def _decode_number(
    fields: dict[bytes, bytes], name: bytes, default: int | None, least: int, most: int
) -> int:
    text = fields.get(name)
    if text is None:
        if default is None:
            raise UnusableRequestError(f"{name.decode()}: missing")
        return default
    if not text.isdigit() or len(text) > _MAX_NUMBER_DIGITS or not least <= int(text) <= most:
        raise UnusableRequestError(
            f"{name.decode()}: expected a whole number from {least} to {most}, got {text!r:.40}"
        )
    return int(text)


def encode_answer(request_id: bytes, status: bytes, fields: AnswerFields = (), body: bytes = b"") -> bytes:
    """Encode an answer; its fields are pairs of name and value."""
    text = b",".join(b"%b=%b" % pair for pair in fields) or b"-"
    return b"%b %b %b %d\r\n%b\r\n" % (request_id, status, text, len(body), body)


def encode_copy_fields(
    note: str, tag: bytes, dated: float, group: int | None, source_wait_s: float
) -> list[tuple[bytes, bytes]]:
    """Encode the fields of an answer with a copy.

    Args:
        note: How the server obtained the copy.
        tag: Tag of the copy; empty if it has none.
        dated: Unix time at which the origin issued the copy.
        group: Purge group of the copy; None if it is unknown.
        source_wait_s: How long the answer waited for a fill; 0 if it did not.
    """
    fields = [
        (b"n", note.encode()),
        (b"digest", tag or b"-"),
        (b"dated", b"%d" % round(dated * 1000)),
    ]
    if group is not None:
        fields.append((b"lot", b"%d" % group))
    if source_wait_s:
        fields.append((b"first", b"%d" % (source_wait_s * 1000)))
    return fields


def encode_note(note: str) -> list[tuple[bytes, bytes]]:
    """Encode the fields of an answer without a copy; an empty note is left out."""
    return [(b"n", note.encode())] if note else []


def encode_load_report(values: Iterable[tuple[str, float]]) -> tuple[bytes, bytes]:
    """Encode the load report of an answer as one field, from pairs of name and value."""
    return b"l", b";".join(b"%b:%.3g" % (name.encode(), value) for name, value in values)


def decode_tag(text: bytes | None) -> bytes:
    """Decode the tag of an answer; `-` means that there is none."""
    return b"" if text in (None, b"-") else text


def decode_group(text: bytes | None, max_group: int) -> int | None:
    """Decode the purge group of an answer; None if it is missing or invalid."""
    if text and text.isdigit() and int(text) <= max_group:
        return int(text)
    return None
