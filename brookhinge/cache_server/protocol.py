"""Lines of routers as a cache server reads and writes them. No I/O.

This module is the only one of the cache server that knows the names of this wire; `net/cachewire.py` is the
router's side.
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

# Words of answers.
DATA = b"data"
UNCHANGED = b"unchanged"
ABSENT = b"absent"
FULL = b"full"
FAILED = b"failed"
ALIVE = b"well"  # answers an ECHO

AnswerFields = Iterable[tuple[bytes, bytes]]


class UnusableRequestError(ValueError):
    """A request that can be read and not used: it is answered `failed`, its connection stays."""


class CommandKind(StrEnum):
    """Commands of a router."""

    PULL = "pull"
    KILL = "kill"
    ECHO = "echo"


class Request(NamedTuple):
    """One request for a part. Times are seconds."""

    request_class: bytes
    object_key: bytes
    part: int
    timeout_s: float
    source: str  # the server to fill from; "": no fill
    rank: int  # for eviction
    max_age_s: float  # the oldest copy that will do; 0: the fresh time of the class
    joins_fill: bool  # may wait for a fill that is under way
    cached_only: bool  # the source may not fill in its turn
    skips_cache: bool  # a parent does not keep the copy
    revalidate: bool  # an ageing copy is to be revalidated behind the answer
    known_tag: bytes  # tag of the client's copy, or b""


class CommandSplitter(LineSplitter):
    """Cuts what a router sends into commands: (PULL, id, fields, body), (KILL, id) and (ECHO, id)."""

    @staticmethod
    def parse_line(line: bytes) -> tuple[tuple, int | None]:
        """Return the values of a command, and the size of its body; None where none follows.

        Raises:
            UnreadableError: The line is no command.
        """
        words = line.split(b" ")
        if len(words) == 2 and words[0] in (b"KILL", b"ECHO") and words[1]:
            return (CommandKind(words[0].decode().lower()), words[1]), None
        if len(words) != 4 or words[0] != b"PULL" or not words[1] or not is_body_size(words[3]):
            raise UnreadableError(f"the line {line[:80]!r}")
        return (CommandKind.PULL, words[1], words[2]), int(words[3])


def decode_request(text: bytes) -> Request:
    """Read and check the fields of a PULL.

    Raises:
        UnusableRequestError: Names the field that is missing or out of range.
    """
    fields = read_fields(text)
    object_key = fields.get(b"asset", b"")
    if len(object_key) != _OBJECT_KEY_DIGITS or not _HEX_DIGITS.issuperset(object_key):
        raise UnusableRequestError(f"asset: expected 16 hex digits, got {object_key!r:.40}")
    request_class = fields.get(b"sort", b"")
    if not request_class or len(request_class) > _MAX_CLASS_BYTES:
        raise UnusableRequestError(f"sort: expected a class, got {request_class!r:.40}")
    hints = set(fields.get(b"hints", b"").split(b"+")) - {b""}
    if not hints <= _HINTS:
        raise UnusableRequestError(f"hints: unknown {sorted(hints - _HINTS)!r:.60}")
    source = fields.get(b"parent", b"")
    known_tag = fields.get(b"got", b"")
    if len(source) > _MAX_NAME_BYTES or len(known_tag) > _MAX_NAME_BYTES:
        raise UnusableRequestError("parent or got: too long")
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


def encode_answer(request_id: bytes, word: bytes, fields: AnswerFields = (), body: bytes = b"") -> bytes:
    """Encode an answer with its fields, pairs of name and value, and its body."""
    text = b",".join(b"%b=%b" % pair for pair in fields) or b"-"
    return b"%b %b %b %d\r\n%b\r\n" % (request_id, word, text, len(body), body)


def encode_copy_fields(
    note: str, tag: bytes, dated: float, group: int | None, source_wait_s: float
) -> list[tuple[bytes, bytes]]:
    """Encode the fields of an answer with a copy.

    Args:
        note: How the server came by the copy.
        tag: Of the copy.
        dated: When the origin issued it, Unix seconds.
        group: Its purge group; None if it is not known.
        source_wait_s: What the answer waited for a fill; 0 if it did not.
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
    """Encode the fields of an answer without a copy."""
    return [(b"n", note.encode())] if note else []


def encode_load_report(values: Iterable[tuple[str, float]]) -> tuple[bytes, bytes]:
    """Encode the load report of an answer, pairs of name and value, as one field."""
    return b"l", b";".join(b"%b:%.3g" % (name.encode(), value) for name, value in values)


def decode_tag(text: bytes | None) -> bytes:
    """Read the tag of an answer; `-` stands for none."""
    return b"" if text in (None, b"-") else text


def decode_group(text: bytes | None, max_group: int) -> int | None:
    """Read the purge group of an answer; None if it has none that can be used."""
    if text and text.isdigit() and int(text) <= max_group:
        return int(text)
    return None
